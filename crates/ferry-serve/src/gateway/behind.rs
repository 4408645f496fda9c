//! Reading from peers what this instance has missed.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{ConfigVersion, Moment};

use super::Gateway;
use crate::pass::Context;
use crate::{Effect, Endpoints};

/// Time for which a peer may have a newer configuration before it is read from there; the store is
/// usually as fast.
const CONFIG_PULL_DELAY: Duration = Duration::from_millis(250);
/// The same for endpoints, which most instances read from the store at intervals of up to a second.
const LIST_PULL_DELAY: Duration = Duration::from_millis(1_100);

/// Since when peers have been ahead, and what was known here at that time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Behind {
    since: Moment,
    version: ConfigVersion,
    last_change: u64,
}

impl Gateway {
    /// Reads the state of a peer that has been ahead of this instance for a while.
    pub(super) fn catch_up(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Context { tuning, catalog, endpoints, peers, .. } = &self.ctx;
        let version = catalog.version();
        let ahead = peers.ahead(now, tuning, version, endpoints.last_change());
        let Some(from) = pick(&ahead, now) else {
            self.behind = None;
            return;
        };
        let is_old = ahead.iter().any(|it| version < it.1);
        let last_change = endpoints.last_change();
        let fresh = Behind { since: now, version, last_change };
        let known = self.behind.filter(|it| (it.version, it.last_change) == (version, last_change));
        // Progress made meanwhile shows that the store still sends updates, so it restarts the
        // delay.
        let since = known.unwrap_or(fresh).since;
        let wait = match (endpoints.is_store_down() || version == 0, is_old) {
            (true, _) => Duration::ZERO,
            (false, true) => CONFIG_PULL_DELAY,
            (false, false) => LIST_PULL_DELAY,
        };
        if now < since + wait {
            self.behind = Some(Behind { since, ..fresh });
            return;
        }
        self.behind = Some(Behind { since: now + CONFIG_PULL_DELAY, ..fresh });
        let is_list_old =
            endpoints.revision() == 0 || peers.has_newer_endpoints(now, tuning, last_change);
        let seen = if is_list_old { endpoints.revision() } else { Endpoints::NO_ENDPOINTS };
        effects.push(Effect::Pull { from, version, since: seen });
    }
}

/// Returns one of the peers that have the newest version, a different one each time.
fn pick(ahead: &[(SocketAddr, ConfigVersion)], now: Moment) -> Option<SocketAddr> {
    let newest = ahead.iter().map(|it| it.1).max()?;
    let fit: Vec<SocketAddr> = ahead.iter().filter(|it| it.1 == newest).map(|it| it.0).collect();
    let mut hasher = DefaultHasher::new();
    now.hash(&mut hasher);
    fit.get((hasher.finish() % fit.len() as u64) as usize).copied()
}
