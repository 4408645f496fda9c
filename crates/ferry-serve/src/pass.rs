//! What a pass through the reducer carries: the parts import this, and the gateway joins them.

mod averages;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use ferry_model::{
    GatewayConfig, Incarnation, InstanceId, Moment, PoolId, ResultHandle, SortedMap, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::admission::{AdmissionController, Shard};
use crate::batch::{JobKey, JobOutcome};
use crate::overload::OverloadDetector;
use crate::{
    CallId, Catalog, Decision, Effect, Endpoints, EndpointsDelta, Group, Metric, Observations,
    Peers, RequestHead, RetryBudget, Tuning,
};

use averages::RouteAverages;
pub use averages::RouteComparison;

/// Draws the instances that keep account apart from other roles.
const ADMISSION_KEY: &str = "accounts";

/// Who this process is, from its settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Identity {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    /// Its part of a core.
    pub weight: f64,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where peers send datagrams.
    pub peer: SocketAddr,
}

/// What every part of the gateway shares.
#[derive(Debug)]
pub struct Context {
    pub identity: Identity,
    pub tuning: Tuning,
    pub catalog: Catalog,
    pub endpoints: Endpoints,
    pub peers: Peers,
    pub overload: OverloadDetector,
    pub observations: Observations,
    /// Requests that have been begun, if this instance keeps account of them.
    pub admission: AdmissionController,
    /// What requests are usually like, by route.
    pub(crate) route_averages: SortedMap<String, RouteAverages>,
    pub(crate) retry_budgets: SortedMap<PoolId, RetryBudget>,
    pub(crate) last_call: CallId,
}

impl Context {
    /// Returns the peer that gathers items of `group`; none if this instance does.
    pub fn batcher(&self, now: Moment, group: &Group) -> Option<SocketAddr> {
        self.coordinator(now, group)
    }

    /// Returns the peer that keeps account of a part of the requests; none if this instance does.
    pub fn admission_peer(&self, now: Moment, shard: Shard) -> Option<SocketAddr> {
        self.coordinator(now, (ADMISSION_KEY, shard))
    }

    fn coordinator(&self, now: Moment, work: impl Hash) -> Option<SocketAddr> {
        let mut hasher = DefaultHasher::new();
        work.hash(&mut hasher);
        let is_overloaded = self.overload.is_overloaded(now);
        self.peers.coordinator(now, &self.tuning, &self.identity, is_overloaded, hasher.finish())
    }

    /// Notes a request of a route and returns where it stands among them.
    pub fn compare_to_route(&mut self, route: &str, head: &RequestHead) -> RouteComparison {
        self.route_averages
            .get_or_insert_with(route.to_owned(), RouteAverages::default)
            .record(head)
    }

    /// Returns the repeat budget of a pool.
    pub fn retry_budget(&mut self, pool: &str) -> &mut RetryBudget {
        self.retry_budgets.get_or_insert_with(pool.to_owned(), RetryBudget::new)
    }
}

/// One pass through the reducer: the time, the shared state, the effects so far and the jobs of
/// own requests that have ended meanwhile.
#[derive(Debug)]
pub struct Pass<'a> {
    pub now: Moment,
    pub ctx: &'a mut Context,
    pub effects: &'a mut Vec<Effect>,
    pub settled: &'a mut Vec<(JobKey, JobOutcome)>,
}

impl Pass<'_> {
    pub fn next_call(&mut self) -> CallId {
        self.ctx.last_call += 1;
        self.ctx.last_call
    }

    pub fn count(&mut self, metric: Metric) {
        self.effects.push(Effect::Count(metric));
    }

    pub fn log(&mut self, mut decision: Decision) {
        decision.version = self.ctx.catalog.version();
        self.effects.push(Effect::Log(Box::new(decision)));
    }

    /// Counts a repeat at a pool if its budget holds one, and returns whether it does.
    pub fn try_spend(&mut self, pool: &str) -> bool {
        let n_instances = self.ctx.peers.n_instances(self.now, &self.ctx.tuning);
        let (now, tuning) = (self.now, self.ctx.tuning.clone());
        self.ctx.retry_budget(pool).try_spend(now, &tuning, n_instances)
    }
}

/// Tells the makers of results that nobody reads them any more.
pub(crate) fn free(cx: &mut Pass<'_>, handles: Vec<ResultHandle>) {
    let mut by_address: SortedMap<SocketAddr, Vec<ResultHandle>> = SortedMap::new();
    for handle in handles {
        by_address.get_or_insert_with(handle.address, Vec::new).push(handle);
    }
    for (address, handles) in by_address.iter() {
        cx.effects.push(Effect::Free { address: *address, handles: handles.clone() });
    }
}

/// What a peer needs to go on where the store does not answer it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// None if the reader has it.
    pub config: Option<Arc<GatewayConfig>>,
    pub endpoints: EndpointsDelta,
}
