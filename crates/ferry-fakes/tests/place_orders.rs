//! Placement orders move capacity without breaking calls, and outdated orders change nothing.

use std::time::Duration;

use ferry_core::config::CONFIG_NAME;
use ferry_core::place::plan::plan_key;
use ferry_core::{Event, Metric, Tuning};
use ferry_fakes::{
    Deployment, DeploymentName, FakeEntries, NodeIdx, ReceivedOrder, Request, World,
};
use ferry_model::{Config, ObjectKey, ObjectKind, Outcome, Plan, PresetName};

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
/// Pools that placement moves.
const PLACED: [&str; 4] = ["encode", "retrieve", "rerank", "drafting"];

fn tuning() -> Tuning {
    let mut tuning = Tuning::default();
    tuning.place.hold_time = 10 * SECOND;
    tuning
}

struct Setup {
    world: World,
    deployment: Deployment,
    entries: Vec<NodeIdx>,
    controls: Vec<NodeIdx>,
}

impl Setup {
    fn new(seed: u64, n_entries: usize, checks_fence: bool) -> Setup {
        let mut deployment = Deployment::new(DeploymentName::Ikenna);
        deployment.config.pools.iter_mut().for_each(|it| it.checks_fence = checks_fence);
        let mut world =
            World::with_deployment(&deployment, n_entries, &tuning(), seed).expect("valid");
        if !checks_fence {
            world.endpoints.values_mut().for_each(|it| it.engine.fence = None);
        }
        let mut setup =
            Setup { world, deployment, entries: (0..n_entries).collect(), controls: Vec::new() };
        setup.add_control(seed);
        setup.world.run_for(SECOND);
        setup
    }

    fn add_control(&mut self, seed: u64) -> NodeIdx {
        let idx = self.controls.len();
        let identity = self.deployment.control(idx, seed);
        let mut instance = self.deployment.instance(&identity, 100 + idx);
        instance.is_entry = false;
        self.world.instances.push(instance);
        let node = self.world.add_node(identity, tuning(), seed + 100 + idx as u64);
        self.controls.push(node);
        node
    }

    fn choose(&mut self, name: PresetName) {
        let key = ObjectKey::new(ObjectKind::Config, CONFIG_NAME);
        let stored = self.world.store.get(&key).expect("a configuration");
        let mut config: Config = serde_json::from_str(&stored.value).expect("valid");
        config.revision += 1;
        config.active = name;
        let value = serde_json::to_string(&config).expect("it serializes");
        self.world.store.seed(key, value);
        self.world.wake_watches();
    }

    fn n_broken(&self) -> usize {
        self.world.orders.iter().map(|it| it.broken_calls).sum()
    }

    /// Sends requests at a steady rate and checks at each step that every floor is kept.
    fn load(&mut self, time: Duration, floor: f64) {
        let end = self.world.now + time;
        let mut number = 0;
        while self.world.now < end {
            number += 1;
            let entry = self.entries[number % self.entries.len()];
            let pipeline = ["draft", "portal", "draft", "calendar"][number % 4];
            self.world.submit(entry, Request::new("bars", pipeline, format!("case {number}")));
            self.world.run_for(Duration::from_millis(40));
            for pool in PLACED {
                let n_all = self.deployment.pools.iter().find(|it| it.name == pool).unwrap();
                let least = (n_all.endpoints as f64 * floor).floor() as usize;
                let n_loaded = self.world.n_loaded(pool);
                assert!(least <= n_loaded, "{pool}: {n_loaded} loaded, floor {least}");
            }
        }
    }
}

fn unloads<'a>(world: &'a World, pool: &str) -> Vec<&'a ReceivedOrder> {
    let is_of = |it: &&ReceivedOrder| it.endpoint.starts_with(pool) && it.models.is_empty();
    world.orders.iter().filter(is_of).collect()
}

