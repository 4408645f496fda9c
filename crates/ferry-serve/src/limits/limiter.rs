//! The role of the instance that grants the permits for an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointId, Moment, SortedMap};

use super::bucket::{Bucket, PermitReply};
use super::reach::Reach;
use super::{PermitAnswer, PermitId, PermitRequest};
use crate::{Asker, EndpointView, Endpoints, RequestRate};

/// Time after which a new limiter grants its first permit: the one before it has stopped by then, as
/// it hears of the new one, or its permits have expired.
const HANDOVER_TIME: Duration = Duration::from_secs(1);
/// Time after an endpoint named its limit in which it can have had no limiter before.
const FIRST_TIME: Duration = Duration::from_millis(500);
/// Time without requests after which a limiter forgets an endpoint.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// The permits that this instance grants.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    buckets: SortedMap<EndpointId, Bucket>,
    reach: Reach,
}

impl Limiter {
    pub fn new() -> Limiter {
        Limiter::default()
    }

    /// Answers a request for a permit to call an endpoint with a rate limit.
    pub fn ask(
        &mut self,
        now: Moment,
        view: &EndpointView,
        rate: RequestRate,
        asker: Asker,
        request: &PermitRequest,
    ) -> PermitAnswer {
        self.hold_if_late(now);
        self.reach.activate(now);
        let rate = scaled(rate, self.reach.share());
        let is_first =
            HANDOVER_TIME <= now && view.limited_since().is_some_and(|it| now <= it + FIRST_TIME);
        let ready = if is_first { now } else { now + HANDOVER_TIME };
        let id = view.endpoint.id.clone();
        let bucket = self.buckets.get_or_insert_with(id, || Bucket::new(now, rate, ready));
        bucket.set_rate(now, rate);
        bucket.ask(now, asker, request)
    }

    /// Removes a request that no longer needs its permit.
    pub fn withdraw(&mut self, endpoint: &str, asker: Asker, id: PermitId) {
        if let Some(bucket) = self.buckets.get_mut(endpoint) {
            bucket.withdraw(asker, id);
        }
    }

    /// Grants the permits that are due.
    pub fn serve(&mut self, now: Moment) -> Vec<PermitReply> {
        self.hold_if_late(now);
        self.buckets.values_mut().flat_map(|it| it.serve(now)).collect()
    }

    /// Ends the role for endpoints that have another limiter or no limit, and for those that nobody
    /// asks for.
    pub fn retire(
        &mut self,
        now: Moment,
        endpoints: &Endpoints,
        is_limiter: impl Fn(&str) -> bool,
    ) -> Vec<PermitReply> {
        let mut replies = Vec::new();
        let ids: Vec<EndpointId> = self.buckets.keys().cloned().collect();
        for id in ids {
            let rate = endpoints.get(&id).and_then(EndpointView::rate_limit);
            let answer = match rate {
                None => PermitAnswer::NotNeeded(endpoints.limit_notice(now, &id)),
                Some(_) if !is_limiter(&id) => PermitAnswer::Elsewhere,
                Some(rate) => {
                    let rate = scaled(rate, self.reach.share());
                    let Some(bucket) = self.buckets.get_mut(&id) else { continue };
                    bucket.set_rate(now, rate);
                    if now < bucket.asked_at() + IDLE_TIME {
                        continue;
                    }
                    PermitAnswer::Elsewhere
                }
            };
            if let Some(bucket) = self.buckets.remove(&id) {
                replies.extend(bucket.close(&answer));
            }
        }
        if self.buckets.is_empty() {
            self.reach.deactivate();
        }
        replies
    }

    /// Starts a round and returns the pings to send, to some of `peers` and to all `avoided` ones;
    /// `n_expected` instances are assumed if none answers.
    pub fn pings(
        &mut self,
        now: Moment,
        peers: Vec<SocketAddr>,
        avoided: &[SocketAddr],
        n_expected: usize,
    ) -> Vec<(SocketAddr, u64)> {
        let mut pings = self.reach.start_round(now, peers, n_expected);
        for peer in avoided {
            pings.extend(self.reach.ping(now, *peer).map(|id| (*peer, id)));
        }
        pings
    }

    /// Returns the id of a ping to one peer, unless one is open already.
    pub fn ping(&mut self, now: Moment, peer: SocketAddr) -> Option<u64> {
        self.reach.ping(now, peer)
    }

    pub fn is_round_due(&self, now: Moment) -> bool {
        self.reach.is_due(now)
    }

    /// Records the answer of a peer that knows of `n_instances`.
    pub fn on_pong(&mut self, peer: SocketAddr, id: u64, n_instances: usize) {
        self.reach.on_pong(peer, id, n_instances);
    }

    /// Returns the pings to send once more, and the peers that have answered none.
    pub fn retry_pings(&mut self, now: Moment) -> (Vec<(SocketAddr, u64)>, Vec<SocketAddr>) {
        self.reach.retry(now)
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let permits = self.buckets.values().filter_map(Bucket::next_wake).min();
        [permits, self.reach.next_wake()].into_iter().flatten().min()
    }

    /// Grants nothing for a while if this process was stopped, as another limiter may have taken its
    /// place.
    fn hold_if_late(&mut self, now: Moment) {
        if self.reach.is_late(now) {
            self.reach.restart(now);
            for bucket in self.buckets.values_mut() {
                bucket.hold_until(now, now + HANDOVER_TIME);
            }
        }
    }
}

/// Returns the part of a rate that this side of the fleet may grant.
fn scaled(rate: RequestRate, share: f64) -> RequestRate {
    RequestRate::new(rate.per_second() * share).unwrap_or(rate)
}
