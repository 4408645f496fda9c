//! What operators are told of where a request would go.

use ferry_serve::{
    Arrival, Event, Explanation, LeavingReport, LimitReport, PauseReport, RequestRate, Standing,
    StoreUpdate, Tuning,
};

use crate::rate_limits::load::Load;
use crate::simulation::{Simulation, head, ms};

fn explain(sim: &Simulation, instance: usize, route: &str) -> Explanation {
    let gateway = sim.instances[instance].as_ref().expect("it is running");
    let arrival = Arrival { ticket: u64::MAX, digest: 1, head: head(route, "asked") };
    gateway.explain(sim.now, arrival)
}

fn simulation(n_instances: usize) -> Simulation {
    Simulation::with_tuning(n_instances, Tuning { has_evacuations: true, ..Tuning::default() })
}

#[test]
fn request_goes_where_it_was_said_to_go() {
    for number in 0..40 {
        let mut sim = simulation(1);
        Load::new(&["get", "post"], 60).send(&mut sim, ms(500 + 13 * number));
        let told = explain(&sim, 0, "get");
        assert_eq!(told.refusal, None);
        sim.arrive(0, "asked", head("get", "asked"));
        let runs = sim.run_until(|it| it.runs.get("asked").is_some());
        assert!(runs, "it never ran");
        let endpoint = told.steps.iter().rev().find_map(|it| it.endpoint.clone());
        assert_eq!(sim.runs.get("asked"), Some(&endpoint.into_iter().collect()), "{told:?}");
    }
}

#[test]
fn question_changes_nothing() {
    let play = |is_asked: bool| {
        let mut sim = simulation(2);
        let mut load = Load::new(&["get", "post", "stream"], 60);
        for _ in 0..20 {
            load.send(&mut sim, ms(100));
            if is_asked {
                for route in ["get", "post", "stream"] {
                    explain(&sim, 0, route);
                }
            }
        }
        sim.run_for(ms(5_000));
        (sim.runs, sim.outcomes)
    };
    let (asked, unasked) = (play(true), play(false));
    assert_eq!(asked.0, unasked.0);
    assert_eq!(asked.1, unasked.1);
}

#[test]
fn endpoints_that_get_nothing_are_named_with_the_reason() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Simulation),
        expected: Standing,
        is_refused: bool,
    }
    const ID: &str = "plain-0";
    let cases = [
        Case { name: "open", prepare: |_| (), expected: Standing::Open, is_refused: false },
        Case {
            name: "leaving",
            prepare: |sim| {
                let report = LeavingReport::Leaving;
                sim.deliver(0, Event::Leaving { endpoint: ID.to_owned(), started: 1, report });
            },
            expected: Standing::Leaving,
            is_refused: false,
        },
        Case {
            name: "paused",
            prepare: |sim| {
                for id in [ID, "plain-1"] {
                    let report = PauseReport::Asked(ms(9_000));
                    sim.deliver(0, Event::Pause { endpoint: id.to_owned(), started: 1, report });
                }
            },
            expected: Standing::Paused,
            is_refused: true,
        },
        Case {
            name: "evacuated",
            prepare: |sim| {
                for (revision, zone) in [(20, "zone-0"), (21, "zone-1")] {
                    let zone = zone.to_owned();
                    sim.deliver(0, Event::Store(StoreUpdate::Evacuated { revision, zone }));
                }
            },
            expected: Standing::Evacuated,
            is_refused: true,
        },
        Case {
            name: "limited",
            prepare: |sim| {
                let limit = LimitReport::Limited(RequestRate::new(2.0).expect("it is positive"));
                sim.deliver(0, Event::Limit { endpoint: ID.to_owned(), started: 1, limit });
            },
            expected: Standing::Limited,
            is_refused: false,
        },
    ];
    for Case { name, prepare, expected, is_refused } in cases {
        let mut sim = simulation(1);
        prepare(&mut sim);
        let told = explain(&sim, 0, "get");
        let pool = told.pools.iter().find(|it| it.pool == "plain").expect("its pool is named");
        let endpoint = pool.endpoints.iter().find(|it| it.endpoint == ID).expect("it is listed");
        assert_eq!(endpoint.standing, expected, "{name}");
        assert_eq!(told.refusal.is_some(), is_refused, "{name}");
        if let Some(refusal) = told.refusal {
            assert!(refusal.retry_after.is_some(), "{name}: its caller is not told when to return");
        }
    }
}

#[test]
fn scheduler_names_the_cost_at_each_engine() {
    let mut sim = simulation(1);
    Load::new(&["stream"], 20).send(&mut sim, ms(1_000));
    let told = explain(&sim, 0, "stream");
    let names: Vec<&str> = told.pools.iter().map(|it| it.pool.as_str()).collect();
    assert_eq!(names, ["first", "second", "engine"]);
    let engines = &told.pools[2].endpoints;
    assert_eq!(engines.len(), 3);
    for engine in engines {
        let cost = engine.cost.as_ref().expect("the scheduler is here");
        assert!(cost.wait + cost.read <= cost.total, "{cost:?}");
    }
    // Elsewhere it is not known.
    let sim = simulation(6);
    let n_known = (0..6)
        .filter(|it| {
            explain(&sim, *it, "stream").pools[2].endpoints.iter().any(|it| it.cost.is_some())
        })
        .count();
    assert_eq!(n_known, 1);
}
