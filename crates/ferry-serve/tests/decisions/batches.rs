//! How items of many requests share calls, under load and when endpoints or instances fail.

use ferry_serve::{ItemFailure, Status, groups};

use crate::world::{Ending, FIRST, Mood, SECOND, World, head, ms};

/// Sends `n` streams, one each `gap` milliseconds, to the instances in turn.
fn load(world: &mut World, n: usize, gap: u64) -> Vec<String> {
    let n_instances = world.instances.len();
    let mut attempts = Vec::new();
    for number in 0..n {
        let attempt = format!("load-{number}");
        world.arrive(number % n_instances, &attempt, head("once", &attempt));
        attempts.push(attempt);
        world.run_for(ms(gap));
    }
    world.run_for(ms(5_000));
    attempts
}

#[test]
fn a_burst_shares_calls_and_stays_in_time() {
    // Three endpoints do about 14 full calls of four requests a second; 36 requests a second come.
    let mut world = World::new(4);
    let attempts = load(&mut world, 150, 28);
    let share = world.on_time(&attempts, ms(1_500));
    assert!(0.95 <= share, "{share} of the requests began in time");
    let per_call = (2 * attempts.len()) as f64 / world.n_batches as f64;
    assert!(1.5 <= per_call, "{per_call} requests in a call");
    assert_eq!(world.wrongs, Vec::<String>::new());
}

#[test]
fn an_overload_serves_what_it_can_in_time() {
    // Twice the requests that the endpoints can do: those that are served must not all be late.
    let mut world = World::new(4);
    let attempts = load(&mut world, 400, 9);
    let share = world.on_time(&attempts, ms(1_500));
    assert!(0.35 <= share, "{share} of the requests began in time");
    for attempt in &attempts {
        let outcome = world.outcome(attempt);
        assert!(outcome.took <= ms(4_050), "{attempt}: {outcome:?}");
        if let Ending::Refused(refusal) = &outcome.ending {
            let is_true = refusal.status == Status::NotRun || world.runs.contains_key(attempt);
            assert!(is_true, "{attempt}: {refusal:?}");
        }
    }
    assert_eq!(world.wrongs, Vec::<String>::new());
}

struct Fault {
    name: &'static str,
    pool: &'static str,
    mood: Mood,
    /// Share of the requests that must still begin in time.
    share: f64,
}

#[test]
fn one_bad_endpoint_of_three_costs_little() {
    let cases = [
        Fault { name: "reset", pool: FIRST, mood: Mood::Broken, share: 0.9 },
        Fault { name: "mute", pool: FIRST, mood: Mood::Mute, share: 0.85 },
        Fault { name: "full", pool: SECOND, mood: Mood::Full, share: 0.9 },
        Fault { name: "slow", pool: SECOND, mood: Mood::Slow(5), share: 0.85 },
        Fault {
            name: "no room",
            pool: FIRST,
            mood: Mood::Barren(ItemFailure::OutOfMemory),
            share: 0.85,
        },
        Fault { name: "errors", pool: FIRST, mood: Mood::Barren(ItemFailure::Error), share: 0.85 },
    ];
    for case in cases {
        let mut world = World::new(3);
        world.set_mood(&format!("{}-0", case.pool), case.mood);
        let attempts = load(&mut world, 80, 60);
        let share = world.on_time(&attempts, ms(1_500));
        assert!(case.share <= share, "{}: {share} began in time", case.name);
        assert_eq!(world.wrongs, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn a_pool_that_makes_nothing_ends_its_requests() {
    for reason in
        [ItemFailure::Error, ItemFailure::Gone, ItemFailure::OutOfMemory, ItemFailure::Late]
    {
        let mut world = World::new(2);
        for number in 0..3 {
            world.set_mood(&format!("{SECOND}-{number}"), Mood::Barren(reason));
        }
        world.arrive(0, "probe", head("once", "probe"));
        world.run_for(ms(6_000));
        let outcome = world.outcome("probe");
        let is_not_run =
            matches!(&outcome.ending, Ending::Refused(it) if it.status == Status::NotRun);
        assert!(is_not_run, "{reason}: {outcome:?}");
        // Each start-over takes a call or two of each pool; without a bound there is no end.
        assert!(world.n_batches <= 80, "{reason}: {} calls", world.n_batches);
    }
}

#[test]
fn the_death_of_a_gatherer_costs_its_requests_little() {
    for victim in 0..4 {
        let mut world = World::new(4);
        let mut attempts = Vec::new();
        for number in 0..60 {
            if number == 20 {
                world.kill(victim);
            }
            let instance = (victim + 1 + number % 3) % 4;
            let attempt = format!("load-{number}");
            world.arrive(instance, &attempt, head("once", &attempt));
            attempts.push(attempt);
            world.run_for(ms(60));
        }
        world.run_for(ms(5_000));
        let share = world.on_time(&attempts, ms(1_500));
        assert!(0.85 <= share, "instance {victim} died: {share} began in time");
        let n_served =
            attempts.iter().filter(|it| world.outcome(it).ending == Ending::Stream).count();
        assert_eq!(n_served, attempts.len(), "instance {victim} died");
        assert_eq!(world.wrongs, Vec::<String>::new());
    }
}

#[test]
fn a_strained_gatherer_hands_its_work_over() {
    for victim in 0..4 {
        let mut world = World::new(4);
        world.lag[victim] = ms(250);
        world.run_for(ms(1_500));
        let mut attempts = Vec::new();
        for number in 0..40 {
            let instance = (victim + 1 + number % 3) % 4;
            let attempt = format!("load-{number}");
            world.arrive(instance, &attempt, head("once", &attempt));
            attempts.push(attempt);
            world.run_for(ms(60));
        }
        world.run_for(ms(5_000));
        let share = world.on_time(&attempts, ms(1_500));
        assert!(0.95 <= share, "instance {victim} is strained: {share} began in time");
    }
}

#[test]
fn lost_datagrams_are_sent_again() {
    for lose_each in [3, 5, 11] {
        let mut world = World::new(4);
        world.lose_each = Some(lose_each);
        let attempts = load(&mut world, 60, 70);
        let share = world.on_time(&attempts, ms(1_500));
        assert!(0.85 <= share, "each {lose_each}th is lost: {share} began in time");
        assert_eq!(world.wrongs, Vec::<String>::new());
    }
}

#[test]
fn results_are_freed_once_nobody_reads_them() {
    let mut world = World::new(3);
    let attempts = load(&mut world, 30, 60);
    world.run_for(ms(2_000));
    let n_made = attempts.len() * 8;
    assert!(n_made <= world.n_freed, "{} of {n_made} results were freed", world.n_freed);
}

#[test]
fn large_pools_are_divided_and_each_endpoint_has_one_group() {
    struct Case {
        n_endpoints: usize,
        n_groups: std::ops::RangeInclusive<usize>,
        most: usize,
    }
    // Endpoints lie in two zones by turns.
    let cases = [
        Case { n_endpoints: 3, n_groups: 1..=1, most: 3 },
        Case { n_endpoints: 11, n_groups: 1..=1, most: 11 },
        Case { n_endpoints: 16, n_groups: 2..=2, most: 8 },
        Case { n_endpoints: 80, n_groups: 12..=16, most: 14 },
    ];
    for case in cases {
        let mut world = World::new(1);
        for number in 3..case.n_endpoints {
            world.add_endpoint(FIRST, number);
        }
        world.start(0);
        let context = world.instances[0].as_ref().expect("it lives").context();
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
