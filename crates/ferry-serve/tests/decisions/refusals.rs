//! What a caller is told of a request for which its endpoint answers with the status of a refusal.

use ferry_serve::{AnswerKind, CallEvent, DecisionKind, Event, NotRunReason, Status};

use crate::simulation::{
    Behaviour, Cut, CutForm, ENGINE, Ending, Endpoint, PLAIN, Simulation, head, ms,
};

/// Statuses by which callers take a request as not run. The fourth, 421, needs no confirmation.
const STATUSES: [u16; 3] = [408, 429, 503];
const ROUTES: [&str; 4] = ["get", "post", "stream", "once"];

/// How the answer arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Direct,
    /// This instance is cut off, and a peer runs the request.
    PassedOn,
    /// The same, and the peer is of a release that forwards any status.
    FormerPeer,
    /// The request was sent before, and that call broke off.
    AfterBreak,
    /// The endpoint was silent at first.
    AfterSilence,
}

fn is_repeatable(route: &str) -> bool {
    matches!(route, "get" | "stream")
}

fn is_refused(ending: &Ending, status: Status) -> bool {
    matches!(ending, Ending::Refused(it) if it.status == status && it.retry_after.is_none())
}

/// Returns a simulation in which all endpoints that run requests answer so.
fn simulation(behaviour: Behaviour) -> Simulation {
    let mut sim = Simulation::new(2);
    sim.run_for(ms(3_000));
    set_behaviour(&mut sim, behaviour);
    sim
}

fn set_behaviour(sim: &mut Simulation, behaviour: Behaviour) {
    let run_requests = |it: &&mut Endpoint| [PLAIN, ENGINE].contains(&it.entry.pool.as_str());
    sim.endpoints.values_mut().filter(run_requests).for_each(|it| it.behaviour = behaviour);
}

/// Cuts the first instance off from all endpoints, and lets it notice that.
fn cut(sim: &mut Simulation) {
    sim.cut(Cut { instance: 0, form: CutForm::Reset, endpoints: "" });
    for number in 0..20 {
        for route in ["get", "stream"] {
            let attempt = format!("early-{route}-{number}");
            sim.arrive(0, &attempt, head(route, &attempt));
        }
        sim.run_for(ms(100));
    }
    sim.run_for(ms(4_000));
}

/// Plays one request, and returns how it ends.
fn play(route: &str, status: u16, way: Way) -> Simulation {
    let behaviour = match way {
        Way::Direct | Way::PassedOn => Behaviour::RefusesAfterRun(status),
        Way::FormerPeer | Way::AfterSilence => Behaviour::Silent,
        Way::AfterBreak => Behaviour::Reset,
    };
    let mut sim = simulation(behaviour);
    if matches!(way, Way::PassedOn | Way::FormerPeer) {
        cut(&mut sim);
    }
    let n_passed_on = sim.n_passed_on;
    sim.arrive(0, "probe", head(route, "probe"));
    match way {
        Way::Direct | Way::PassedOn => (),
        Way::FormerPeer | Way::AfterSilence => {
            assert!(sim.run_until(|it| it.runs.contains_key("probe")), "{route}, {way:?}");
            let call = sim.call_at(0, "probe").expect("it is called");
            let kind = AnswerKind::UnconfirmedRefusal { status };
            sim.answer(0, call, kind);
        }
        Way::AfterBreak => {
            sim.run_until(|it| it.runs.contains_key("probe"));
            set_behaviour(&mut sim, Behaviour::RefusesAfterRun(status));
        }
    }
    sim.run_for(ms(6_000));
    let is_passed_on = matches!(way, Way::PassedOn | Way::FormerPeer);
    assert_eq!(n_passed_on < sim.n_passed_on, is_passed_on, "{route}, {way:?}");
    sim
}

