//! A graceful shutdown breaks no request: callers move to other instances before this one refuses
//! and exits.

use std::time::Duration;

use ferry_core::{Event, Tuning};
use ferry_fakes::{Deployment, DeploymentName, NodeIdx, Request, RequestRecord, World};
use ferry_model::{EndpointState, InstanceState, Moment, Outcome, RefusalReason};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const N_NODES: usize = 6;
const ARRIVAL_GAP: Duration = Duration::from_millis(25);

/// A caller that keeps an answer for its time to live and then asks any instance again.
struct Caller {
    zone: &'static str,
    choices: Vec<(NodeIdx, u32)>,
    until: Moment,
}

impl Caller {
    fn choose(&mut self, world: &mut World, rng: &mut Pcg64Mcg) -> NodeIdx {
        if self.until <= world.now {
            self.refresh(world, rng);
        }
        let total: u32 = self.choices.iter().map(|(_, weight)| weight).sum();
        let mut drawn = rng.random_range(0..total);
        for (node, weight) in &self.choices {
            if drawn < *weight {
                return *node;
            }
            drawn -= weight;
        }
        unreachable!("the weights add up to the total");
    }

    fn refresh(&mut self, world: &mut World, rng: &mut Pcg64Mcg) {
        loop {
            let node = rng.random_range(0..N_NODES);
            if !world.is_alive(node) {
                continue;
            }
            let ticket = world.query_instances(node, Some(self.zone));
            let answer = world.instance_answers.get(&ticket).expect("an answer");
            assert!(!answer.choices.is_empty(), "some instance serves");
            let position =
                |id: &str| (0..N_NODES).find(|it| world.node(*it).identity().instance == id);
            self.choices = answer
                .choices
                .iter()
                .map(|it| (position(&it.instance).expect("a node"), it.weight))
                .collect();
            self.until = world.now + answer.ttl;
            return;
        }
    }
}

fn tuning() -> Tuning {
    Tuning {
        answer_ttl: Duration::from_secs(3),
        leave_margin: Duration::from_secs(2),
        ..Tuning::default()
    }
}

struct Case {
    name: &'static str,
    /// Time until the list shows that an instance leaves, if it ever does.
    list_lag: Option<Duration>,
    store_down: bool,
}

const CASES: &[Case] = &[
    Case { name: "list lags a little", list_lag: Some(Duration::from_secs(2)), store_down: false },
    Case { name: "list never shows the instance as leaving", list_lag: None, store_down: false },
    Case { name: "store down", list_lag: None, store_down: true },
];

#[test]
fn rolling_replacement_breaks_loses_and_repeats_no_request() {
    for case in CASES {
        let deployment = Deployment::new(DeploymentName::Kancil);
        let mut world = World::with_deployment(&deployment, N_NODES, &tuning(), 11)
            .expect("the configuration is valid");
        world.run_for(Duration::from_secs(2));
        world.store.faults.down = case.store_down;
        let mut rng = Pcg64Mcg::seed_from_u64(11);
        let mut callers: Vec<Caller> = ["kl-1", "kl-2", "kl-3", "kl-4"]
            .into_iter()
            .map(|zone| Caller { zone, choices: Vec::new(), until: Moment::ZERO })
            .collect();
        let mut sent = 0;
        for node in 0..N_NODES {
            world.deliver(node, Event::Shutdown);
            let started = world.now;
            while !world.has_exited(node) {
                assert!(
                    world.now < started + Duration::from_secs(30),
                    "{}: node {node} does not exit",
                    case.name
                );
                if case.list_lag.is_some_and(|it| started + it <= world.now) {
                    world.instances[node].state = EndpointState::Leaving;
                }
                load(&mut world, &mut callers, &mut rng, &mut sent);
            }
            world.kill(node);
            for _ in 0..8 {
                load(&mut world, &mut callers, &mut rng, &mut sent);
            }
            let seed = 100 + node as u64;
            world.replace(node, deployment.entry(node, seed), tuning(), seed);
            world.instances[node].state = EndpointState::Live;
            let replaced = world.now;
            while world.now < replaced + Duration::from_secs(2) {
                load(&mut world, &mut callers, &mut rng, &mut sent);
            }
        }
        world.run_for(Duration::from_secs(20));
        check(&world, case.name, sent);
    }
}

