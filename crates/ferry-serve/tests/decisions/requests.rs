//! What a caller gets for each kind of request when its endpoint fails.

use ferry_serve::{Event, Status};

use crate::world::{Ending, Mood, PLAIN, World, head, ms};

struct Case {
    name: &'static str,
    route: &'static str,
    mood: Mood,
    ending: fn(&Ending) -> bool,
    /// Most endpoints that may run it.
    runs: usize,
    /// Milliseconds.
    within: u64,
}

fn is_refused(ending: &Ending, status: Status) -> bool {
    matches!(ending, Ending::Refused(it) if it.status == status)
}

#[test]
fn one_bad_endpoint() {
    let cases = [
        Case {
            name: "a repeatable request goes to another endpoint after a reset",
            route: "get",
            mood: Mood::Broken,
            ending: |it| *it == Ending::Answer,
            runs: 2,
            within: 200,
        },
        Case {
            name: "a repeatable request leaves a silent endpoint",
            route: "get",
            mood: Mood::Mute,
            ending: |it| *it == Ending::Answer,
            runs: 2,
            within: 700,
        },
        Case {
            name: "a repeatable request is tried again after an error",
            route: "get",
            mood: Mood::Failing,
            ending: |it| *it == Ending::Answer,
            runs: 2,
            within: 200,
        },
        Case {
            name: "any request goes on after a refusal",
            route: "post",
            mood: Mood::Full,
            ending: |it| *it == Ending::Answer,
            runs: 1,
            within: 200,
        },
        Case {
            name: "a request that may run once is in doubt after a reset",
            route: "post",
            mood: Mood::Broken,
            ending: |it| is_refused(it, Status::InDoubt),
            runs: 1,
            within: 100,
        },
        Case {
            name: "a request that may run once waits for a silent endpoint until its time is over",
            route: "post",
            mood: Mood::Mute,
            ending: |it| is_refused(it, Status::Expired),
            runs: 1,
            within: 4_050,
        },
        Case {
            name: "an error of a request that may run once is passed on",
            route: "post",
            mood: Mood::Failing,
            ending: |it| *it == Ending::Error,
            runs: 1,
            within: 100,
        },
    ];
    for case in cases {
        let mut world = World::new(1);
        world.set_mood("plain-0", case.mood);
        world.set_mood("plain-1", case.mood);
        world.arrive(0, "probe", head(case.route, "probe"));
        // The other endpoint is sound, whichever was chosen first.
        let first = world.runs.get("probe").map_or("plain-0".to_owned(), |it| it[0].clone());
        let full_first = world.endpoints.get("plain-0").is_some_and(|it| 0 < it.n_calls);
        let other = match (case.mood, full_first) {
            (Mood::Full, true) => "plain-1",
            (Mood::Full, false) => "plain-0",
            _ if first == "plain-0" => "plain-1",
            _ => "plain-0",
        };
        world.set_mood(other, Mood::Sound);
        world.run_for(ms(5_000));
        let outcome = world.outcome("probe");
        assert!((case.ending)(&outcome.ending), "{}: {outcome:?}", case.name);
        assert!(outcome.took <= ms(case.within), "{}: {outcome:?}", case.name);
        let runs = world.runs.get("probe").map_or(0, Vec::len);
        assert!(runs <= case.runs, "{}: ran {runs} times", case.name);
        assert_eq!(world.wrongs, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn a_stream_that_may_resume_goes_on_elsewhere() {
    let mut world = World::new(1);
    world.arrive(0, "probe", head("stream", "probe"));
    world.run_for(ms(470));
    let first = world.runs.get("probe").expect("it runs by now")[0].clone();
    world.set_mood(&first, Mood::Broken);
    let call = 3; // Two batches come before it.
    let broken = ferry_serve::CallEvent::Broken { error: "reset".to_owned() };
    world.give(0, Event::Call { call, event: broken });
    world.run_for(ms(3_000));
    assert_eq!(world.outcome("probe").ending, Ending::Stream);
    let runs = world.runs.get("probe").expect("it ran");
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_ne!(runs[0], runs[1]);
}

#[test]
fn a_stream_that_may_not_resume_is_broken_off() {
    let mut world = World::new(1);
    world.arrive(0, "probe", head("once", "probe"));
    world.run_for(ms(470));
    assert_eq!(world.runs.get("probe").map(Vec::len), Some(1));
    let broken = ferry_serve::CallEvent::Broken { error: "reset".to_owned() };
    world.give(0, Event::Call { call: 3, event: broken });
    assert_eq!(world.outcome("probe").ending, Ending::Aborted);
    world.run_for(ms(3_000));
    assert_eq!(world.runs.get("probe").map(Vec::len), Some(1));
}

#[test]
fn a_pool_without_endpoints_is_refused_at_once() {
    let mut world = World::new(1);
    for id in ["plain-0", "plain-1"] {
        let id = id.to_owned();
        let news = ferry_serve::StoreUpdate::Removed { revision: 11, id };
        world.give(0, Event::Store(news));
    }
    world.arrive(0, "probe", head("get", "probe"));
    let outcome = world.outcome("probe");
    assert!(is_refused(&outcome.ending, Status::NotRun), "{outcome:?}");
    assert_eq!(outcome.took, ms(0));
    let Ending::Refused(refusal) = &outcome.ending else { unreachable!("checked above") };
    let pause = refusal.retry_after.expect("a refusal says when to come back");
    // Callers honour up to a third of the time that they have left.
    assert!(ms(0) < pause && pause <= ms(4_000) / 3, "{pause:?}");
}

#[test]
fn a_caller_that_leaves_stops_its_work() {
    for (after, n_batches) in [(10, 1), (200, 2), (600, 2)] {
        let mut world = World::new(1);
        let ticket = world.arrive(0, "probe", head("stream", "probe"));
        world.run_for(ms(after));
        world.give(0, Event::CallerGone { ticket });
        world.run_for(ms(3_000));
        assert_eq!(world.n_batches, n_batches, "left after {after} ms");
        let gateway = world.instances[0].as_ref().expect("it lives");
        assert_eq!(gateway.n_requests(), 0);
        let held = world.n_batches * 4 - world.n_freed;
        assert_eq!(held, 0, "left after {after} ms: {held} results are kept");
    }
}

#[test]
fn callers_are_told_from_strangers() {
    struct Stranger {
        key: Option<&'static str>,
        path: &'static str,
        status: Option<Status>,
    }
    let cases = [
        Stranger { key: Some("key"), path: "/get/a", status: None },
        Stranger { key: Some("other"), path: "/get/a", status: Some(Status::UnknownKey) },
        Stranger { key: None, path: "/get/a", status: Some(Status::UnknownKey) },
        Stranger { key: Some("key"), path: "/gets/a", status: Some(Status::NoRoute) },
        Stranger { key: Some("key"), path: "/get", status: Some(Status::NoRoute) },
    ];
    for (number, case) in cases.iter().enumerate() {
        let mut world = World::new(1);
        let mut head = head("get", "probe");
        head.key = case.key.map(str::to_owned);
        head.path = case.path.to_owned();
        world.arrive(0, "probe", head);
        world.run_for(ms(500));
        let outcome = world.outcome("probe");
        match case.status {
            Some(status) => assert!(is_refused(&outcome.ending, status), "{number}: {outcome:?}"),
            None => assert_eq!(outcome.ending, Ending::Answer, "{number}"),
        }
        let n_calls: usize =
            world.endpoints.values().filter(|it| it.entry.pool == PLAIN).map(|it| it.n_calls).sum();
        assert_eq!(n_calls, usize::from(case.status.is_none()), "{number}");
    }
}
