//! A shutdown cuts no request and ends in time.

use ferry_serve::{Event, Refusal, RelayedCall, Status};

use crate::simulation::{Behaviour, ENGINE, Ending, PLAIN, Simulation, front, head, ms};

#[test]
fn shutdown_exits_after_the_last_request() {
    let mut sim = Simulation::new(3);
    sim.arrive(0, "early", head("once", "early"));
    sim.deliver(0, Event::Shutdown);
    sim.run_for(ms(500));
    sim.arrive(0, "late", head("get", "late"));
    sim.run_for(ms(2_000));
    assert_eq!(sim.outcome("early").ending, Ending::Stream);
    assert_eq!(sim.outcome("late").ending, Ending::Answer);
    assert!(sim.exited.is_empty(), "exited while callers may still arrive");
    sim.run_for(ms(2_000));
    assert_eq!(sim.exited, vec![0]);
}

#[test]
fn listener_closes_before_requests_could_be_cut() {
    // The platform counts requests as cut that were sent later than this after the shutdown
    // request.
    let latest = ms(3_000);
    for timer_lag in [0, 100] {
        let mut sim = Simulation::new(3);
        sim.timer_lag[0] = ms(timer_lag);
        let requested_at = sim.now;
        sim.deliver(0, Event::Shutdown);
        sim.run_for(ms(4_000));
        assert_eq!(sim.closed.len(), 1);
        let after = sim.closed[0].1 - requested_at;
        assert!(ms(1_500) < after, "callers with known addresses are served for {after:?} only");
        assert!(after < latest, "timers {timer_lag} ms late: requests are accepted for {after:?}");
    }
}

#[test]
fn directory_omits_leaving_instance() {
    let mut sim = Simulation::new(3);
    sim.deliver(0, Event::Shutdown);
    sim.run_for(ms(10));
    for instance in [0, 1, 2] {
        let gateway = sim.instances[instance].as_ref().expect("the instance is running");
        let addresses = gateway.directory(sim.now, Some("zone-0"));
        assert!(!addresses.contains(&front(0)), "instance {instance} lists it");
        assert!(!addresses.is_empty());
    }
}

#[test]
fn leaving_batcher_finishes_its_jobs() {
    for leaving in 0..3 {
        let mut sim = Simulation::new(3);
        for number in 0..9 {
            let attempt = format!("probe-{number}");
            sim.arrive(number % 3, &attempt, head("once", &attempt));
        }
        sim.run_for(ms(50));
        sim.deliver(leaving, Event::Shutdown);
        sim.run_for(ms(4_000));
        for number in 0..9 {
            let outcome = sim.outcome(&format!("probe-{number}"));
            assert_eq!(outcome.ending, Ending::Stream, "instance {leaving} leaves, probe {number}");
        }
        let n_items: usize = sim.endpoints.values().map(|it| it.n_items).sum();
        assert_eq!(n_items, 9 * 8, "instance {leaving} leaves: work was repeated");
    }
}

/// Runs until the first instance has decided to exit.
fn run_until_exit(sim: &mut Simulation) {
    for _ in 0..1_000 {
        if sim.exited == [0] {
            return;
        }
        sim.run_for(ms(10));
    }
    panic!("it does not exit");
}

/// Guards against requests that are sent to an endpoint by an instance which no longer waits for them.
#[test]
fn request_after_the_decision_to_exit_is_refused_and_never_runs() {
    struct Case {
        route: &'static str,
        /// Whether a peer passes it on.
        is_relayed: bool,
        /// Time since the decision.
        after: u64,
    }
    let mut failures = Vec::new();
    for route in ["get", "post", "stream", "once"] {
        for (is_relayed, after) in [(false, 0), (false, 90), (true, 0), (true, 90)] {
            let case = Case { route, is_relayed, after };
            let name = format!("{route}, passed on {is_relayed}, after {after} ms");
            let mut sim = Simulation::new(3);
            sim.deliver(0, Event::Shutdown);
            run_until_exit(&mut sim);
            sim.run_for(ms(case.after));
            let mut head = head(case.route, "late");
            head.relayed = case.is_relayed.then(|| RelayedCall { n_tries: 2, notices: Vec::new() });
            sim.arrive(0, "late", head);
            sim.run_for(ms(1_000));
            let ending = sim.outcomes.get("late").map(|it| it.ending.clone());
            let is_refused = matches!(&ending, Some(Ending::Refused(it))
                if it.status == Status::NotRun && it.retry_after.is_some());
            let runs = sim.runs.get("late");
            let n_items: usize = sim.endpoints.values().map(|it| it.n_items).sum();
            if !is_refused || runs.is_some() || n_items != 0 {
                failures.push(format!("{name}: {ending:?}, run by {runs:?}, {n_items} items"));
            }
        }
    }
    assert!(failures.is_empty(), "{} failures: {failures:#?}", failures.len());
}

