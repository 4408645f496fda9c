//! State of one pass through the reducer, shared by the modules that the gateway combines.

mod averages;
mod times_left;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{
    GatewayConfig, Incarnation, InstanceId, Moment, PoolId, ResultHandle, Route, SortedMap, ZoneId,
};
use serde::Serialize;

use crate::admission::{AdmissionController, Shard};
use crate::batch::{JobKey, JobOutcome};
use crate::overload::OverloadDetector;
use crate::{
    CallId, CallerAttempt, Catalog, CrashCollector, CrashWatch, Decision, Effect, Endpoints,
    EndpointsDelta, Group, Limiter, Mechanism, Metric, Observations, Origins, Peers, PermitAnswer,
    PermitId, PoolBuilds, Quarantine, QuarantineLedger, Reach, RequestHead, RetryBudget,
    RetryShare, Scheduled, Scheduler, Tuning,
};

use averages::RouteAverages;
pub use averages::RouteComparison;

/// Hash input that separates the choice of admission controllers from other roles.
const ADMISSION_KEY: &str = "accounts";
/// The same for limiters.
const LIMITER_KEY: &str = "limiter";

/// Identity of this process, from its settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Identity {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    /// Its share of a CPU core, which weights the work that it is given.
    pub weight: f64,
    /// Whether it started with the whole system, for the first time.
    pub is_first_start: bool,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where peers send datagrams.
    pub peer: SocketAddr,
    /// Where peers pass requests on.
    pub relay: SocketAddr,
}

/// State shared by all components of the gateway.
#[derive(Debug, Clone)]
pub struct Context {
    pub identity: Identity,
    pub tuning: Tuning,
    /// When this process handled its first event.
    pub began_at: Moment,
    pub catalog: Catalog,
    pub endpoints: Endpoints,
    pub origins: Origins,
    pub peers: Peers,
    /// Which pools this instance reaches itself.
    pub reach: Reach,
    pub overload: OverloadDetector,
    pub observations: Observations,
    /// Admitted requests, if this instance is an admission controller.
    pub admission: AdmissionController,
    /// Calls to engines, if this instance schedules them.
    pub scheduler: Scheduler,
    /// Averages of requests, by route.
    pub(crate) route_averages: SortedMap<String, RouteAverages>,
    pub(crate) retry_budgets: SortedMap<PoolId, RetryBudget>,
    pub(crate) last_call: CallId,
    pub(crate) last_permit: PermitId,
    /// Permits that this instance grants.
    pub limiter: Limiter,
    /// What is not sent to its pool.
    pub quarantine: Quarantine,
    /// Which of its records the store has.
    pub quarantine_ledger: QuarantineLedger,
    pub crash_watch: CrashWatch,
    /// Crashes of the pools of which this instance is a collector.
    pub collector: CrashCollector,
    /// Whether the shutdown has started.
    pub is_leaving: bool,
}

impl Context {
    /// Returns the peer that collects the items of `group`; none if this instance does.
    pub fn batcher(&self, now: Moment, group: &Group) -> Option<SocketAddr> {
        self.coordinator(now, group)
    }

    /// Returns the peer that is the admission controller of a shard; none if this instance is.
    pub fn admission_peer(&self, now: Moment, shard: Shard) -> Option<SocketAddr> {
        self.coordinator(now, (ADMISSION_KEY, shard))
    }

    /// Returns the peer that schedules the calls to a shard of the engines; none if this instance
    /// does. It is an admission controller as well.
    pub fn scheduler_peer(&self, now: Moment, shard: Shard) -> Option<SocketAddr> {
        self.admission_peer(now, shard)
    }

    /// Returns the peer that grants the permits for an endpoint; none if this instance does.
    pub fn limiter_peer(&self, now: Moment, endpoint: &str) -> Option<SocketAddr> {
        let mut hasher = DefaultHasher::new();
        (LIMITER_KEY, endpoint).hash(&mut hasher);
        let is_willing = self.is_willing(now);
        self.peers.limiter(now, &self.tuning, &self.identity, is_willing, hasher.finish())
    }

    /// Whether this instance works for others.
    pub fn is_willing(&self, now: Moment) -> bool {
        !self.is_leaving && self.endpoints.is_known() && !self.overload.is_overloaded(now)
    }

    /// Whether others should do the work of this instance, as long as there are any.
    pub fn is_hindered(&self, now: Moment) -> bool {
        self.overload.is_overloaded(now) || self.reach.is_any_cut()
    }

    fn coordinator(&self, now: Moment, work: impl Hash) -> Option<SocketAddr> {
        let mut hasher = DefaultHasher::new();
        work.hash(&mut hasher);
        let is_hindered = self.is_hindered(now);
        self.peers.coordinator(now, &self.tuning, &self.identity, is_hindered, hasher.finish())
    }

