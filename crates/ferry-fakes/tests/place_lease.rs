//! The placement lease has at most one holder, whichever holder or store call fails.

use std::time::Duration;

use ferry_core::{DecisionKind, Event, Tuning};
use ferry_fakes::{Deployment, DeploymentName, FakeEntries, NodeIdx, World};
use ferry_model::{ObjectKey, ObjectKind, Plan};

const STEP: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

struct Setup {
    world: World,
    entries: FakeEntries,
    controls: Vec<NodeIdx>,
    /// Holders that may send orders, by step.
    holders: Vec<Vec<NodeIdx>>,
    /// Highest fencing number of the stored plan so far.
    plan_fence: u64,
}

impl Setup {
    fn new(seed: u64, checks_fence: bool) -> Setup {
        let mut deployment = Deployment::new(DeploymentName::Ikenna);
        deployment.config.pools.iter_mut().for_each(|it| it.checks_fence = checks_fence);
        let tuning = Tuning::default();
        let mut world = World::with_deployment(&deployment, 0, &tuning, seed).expect("valid");
        if !checks_fence {
            world.endpoints.values_mut().for_each(|it| it.engine.fence = None);
        }
        let entries = FakeEntries::new(&mut world, 2);
        let controls = (0..2)
            .map(|idx| {
                world.add_node(deployment.control(idx, seed), tuning.clone(), seed + idx as u64)
            })
            .collect();
        Setup { world, entries, controls, holders: Vec::new(), plan_fence: 0 }
    }

    fn run(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.entries.run(&mut self.world, &self.controls, STEP);
            let holders =
                self.controls.iter().copied().filter(|it| self.world.fence(*it).is_some());
            self.holders.push(holders.collect());
            self.check_plan();
        }
    }

    fn check_plan(&mut self) {
        let key = ObjectKey::new(ObjectKind::Plan, "deployment");
        let Some(object) = self.world.store.get(&key) else { return };
        let plan: Plan = serde_json::from_str(&object.value).expect("a plan");
        assert!(self.plan_fence <= plan.fence, "a former holder wrote the plan");
        self.plan_fence = plan.fence;
    }

    fn holder(&self) -> Option<NodeIdx> {
        self.controls.iter().copied().find(|it| self.world.fence(*it).is_some())
    }

    fn other(&self, node: NodeIdx) -> NodeIdx {
        self.controls.iter().copied().find(|it| *it != node).expect("two controls")
    }

    fn n_lapses(&self) -> usize {
        let is_lapse =
            |kind, reason: &str| kind == DecisionKind::Lease && reason.contains("lapsed");
        self.world.decisions.iter().filter(|(_, _, it)| is_lapse(it.kind, &it.reason)).count()
    }
}

struct Case {
    name: &'static str,
    /// Applied to the holder after ten seconds.
    fault: fn(&mut Setup, NodeIdx),
    /// Applied twenty seconds later.
    then: fn(&mut Setup, NodeIdx),
    /// Whether the other instance must hold the lease in the end.
    moves: bool,
    /// Longest time without a holder.
    gap: Duration,
}