/// Guards against a promise to callers that a request has not run, made from the status of an endpoint
/// that has run it.
#[test]
fn request_that_may_have_run_is_not_refused_as_not_run() {
    let ways = [Way::Direct, Way::PassedOn, Way::FormerPeer, Way::AfterBreak, Way::AfterSilence];
    let mut failed = Vec::new();
    for route in ROUTES {
        for status in STATUSES {
            for way in ways {
                let sim = play(route, status, way);
                let ending = &sim.outcome("probe").ending;
                let is_right = match is_repeatable(route) {
                    true => !is_refused(ending, Status::NotRun),
                    false => is_refused(ending, Status::InDoubt),
                };
                if !is_right || !sim.violations.is_empty() {
                    let violations = &sim.violations;
                    failed.push(format!("{route}, {status}, {way:?}: {ending:?}, {violations:?}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against other answers to callers of requests that may be repeated.
#[test]
fn status_of_a_request_that_may_be_repeated_is_forwarded() {
    for status in STATUSES {
        let sim = play("get", status, Way::Direct);
        assert_eq!(sim.outcome("probe").ending, Ending::Error, "{status}");
    }
}

/// Guards against a refusal that promises more than is known, where only the last endpoint confirms that
/// it has not run the request.
#[test]
fn confirmed_refusal_speaks_for_its_endpoint_only() {
    let reasons = [NotRunReason::Full, NotRunReason::Moved, NotRunReason::Malformed];
    for route in ROUTES {
        for reason in reasons {
            for has_run in [false, true] {
                let first = if has_run { Behaviour::Reset } else { Behaviour::Silent };
                let mut sim = simulation(first);
                sim.arrive(0, "probe", head(route, "probe"));
                assert!(sim.run_until(|it| it.runs.contains_key("probe")));
                set_behaviour(&mut sim, Behaviour::Full);
                if !has_run {
                    let call = sim.call_at(0, "probe").expect("it is called");
                    let event = CallEvent::NotRun { reason, load: None };
                    // The endpoint says that it has not run what reached it.
                    sim.runs.remove("probe");
                    sim.deliver(0, Event::Call { call, event });
                }
                sim.run_for(ms(6_000));
                let name = format!("{route}, {reason:?}, run before {has_run}");
                let ending = &sim.outcome("probe").ending;
                let Ending::Refused(refusal) = ending else { panic!("{name}: {ending:?}") };
                let expected = if has_run { Status::InDoubt } else { Status::NotRun };
                assert_eq!(refusal.status, expected, "{name}");
                assert_eq!(sim.violations, Vec::<String>::new(), "{name}");
            }
        }
    }
}

/// Guards against a promise where the request ends for another reason beside such an answer.
#[test]
fn end_beside_an_unconfirmed_refusal_promises_nothing() {
    for status in STATUSES {
        let mut sim = simulation(Behaviour::RefusesAfterRun(status));
        sim.arrive(0, "probe", head("post", "probe"));
        sim.deliver(0, Event::Shutdown);
        let first = sim.runs.get("probe").expect("it runs")[0].clone();
        let update = ferry_serve::StoreUpdate::Removed { revision: 11, id: first };
        sim.deliver(0, Event::Store(update));
        sim.run_for(ms(6_000));
        let ending = &sim.outcome("probe").ending;
        assert!(is_refused(ending, Status::InDoubt), "{status}: {ending:?}");
    }
}

/// Guards against a caller that is told of a run in doubt, and no log line that tells why.
#[test]
fn unconfirmed_refusal_is_logged() {
    let sim = play("post", 503, Way::Direct);
    let endpoint = &sim.runs.get("probe").expect("it ran")[0];
    let is_own = |it: &&ferry_serve::Decision| {
        it.kind == DecisionKind::Fail && it.attempt.as_ref().is_some_and(|it| &**it == "probe")
    };
    let lines: Vec<_> = sim.decisions.iter().filter(is_own).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].reason.contains("503"), "{lines:?}");
    assert_eq!(lines[0].endpoint.as_ref(), Some(endpoint), "{lines:?}");
    assert_eq!(lines[0].pool.as_deref(), Some(PLAIN), "{lines:?}");
}