/// Guards against the refusal of a request whose body a caller has begun to send before the exit.
#[test]
fn shutdown_waits_for_bodies_on_the_way_within_the_grace_time() {
    for (received_at, exits) in [(5_000, ms(5_000)..ms(5_300)), (20_000, ms(7_500)..ms(8_000))] {
        let mut sim = Simulation::new(3);
        let requested_at = sim.now;
        sim.deliver(0, Event::Receiving { n_requests: 1 });
        sim.deliver(0, Event::Shutdown);
        while sim.exited.is_empty() {
            sim.run_for(ms(10));
            if sim.now == requested_at + ms(received_at) {
                sim.arrive(0, "late", head("get", "late"));
                sim.deliver(0, Event::Receiving { n_requests: 0 });
            }
        }
        let after = sim.now - requested_at;
        assert!(exits.contains(&after), "received at {received_at}: it exits after {after:?}");
        let ending = sim.outcomes.get("late").map(|it| &it.ending);
        let expected = (received_at < 8_000).then_some(&Ending::Answer);
        assert_eq!(ending, expected, "received at {received_at}");
    }
}

/// Guards against the kill of a process that closes its connections after its grace time.
#[test]
fn short_grace_time_is_enough_to_finish_requests() {
    for grace in [500, 1_000, 2_000, 3_000, 8_000] {
        let mut sim = Simulation::new(3);
        sim.tuning.shutdown_grace = ms(grace);
        sim.deliver(0, Event::Retune(Box::new(sim.tuning.clone())));
        let requested_at = sim.now;
        sim.deliver(0, Event::Shutdown);
        run_until_exit(&mut sim);
        let (closed, exited) = (sim.closed[0].1 - requested_at, sim.now - requested_at);
        assert!(closed < ms(grace) / 2, "grace {grace} ms: callers are accepted for {closed:?}");
        assert!(exited < ms(grace), "grace {grace} ms: it exits after {exited:?}");
    }
}

#[test]
fn request_in_progress_at_the_end_of_the_grace_time_gets_an_answer() {
    struct Case {
        route: &'static str,
        /// Whether the first endpoint answers with an error, before another one runs the request.
        has_error: bool,
        ending: Ending,
    }
    let expired = || {
        let reason = "the instance stops";
        Ending::Refused(Refusal { status: Status::Expired, retry_after: None, reason })
    };
    let cases = [
        Case { route: "get", has_error: false, ending: expired() },
        Case { route: "get", has_error: true, ending: Ending::Error },
        Case { route: "stream", has_error: false, ending: expired() },
        Case { route: "stream", has_error: true, ending: Ending::Error },
        Case { route: "once", has_error: false, ending: expired() },
    ];
    let mut failures = Vec::new();
    for case in cases {
        let name = format!("{}, error {}", case.route, case.has_error);
        let mut sim = Simulation::with_time_limit(1, ms(15_000));
        let mut head = head(case.route, "probe");
        head.time_left = Some(ms(15_000));
        let ids: Vec<_> = sim.endpoints.keys().cloned().collect();
        let ids = ids.iter().filter(|it| it.starts_with(ENGINE) || it.starts_with(PLAIN));
        let first = if case.has_error { Behaviour::Failing } else { Behaviour::Silent };
        ids.clone().for_each(|it| sim.set_behaviour(it, first));
        sim.deliver(0, Event::Shutdown);
        sim.arrive(0, "probe", head);
        assert!(sim.run_until(|it| it.runs.get("probe").is_some()), "{name}");
        ids.for_each(|it| sim.set_behaviour(it, Behaviour::Silent));
        sim.run_for(ms(9_000));
        assert_eq!(sim.exited, vec![0], "{name}");
        let ending = sim.outcomes.get("probe").map(|it| &it.ending);
        if ending != Some(&case.ending) || sim.n_open_calls() != 0 {
            failures.push(format!("{name}: {ending:?}, {} calls", sim.n_open_calls()));
        }
        failures.extend(sim.violations.clone());
    }
    assert!(failures.is_empty(), "{} failures: {failures:#?}", failures.len());
}
