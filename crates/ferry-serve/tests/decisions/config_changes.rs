//! Requests in progress while a newer configuration is applied.

mod builds;
mod catalog;
mod queues;

use std::sync::Arc;

use ferry_model::{BatchLimits, GatewayConfig, PoolKind, Route, RouteKind, Target};
use ferry_serve::Event;

use crate::simulation::{
    Behaviour, ENGINE, Ending, FIRST, PLAIN, SECOND, Simulation, config, head, ms,
};

const THIRD: &str = "third";
const PROBE: &str = "probe";
/// Log lines of requests that wait.
const READS: &str = "its engine reads the shared parts for another";
const LIMITS: &str = "its endpoint limits its requests";

/// Where a request is when the newer configuration reaches the first instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has just arrived; where the admission controller is a peer, it waits for that.
    Admission,
    FirstStage,
    SecondStage,
    /// It waits for the scheduler.
    Endpoint,
    Permit,
    /// Its call has not been answered, or has not begun.
    Calling,
    Events,
    /// Its call breaks soon after.
    Break,
}

struct Change {
    name: &'static str,
    apply: fn(&mut GatewayConfig),
}

const STREAM_PHASES: [Phase; 8] = [
    Phase::Admission,
    Phase::FirstStage,
    Phase::SecondStage,
    Phase::Endpoint,
    Phase::Permit,
    Phase::Calling,
    Phase::Events,
    Phase::Break,
];
const PLAIN_PHASES: [Phase; 4] = [Phase::Admission, Phase::Permit, Phase::Calling, Phase::Break];

fn changes() -> Vec<Change> {
    vec![
        Change { name: "its route is gone", apply: |it| it.routes.clear() },
        Change { name: "all pools are gone", apply: |it| it.pools.retain(|_, _| false) },
        Change {
            name: "its own pool is gone",
            apply: |it| it.pools.retain(|id, _| id != PLAIN && id != ENGINE),
        },
        Change {
            name: "the pools of its stages are gone",
            apply: |it| it.pools.retain(|id, _| id != FIRST && id != SECOND),
        },
        Change {
            name: "its route and all pools are gone",
            apply: |it| {
                it.routes.clear();
                it.pools.retain(|_, _| false);
            },
        },
        Change { name: "all keys are gone", apply: |it| it.keys = Some(Default::default()) },
        Change {
            name: "its workspace is renamed",
            apply: |it| {
                let owners = it.keys.iter_mut().flat_map(|it| it.values_mut());
                owners.for_each(|it| it.workspace = "renamed".to_owned());
            },
        },
        Change {
            name: "time limits are shorter",
            apply: |it| each_route(it, |it| it.time_limit = ms(100)),
        },
        Change {
            name: "time limits are longer",
            apply: |it| each_route(it, |it| it.time_limit = ms(60_000)),
        },
        Change {
            name: "objectives are shorter",
            apply: |it| each_route(it, |it| it.objective = ms(50)),
        },
        Change { name: "one try is allowed", apply: |it| each_route(it, |it| it.max_tries = 1) },
        Change {
            name: "streams cannot be resumed",
            apply: |it| each_route(it, |it| it.resumable = false),
        },
        Change {
            name: "no request may be repeated",
            apply: |it| each_route(it, |it| it.kind = RouteKind::NonIdempotent),
        },
        Change { name: "all requests are streams", apply: |it| each_route(it, to_stream) },
        Change {
            name: "its targets are in another pool",
            apply: |it| {
                each_route(it, |it| {
                    let pool = if it.stages.is_empty() { ENGINE } else { PLAIN };
                    it.targets = vec![Target { pool: pool.to_owned(), weight: 1 }];
                });
            },
        },
        Change { name: "its stages are gone", apply: |it| each_route(it, |it| it.stages.clear()) },
        Change {
            name: "its stages are in other pools",
            apply: |it| {
                each_route(it, |it| {
                    it.stages.iter_mut().for_each(|it| it.pool = THIRD.to_owned());
                });
                let limits = it.pools.get(FIRST).cloned().expect("the pool exists");
                it.pools.insert(THIRD.to_owned(), limits);
                it.pools.retain(|id, _| id != FIRST && id != SECOND);
            },
        },
        Change {
            name: "all pools are plain",
            apply: |it| it.pools.values_mut().for_each(|it| it.kind = PoolKind::Plain),
        },
        Change {
            name: "its own pool has another kind",
            apply: |it| {
                for (id, kind) in
                    [(PLAIN, PoolKind::Engine { slots: 1 }), (ENGINE, PoolKind::Plain)]
                {
                    it.pools.get_mut(id).expect("the pool exists").kind = kind;
                }
            },
        },
        Change {
            name: "calls with items are expected to take longer",
            apply: |it| each_batch_pool(it, |it| it.call_time = ms(5_000)),
        },
        Change {
            name: "calls with items are expected to take no time",
            apply: |it| each_batch_pool(it, |it| it.call_time = ms(0)),
        },
        Change {
            name: "results are kept for a shorter time",
            apply: |it| each_batch_pool(it, |it| it.result_ttl = ms(200)),
        },
        Change {
            name: "calls have fewer items",
            apply: |it| each_batch_pool(it, |it| it.max_items = 1),
        },
        Change {
            name: "endpoints keep fewer results",
            apply: |it| each_batch_pool(it, |it| it.result_capacity = 4_000),
        },
    ]
}