/// Presets change back and forth under load; floors follow within seconds and no call breaks.
#[test]
fn preset_changes_move_capacity_without_breaking_calls() {
    for seed in 1..=3 {
        let mut it = Setup::new(seed, 3, true);
        it.choose(PresetName::Maintenance);
        it.load(60 * SECOND, 0.25);
        let n_low = it.world.n_loaded("drafting");
        assert!(n_low <= 5, "seed {seed}: {n_low} loaded under maintenance");
        let chosen = it.world.now;
        it.choose(PresetName::Peak);
        // Sixteen loads of five seconds, two at a time, and ten seconds for the rest.
        it.load(50 * SECOND, 0.25);
        let first = it.world.orders.iter().find(|it| chosen < it.at).map(|it| it.at - chosen);
        assert!(first.is_some_and(|it| it < 5 * SECOND), "seed {seed}: first order {first:?}");
        for pool in PLACED {
            let n_all = it.world.endpoints.values().filter(|it| it.endpoint.pool == pool).count();
            assert_eq!(it.world.n_loaded(pool), n_all, "seed {seed}: {pool} at its peak floor");
        }
        it.choose(PresetName::Maintenance);
        it.load(60 * SECOND, 0.25);
        it.world.run_for(30 * SECOND);

        assert_eq!(it.n_broken(), 0, "seed {seed}: broken calls");
        assert_eq!(it.world.weights.refused, 0, "seed {seed}: loads refused by the weight store");
        for record in it.world.requests.values() {
            let outcome = record.answer().map(|it| it.outcome);
            assert_eq!(outcome, Some(Outcome::Complete), "seed {seed}: {:?}", record.answer());
        }
    }
}

/// While one entry keeps the old plan, as if paused, nothing may be unloaded.
#[test]
fn nothing_is_unloaded_until_every_entry_applies_the_plan() {
    for silent in [false, true] {
        let mut it = Setup::new(5, 0, true);
        let mut entries = FakeEntries::new(&mut it.world, 3);
        entries.entries[1].follows_plan = false;
        entries.entries[1].sends_heartbeats = !silent;
        entries.run(&mut it.world, &it.controls, MINUTE);
        assert_eq!(unloads(&it.world, "drafting"), Vec::<&ReceivedOrder>::new(), "silent {silent}");
        entries.entries[1].follows_plan = true;
        entries.entries[1].sends_heartbeats = true;
        entries.run(&mut it.world, &it.controls, MINUTE);
        assert_eq!(it.world.n_loaded("drafting"), 5, "silent {silent}: the floor");
    }
}

/// A call in flight keeps its endpoint loaded until it ends.
#[test]
fn endpoint_with_a_call_in_flight_is_not_unloaded() {
    let mut it = Setup::new(6, 0, true);
    let mut entries = FakeEntries::new(&mut it.world, 2);
    let set_stuck_calls = |world: &mut World, n_calls| {
        let engines = world.endpoints.values_mut().filter(|it| it.endpoint.pool == "drafting");
        engines.for_each(|it| it.stuck_calls = n_calls);
    };
    set_stuck_calls(&mut it.world, 1);
    entries.run(&mut it.world, &it.controls, MINUTE);
    assert_eq!(unloads(&it.world, "drafting"), Vec::<&ReceivedOrder>::new());
    set_stuck_calls(&mut it.world, 0);
    entries.run(&mut it.world, &it.controls, MINUTE);
    assert_eq!(it.world.n_loaded("drafting"), 5, "the floor");
}

/// The last entry sends a call and then applies the plan, so earlier reports of the endpoint don't
/// count.
#[test]
fn call_sent_just_before_the_acknowledgement_is_not_broken() {
    for seed in 1..=10 {
        let mut it = Setup::new(seed, 0, true);
        let mut entries = FakeEntries::new(&mut it.world, 3);
        entries.entries[1].follows_plan = false;
        let wait = 30 * SECOND + Duration::from_millis(61 * seed);
        entries.run(&mut it.world, &it.controls, wait);
        it.world.endpoints.values_mut().for_each(|it| it.stuck_calls = 1);
        entries.entries[1].follows_plan = true;
        entries.run(&mut it.world, &it.controls, 30 * SECOND);
        assert_eq!(it.n_broken(), 0, "seed {seed}: broken calls");
    }
}

