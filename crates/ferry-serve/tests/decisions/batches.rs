//! How items of many requests share calls, under load and when endpoints or instances fail.

use ferry_serve::{ItemFailure, Status, groups};

use crate::simulation::{Behaviour, Ending, FIRST, SECOND, Simulation, head, ms};

/// Sends `n` streams to the instances in turn, one every `gap` milliseconds.
fn load(sim: &mut Simulation, n: usize, gap: u64) -> Vec<String> {
    let n_instances = sim.instances.len();
    let mut attempts = Vec::new();
    for number in 0..n {
        let attempt = format!("load-{number}");
        sim.arrive(number % n_instances, &attempt, head("once", &attempt));
        attempts.push(attempt);
        sim.run_for(ms(gap));
    }
    sim.run_for(ms(5_000));
    attempts
}

#[test]
fn burst_shares_calls_and_meets_objective() {
    // Three endpoints do about 14 full calls of four requests per second; 36 requests per second
    // arrive.
    let mut sim = Simulation::new(4);
    let attempts = load(&mut sim, 150, 28);
    let share = sim.on_time(&attempts, ms(1_500));
    assert!(0.95 <= share, "{share} of the requests began in time");
    let per_call = (2 * attempts.len()) as f64 / sim.n_batches as f64;
    assert!(1.5 <= per_call, "{per_call} requests in a call");
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn overload_serves_requests_up_to_capacity_in_time() {
    // Twice the requests that the endpoints can serve: the served ones must not all be late.
    let mut sim = Simulation::new(4);
    let attempts = load(&mut sim, 400, 9);
    let share = sim.on_time(&attempts, ms(1_500));
    assert!(0.35 <= share, "{share} of the requests began in time");
    for attempt in &attempts {
        let outcome = sim.outcome(attempt);
        assert!(outcome.took <= ms(4_050), "{attempt}: {outcome:?}");
        if let Ending::Refused(refusal) = &outcome.ending {
            let is_true = refusal.status == Status::NotRun || sim.runs.contains_key(attempt);
            assert!(is_true, "{attempt}: {refusal:?}");
        }
    }
    assert_eq!(sim.violations, Vec::<String>::new());
}

struct Fault {
    name: &'static str,
    pool: &'static str,
    behaviour: Behaviour,
    /// Fraction of the requests that must still start in time.
    share: f64,
}

#[test]
fn one_faulty_endpoint_of_three_costs_few_requests() {
    let cases = [
        Fault { name: "reset", pool: FIRST, behaviour: Behaviour::Reset, share: 0.9 },
        Fault { name: "silent", pool: FIRST, behaviour: Behaviour::Silent, share: 0.85 },
        Fault { name: "full", pool: SECOND, behaviour: Behaviour::Full, share: 0.9 },
        Fault { name: "slow", pool: SECOND, behaviour: Behaviour::Slow(5), share: 0.85 },
        Fault {
            name: "no room",
            pool: FIRST,
            behaviour: Behaviour::FailItems(ItemFailure::OutOfMemory),
            share: 0.85,
        },
        Fault {
            name: "errors",
            pool: FIRST,
            behaviour: Behaviour::FailItems(ItemFailure::Error),
            share: 0.85,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(3);
        sim.set_behaviour(&format!("{}-0", case.pool), case.behaviour);
        let attempts = load(&mut sim, 80, 60);
        let share = sim.on_time(&attempts, ms(1_500));
        assert!(case.share <= share, "{}: {share} began in time", case.name);
        assert_eq!(sim.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn pool_without_results_ends_its_requests() {
    for reason in
        [ItemFailure::Error, ItemFailure::Gone, ItemFailure::OutOfMemory, ItemFailure::Late]
    {
        let mut sim = Simulation::new(2);
        for number in 0..3 {
            sim.set_behaviour(&format!("{SECOND}-{number}"), Behaviour::FailItems(reason));
        }
        sim.arrive(0, "probe", head("once", "probe"));
        sim.run_for(ms(6_000));
        let outcome = sim.outcome("probe");
        let is_not_run =
            matches!(&outcome.ending, Ending::Refused(it) if it.status == Status::NotRun);
        assert!(is_not_run, "{reason}: {outcome:?}");
        // Each restart takes a call or two of each pool; without a limit they would not end.
        assert!(sim.n_batches <= 80, "{reason}: {} calls", sim.n_batches);
    }
}

#[test]
fn killed_batcher_costs_few_requests() {
    for victim in 0..4 {
        let mut sim = Simulation::new(4);
        let mut attempts = Vec::new();
        for number in 0..60 {
            if number == 20 {
                sim.kill(victim);
            }
            let instance = (victim + 1 + number % 3) % 4;
            let attempt = format!("load-{number}");
            sim.arrive(instance, &attempt, head("once", &attempt));
            attempts.push(attempt);
            sim.run_for(ms(60));
        }
        sim.run_for(ms(5_000));
        let share = sim.on_time(&attempts, ms(1_500));
        assert!(0.85 <= share, "instance {victim} was killed: {share} began in time");
        let n_served =
            attempts.iter().filter(|it| sim.outcome(it).ending == Ending::Stream).count();
        assert_eq!(n_served, attempts.len(), "instance {victim} was killed");
        assert_eq!(sim.violations, Vec::<String>::new());
    }
}

#[test]
fn overloaded_batcher_hands_over_its_work() {
    for victim in 0..4 {
        let mut sim = Simulation::new(4);
        sim.timer_lag[victim] = ms(250);
        sim.run_for(ms(1_500));
        let mut attempts = Vec::new();
        for number in 0..40 {
            let instance = (victim + 1 + number % 3) % 4;
            let attempt = format!("load-{number}");
            sim.arrive(instance, &attempt, head("once", &attempt));
            attempts.push(attempt);
            sim.run_for(ms(60));
        }
        sim.run_for(ms(5_000));
        let share = sim.on_time(&attempts, ms(1_500));
        assert!(0.95 <= share, "instance {victim} is overloaded: {share} began in time");
    }
}

#[test]
fn lost_datagrams_are_resent() {
    for drop_one_in in [3, 5, 11] {
        let mut sim = Simulation::new(4);
        sim.drop_one_in = Some(drop_one_in);
        let attempts = load(&mut sim, 60, 70);
        let share = sim.on_time(&attempts, ms(1_500));
        assert!(0.85 <= share, "one in {drop_one_in} is lost: {share} began in time");
        assert_eq!(sim.violations, Vec::<String>::new());
    }
}

#[test]
fn unread_results_are_freed() {
    let mut sim = Simulation::new(3);
    let attempts = load(&mut sim, 30, 60);
    sim.run_for(ms(2_000));
    let n_made = attempts.len() * 8;
    assert!(n_made <= sim.n_freed, "{} of {n_made} results were freed", sim.n_freed);
}

#[test]
fn large_pools_are_divided_into_disjoint_groups() {
    struct Case {
        n_endpoints: usize,
        n_groups: std::ops::RangeInclusive<usize>,
        most: usize,
    }
    // Endpoints alternate between two zones.
    let cases = [
        Case { n_endpoints: 3, n_groups: 1..=1, most: 3 },
        Case { n_endpoints: 11, n_groups: 1..=1, most: 11 },
        Case { n_endpoints: 16, n_groups: 2..=2, most: 8 },
        Case { n_endpoints: 80, n_groups: 12..=16, most: 14 },
    ];
    for case in cases {
        let mut sim = Simulation::new(1);
        for number in 3..case.n_endpoints {
            sim.add_endpoint(FIRST, number);
        }
        sim.start(0);
        let context = sim.instances[0].as_ref().expect("the instance is running").context();
        let groups = groups(&context.endpoints, FIRST);
        assert!(case.n_groups.contains(&groups.len()), "{}: {groups:?}", case.n_endpoints);
        for view in context.endpoints.pool(FIRST) {
            let n_own = groups.iter().filter(|it| it.contains(view)).count();
            assert_eq!(n_own, 1, "{} of {}", view.endpoint.id, case.n_endpoints);
        }
        for group in groups {
            let n_members = context.endpoints.pool(FIRST).filter(|it| group.contains(it)).count();
            assert!(n_members <= case.most, "{n_members} endpoints in {group:?}");
        }
    }
}