fn each_route(config: &mut GatewayConfig, change: impl FnMut(&mut Route)) {
    config.routes.iter_mut().for_each(change);
}

fn to_stream(route: &mut Route) {
    route.kind = RouteKind::Stream;
}

fn each_batch_pool(config: &mut GatewayConfig, change: impl Fn(&mut BatchLimits)) {
    for pool in config.pools.values_mut() {
        match &mut pool.kind {
            PoolKind::Batch(limits) => change(limits),
            PoolKind::Plain | PoolKind::Engine { .. } => (),
        }
    }
}

/// A request on one of several instances, and where it is when the configuration changes.
#[derive(Debug, Clone, Copy)]
struct Scene {
    route: &'static str,
    phase: Phase,
    n_instances: usize,
    /// The instance that the request reaches; the newer configuration reaches the first one first.
    instance: usize,
}

impl Scene {
    /// Returns why the request did not end whole, if it did not.
    fn run(self, change: Option<&Change>) -> Result<(), String> {
        let mut sim = Simulation::new(self.n_instances);
        let pool = if self.is_stream() { ENGINE } else { PLAIN };
        self.bring_to_phase(&mut sim, pool);
        if let Some(change) = change {
            let mut newer = config(2);
            (change.apply)(&mut newer);
            sim.spread(&Arc::new(newer));
        }
        if self.phase == Phase::Break {
            self.break_call(&mut sim, pool);
        }
        sim.run_for(ms(6_000));
        let Some(outcome) = sim.outcomes.get(PROBE) else { return Err("no end".to_owned()) };
        let ending = if self.is_stream() { Ending::Stream } else { Ending::Answer };
        if outcome.ending != ending || ms(4_000) < outcome.took {
            return Err(format!("{outcome:?}"));
        }
        match sim.violations.first() {
            Some(violation) => Err(violation.clone()),
            None => Ok(()),
        }
    }

    fn is_stream(self) -> bool {
        matches!(self.route, "stream" | "once")
    }

    fn bring_to_phase(self, sim: &mut Simulation, pool: &'static str) {
        match self.phase {
            Phase::Endpoint => {
                sim.arrive(self.instance, "first", head(self.route, "first"));
                sim.run_for(ms(20));
            }
            Phase::Permit => {
                sim.limit_pool(pool, 4.0);
                sim.run_for(ms(500));
                for attempt in ["before-0", "before-1", "before-2"] {
                    sim.arrive(self.instance, attempt, head(self.route, attempt));
                    sim.run_for(ms(10));
                }
            }
            Phase::Break if !self.is_stream() => {
                for id in sim.ids(pool) {
                    sim.set_behaviour(&id, Behaviour::Reset);
                }
            }
            Phase::Admission
            | Phase::FirstStage
            | Phase::SecondStage
            | Phase::Calling
            | Phase::Events
            | Phase::Break => (),
        }
        sim.arrive(self.instance, PROBE, head(self.route, PROBE));
        let is_there = sim.run_until(|it| match self.phase {
            Phase::Admission => true,
            Phase::FirstStage => 1 <= it.n_batches,
            Phase::SecondStage => 2 <= it.n_batches,
            Phase::Endpoint => it.has_waited(PROBE, READS),
            Phase::Permit => it.has_waited(PROBE, LIMITS),
            Phase::Calling => it.runs.contains_key(PROBE),
            Phase::Break if !self.is_stream() => it.runs.contains_key(PROBE),
            Phase::Events | Phase::Break => it.first_events.contains_key(PROBE),
        });
        assert!(is_there, "{self:?}: {:?}", sim.outcomes.get(PROBE));
        assert!(sim.outcomes.get(PROBE).is_none(), "{self:?} has ended before");
    }