#[test]
fn only_a_share_of_a_pool_drains_at_once() {
    let mut it = Setup::new(7, 0, true);
    let mut entries = FakeEntries::new(&mut it.world, 2);
    let mut most = 0;
    for _ in 0..240 {
        entries.run(&mut it.world, &it.controls, Duration::from_millis(250));
        let plan = it.world.node(it.controls[0]).fleet().plan();
        let is_draining = |id: &&String| {
            let endpoint = it.world.endpoints.get(id.as_str());
            endpoint
                .is_some_and(|it| it.endpoint.pool == "drafting" && !it.engine.models.is_empty())
        };
        most = most.max(plan.draining.iter().filter(is_draining).count());
    }
    assert_eq!(most, 2, "a quarter of ten");
    assert_eq!(it.world.n_loaded("drafting"), 5, "the floor");
}

/// The effect of an order whose answer is lost is read from the endpoint's report.
#[test]
fn lost_order_answers_do_not_stop_placement() {
    let mut it = Setup::new(8, 0, true);
    it.world.endpoints.values_mut().for_each(|it| it.faults.unanswered_orders = true);
    let mut entries = FakeEntries::new(&mut it.world, 2);
    entries.run(&mut it.world, &it.controls, 2 * MINUTE);
    assert_eq!(it.world.n_loaded("drafting"), 5, "the floor");
    entries.set_concurrency("drafting", 60);
    entries.run(&mut it.world, &it.controls, MINUTE);
    assert_eq!(it.world.n_loaded("drafting"), 10, "all are needed");
    assert_eq!(it.world.weights.refused, 0, "loads refused by the weight store");
}

/// Runs in small steps and returns the unloads by `node` that hit an endpoint in use.
fn run_and_collect_wrong_unloads(
    it: &mut Setup,
    entries: &mut FakeEntries,
    node: NodeIdx,
    time: Duration,
) -> Vec<ReceivedOrder> {
    let end = it.world.now + time;
    let mut wrong_unloads = Vec::new();
    while it.world.now < end {
        let n_before = it.world.orders.len();
        let stored = it.world.store.get(&plan_key()).expect("a plan");
        let plan: Plan = serde_json::from_str(&stored.value).expect("valid");
        entries.run(&mut it.world, &it.controls, Duration::from_millis(20));
        let is_wrong = |it: &&ReceivedOrder| {
            let is_unload = it.node == node && it.models.is_empty() && !it.fenced;
            is_unload && plan.holding.binary_search(&it.endpoint).is_ok()
        };
        wrong_unloads.extend(it.world.orders[n_before..].iter().filter(is_wrong).cloned());
    }
    wrong_unloads
}

/// Orders of the former holder are still on their way when the next holder takes over.
#[test]
fn late_orders_of_the_former_holder_unload_no_endpoint_in_use() {
    for checks_fence in [true, false] {
        let mut n_late = 0;
        for seed in 1..=40 {
            let mut it = Setup::new(seed, 0, checks_fence);
            let mut entries = FakeEntries::new(&mut it.world, 2);
            it.add_control(seed);
            let delay = Duration::from_millis(1_900);
            let until = 10 * SECOND + Duration::from_millis(130 * seed);
            entries.run(&mut it.world, &it.controls, until);
            let engines = it.world.endpoints.values_mut();
            engines.for_each(|it| it.faults.order_delay = delay);
            entries.run(&mut it.world, &it.controls, SECOND);
            let holder = it.controls.iter().copied().find(|idx| it.world.fence(*idx).is_some());
            let holder = holder.expect("a holder");
            let handed_over = it.world.now;
            it.world.deliver(holder, Event::Shutdown);
            // Later orders have no delay, so that only the rules of placement hold them back.
            it.world.endpoints.values_mut().for_each(|it| it.faults.order_delay = Duration::ZERO);
            entries.set_concurrency("drafting", 70);
            let wrong_unloads =
                run_and_collect_wrong_unloads(&mut it, &mut entries, holder, 30 * SECOND);
            assert_eq!(wrong_unloads, Vec::new(), "checks {checks_fence}, seed {seed}");
            let is_late = |it: &&ReceivedOrder| it.node == holder && handed_over < it.at;
            n_late += it.world.orders.iter().filter(is_late).count();
            entries.run(&mut it.world, &it.controls, 30 * SECOND);
            assert_eq!(it.world.n_loaded("drafting"), 10, "seed {seed}: all are needed");
        }
        assert!(0 < n_late, "checks {checks_fence}: some orders arrived late");
    }
}

