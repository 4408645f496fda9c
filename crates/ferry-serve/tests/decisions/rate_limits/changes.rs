//! Limits that rise, fall, are withdrawn, or end as their endpoint starts again.

use std::time::Duration;

use ferry_serve::{DecisionKind, Event, LimitReport, RequestRate, StoreUpdate};

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

#[test]
fn what_an_endpoint_says_of_its_limit_is_logged_and_only_rates_count() {
    struct Said {
        limit: LimitReport,
        line: Option<&'static str>,
        rate: Option<f64>,
    }
    let rate = |it: f64| LimitReport::Limited(RequestRate::new(it).expect("it is positive"));
    let invalid = || LimitReport::Invalid("0".to_owned());
    let ignored = "ignored \"0\", which is not a positive rate";
    let named = "takes 1.5 requests per second from now on, by its response";
    let changed = "takes 3 requests per second instead of 1.5, by its response";
    let withdrawn = "no longer limits its requests to 3 per second, by its response";
    let steps = [
        Said { limit: LimitReport::Unlimited, line: None, rate: None },
        Said { limit: invalid(), line: Some(ignored), rate: None },
        Said { limit: invalid(), line: None, rate: None },
        Said { limit: rate(1.5), line: Some(named), rate: Some(1.5) },
        Said { limit: rate(1.5), line: None, rate: Some(1.5) },
        Said { limit: invalid(), line: None, rate: Some(1.5) },
        Said { limit: rate(3.0), line: Some(changed), rate: Some(3.0) },
        Said { limit: LimitReport::Unlimited, line: Some(withdrawn), rate: None },
    ];
    let mut sim = Simulation::new(1);
    for Said { limit, line, rate } in steps {
        sim.decisions.clear();
        let endpoint = "plain-0".to_owned();
        sim.deliver(0, Event::Limit { endpoint, started: 1, limit: limit.clone() });
        let lines = sim.decisions.iter().filter(|it| it.kind == DecisionKind::Limit);
        let lines: Vec<&str> = lines.map(|it| it.reason.as_str()).collect();
        assert_eq!(lines, Vec::from_iter(line), "{limit:?}");
        let gateway = sim.instances[0].as_ref().expect("it runs");
        let view = gateway.context().endpoints.get("plain-0").expect("it is known");
        assert_eq!(view.rate_limit().map(RequestRate::per_second), rate, "{limit:?}");
    }
}

#[test]
fn endpoint_with_a_very_low_limit_is_not_forgotten() {
    for (n_instances, rate) in [(6, 0.05), (6, 0.2), (76, 0.05)] {
        let mut sim = Simulation::new(n_instances);
        let mut load = Load::new(&["get", "post"], 20);
        load.send(&mut sim, ms(2_000));
        sim.set_rate_limit("plain-0", Some(rate));
        load.send(&mut sim, LEARNING_TIME);
        let from = sim.now;
        load.send(&mut sim, ms(120_000));
        let share = used_share(&sim, "plain-0", rate, from, sim.now);
        println!("{rate} per second at {n_instances} instances: used {share:.2}");
        assert!((0.5..=1.2).contains(&share), "{rate} at {n_instances} instances: used {share:.2}");
    }
}
