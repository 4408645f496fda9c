//! The ways on which something reaches an endpoint.

use ferry_serve::Tuning;

use crate::simulation::{Behaviour, Simulation, ms};

/// A way on which something reaches an endpoint.
pub struct Way {
    pub name: &'static str,
    pub routes: &'static [&'static str],
    pub endpoint: &'static str,
    /// What the other endpoints of its pool do.
    others: Behaviour,
    /// Requests per second that it takes.
    rate_limit: Option<f64>,
}

impl Way {
    pub fn all() -> Vec<Way> {
        let first = Way {
            name: "first runs",
            routes: &["get", "post"],
            endpoint: "plain-0",
            others: Behaviour::Healthy,
            rate_limit: None,
        };
        let engines =
            Way { name: "engines", routes: &["stream", "once"], endpoint: "engine-0", ..first };
        let items = Way { name: "items", endpoint: "first-0", ..engines };
        vec![
            Way { name: "repeats of failed runs", others: Behaviour::Failing, ..first },
            Way { name: "repeats of broken runs", others: Behaviour::Reset, ..first },
            Way { name: "repeats of refusals", others: Behaviour::Full, ..first },
            Way { name: "others that pause", others: Behaviour::Pauses(ms(700)), ..first },
            Way { name: "second runs beside silent ones", others: Behaviour::Silent, ..first },
            Way { name: "slow endpoints", others: Behaviour::Slow(20), ..first },
            Way { name: "permits", rate_limit: Some(2.0), ..first },
            Way { name: "resumed streams", others: Behaviour::HeadOnly(ms(50)), ..engines },
            Way { name: "streams beside silent ones", others: Behaviour::Silent, ..engines },
            Way { name: "engines that refuse", others: Behaviour::Full, ..engines },
            Way { name: "engines that pause", others: Behaviour::Pauses(ms(700)), ..engines },
            Way { name: "engines that read prompts", others: Behaviour::Reads(2), ..engines },
            Way { name: "permits of engines", rate_limit: Some(2.0), ..engines },
            Way { name: "items of slow endpoints", others: Behaviour::Slow(8), ..items },
            Way { name: "items of silent endpoints", others: Behaviour::Silent, ..items },
            Way { name: "items of endpoints that refuse", others: Behaviour::Full, ..items },
            Way {
                name: "items of endpoints that pause",
                others: Behaviour::Pauses(ms(700)),
                ..items
            },
            Way { name: "items of broken calls", others: Behaviour::Reset, ..items },
            Way { name: "items of a later stage", endpoint: "second-0", ..items },
            Way { name: "permits of items", rate_limit: Some(2.0), ..items },
            first,
            engines,
            items,
        ]
    }

    /// Returns a simulation in which requests reach the endpoint on this way.
    pub fn simulation(&self, n_instances: usize) -> Simulation {
        self.simulation_with(n_instances, Tuning::default())
    }

    /// The same with other settings.
    pub fn simulation_with(&self, n_instances: usize, tuning: Tuning) -> Simulation {
        let mut sim = Simulation::with_tuning(n_instances, tuning);
        let pool = self.endpoint.split('-').next().unwrap_or_default();
        for id in ids_of(&sim, pool).iter().filter(|it| **it != self.endpoint) {
            sim.set_behaviour(id, self.others);
        }
        sim.set_rate_limit(self.endpoint, self.rate_limit);
        sim
    }
}

/// Returns the endpoints of a pool.
pub fn ids_of(sim: &Simulation, pool: &str) -> Vec<String> {
    let prefix = format!("{pool}-");
    sim.endpoints.keys().filter(|it| it.starts_with(&prefix)).cloned().collect()
}

/// Counts everything that has reached an endpoint.
pub fn n_received(sim: &Simulation, id: &str) -> usize {
    let endpoint = sim.endpoints.get(id).expect("the endpoint exists");
    endpoint.n_calls + endpoint.n_messages
}