fn load(world: &mut World, callers: &mut [Caller], rng: &mut Pcg64Mcg, sent: &mut u64) {
    *sent += 1;
    let caller = &mut callers[(*sent % 4) as usize];
    let node = caller.choose(world, rng);
    let pipeline = ["report", "lookup", "tag", "audit"][rng.random_range(0..4)];
    let input = format!("item {sent}");
    let mut request = Request::new("stores", pipeline, input).with_key(format!("key-{sent}"));
    if pipeline == "report" {
        request = request.with_stream();
    }
    world.submit(node, request);
    world.run_for(ARRIVAL_GAP);
}

fn check(world: &World, name: &str, sent: u64) {
    assert_eq!(world.requests.len() as u64, sent);
    for record in world.requests.values() {
        let seen =
            || format!("{name}: node {} at {:?}: {:?}", record.node, record.at, record.answers);
        assert!(!record.connection_lost, "connection lost: {}", seen());
        assert_eq!(record.answers.len(), 1, "{}", seen());
        let answer = record.answer().expect("an answer");
        let may_refuse = name == "store down" && is_non_repeatable(record);
        match answer.outcome {
            Outcome::Complete => {
                let output = answer.output.as_deref().unwrap_or_default();
                assert!(output.contains(&format!("({})", record.request.input)), "{}", seen());
            }
            Outcome::NotRun => {
                assert!(may_refuse, "{}", seen());
                assert_eq!(answer.refusal, Some(RefusalReason::StoreUnavailable), "{}", seen());
            }
            Outcome::Failed | Outcome::InDoubt => panic!("{}", seen()),
        }
        if is_non_repeatable(record) {
            let key = record.request.key.as_deref().unwrap_or_default();
            let last = match record.request.pipeline.as_str() {
                "lookup" => "asset",
                _ => "intake",
            };
            let n_runs = world.runs.iter().filter(|it| it.key == key && it.stage == last).count();
            assert!(n_runs <= 1, "ran more than once: {}", seen());
        }
    }
}

/// Whether the last stage of the request may run at most once.
fn is_non_repeatable(record: &RequestRecord) -> bool {
    matches!(record.request.pipeline.as_str(), "lookup" | "tag")
}

#[test]
fn leaving_instance_serves_then_refuses_and_exits_last() {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world =
        World::with_deployment(&deployment, 3, &tuning(), 12).expect("the configuration is valid");
    world.run_for(Duration::from_secs(2));
    world.deliver(1, Event::Shutdown);
    world.run_for(Duration::from_millis(100));
    for node in 0..3 {
        let ticket = world.query_instances(node, None);
        let answer = world.instance_answers.get(&ticket).expect("an answer");
        let names: Vec<&str> = answer.choices.iter().map(|it| it.instance.as_str()).collect();
        assert!(!names.contains(&"entry-1"), "node {node} still names {names:?}");
        assert_eq!(answer.ttl, Duration::from_secs(3));
    }
    let members = world.node(0).members();
    let member = members.get("entry-1").expect("a member");
    let state = members.state(world.now, Duration::from_secs(5), member);
    assert_eq!(state, InstanceState::Leaving);

    let early = world.submit(1, Request::new("bars", "portal", "early"));
    world.run_for(Duration::from_secs(2));
    world.deliver(1, Event::Shutdown);
    assert!(!world.has_exited(1), "callers may still hold the address");
    world.run_for(Duration::from_millis(2_700));
    world.endpoints.values_mut().for_each(|it| it.speed.token_time = Duration::from_millis(50));
    let stream = world.submit(1, Request::new("bars", "draft", "long").with_stream());
    world.run_for(Duration::from_millis(300));
    assert!(!world.has_exited(1), "a stream is in flight");
    let late = world.submit(1, Request::new("bars", "portal", "late"));
    world.run_for(Duration::from_secs(5));
    let answer =
        |ticket| world.requests.get(&ticket).and_then(RequestRecord::answer).expect("an answer");
    assert_eq!(answer(early).outcome, Outcome::Complete);
    assert_eq!(answer(stream).outcome, Outcome::Complete);
    assert_eq!(answer(late).outcome, Outcome::NotRun);
    assert_eq!(answer(late).refusal, Some(RefusalReason::InstanceLeaving));
    assert!(answer(late).retry_after.is_some());
    let late_runs = world.runs.iter().filter(|it| it.request == answer(late).request).count();
    assert_eq!(late_runs, 0);
    assert!(world.has_exited(1));
}