    /// Records a request of a route and compares it to the route's averages.
    pub fn compare_to_route(&mut self, route: &Route, head: &RequestHead) -> RouteComparison {
        self.route_averages
            .get_or_insert_with(route.name.clone(), RouteAverages::default)
            .record(head, route.time_limit)
    }

    /// Returns the part of the retry budgets that this instance may use.
    ///
    /// Peers that are not heard may be cut off and retry as well, so they count for long. A process
    /// that takes another one's place leaves to it, for one window, what it may have used.
    fn retry_share(&self, now: Moment) -> RetryShare {
        let margin = self.tuning.retry_margin;
        if !self.identity.is_first_start && now < self.began_at + self.tuning.retry_window {
            return RetryShare { ratio: 1.0 - margin, constant: 0.0 };
        }
        RetryShare { ratio: margin, constant: 1.0 / self.peers.n_remembered(now) as f64 }
    }

    /// Returns the retry budget of a pool.
    pub fn retry_budget(&mut self, pool: &str) -> &mut RetryBudget {
        self.retry_budgets.get_or_insert_with(pool.to_owned(), RetryBudget::new)
    }
}

/// One pass through the reducer: the time, the shared state, the effects so far, and the jobs of
/// this instance's own requests that have ended meanwhile.
#[derive(Debug)]
pub struct Pass<'a> {
    pub now: Moment,
    pub ctx: &'a mut Context,
    pub effects: &'a mut Vec<Effect>,
    pub outcomes: &'a mut Vec<(JobKey, JobOutcome)>,
    /// Answers of the scheduler on this instance to this instance's own requests.
    pub released: &'a mut Vec<(CallerAttempt, Scheduled)>,
    /// Answers of the limiter on this instance to this instance itself.
    pub permits: &'a mut Vec<(PermitId, PermitAnswer)>,
    /// Delay of this pass, if this process stood still before it.
    pub late: Duration,
}

impl Pass<'_> {
    pub fn next_call(&mut self) -> CallId {
        self.ctx.last_call += 1;
        self.ctx.last_call
    }

    pub fn next_permit(&mut self) -> PermitId {
        self.ctx.last_permit += 1;
        self.ctx.last_permit
    }

    pub fn count(&mut self, metric: Metric) {
        self.effects.push(Effect::Count(metric));
    }

    pub fn log(&mut self, mut decision: Decision) {
        decision.version = self.ctx.catalog.version();
        self.effects.push(Effect::Log(Box::new(decision)));
    }

    /// Reserves a retry at a pool if its budget allows it, and returns whether it does.
    pub fn try_reserve(&mut self, pool: &str) -> bool {
        let (now, tuning) = (self.now, self.ctx.tuning.clone());
        if !tuning.is_enabled(Mechanism::Retries) {
            return false;
        }
        let share = self.ctx.retry_share(now);
        self.ctx.retry_budget(pool).try_reserve(now, &tuning, share)
    }

    /// Records that the endpoint of a retry was heard, or that its call has ended.
    pub fn settle_retry(&mut self, pool: &str) {
        let (now, tuning) = (self.now, self.ctx.tuning.clone());
        self.ctx.retry_budget(pool).settle(now, &tuning);
    }
}

/// Notifies the endpoints that hold results that these are no longer needed. One that limits its
/// requests discards them by itself: each call would take the place of a caller's request. So does
/// one that leaves, is gone, or wants a pause.
pub(crate) fn free(cx: &mut Pass<'_>, handles: Vec<ResultHandle>) {
    let mut by_address: SortedMap<SocketAddr, Vec<ResultHandle>> = SortedMap::new();
    for handle in handles {
        by_address.get_or_insert_with(handle.address, Vec::new).push(handle);
    }
    for (address, handles) in by_address.iter() {
        if cx.ctx.endpoints.takes_messages_at(cx.now, *address) {
            cx.effects.push(Effect::Free { address: *address, handles: handles.clone() });
        }
    }
}

/// State that a peer needs to work while the store does not answer it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Snapshot {
    /// None if the reader already has it.
    pub config: Option<Arc<GatewayConfig>>,
    pub endpoints: EndpointsDelta,
    /// Builds of pools that the store has recorded.
    pub builds: Vec<PoolBuilds>,
}

impl Snapshot {
    /// Returns the state as a release reads it that compares revisions of the store, not positions.
    pub fn without_eras(mut self) -> Snapshot {
        self.endpoints.drop_era();
        self.builds.iter_mut().for_each(PoolBuilds::drop_era);
        self
    }
}
