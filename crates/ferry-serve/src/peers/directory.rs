//! Which instances callers are told to use.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::Moment;

use super::{Heartbeat, PeerView, Peers};
use crate::{Identity, Tuning};

/// Fewest addresses that a caller gets, if as many instances are alive.
const MIN_ADDRESSES: usize = 2;
/// Most addresses that a caller gets.
const MAX_ADDRESSES: usize = 64;

/// Silence after which a peer is not named to callers, however long heartbeats take to reach all.
const MAX_SILENCE: Duration = Duration::from_millis(6_500);
/// Peers that have to be heard within that time; in a fleet whose heartbeats take longer, all that
/// count as alive are named.
const MIN_FRESH: usize = 16;

impl Peers {
    /// Returns addresses for a caller: those of its zone, and others if there are too few.
    pub fn directory(
        &self,
        now: Moment,
        tuning: &Tuning,
        own: &Identity,
        (is_ready, is_hindered): (bool, bool),
        zone: Option<&str>,
    ) -> Vec<SocketAddr> {
        let live = || self.live(now, tuning).map(|it| it.1);
        let is_fresh = |it: &&PeerView| now < it.last_heard + MAX_SILENCE;
        let n_fresh = live().filter(is_fresh).count();
        let ready: Vec<&Heartbeat> = live()
            .filter(|it| n_fresh < MIN_FRESH || is_fresh(it))
            .map(|it| &it.heartbeat)
            .filter(|it| it.accepts_work())
            .collect();
        let others_fit = ready.iter().any(|it| !it.is_hindered());
        let mut choices: Vec<(bool, u64, SocketAddr)> = ready
            .iter()
            .filter(|it| !it.is_hindered() || !others_fit)
            .map(|it| sort_key(zone, &it.zone, it.front))
            .collect();
        let is_fit = is_ready && !(is_hindered && others_fit);
        if is_fit || choices.is_empty() {
            choices.push(sort_key(zone, &own.zone, own.front));
        }
        choices.sort_unstable();
        let n_near = choices.iter().filter(|it| !it.0).count();
        choices.truncate(n_near.clamp(MIN_ADDRESSES, MAX_ADDRESSES));
        choices.into_iter().map(|it| it.2).collect()
    }
}

/// Returns a key that sorts addresses of the caller's zone first, and the others in an order
/// specific to that zone.
fn sort_key(zone: Option<&str>, at: &str, front: SocketAddr) -> (bool, u64, SocketAddr) {
    let is_far = zone.is_some_and(|it| it != at);
    let mut hasher = DefaultHasher::new();
    (zone, front).hash(&mut hasher);
    (is_far, hasher.finish(), front)
}