/// The holder is paused with a pending answer that would let it unload.
#[test]
fn paused_holder_unloads_nothing_when_it_resumes() {
    for checks_fence in [true, false] {
        for seed in 1..=40 {
            let mut it = Setup::new(seed, 0, checks_fence);
            let mut entries = FakeEntries::new(&mut it.world, 2);
            it.add_control(seed);
            // Slow links, so that an answer is on its way most of the time.
            it.world.network.same_zone = Duration::from_millis(150);
            it.world.network.cross_zone = Duration::from_millis(150);
            let until = 10 * SECOND + Duration::from_millis(101 * seed);
            entries.run(&mut it.world, &it.controls, until);
            let holder = it.controls.iter().copied().find(|idx| it.world.fence(*idx).is_some());
            let holder = holder.expect("a holder");
            it.world.pause(holder);
            entries.set_concurrency("drafting", 70);
            entries.run(&mut it.world, &it.controls, 30 * SECOND);
            let resumed = it.world.now;
            it.world.resume(holder);
            entries.run(&mut it.world, &it.controls, 20 * SECOND);
            let is_late = |it: &&ReceivedOrder| it.node == holder && resumed <= it.at;
            let late: Vec<_> = it.world.orders.iter().filter(is_late).collect();
            assert_eq!(late, Vec::<&ReceivedOrder>::new(), "checks {checks_fence}, seed {seed}");
        }
    }
}

/// The holder's clock stopped with it, so it can't know that its lease has expired.
#[test]
fn holder_with_a_stopped_clock_sends_wrong_orders_for_a_bounded_time() {
    for checks_fence in [true, false] {
        for seed in 1..=20 {
            let mut it = Setup::new(seed, 0, checks_fence);
            let mut entries = FakeEntries::new(&mut it.world, 2);
            it.add_control(seed);
            let until = 10 * SECOND + Duration::from_millis(101 * seed);
            entries.run(&mut it.world, &it.controls, until);
            let holder = it.controls.iter().copied().find(|idx| it.world.fence(*idx).is_some());
            let holder = holder.expect("a holder");
            it.world.pause(holder);
            entries.set_concurrency("drafting", 70);
            let paused = 60 * SECOND;
            entries.run(&mut it.world, &it.controls, paused);
            assert_eq!(it.world.n_loaded("drafting"), 10, "seed {seed}: all are needed");
            let resumed = it.world.now;
            it.world.resume_suspended(holder, paused);
            let wrong_unloads =
                run_and_collect_wrong_unloads(&mut it, &mut entries, holder, 60 * SECOND);
            if checks_fence {
                assert_eq!(wrong_unloads, Vec::new(), "seed {seed}: outdated orders are refused");
            }
            // The next renewal tells the holder; an inspection and the loads in turn repair it.
            let place = &tuning().place;
            let renewed = resumed + place.renew_interval;
            assert!(
                wrong_unloads.iter().all(|it| it.at <= renewed),
                "seed {seed}: {wrong_unloads:?}"
            );
            let n_loads = wrong_unloads.len().div_ceil(it.world.weights.max_loads) as u32;
            let repaired = renewed
                + place.inspect_interval
                + place.decision_interval
                + it.world.weights.load_time * n_loads;
            let last = it.world.orders.iter().map(|it| it.at).max().unwrap_or(resumed);
            assert!(last <= repaired, "seed {seed}: the last order arrived at {last:?}");
            assert_eq!(it.world.n_loaded("drafting"), 10, "seed {seed}: repaired");
        }
    }
}

/// The cost of a decision grows with the endpoints, so not each of their reports may cause one.
#[test]
fn unchanged_reports_cause_no_decision() {
    let mut setup = Setup::new(5, 3, true);
    setup.world.run_for(2 * MINUTE);
    let holder = setup.controls[0];
    let before = setup.world.count(holder, Metric::PlacementDecisions);
    assert!(0 < before, "the holder decides");
    let n_seconds = 60;
    setup.world.run_for(n_seconds * SECOND);
    let n_decisions = setup.world.count(holder, Metric::PlacementDecisions) - before;
    let n_regular = u64::from(n_seconds);
    assert!(n_decisions <= n_regular + 1, "{n_decisions} decisions in {n_seconds} s");
}
