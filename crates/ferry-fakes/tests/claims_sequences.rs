//! Random sequences of requests and faults violate no invariant of requests.

use std::time::Duration;

use ferry_core::{Event, Tuning};
use ferry_fakes::{Deployment, DeploymentName, Request, World, invariant_violations};
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::{prop_assert_eq, proptest};

const N_ENTRIES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Submit { node: usize, pipeline: u8, key: u8 },
    Wait { millis: u16 },
    Kill { node: usize },
    Pause { node: usize },
    Resume { node: usize },
    Store { down: bool },
    LoseAnswers { count: u32 },
    LateWrites { count: u32 },
    StaleReads { stale: bool },
    Delay { millis: u16 },
    HangUp { ticket: u8 },
    Fault { endpoint: u8, fault: u8 },
    ClearFaults,
    Partition,
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..N_ENTRIES;
    prop_oneof![
        8 => (node.clone(), any::<u8>(), 0..6_u8)
            .prop_map(|(node, pipeline, key)| Step::Submit { node, pipeline, key }),
        8 => (1..400_u16).prop_map(|millis| Step::Wait { millis }),
        1 => node.clone().prop_map(|node| Step::Kill { node }),
        1 => node.clone().prop_map(|node| Step::Pause { node }),
        2 => node.prop_map(|node| Step::Resume { node }),
        2 => any::<bool>().prop_map(|down| Step::Store { down }),
        2 => (1..4_u32).prop_map(|count| Step::LoseAnswers { count }),
        2 => (1..3_u32).prop_map(|count| Step::LateWrites { count }),
        2 => any::<bool>().prop_map(|stale| Step::StaleReads { stale }),
        1 => (1..300_u16).prop_map(|millis| Step::Delay { millis }),
        1 => any::<u8>().prop_map(|ticket| Step::HangUp { ticket }),
        4 => (any::<u8>(), any::<u8>())
            .prop_map(|(endpoint, fault)| Step::Fault { endpoint, fault }),
        1 => proptest::strategy::Just(Step::ClearFaults),
        1 => proptest::strategy::Just(Step::Partition),
    ]
}

struct Run {
    world: World,
    deployment: Deployment,
    last_seed: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let deployment = Deployment::new(DeploymentName::Ikenna);
        let world = World::with_deployment(&deployment, N_ENTRIES, &Tuning::default(), seed)
            .expect("the configuration is valid");
        let mut run = Run { world, deployment, last_seed: 1_000 };
        run.world.run_for(Duration::from_secs(2));
        run
    }

    fn perform(&mut self, step: &Step) {
        let world = &mut self.world;
        match *step {
            Step::Submit { node, pipeline, key } => {
                let pipeline = ["file", "file", "draft", "calendar"][usize::from(pipeline) % 4];
                let input = format!("{pipeline} {key}");
                let request = Request::new("bars", pipeline, input.clone()).with_key(input);
                world.submit(node, request.with_stream());
            }
            Step::Wait { millis } => world.run_for(Duration::from_millis(millis.into())),
            Step::Kill { node } => {
                self.last_seed += 1;
                let identity = self.deployment.entry(node, self.last_seed);
                world.kill(node);
                world.replace(node, identity, Tuning::default(), self.last_seed);
            }
            Step::Pause { node } => world.pause(node),
            Step::Resume { node } => world.resume(node),
            Step::Store { down } => world.store.faults.down = down,
            Step::LoseAnswers { count } => world.store.faults.lost_answers += count,
            Step::LateWrites { count } => world.store.faults.late_writes += count,
            Step::StaleReads { stale: true } => world.store.freeze_reads(),
            Step::StaleReads { stale: false } => world.store.faults.stale_reads = false,
            Step::Delay { millis } => {
                world.store.faults.delay = Duration::from_millis(millis.into());
            }
            Step::HangUp { ticket } => self.hang_up(ticket),
            Step::Fault { endpoint, fault } => self.set_fault(endpoint, fault),
            Step::ClearFaults => {
                for it in world.endpoints.values_mut() {
                    it.faults = Default::default();
                }
                world.network.partitions.clear();
            }
            Step::Partition => {
                world.network.partitions.push(("lagos-1".to_owned(), "lagos-2".to_owned()));
            }
        }
    }

    fn hang_up(&mut self, ticket: u8) {
        let tickets: Vec<u64> = self.world.requests.keys().copied().collect();
        let Some(ticket) = tickets.get(usize::from(ticket) % tickets.len().max(1)) else { return };
        let Some(record) = self.world.requests.get_mut(ticket) else { return };
        record.connection_lost = true;
        let node = record.node;
        self.world.deliver(node, Event::CallerGone { ticket: *ticket });
    }

    fn set_fault(&mut self, endpoint: u8, fault: u8) {
        let ids: Vec<String> = self.world.endpoints.keys().cloned().collect();
        let id = &ids[usize::from(endpoint) % ids.len()];
        let Some(it) = self.world.endpoints.get_mut(id) else { return };
        match fault % 12 {
            0 => it.faults.down = true,
            1 => it.faults.stale_connections = true,
            2 => it.faults.straggle = Some(20.0),
            3 => it.faults.crash_after_run = true,
            4 => it.faults.crash_before_run = true,
            5 => it.faults.answer_delay = Duration::from_secs(3),
            6 => it.faults.duplicate = true,
            7 => it.faults.wrong_echo = true,
            8 => it.faults.break_after = Some(3),
            9 => it.faults.stall_after = Some(5),
            10 => it.faults.fail = true,
            _ => it.faults.leaving = true,
        }
    }

    /// Resumes all nodes and the store, and runs until each request has ended.
    fn end(&mut self) {
        for node in 0..N_ENTRIES {
            self.world.resume(node);
        }
        self.world.store.faults.down = false;
        self.world.store.faults.stale_reads = false;
        self.world.run_for(Duration::from_secs(60));
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn invariants_hold(seed in 0..1_000_u64, steps in proptest::collection::vec(step(), 1..60)) {
        let mut run = Run::new(seed);
        for step in &steps {
            run.perform(step);
        }
        run.end();
        prop_assert_eq!(invariant_violations(&run.world), Vec::<String>::new());
    }
}
