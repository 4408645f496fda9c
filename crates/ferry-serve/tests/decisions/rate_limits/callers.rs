//! What callers get while the endpoints of their pool limit their requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{GatewayConfig, KeyOwner, PoolKind, Route};
use ferry_serve::{Event, Status};

use super::load::{LEARNING_TIME, Load};
use crate::simulation::{Ending, PLAIN, Simulation, ms};

const PLAINS: [&str; 2] = ["plain-0", "plain-1"];
const ENGINES: [&str; 3] = ["engine-0", "engine-1", "engine-2"];

fn limit(sim: &mut Simulation, ids: &[&str], per_second: f64) {
    ids.iter().for_each(|it| sim.set_rate_limit(it, Some(per_second)));
}

struct Case {
    name: &'static str,
    n_instances: usize,
    endpoints: &'static [&'static str],
    per_second: f64,
    routes: &'static [&'static str],
    load: u64,
}

#[test]
fn requests_above_the_limits_of_a_pool_are_refused_at_once_with_a_time_to_come_back() {
    let cases = [
        Case {
            name: "plain requests at 6 instances",
            n_instances: 6,
            endpoints: &PLAINS,
            per_second: 2.0,
            routes: &["get", "post"],
            load: 20,
        },
        Case {
            name: "streams at 6 instances",
            n_instances: 6,
            endpoints: &ENGINES,
            per_second: 1.2,
            routes: &["stream", "once"],
            load: 20,
        },
        Case {
            name: "streams at 76 instances",
            n_instances: 76,
            endpoints: &ENGINES,
            per_second: 1.2,
            routes: &["stream", "once"],
            load: 40,
        },
        Case {
            name: "plain requests at 300 instances",
            n_instances: 300,
            endpoints: &PLAINS,
            per_second: 5.0,
            routes: &["get", "post"],
            load: 100,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(case.n_instances);
        let mut load = Load::new(case.routes, case.load);
        load.send(&mut sim, ms(2_000));
        limit(&mut sim, case.endpoints, case.per_second);
        load.send(&mut sim, LEARNING_TIME);
        let attempts = load.send(&mut sim, ms(8_000));
        sim.run_for(ms(5_000));
        let rate = case.per_second * case.endpoints.len() as f64;
        let (mut n_served, mut n_late, mut waits) = (0, 0, Vec::new());
        for attempt in &attempts {
            let outcome = sim.outcome(attempt);
            match &outcome.ending {
                Ending::Answer | Ending::Stream => n_served += 1,
                Ending::Refused(refusal) => {
                    assert_eq!(refusal.status, Status::NotRun, "{}: {attempt}", case.name);
                    let wait = refusal.retry_after.expect("it may come back");
                    waits.push(wait);
                    n_late += usize::from(ms(200) < outcome.took);
                }
                other => panic!("{}: {attempt} ended as {other:?}", case.name),
            }
        }
        let n_refused = waits.len();
        let share = f64::from(n_served) / (rate * 8.0);
        let mean = waits.iter().sum::<Duration>() / n_refused.max(1) as u32;
        println!(
            "{}: served {share:.2} of the limits, {n_late} of {n_refused} refused late, \
             to come back after {mean:?}",
            case.name
        );
        assert!(0.8 <= share, "{}: served {share:.2} of the limits", case.name);
        assert!(n_late * 10 <= n_refused, "{}: {n_late} of {n_refused} late", case.name);
        // The next permit of the pool is free after one interval, and none waits for longer than
        // callers do.
        let least = Duration::from_secs_f64(0.5 / rate).min(ms(400));
        assert!(waits.iter().all(|it| least <= *it && *it <= ms(10_000)), "{}", case.name);
        assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn no_kind_or_workspace_starves_behind_a_limit() {
    let mut sim = Simulation::new(6);
    let mut config = GatewayConfig { version: 2, ..(*sim.config).clone() };
    let owner = |it: &str| KeyOwner { workspace: it.to_owned(), priority: None };
    let keys = (0..4).map(|it| (format!("key-{it}"), owner(&format!("workspace-{it}"))));
    config.keys = Some(keys.collect());
    let patient = |it: &Route| Route { objective: ms(3_000), ..it.clone() };
    let hasty = |it: &Route| Route { objective: ms(300), time_limit: ms(1_500), ..it.clone() };
    let routes = config.routes.iter();
    let routes = routes.map(|it| if it.name == "get" { hasty(it) } else { patient(it) });
    config.routes = routes.collect();
    assert!(matches!(config.pools.get(PLAIN).map(|it| &it.kind), Some(PoolKind::Plain)));
    let config = Arc::new(config);
    (0..6).for_each(|it| sim.deliver(it, Event::Config(config.clone())));
    let mut load = Load::new(&["get", "post"], 60).with_keys(4);
    load.send(&mut sim, ms(2_000));
    limit(&mut sim, &PLAINS, 5.0);
    load.send(&mut sim, LEARNING_TIME);
    let attempts = load.send(&mut sim, ms(20_000));
    sim.run_for(ms(5_000));
    let mut served: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for attempt in &attempts {
        let (route, number) = attempt.split_once('-').expect("it names its route");
        let number: u64 = number.parse().expect("it is numbered");
        let workspace = format!("workspace-{}", Load::key_of(number, 4));
        let is_served = sim.outcome(attempt).ending == Ending::Answer;
        for name in [route.to_owned(), workspace] {
            let (n_served, n_sent) = served.entry(name).or_default();
            *n_served += u32::from(is_served);
            *n_sent += 1;
        }
    }
    let share = |it: &(u32, u32)| f64::from(it.0) / f64::from(it.1);
    let all = share(&served.values().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1)));
    for (name, counts) in &served {
        println!("{name}: {:.3} served of {:.3} of all", share(counts), all);
        assert!(all / 4.0 <= share(counts), "{name}: {counts:?}, all {all:.3}");
    }
}

#[test]
fn endpoint_with_a_limit_is_used_beside_others_that_have_none() {
    let mut sim = Simulation::new(6);
    let mut load = Load::new(&["get", "post"], 100);
    load.send(&mut sim, ms(2_000));
    limit(&mut sim, &["plain-0"], 5.0);
    load.send(&mut sim, LEARNING_TIME);
    let from = sim.now;
    let attempts = load.send(&mut sim, ms(8_000));
    let share = super::load::used_share(&sim, "plain-0", 5.0, from, sim.now);
    sim.run_for(ms(5_000));
    let is_served = |it: &&String| sim.outcome(it).ending == Ending::Answer;
    let n_served = attempts.iter().filter(is_served).count();
    println!("used {share:.2} of the limit, {n_served} of {} served", attempts.len());
    assert!(0.5 <= share, "used {share:.2}");
    assert_eq!(n_served, attempts.len());
}
