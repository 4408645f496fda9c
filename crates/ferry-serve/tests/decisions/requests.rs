//! What a caller gets for each kind of request when its endpoint fails.

use ferry_serve::{CallEvent, Event, Framing, Status, StreamEnd};

use crate::simulation::{Behaviour, ENGINE, Ending, PLAIN, Simulation, head, ms};

struct Case {
    name: &'static str,
    route: &'static str,
    behaviour: Behaviour,
    ending: fn(&Ending) -> bool,
    /// Largest number of endpoints that may run it.
    runs: usize,
    /// Longest time until the answer, in milliseconds.
    within: u64,
}

fn is_refused(ending: &Ending, status: Status) -> bool {
    matches!(ending, Ending::Refused(it) if it.status == status)
}

#[test]
fn one_faulty_endpoint() {
    let cases = [
        Case {
            name: "a repeatable request goes to another endpoint after a reset",
            route: "get",
            behaviour: Behaviour::Reset,
            ending: |it| *it == Ending::Answer,
            runs: 2,
            within: 200,
        },
        Case {
            name: "a repeatable request leaves a silent endpoint",
            route: "get",
            behaviour: Behaviour::Silent,
            ending: |it| *it == Ending::Answer,
            runs: 2,
            within: 700,
        },
        Case {
            name: "a repeatable request is tried again after an error",
            route: "get",
            behaviour: Behaviour::Failing,
            ending: |it| *it == Ending::Answer,
            runs: 2,
            within: 200,
        },
        Case {
            name: "any request goes to another endpoint after a refusal",
            route: "post",
            behaviour: Behaviour::Full,
            ending: |it| *it == Ending::Answer,
            runs: 1,
            within: 200,
        },
        Case {
            name: "a request that may run once is in doubt after a reset",
            route: "post",
            behaviour: Behaviour::Reset,
            ending: |it| is_refused(it, Status::InDoubt),
            runs: 1,
            within: 100,
        },
        Case {
            name: "a request that may run once waits for a silent endpoint until its deadline",
            route: "post",
            behaviour: Behaviour::Silent,
            ending: |it| is_refused(it, Status::Expired),
            runs: 1,
            within: 4_050,
        },
        Case {
            name: "an error of a request that may run once is forwarded",
            route: "post",
            behaviour: Behaviour::Failing,
            ending: |it| *it == Ending::Error,
            runs: 1,
            within: 100,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(1);
        sim.set_behaviour("plain-0", case.behaviour);
        sim.set_behaviour("plain-1", case.behaviour);
        sim.arrive(0, "probe", head(case.route, "probe"));
        // The other endpoint is healthy, whichever was chosen first.
        let first = sim.runs.get("probe").map_or("plain-0".to_owned(), |it| it[0].clone());
        let full_first = sim.endpoints.get("plain-0").is_some_and(|it| 0 < it.n_calls);
        let other = match (case.behaviour, full_first) {
            (Behaviour::Full, true) => "plain-1",
            (Behaviour::Full, false) => "plain-0",
            _ if first == "plain-0" => "plain-1",
            _ => "plain-0",
        };
        sim.set_behaviour(other, Behaviour::Healthy);
        sim.run_for(ms(5_000));
        let outcome = sim.outcome("probe");
        assert!((case.ending)(&outcome.ending), "{}: {outcome:?}", case.name);
        assert!(outcome.took <= ms(case.within), "{}: {outcome:?}", case.name);
        let runs = sim.runs.get("probe").map_or(0, Vec::len);
        assert!(runs <= case.runs, "{}: ran {runs} times", case.name);
        assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn resumable_stream_continues_on_another_endpoint() {
    let mut sim = Simulation::new(1);
    sim.arrive(0, "probe", head("stream", "probe"));
    sim.run_for(ms(470));
    let first = sim.runs.get("probe").expect("it runs by now")[0].clone();
    sim.set_behaviour(&first, Behaviour::Reset);
    let call = 3; // Two batches precede it.
    let broken = ferry_serve::CallEvent::Broken { error: "reset".to_owned() };
    sim.deliver(0, Event::Call { call, event: broken });
    sim.run_for(ms(3_000));
    assert_eq!(sim.outcome("probe").ending, Ending::Stream);
    let runs = sim.runs.get("probe").expect("it ran");
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_ne!(runs[0], runs[1]);
}

#[test]
fn non_resumable_stream_is_aborted() {
    let mut sim = Simulation::new(1);
    sim.arrive(0, "probe", head("once", "probe"));
    sim.run_for(ms(470));
    assert_eq!(sim.runs.get("probe").map(Vec::len), Some(1));
    let broken = ferry_serve::CallEvent::Broken { error: "reset".to_owned() };
    sim.deliver(0, Event::Call { call: 3, event: broken });
    assert_eq!(sim.outcome("probe").ending, Ending::Aborted);
    sim.run_for(ms(3_000));
    assert_eq!(sim.runs.get("probe").map(Vec::len), Some(1));
}

#[test]
fn requests_to_pool_without_endpoints_are_refused_at_once() {
    let mut sim = Simulation::new(1);
    for id in ["plain-0", "plain-1"] {
        let id = id.to_owned();
        let update = ferry_serve::StoreUpdate::Removed { revision: 11, id };
        sim.deliver(0, Event::Store(update));
    }
    sim.arrive(0, "probe", head("get", "probe"));
    let outcome = sim.outcome("probe");
    assert!(is_refused(&outcome.ending, Status::NotRun), "{outcome:?}");
    assert_eq!(outcome.took, ms(0));
    let Ending::Refused(refusal) = &outcome.ending else { unreachable!("checked above") };
    let pause = refusal.retry_after.expect("a refusal says when to retry");
    // Callers honour up to a third of their time left.
    assert!(ms(0) < pause && pause <= ms(4_000) / 3, "{pause:?}");
}

#[test]
fn disconnected_caller_releases_its_work() {
    for (after, n_batches) in [(10, 1), (200, 2), (600, 2)] {
        let mut sim = Simulation::new(1);
        let ticket = sim.arrive(0, "probe", head("stream", "probe"));
        sim.run_for(ms(after));
        sim.deliver(0, Event::CallerGone { ticket });
        sim.run_for(ms(3_000));
        assert_eq!(sim.n_batches, n_batches, "disconnected after {after} ms");
        let gateway = sim.instances[0].as_ref().expect("the instance is running");
        assert_eq!(gateway.n_requests(), 0);
        let held = sim.n_batches * 4 - sim.n_freed;
        assert_eq!(held, 0, "disconnected after {after} ms: {held} results are kept");
    }
}

#[test]
fn keys_and_paths_are_checked() {
    struct KeyCase {
        key: Option<&'static str>,
        path: &'static str,
        status: Option<Status>,
    }
    let cases = [
        KeyCase { key: Some("key"), path: "/get/a", status: None },
        KeyCase { key: Some("other"), path: "/get/a", status: Some(Status::UnknownKey) },
        KeyCase { key: None, path: "/get/a", status: Some(Status::UnknownKey) },
        KeyCase { key: Some("key"), path: "/gets/a", status: Some(Status::NoRoute) },
        KeyCase { key: Some("key"), path: "/get", status: Some(Status::NoRoute) },
    ];
    for (number, case) in cases.iter().enumerate() {
        let mut sim = Simulation::new(1);
        let mut head = head("get", "probe");
        head.key = case.key.map(str::to_owned);
        head.path = case.path.to_owned();
        sim.arrive(0, "probe", head);
        sim.run_for(ms(500));
        let outcome = sim.outcome("probe");
        match case.status {
            Some(status) => assert!(is_refused(&outcome.ending, status), "{number}: {outcome:?}"),
            None => assert_eq!(outcome.ending, Ending::Answer, "{number}"),
        }
        let n_calls: usize =
            sim.endpoints.values().filter(|it| it.entry.pool == PLAIN).map(|it| it.n_calls).sum();
        assert_eq!(n_calls, usize::from(case.status.is_none()), "{number}");
    }
}

#[test]
fn engine_that_reads_a_long_prompt_is_not_silent() {
    struct Case {
        name: &'static str,
        /// Tokens of the prompt that other requests share.
        shared: u32,
        /// Slowness of the engines, of which the first event usually takes 120 ms.
        factor: u32,
        n_runs: usize,
    }
    let cases = [
        Case { name: "a long prompt", shared: 30_000, factor: 12, n_runs: 1 },
        Case { name: "a short prompt", shared: 500, factor: 20, n_runs: 2 },
        Case { name: "it begins before the other run", shared: 500, factor: 12, n_runs: 1 },
    ];
    for case in cases {
        let mut sim = Simulation::new(1);
        let ids: Vec<String> = sim.endpoints.keys().cloned().collect();
        for id in ids.iter().filter(|it| it.starts_with(ENGINE)) {
            sim.set_behaviour(id, Behaviour::Slow(case.factor));
        }
        let mut head = head("stream", "probe");
        head.time_left = Some(ms(4_000));
        head.prompt[0].tokens = case.shared;
        sim.arrive(0, "probe", head);
        sim.run_for(ms(4_000));
        assert_eq!(sim.runs.get("probe").map(Vec::len), Some(case.n_runs), "{}", case.name);
        assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn stream_that_was_broken_off_is_not_complete() {
    struct EndCase {
        route: &'static str,
        end: StreamEnd,
        ending: Ending,
        runs: usize,
    }
    let end = |framing, n_events, partial| StreamEnd { framing, n_events, partial };
    let (chunked, connection) = (Framing::Chunked, Framing::Connection);
    let cases = [
        EndCase { route: "once", end: end(chunked, 2, 0), ending: Ending::Stream, runs: 1 },
        EndCase { route: "once", end: end(connection, 2, 0), ending: Ending::Stream, runs: 1 },
        EndCase { route: "once", end: end(connection, 0, 0), ending: Ending::Aborted, runs: 1 },
        EndCase { route: "once", end: end(connection, 2, 9), ending: Ending::Aborted, runs: 1 },
        EndCase { route: "once", end: end(chunked, 2, 9), ending: Ending::Aborted, runs: 1 },
        EndCase { route: "stream", end: end(connection, 2, 9), ending: Ending::Stream, runs: 2 },
        EndCase { route: "stream", end: end(connection, 0, 0), ending: Ending::Stream, runs: 2 },
    ];
    for case in cases {
        let mut sim = Simulation::new(1);
        sim.arrive(0, "probe", head(case.route, "probe"));
        sim.run_for(ms(470));
        let call = 3; // Two batches precede it.
        sim.deliver(0, Event::Call { call, event: CallEvent::Ended(case.end) });
        sim.run_for(ms(3_000));
        assert_eq!(sim.outcome("probe").ending, case.ending, "{} {:?}", case.route, case.end);
        let runs = sim.runs.get("probe").map(Vec::len);
        assert_eq!(runs, Some(case.runs), "{} {:?}", case.route, case.end);
    }
}
