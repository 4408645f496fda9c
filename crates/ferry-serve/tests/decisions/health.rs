//! Endpoints that fail and return, and false reports of peers about healthy ones.

use ferry_serve::{Event, Heartbeat, Observation, PeerMessage};

use crate::simulation::{
    Behaviour, Ending, FIRST, PLAIN, Simulation, front, head, ms, peer, relay,
};

struct Flap {
    name: &'static str,
    endpoint: String,
    behaviour: Behaviour,
    route: &'static str,
    /// Fraction of the requests that must be served.
    share: f64,
}

#[test]
fn flapping_endpoint_costs_few_requests() {
    let flap = |name, pool: &str, behaviour, route, share| {
        let endpoint = format!("{pool}-0");
        Flap { name, endpoint, behaviour, route, share }
    };
    let cases = [
        flap("plain, resets", PLAIN, Behaviour::Reset, "get", 0.99),
        flap("plain, silent", PLAIN, Behaviour::Silent, "get", 0.99),
        flap("plain, errors", PLAIN, Behaviour::Failing, "get", 0.99),
        flap("plain, full, once", PLAIN, Behaviour::Full, "post", 0.99),
        flap("plain, resets, once", PLAIN, Behaviour::Reset, "post", 0.9),
        flap("stage, resets", FIRST, Behaviour::Reset, "once", 0.99),
        flap("stage, silent", FIRST, Behaviour::Silent, "once", 0.95),
        flap("stage, slow", FIRST, Behaviour::Slow(6), "once", 0.99),
    ];
    for case in cases {
        let mut sim = Simulation::new(3);
        let mut attempts = Vec::new();
        for number in 0..160 {
            let is_down = (number / 10) % 2 == 0;
            sim.set_behaviour(
                &case.endpoint,
                if is_down { case.behaviour } else { Behaviour::Healthy },
            );
            let attempt = format!("flap-{number}");
            sim.arrive(number % 3, &attempt, head(case.route, &attempt));
            attempts.push(attempt);
            sim.run_for(ms(50));
        }
        sim.run_for(ms(6_000));
        let is_served =
            |it: &&String| matches!(sim.outcome(it).ending, Ending::Answer | Ending::Stream);
        let share = attempts.iter().filter(is_served).count() as f64 / attempts.len() as f64;
        assert!(case.share <= share, "{}: {share} were served", case.name);
        assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
    }
}

/// A heartbeat that reports every plain endpoint as not answering.
fn false_report(incarnation: u64) -> PeerMessage {
    let report_failure = |number: usize| Observation {
        endpoint: format!("{PLAIN}-{number}"),
        load: None,
        ratio: None,
    };
    PeerMessage::Heartbeat(Box::new(Heartbeat {
        instance: "instance-1".to_owned(),
        incarnation,
        zone: "zone-1".to_owned(),
        front: front(1),
        is_ready: true,
        is_leaving: false,
        is_overloaded: false,
        relay: relay(1),
        reached: Vec::new(),
        doubted: Vec::new(),
        unreached: Vec::new(),
        weight: 0.25,
        version: 1,
        last_change: 10,
        backlog: Vec::new(),
        observations: vec![report_failure(0), report_failure(1)],
        quarantine: 0,
    }))
}

#[test]
fn healthy_endpoints_keep_serving_despite_false_reports() {
    let mut sim = Simulation::new(2);
    for number in 0..60 {
        sim.deliver(0, Event::Peer { from: peer(1), message: false_report(1) });
        let attempt = format!("accused-{number}");
        sim.arrive(0, &attempt, head("get", &attempt));
        sim.run_for(ms(100));
    }
    for number in 0..60 {
        assert_eq!(sim.outcome(&format!("accused-{number}")).ending, Ending::Answer);
    }
    // The pause ends soon after the last false report.
    sim.run_for(ms(500));
    let gateway = sim.instances[0].as_ref().expect("the instance is running");
    for view in gateway.context().endpoints.pool(PLAIN) {
        assert!(view.is_usable(sim.now), "{} is still paused", view.endpoint.id);
    }
}
