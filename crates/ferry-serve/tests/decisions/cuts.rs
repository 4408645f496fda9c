//! Instances that lose their links to endpoints, while callers and other instances reach them.

use std::time::Duration;

use ferry_model::Moment;
use ferry_serve::{DecisionKind, Event, StoreUpdate};
use proptest::prelude::*;

use crate::rate_limits::load::Load;
use crate::simulation::{
    Behaviour, Cut, CutForm, ENGINE, Ending, FIRST, PLAIN, SECOND, Simulation, ms,
};

/// Time after the beginning of a cut from which callers must be served.
const STABLE_TIME: Duration = ms(3_000);
/// Share of the first tries at other instances that must be served at those that are cut off.
const MIN_SHARE: f64 = 2.0 / 3.0;

/// First tries that were served, of all, at instances that are cut off and at the others.
#[derive(Debug, Default, Clone, Copy)]
struct Tries {
    served: usize,
    all: usize,
}

impl Tries {
    fn share(self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

#[derive(Debug, Clone)]
struct Case {
    name: &'static str,
    n_instances: usize,
    n_cut: usize,
    form: CutForm,
    /// Start of the names of the endpoints behind the cut.
    endpoints: &'static str,
    routes: &'static [&'static str],
}

/// Sends requests for a while, and returns the attempts with their instances.
fn send(sim: &mut Simulation, load: &mut Load, time: Duration) -> Vec<(String, usize)> {
    let first = load.n_sent();
    let attempts = load.send(sim, time);
    let n_instances = sim.instances.len() as u64;
    let instance = |idx: usize| ((first + idx as u64) * 7 % n_instances) as usize;
    attempts.into_iter().enumerate().map(|(idx, it)| (it, instance(idx))).collect()
}

fn tries(sim: &Simulation, sent: &[(String, usize)], is_counted: impl Fn(usize) -> bool) -> Tries {
    let counted: Vec<&(String, usize)> = sent.iter().filter(|it| is_counted(it.1)).collect();
    let is_served = |attempt: &str| {
        let outcome = sim.outcomes.get(attempt);
        outcome.is_some_and(|it| matches!(it.ending, Ending::Answer | Ending::Stream))
    };
    Tries { served: counted.iter().filter(|it| is_served(&it.0)).count(), all: counted.len() }
}

fn n_noticed(sim: &Simulation, from: usize) -> usize {
    let changes = sim.decisions[from..].iter().filter(|it| it.kind == DecisionKind::Reach);
    changes.filter(|it| it.reason.starts_with("only peers")).count()
}

/// Plays one cut, and returns the first tries behind it and at the others.
fn play(case: &Case) -> (Tries, Tries) {
    let mut sim = Simulation::new(case.n_instances);
    let mut load = Load::new(case.routes, 40.max(2 * case.n_instances as u64));
    send(&mut sim, &mut load, ms(3_000));
    for instance in 0..case.n_cut {
        sim.cut(Cut { instance, form: case.form, endpoints: case.endpoints });
    }
    send(&mut sim, &mut load, STABLE_TIME);
    let sent = send(&mut sim, &mut load, ms(6_000));
    sim.cuts.clear();
    send(&mut sim, &mut load, ms(4_000));
    let n_before = sim.n_passed_on;
    let healed = send(&mut sim, &mut load, ms(3_000));
    sim.run_for(ms(5_000));
    assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
    assert_eq!(sim.n_passed_on, n_before, "{}: requests are passed on after the cut", case.name);
    assert!(0.97 <= tries(&sim, &healed, |_| true).share(), "{}: after the cut", case.name);
    let cut = tries(&sim, &sent, |it| it < case.n_cut);
    let others = tries(&sim, &sent, |it| case.n_cut <= it);
    println!(
        "{:28} {:2} of {:2} instances, {:?}: {} of {} served, others {} of {}; {} passed on",
        case.name,
        case.n_cut,
        case.n_instances,
        case.form,
        cut.served,
        cut.all,
        others.served,
        others.all,
        sim.n_passed_on
    );
    (cut, others)
}

#[test]
fn callers_of_instances_that_are_cut_off_from_all_endpoints_are_served() {
    let all = Case {
        name: "plain",
        n_instances: 6,
        n_cut: 1,
        form: CutForm::Hangs,
        endpoints: "",
        routes: &["get", "post"],
    };
    let mut cases = Vec::new();
    for form in [CutForm::Hangs, CutForm::Reset, CutForm::RefusesNew] {
        for n_cut in [1, 2, 3, 5] {
            cases.push(Case { form, n_cut, ..all.clone() });
            let routes = &["stream", "once"];
            cases.push(Case { name: "streams", form, n_cut, routes, ..all.clone() });
        }
        for (n_instances, n_cut) in [(30, 10), (76, 25), (76, 75)] {
            cases.push(Case { n_instances, form, n_cut, ..all.clone() });
        }
        for endpoints in [PLAIN, ENGINE, FIRST, SECOND] {
            let routes: &[&str] = if endpoints == PLAIN { &["get"] } else { &["stream"] };
            cases.push(Case { name: "one pool", form, endpoints, routes, n_cut: 2, ..all.clone() });
        }
    }
    for case in cases {
        let (cut, others) = play(&case);
        // The test below has the one case that does not hold.
        let is_apart = case.form == CutForm::Hangs && case.n_cut == 5 && case.name == "streams";
        assert!(is_apart || 0.95 <= others.share(), "{case:?}: {others:?} at the others");
        assert!(MIN_SHARE * others.share() <= cut.share(), "{case:?}: {cut:?}, others {others:?}");
    }
}

#[test]
fn last_instance_that_reaches_endpoints_serves_its_own_callers() {
    let case = Case {
        name: "streams",
        n_instances: 6,
        n_cut: 5,
        form: CutForm::Hangs,
        endpoints: "",
        routes: &["stream", "once"],
    };
    let (_, others) = play(&case);
    assert!(0.95 <= others.share(), "{case:?}: {others:?} at the others");
}

#[test]
fn cuts_in_series_leave_callers_served() {
    let mut sim = Simulation::new(6);
    let mut load = Load::new(&["get", "post", "stream", "once"], 60);
    send(&mut sim, &mut load, ms(3_000));
    for round in 0..4 {
        let cut = [round % 6, (round + 2) % 6];
        for instance in cut {
            sim.cut(Cut { instance, form: CutForm::Hangs, endpoints: "" });
        }
        send(&mut sim, &mut load, STABLE_TIME);
        let sent = send(&mut sim, &mut load, ms(4_000));
        sim.cuts.clear();
        send(&mut sim, &mut load, ms(1_000));
        let (behind, others) = (
            tries(&sim, &sent, |it| cut.contains(&it)),
            tries(&sim, &sent, |it| !cut.contains(&it)),
        );
        println!("round {round}: {behind:?}, others {others:?}");
        assert!(MIN_SHARE * others.share() <= behind.share(), "{round}: {behind:?}, {others:?}");
    }
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn cut_is_noticed_soon_and_not_where_there_is_none() {
    struct Trouble {
        name: &'static str,
        pool: &'static str,
        behaviour: Behaviour,
    }
    let all = [
        Trouble { name: "all endpoints silent", pool: PLAIN, behaviour: Behaviour::Silent },
        Trouble { name: "all endpoints reset", pool: PLAIN, behaviour: Behaviour::Reset },
        Trouble { name: "all engines full", pool: ENGINE, behaviour: Behaviour::Full },
        Trouble { name: "items reset", pool: FIRST, behaviour: Behaviour::Reset },
    ];
    for Trouble { name, pool, behaviour } in all {
        let mut sim = Simulation::new(6);
        let mut load = Load::new(&["get", "stream"], 60);
        send(&mut sim, &mut load, ms(2_000));
        let ids: Vec<String> = sim.endpoints.keys().cloned().collect();
        for id in ids.iter().filter(|it| it.starts_with(pool)) {
            sim.set_behaviour(id, behaviour);
        }
        send(&mut sim, &mut load, ms(6_000));
        assert_eq!(n_noticed(&sim, 0), 0, "{name}");
        assert_eq!(sim.n_passed_on, 0, "{name}");
    }
    // Endpoints that no instance reaches are down.
    let mut sim = Simulation::new(6);
    let mut load = Load::new(&["get", "stream"], 60);
    send(&mut sim, &mut load, ms(2_000));
    for instance in 0..6 {
        sim.cut(Cut { instance, form: CutForm::Hangs, endpoints: "" });
    }
    send(&mut sim, &mut load, ms(6_000));
    assert_eq!(n_noticed(&sim, 0), 0, "no instance reaches an endpoint");
    for form in [CutForm::Hangs, CutForm::Reset, CutForm::RefusesNew] {
        let mut sim = Simulation::new(6);
        let mut load = Load::new(&["get", "stream"], 60);
        send(&mut sim, &mut load, ms(2_000));
        let (start, from) = (sim.now, sim.decisions.len());
        sim.cut(Cut { instance: 0, form, endpoints: "" });
        let mut noticed: Option<Moment> = None;
        while sim.now < start + STABLE_TIME && noticed.is_none() {
            send(&mut sim, &mut load, ms(50));
            noticed = (2 <= n_noticed(&sim, from)).then_some(sim.now);
        }
        println!("{form:?}: noticed after {:?}", noticed.map(|it| it - start));
        assert!(noticed.is_some(), "{form:?} was not noticed");
    }
}

#[test]
fn endpoints_that_crash_are_no_cut() {
    for n_down in 1..8 {
        let mut sim = Simulation::new(6);
        (3..9).for_each(|it| sim.add_endpoint(ENGINE, it));
        (0..6).for_each(|it| sim.start(it));
        let mut load = Load::new(&["once"], 40);
        send(&mut sim, &mut load, ms(2_000));
        // No instance reaches them, and their entries stay.
        let names =
            ["engine-0", "engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6"];
        for endpoints in names.into_iter().take(n_down) {
            for instance in 0..6 {
                sim.cut(Cut { instance, form: CutForm::Hangs, endpoints });
            }
        }
        send(&mut sim, &mut load, ms(8_000));
        let share = n_noticed(&sim, 0);
        println!("{n_down} of 9 engines down: {share} notices, {} passed on", sim.n_passed_on);
        assert_eq!(share, 0, "{n_down} of 9 engines");
    }
}

#[test]
fn streams_that_go_on_hide_no_cut() {
    let mut sim = Simulation::with_time_limit(6, ms(20_000));
    sim.crashes.n_events = 400;
    let mut load = Load::new(&["once"], 40).with_time_left(ms(20_000));
    send(&mut sim, &mut load, ms(4_000));
    let from = sim.decisions.len();
    sim.cut(Cut { instance: 0, form: CutForm::RefusesNew, endpoints: ENGINE });
    send(&mut sim, &mut load, STABLE_TIME);
    assert_eq!(n_noticed(&sim, from), 1);
}

/// What happens in a drawn run; requests go on.
#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Cut(usize, CutForm, &'static str),
    Heal,
    Restart(usize),
    Freeze(usize, u64),
    Endpoints(&'static str, Behaviour),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let form = prop_oneof![Just(CutForm::Hangs), Just(CutForm::Reset), Just(CutForm::RefusesNew)];
    let behind = prop_oneof![3 => Just(""), 1 => Just(PLAIN), 1 => Just(ENGINE), 1 => Just(FIRST)];
    let pool = prop_oneof![Just(PLAIN), Just(ENGINE), Just(FIRST)];
    let behaviour = prop_oneof![
        2 => Just(Behaviour::Healthy),
        1 => Just(Behaviour::Failing),
        1 => Just(Behaviour::Reset),
        1 => Just(Behaviour::Full),
        1 => Just(Behaviour::Silent),
    ];
    let step = prop_oneof![
        4 => (50_u64..2_500).prop_map(Step::Run),
        4 => (0_usize..6, form, behind).prop_map(|(it, form, behind)| Step::Cut(it, form, behind)),
        2 => Just(Step::Heal),
        1 => (0_usize..6).prop_map(Step::Restart),
        1 => (0_usize..6, 200_u64..3_000).prop_map(|(it, time)| Step::Freeze(it, time)),
        1 => (pool, behaviour).prop_map(|(pool, it)| Step::Endpoints(pool, it)),
    ];
    proptest::collection::vec(step, 5..30)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn requests_that_are_passed_on_keep_every_promise(steps in steps()) {
        let mut sim = Simulation::new(6);
        sim.set_build("engine-1", "v2");
        let endpoint = sim.endpoints.get("engine-1").expect("the endpoint exists").entry.clone();
        for instance in 0..6 {
            let update = StoreUpdate::Changed { revision: 20, endpoint: endpoint.clone() };
            sim.deliver(instance, Event::Store(update));
        }
        let mut load = Load::new(&["get", "post", "stream", "once", "get"], 50);
        for step in steps {
            match step {
                Step::Run(time) => {
                    load.send(&mut sim, ms(time));
                }
                Step::Cut(instance, form, endpoints) => sim.cut(Cut { instance, form, endpoints }),
                Step::Heal => sim.cuts.clear(),
                Step::Restart(instance) => {
                    sim.kill(instance);
                    load.send(&mut sim, ms(300));
                    sim.start(instance);
                }
                Step::Freeze(instance, time) => {
                    sim.freeze(instance);
                    load.send(&mut sim, ms(time));
                    sim.thaw(instance);
                }
                Step::Endpoints(pool, behaviour) => {
                    let ids: Vec<String> = sim.endpoints.keys().cloned().collect();
                    for id in ids.iter().filter(|it| it.starts_with(pool)) {
                        sim.set_behaviour(id, behaviour);
                    }
                }
            }
        }
        sim.cuts.clear();
        load.send(&mut sim, ms(1_000));
        sim.run_for(ms(6_000));
        prop_assert_eq!(&sim.violations, &Vec::<String>::new());
        for (attempt, builds) in sim.event_builds.iter() {
            prop_assert!(builds.len() <= 1, "{} has events of {:?}", attempt, builds);
        }
        for attempt in sim.runs.keys().filter(|it| it.starts_with("post") || it.starts_with("once")) {
            let n_runs = sim.runs.get(attempt).map_or(0, Vec::len);
            prop_assert!(n_runs <= 1, "{} ran {} times", attempt, n_runs);
        }
        for attempt in sim.runs.keys().filter(|it| it.starts_with("get") || it.starts_with("stream")) {
            let n_runs = sim.runs.get(attempt).map_or(0, Vec::len);
            prop_assert!(n_runs <= 2, "{} ran {} times", attempt, n_runs);
        }
    }
}
