//! Limits that rise, fall, are withdrawn, or end as their endpoint starts again.

use std::time::Duration;

use ferry_serve::{Event, StoreUpdate};

use super::load::{LEARNING_TIME, Load, allowed, most_in_window, used_share};
use crate::simulation::{Simulation, ms};

struct Case {
    name: &'static str,
    before: f64,
    /// None if the endpoint withdraws its limit.
    after: Option<f64>,
    /// Least and most requests per second after the change.
    expected: (f64, f64),
}

const SPAN: Duration = ms(8_000);

#[test]
fn new_limit_holds_soon_and_is_used() {
    let cases = [
        Case { name: "rises", before: 1.2, after: Some(6.0), expected: (4.8, 6.6) },
        Case { name: "falls", before: 12.0, after: Some(1.2), expected: (0.9, 1.6) },
        Case { name: "is withdrawn", before: 1.2, after: None, expected: (15.0, 60.0) },
        Case { name: "is very low", before: 2.0, after: Some(0.05), expected: (0.0, 0.3) },
        Case { name: "is very high", before: 1.2, after: Some(1e12), expected: (15.0, 60.0) },
    ];
    for case in cases {
        for (n_instances, routes) in [(6, &["get", "post"]), (76, &["stream", "once"])] {
            let mut sim = Simulation::new(n_instances);
            let id = if routes[0] == "get" { "plain-0" } else { "engine-0" };
            let mut load = Load::new(routes, 60);
            load.send(&mut sim, ms(2_000));
            sim.set_rate_limit(id, Some(case.before));
            load.send(&mut sim, LEARNING_TIME + ms(4_000));
            sim.set_rate_limit(id, case.after);
            load.send(&mut sim, LEARNING_TIME);
            let from = sim.now;
            load.send(&mut sim, SPAN);
            let rate = used_share(&sim, id, 1.0, from, sim.now);
            println!("{:16} {n_instances:3} instances: {rate:.2} per second", case.name);
            let (least, most) = case.expected;
            assert!(least <= rate && rate <= most, "{} {id}: {rate} per second", case.name);
            if let Some(limit) = case.after {
                let most = most_in_window(&sim, id, from, |_| true);
                assert!(most <= allowed(limit), "{} {id}: {most}", case.name);
            }
            assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
        }
    }
}

#[test]
fn limit_ends_with_the_start_of_its_endpoint_under_the_same_id() {
    let mut sim = Simulation::new(6);
    let mut load = Load::new(&["get", "post"], 60);
    sim.set_rate_limit("plain-0", Some(1.2));
    load.send(&mut sim, LEARNING_TIME);
    sim.set_rate_limit("plain-0", None);
    sim.set_build("plain-0", "v2");
    let endpoint = sim.endpoints.get("plain-0").expect("the endpoint exists").entry.clone();
    for instance in 0..6 {
        let update = StoreUpdate::Changed { revision: 50, endpoint: endpoint.clone() };
        sim.deliver(instance, Event::Store(update));
    }
    let from = sim.now;
    load.send(&mut sim, ms(2_000));
    let rate = used_share(&sim, "plain-0", 1.0, from, sim.now);
    assert!(15.0 <= rate, "{rate} per second");
}