const CASES: &[Case] = &[
    Case { name: "no fault", fault: |_, _| (), then: |_, _| (), moves: false, gap: Duration::ZERO },
    Case {
        name: "the holder dies",
        fault: |it, holder| it.world.kill(holder),
        then: |_, _| (),
        moves: true,
        gap: Duration::from_secs(14),
    },
    Case {
        name: "the holder shuts down",
        fault: |it, holder| it.world.deliver(holder, Event::Shutdown),
        then: |_, _| (),
        moves: true,
        gap: Duration::from_secs(2),
    },
    Case {
        name: "the holder is paused and resumes late",
        fault: |it, holder| it.world.pause(holder),
        then: |it, holder| it.world.resume(holder),
        moves: true,
        gap: Duration::from_secs(14),
    },
    Case {
        name: "one renewal's answer is lost",
        fault: |it, _| it.world.store.faults.lost_answers = 1,
        then: |_, _| (),
        moves: false,
        gap: Duration::ZERO,
    },
    Case {
        name: "two answers in a row are lost",
        fault: |it, _| it.world.store.faults.lost_answers = 2,
        then: |_, _| (),
        moves: false,
        gap: Duration::ZERO,
    },
    Case {
        name: "the store is down for a while",
        fault: |it, _| it.world.store.faults.down = true,
        then: |it, _| it.world.store.faults.down = false,
        moves: false,
        gap: Duration::from_secs(22),
    },
    Case {
        name: "the store is slow",
        fault: |it, _| it.world.store.faults.delay = Duration::from_millis(400),
        then: |it, _| it.world.store.faults.delay = Duration::from_millis(2),
        moves: false,
        gap: Duration::ZERO,
    },
];

#[test]
fn at_most_one_instance_holds_the_lease() {
    for case in CASES {
        for seed in 1..=5 {
            let mut it = Setup::new(seed, true);
            it.run(10 * SECOND);
            let holder = it.holder().unwrap_or_else(|| panic!("{}: a holder", case.name));
            it.holders.clear();
            (case.fault)(&mut it, holder);
            it.run(20 * SECOND);
            (case.then)(&mut it, holder);
            it.run(10 * SECOND);

            let most = it.holders.iter().map(Vec::len).max();
            assert_eq!(most, Some(1), "{}, seed {seed}: one holder at a time", case.name);
            let gap = longest_gap(&it.holders);
            assert!(gap <= case.gap, "{}, seed {seed}: {gap:?} without a holder", case.name);
            let last = it.holder().unwrap_or_else(|| panic!("{}: a holder again", case.name));
            if case.moves {
                assert_eq!(last, it.other(holder), "{}, seed {seed}", case.name);
            } else if case.gap.is_zero() {
                assert_eq!(last, holder, "{}, seed {seed}", case.name);
                assert_eq!(it.n_lapses(), 0, "{}, seed {seed}: an unbroken term", case.name);
            }
        }
    }
}

#[test]
fn lost_answer_to_the_first_write_is_resolved() {
    for seed in 1..=5 {
        let mut it = Setup::new(seed, true);
        it.world.store.faults.lost_answers = 2;
        it.run(4 * SECOND);
        assert!(it.holder().is_some(), "seed {seed}: the write is recognized by its nonce");
        assert!(it.holders.iter().all(|it| it.len() <= 1), "seed {seed}: one holder");
    }
}

/// A paused holder has pending reports that would let it unload and load when it resumes.
#[test]
fn paused_holder_sends_no_order_when_it_resumes() {
    for checks_fence in [true, false] {
        for seed in 1..=10 {
            let mut it = Setup::new(seed, checks_fence);
            it.run(3 * SECOND + Duration::from_millis(37 * seed));
            let holder = it.holder().expect("a holder");
            it.entries.set_concurrency("drafting", 60);
            it.run(Duration::from_millis(83 * seed));
            it.world.pause(holder);
            it.run(30 * SECOND);
            let resumed = it.world.now;
            assert_eq!(it.holder(), Some(it.other(holder)), "the other instance took over");
            it.world.resume(holder);
            it.run(20 * SECOND);
            let late: Vec<_> =
                it.world.orders.iter().filter(|it| it.node == holder && resumed <= it.at).collect();
            assert_eq!(late, Vec::<&ferry_fakes::ReceivedOrder>::new(), "seed {seed}");
            assert!(it.holders.iter().all(|it| it.len() <= 1), "seed {seed}: one holder");
        }
    }
}

fn longest_gap(holders: &[Vec<NodeIdx>]) -> Duration {
    let gaps = holders.split(|it| !it.is_empty()).map(<[_]>::len).max().unwrap_or(0);
    STEP * gaps as u32
}
