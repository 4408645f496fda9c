//! Where a request would go now, and why, without sending it.
//!
//! The reducer itself decides, on a copy of the state whose effects are only read, so that there is no
//! second copy of any decision.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId, Route, ZoneId};
use strum::{Display, IntoStaticStr};

use super::Gateway;
use crate::pass::{Context, Pass};
use crate::request::schedule;
use crate::{Arrival, Effect, EndpointView, EngineCost, Event, PeerMessage, Refusal, RequestRate};

/// What would become of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// What would be logged of it, in order.
    pub steps: Vec<Step>,
    /// The refusal that its caller would get at once, if it would be refused.
    pub refusal: Option<Refusal>,
    /// The peer whose admission controller decides on it; none if this instance does.
    pub asked: Option<SocketAddr>,
    /// The pools of its stages, in their order, and the one that runs it.
    pub pools: Vec<PoolExplanation>,
}

/// A decision about the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    pub decision: &'static str,
    pub reason: String,
    pub pool: Option<PoolId>,
    pub endpoint: Option<EndpointId>,
    /// Expected cost of the endpoint, as time.
    pub cost: Option<Duration>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct PoolExplanation {
    pub pool: PoolId,
    pub endpoints: Vec<EndpointExplanation>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct EndpointExplanation {
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub standing: Standing,
    /// Time until it may get a call, if that is known.
    pub wait: Duration,
    /// Requests that it takes in a second, if it limits them or is cold.
    pub rate: Option<RequestRate>,
    /// Requests there, and how many run at a time.
    pub load: (u32, u32),
    /// What the request would cost there; only known of engines, on the instance that schedules them.
    pub cost: Option<EngineCost>,
}

/// Why an endpoint gets new work, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    Open,
    /// It takes few requests, and each needs a permit.
    Cold,
    /// The same, as it limits its requests.
    Limited,
    /// Its calls failed recently.
    Ejected,
    /// It has asked this instance for a pause.
    Paused,
    /// It gets nothing before its build is recorded.
    Withheld,
    Evacuated,
    Leaving,
}

impl Standing {
    fn new(now: Moment, view: &EndpointView) -> Standing {
        match () {
            () if view.leaves() => Standing::Leaving,
            () if view.is_evacuated() => Standing::Evacuated,
            () if !view.accepts_work() => Standing::Withheld,
            () if !view.is_open(now) => Standing::Paused,
            () if !view.is_usable(now) => Standing::Ejected,
            () if view.is_cold() => Standing::Cold,
            () if view.rate_limit().is_some() => Standing::Limited,
            () => Standing::Open,
        }
    }
}

impl Gateway {
    /// Tells what would become of a request that arrives now.
    pub fn explain(&self, now: Moment, arrival: Arrival) -> Explanation {
        let mut copy = self.clone();
        let (ticket, attempt) = (arrival.ticket, arrival.head.attempt.clone());
        let route = self
            .ctx
            .catalog
            .config()
            .and_then(|it| it.route(&arrival.head.host, &arrival.head.path).cloned());
        let effects = copy.reduce(now, Event::Arrive(Box::new(arrival)));
        let mut explanation =
            Explanation { steps: Vec::new(), refusal: None, asked: None, pools: Vec::new() };
        for effect in effects {
            match effect {
                Effect::Log(it) if it.attempt.as_ref() == Some(&attempt) => {
                    explanation.steps.push(Step {
                        decision: it.kind.into(),
                        reason: it.reason,
                        pool: it.pool,
                        endpoint: it.endpoint,
                        cost: it.score.map(Duration::from_micros),
                    });
                }
                Effect::Refuse { refusal, .. } => explanation.refusal = Some(refusal),
                Effect::Send { to, message: PeerMessage::AdmissionRequest(_) } => {
                    explanation.asked = Some(to);
                }
                _ => (),
            }
        }
        let costs = copy.engine_costs(now, ticket);
        let pools = route.iter().flat_map(pools);
        explanation.pools = pools.map(|it| self.explain_pool(now, it, &costs)).collect();
        explanation
    }

    fn engine_costs(&mut self, now: Moment, ticket: u64) -> Vec<EngineCost> {
        let Some(request) = self.requests.get(ticket) else { return Vec::new() };
        let cx = &Pass {
            now,
            ctx: &mut self.ctx,
            effects: &mut Vec::new(),
            outcomes: &mut Vec::new(),
            released: &mut Vec::new(),
            permits: &mut Vec::new(),
            late: Duration::ZERO,
        };
        let Some(wanted) = schedule::wanted(cx, request) else { return Vec::new() };
        let Context { scheduler, endpoints, tuning, .. } = &*cx.ctx;
        match cx.ctx.scheduler_peer(now, wanted.shard) {
            None => scheduler.explain(now, endpoints, tuning, &wanted),
            Some(_) => Vec::new(),
        }
    }

    fn explain_pool(&self, now: Moment, pool: PoolId, costs: &[EngineCost]) -> PoolExplanation {
        let endpoint = |view: &EndpointView| {
            let id = &view.endpoint.id;
            EndpointExplanation {
                endpoint: id.clone(),
                zone: view.endpoint.zone.clone(),
                standing: Standing::new(now, view),
                wait: view.paused_until().saturating_sub(now).max(view.permit_wait(now)),
                rate: view.rate_limit(),
                load: (view.occupancy(now), view.endpoint.slots),
                cost: costs.iter().find(|it| it.endpoint == *id).cloned(),
            }
        };
        let endpoints = self.ctx.endpoints.pool(&pool).map(endpoint).collect();
        PoolExplanation { pool, endpoints }
    }
}

/// Returns the pools of the stages of a route, and those that run its requests.
fn pools(route: &Route) -> impl Iterator<Item = PoolId> {
    let stages = route.stages.iter().map(|it| it.pool.clone());
    stages.chain(route.targets.iter().map(|it| it.pool.clone()))
}