    /// Breaks the call of the request, which other endpoints then serve.
    fn break_call(self, sim: &mut Simulation, pool: &str) {
        if self.is_stream() {
            sim.run_for(ms(5));
            let endpoint = sim.runs.get(PROBE).expect("it runs")[0].clone();
            sim.reset_calls(&endpoint);
            return;
        }
        for id in sim.ids(pool) {
            sim.set_behaviour(&id, Behaviour::Healthy);
        }
    }
}

fn scenes() -> Vec<Scene> {
    let mut scenes = Vec::new();
    for route in ["get", "post", "stream", "once"] {
        let phases = match route {
            "get" | "post" => &PLAIN_PHASES[..],
            _ => &STREAM_PHASES[..],
        };
        // A request that may run only once ends with the break of its call.
        let may_break = matches!(route, "get" | "stream");
        for phase in phases.iter().copied().filter(|it| may_break || *it != Phase::Break) {
            for (n_instances, instance) in [(1, 0), (3, 0), (3, 1), (3, 2)] {
                scenes.push(Scene { route, phase, n_instances, instance });
            }
        }
    }
    scenes
}

#[test]
fn requests_in_progress_end_whole_whatever_a_newer_configuration_changes() {
    let mut failures = Vec::new();
    for scene in scenes() {
        assert_eq!(scene.run(None), Ok(()), "{scene:?} without a change");
        for change in changes() {
            if let Err(error) = scene.run(Some(&change)) {
                failures.push(format!("{} in {scene:?}: {error}", change.name));
            }
        }
    }
    assert!(failures.is_empty(), "{} cells fail:\n{}", failures.len(), failures.join("\n"));
}

#[test]
fn requests_of_all_instances_end_whole_whatever_a_newer_configuration_changes() {
    let changes = changes();
    let unchanged = Change { name: "nothing", apply: |_| () };
    let mut failures = Vec::new();
    for change in [&unchanged].into_iter().chain(&changes) {
        for after in (0..700).step_by(50) {
            let mut sim = Simulation::new(3);
            let mut attempts = Vec::new();
            for number in 0..16 {
                let route = ["stream", "get", "once", "post"][number % 4];
                let attempt = format!("{route}-{number}");
                sim.arrive(number % 3, &attempt, head(route, &attempt));
                attempts.push(attempt);
                sim.run_for(ms(15));
            }
            sim.run_for(ms(after));
            let mut newer = config(2);
            (change.apply)(&mut newer);
            sim.spread(&Arc::new(newer));
            sim.run_for(ms(6_000));
            let is_whole = |it: &&String| {
                let ending = sim.outcomes.get(it.as_str()).map(|it| &it.ending);
                matches!(ending, Some(Ending::Answer | Ending::Stream))
            };
            let n_whole = attempts.iter().filter(is_whole).count();
            if n_whole < attempts.len() || !sim.violations.is_empty() {
                let text = format!("{} after {after} ms: {n_whole} are whole", change.name);
                failures.push(text);
            }
        }
    }
    assert!(failures.is_empty(), "{} cases fail:\n{}", failures.len(), failures.join("\n"));
}

#[test]
fn items_for_a_pool_that_the_batcher_does_not_know_yet_wait_for_its_configuration() {
    for instance in 0..3 {
        let mut sim = Simulation::new(3);
        let mut newer = config(2);
        let limits = newer.pools.get(SECOND).cloned().expect("the pool exists");
        newer.pools.insert(THIRD.to_owned(), limits);
        each_route(&mut newer, |it| {
            it.stages.iter_mut().skip(1).for_each(|it| it.pool = THIRD.to_owned());
        });
        for id in sim.ids(SECOND) {
            sim.endpoints.get_mut(&id).expect("it exists").entry.pool = THIRD.to_owned();
            sim.register(&id);
        }
        let newer = Arc::new(newer);
        sim.deliver(instance, Event::Config(newer.clone()));
        sim.arrive(instance, PROBE, head("once", PROBE));
        let is_applied =
            sim.run_until(|it| it.instances.iter().flatten().all(|it| it.version() == 2));
        assert!(is_applied, "{instance}");
        sim.run_for(ms(1));
        assert_eq!(sim.n_batches, 2, "{instance}: the items are not sent at once");
        sim.run_for(ms(4_000));
        assert_eq!(sim.outcome(PROBE).ending, Ending::Stream, "{instance}");
        assert!(sim.outcome(PROBE).took <= ms(1_500), "{instance}: {:?}", sim.outcome(PROBE));
    }
}
