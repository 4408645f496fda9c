//! Newer configurations that reach the instances at different moments.

use std::sync::Arc;
use std::time::Duration;

use ferry_model::GatewayConfig;
use ferry_serve::{DecisionKind, Event, LimitReport, RequestRate, StoreUpdate};

use super::{Simulation, ms};

/// Interval at which the simulation is looked at while it runs; less than a datagram takes.
const STEP: Duration = Duration::from_micros(500);
/// Longest time after which a request is where a test needs it.
const MAX_STEPS: u32 = 4_000;
/// Time until a newer configuration reaches the next instance.
const SPREAD_TIME: Duration = ms(40);

impl Simulation {
    /// Delivers a configuration to each instance, a while after the one before it.
    pub fn spread(&mut self, config: &Arc<GatewayConfig>) {
        self.config = config.clone();
        for instance in 0..self.instances.len() {
            let after = SPREAD_TIME * instance as u32;
            self.schedule(instance, after, Event::Config(config.clone()));
        }
        self.run_for(ms(0));
    }

    /// Runs until the condition holds; returns whether it does within some seconds.
    pub fn run_until(&mut self, holds: impl Fn(&Simulation) -> bool) -> bool {
        for _ in 0..MAX_STEPS {
            if holds(self) {
                return true;
            }
            self.run_for(STEP);
        }
        false
    }

    /// Whether a request has logged that it waits, for this reason.
    pub fn has_waited(&self, attempt: &str, reason: &str) -> bool {
        self.decisions.iter().any(|it| {
            it.kind == DecisionKind::Wait
                && it.attempt.as_deref() == Some(attempt)
                && it.reason == reason
        })
    }

    /// Lets all endpoints of a pool limit their requests, as all instances know.
    pub fn limit_pool(&mut self, pool: &str, per_second: f64) {
        let ids: Vec<String> = self.ids(pool);
        let Some(rate) = RequestRate::new(per_second) else { return };
        for id in ids {
            self.set_rate_limit(&id, Some(per_second));
            for instance in 0..self.instances.len() {
                let limit = LimitReport::Limited(rate);
                self.deliver(instance, Event::Limit { endpoint: id.clone(), started: 1, limit });
            }
        }
    }

    /// Returns the ids of the endpoints of a pool.
    pub fn ids(&self, pool: &str) -> Vec<String> {
        let members = self.endpoints.values().filter(|it| it.entry.pool == pool);
        members.map(|it| it.entry.id.clone()).collect()
    }

    /// Registers the present entry of an endpoint again, as all instances know.
    pub fn register(&mut self, id: &str) {
        self.register_at(id, 11);
    }

    /// The same at a store revision.
    pub fn register_at(&mut self, id: &str, revision: u64) {
        let endpoint = self.endpoints.get(id).expect("the endpoint exists").entry.clone();
        for instance in 0..self.instances.len() {
            let endpoint = endpoint.clone();
            let update = StoreUpdate::Changed { revision, endpoint };
            self.deliver(instance, Event::Store(update));
        }
    }
}
