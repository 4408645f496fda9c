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
/// Time without requests after which a limiter forgets an endpoint, if its next permit is free by
/// then.
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
        self.bucket(now, view, rate).ask(now, asker, request)
    }

    /// Begins to grant the permits for an endpoint, if that is not done already.
    pub fn begin(&mut self, now: Moment, view: &EndpointView, rate: RequestRate) {
        self.bucket(now, view, rate);
    }

    fn bucket(&mut self, now: Moment, view: &EndpointView, rate: RequestRate) -> &mut Bucket {
        self.reach.activate(now);
        let rate = scaled(rate, self.reach.share());
        let is_first =
            HANDOVER_TIME <= now && view.limited_since().is_some_and(|it| now <= it + FIRST_TIME);
        let ready = if is_first { now } else { now + HANDOVER_TIME };
        let id = view.endpoint.id.clone();
        let bucket = self.buckets.get_or_insert_with(id, || Bucket::new(now, rate, ready));
        bucket.set_rate(now, rate);
        bucket
    }

    /// Removes a request that no longer needs its permit.
    pub fn withdraw(&mut self, endpoint: &str, asker: Asker, id: PermitId) {
        if let Some(bucket) = self.buckets.get_mut(endpoint) {
            bucket.withdraw(asker, id);
        }
    }

    /// Grants the permits that are due.
    pub fn serve(&mut self, now: Moment) -> Vec<PermitReply> {
        self.buckets.values_mut().flat_map(|it| it.serve(now)).collect()
    }

    /// Whether this instance grants permits for an endpoint.
    pub fn is_active(&self, endpoint: &str) -> bool {
        self.buckets.contains_key(endpoint)
    }

    /// Ends the role for endpoints that have another limiter or no limit, and for those that nobody
    /// asks for; returns them, with the answers to those that wait.
    pub fn retire(
        &mut self,
        now: Moment,
        endpoints: &Endpoints,
        is_limiter: impl Fn(&str) -> bool,
    ) -> (Vec<EndpointId>, Vec<PermitReply>) {
        let share = self.reach.share();
        let (mut retired, mut replies) = (Vec::new(), Vec::new());
        for (id, bucket) in self.buckets.iter_mut() {
            let rate = endpoints.get(id).and_then(EndpointView::rate_limit);
            let is_idle = bucket.is_idle(now, IDLE_TIME);
            match rate.filter(|_| !is_idle && is_limiter(id)) {
                Some(rate) => bucket.set_rate(now, scaled(rate, share)),
                None => {
                    retired.push(id.clone());
                    // Those that wait ask again, and hear if there is no limit any longer.
                    replies.extend(bucket.close(&PermitAnswer::Elsewhere));
                }
            }
        }
        self.buckets.retain(|it, _| retired.binary_search(it).is_err());
        if self.buckets.is_empty() {
            self.reach.deactivate();
        }
        (retired, replies)
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
}

/// Returns the part of a rate that this side of the fleet may grant.
fn scaled(rate: RequestRate, share: f64) -> RequestRate {
    RequestRate::new(rate.per_second() * share).unwrap_or(rate)
}
