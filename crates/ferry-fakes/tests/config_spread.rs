//! An accepted change reaches every instance within seconds and is never reverted.

use std::time::Duration;

use ferry_core::Tuning;
use ferry_fakes::{Deployment, DeploymentName, NodeIdx, Request, World};
use ferry_model::{
    AdminOp, AdminReply, InstanceState, Outcome, PresetName, RefusalReason, Revision, Workspace,
};

const N_NODES: usize = 8;
/// Time within which every instance must apply a change, at the present size.
const TARGET: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(5);

struct Case {
    name: &'static str,
    /// Sets faults before the change is requested.
    set_faults: fn(&mut World),
    /// Sets faults as soon as the change is accepted.
    on_accept: fn(&mut World),
    /// Ends the faults; the time within which every instance must apply the change starts then.
    end_faults: Option<fn(&mut World)>,
}

const CASES: &[Case] = &[
    Case { name: "healthy", set_faults: |_| (), on_accept: |_| (), end_faults: None },
    Case {
        name: "slow store",
        set_faults: |it| it.store.faults.delay = Duration::from_millis(150),
        on_accept: |_| (),
        end_faults: None,
    },
    Case {
        name: "silent watches",
        set_faults: |it| it.store.faults.silent_watches = true,
        on_accept: |_| (),
        end_faults: None,
    },
    Case {
        name: "watches that skip changes",
        set_faults: |it| it.store.faults.lossy_watches = true,
        on_accept: |_| (),
        end_faults: None,
    },
    Case {
        name: "store down after acceptance",
        set_faults: |it| it.store.faults.silent_watches = true,
        on_accept: |it| it.store.faults.down = true,
        end_faults: None,
    },
    Case {
        name: "stale reads and silent watches",
        set_faults: |it| {
            it.store.faults.silent_watches = true;
            it.store.freeze_reads();
        },
        on_accept: |_| (),
        end_faults: None,
    },
    Case {
        name: "one instance paused, then resumed",
        set_faults: |it| it.pause(5),
        on_accept: |_| (),
        end_faults: Some(|it| it.resume(5)),
    },
    Case {
        name: "one instance paused while the store goes down",
        set_faults: |it| it.pause(5),
        on_accept: |it| it.store.faults.down = true,
        end_faults: Some(|it| it.resume(5)),
    },
    Case {
        name: "a zone partitioned with silent watches, then reconnected",
        set_faults: |it| {
            it.store.faults.silent_watches = true;
            for other in ["lagos-1", "lagos-3", "lagos-4"] {
                it.network.partitions.push(("lagos-2".to_owned(), other.to_owned()));
            }
        },
        on_accept: |it| it.store.faults.down = true,
        end_faults: Some(|it| it.network.partitions.clear()),
    },
];

fn world(seed: u64) -> World {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world = World::with_deployment(&deployment, N_NODES, &Tuning::default(), seed)
        .expect("the configuration is valid");
    world.run_for(Duration::from_secs(3));
    world
}

fn revisions(world: &World) -> Vec<Revision> {
    (0..world.n_nodes()).map(|it| world.node(it).revision()).collect()
}

/// Runs until `is_done` and returns the time taken; no revision may decrease at any step.
fn run_monotonic(
    world: &mut World,
    name: &str,
    limit: Duration,
    is_done: impl Fn(&World) -> bool,
) -> Option<Duration> {
    let started = world.now;
    let mut last = revisions(world);
    while world.now < started + limit {
        if is_done(world) {
            return Some(world.now - started);
        }
        world.run_for(STEP);
        let next = revisions(world);
        let decreased = last.iter().zip(&next).any(|(old, new)| new < old);
        assert!(!decreased, "{name}: a revision decreased from {last:?} to {next:?}");
        last = next;
    }
    None
}

fn is_answered(world: &World, ticket: u64) -> bool {
    world.admin_replies.get(&ticket).is_some()
}

fn is_applied_everywhere(revision: Revision) -> impl Fn(&World) -> bool {
    move |world| revisions(world).iter().all(|it| revision <= *it)
}

fn use_preset(world: &mut World, node: NodeIdx, id: &str, name: PresetName) -> u64 {
    let expect = world.node(node).revision();
    world.submit_admin(node, "amaka", id, AdminOp::UsePreset { expect, name })
}

#[test]
fn accepted_change_reaches_every_instance_within_the_target() {
    for case in CASES {
        for seed in 0..5 {
            let mut world = world(seed);
            (case.set_faults)(&mut world);
            let ticket = use_preset(&mut world, 0, "switch", PresetName::Peak);
            run_monotonic(&mut world, case.name, Duration::from_secs(12), |it| {
                is_answered(it, ticket)
            });
            let reply = world.reply(ticket).cloned();
            assert_eq!(reply, Some(AdminReply::Accepted { revision: 2 }), "{}", case.name);
            (case.on_accept)(&mut world);
            if let Some(end_faults) = case.end_faults {
                world.run_for(Duration::from_secs(5));
                end_faults(&mut world);
            }
            let took = run_monotonic(&mut world, case.name, TARGET, is_applied_everywhere(2));
            let now = revisions(&world);
            assert!(took.is_some(), "{} with seed {seed}: {now:?} after 2 s", case.name);
            for idx in 0..N_NODES {
                let config = world.node(idx).config().expect("a configuration");
                assert_eq!(config.active, PresetName::Peak, "{}", case.name);
            }
        }
    }
}

#[test]
fn stale_reads_never_restore_an_old_revision() {
    let mut world = world(3);
    world.store.freeze_reads();
    let ticket = use_preset(&mut world, 1, "switch", PresetName::Maintenance);
    let took =
        run_monotonic(&mut world, "stale reads", Duration::from_secs(30), is_applied_everywhere(2));
    assert!(took.is_some_and(|it| it <= TARGET), "{took:?} {:?}", world.reply(ticket));
    let still =
        run_monotonic(&mut world, "stale reads", Duration::from_secs(40), |it| it.now.is_zero());
    assert_eq!(still, None);
    assert!(is_applied_everywhere(2)(&world));
}

#[test]
fn new_instance_starts_from_peers_without_the_store() {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world = world(4);
    let ticket = use_preset(&mut world, 0, "switch", PresetName::Peak);
    world.run_for(TARGET);
    assert_eq!(world.reply(ticket), Some(&AdminReply::Accepted { revision: 2 }));
    world.store.faults.down = true;
    world.kill(3);
    world.run_for(Duration::from_secs(1));
    world.replace(3, deployment.entry(3, 99), Tuning::default(), 99);
    world.run_for(TARGET);
    assert_eq!(world.node(3).revision(), 2);
    let token = blake3::hash(b"demo-token-bars").to_hex().to_string();
    let found = world.node(3).workspaces().by_token(&token);
    assert_eq!(found.map(|it| it.name.as_str()), Some("bars"), "peers also send workspaces");
    let ticket = world.submit(3, Request::new("bars", "draft", "licence"));
    world.run_for(Duration::from_secs(10));
    let answer = world.requests.get(&ticket).and_then(|it| it.answer());
    assert_eq!(answer.map(|it| it.outcome), Some(Outcome::Complete));
}

#[test]
fn nothing_runs_without_store_and_peers() {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let mut world = World::with_deployment(&deployment, 0, &Tuning::default(), 5)
        .expect("the configuration is valid");
    world.store.faults.down = true;
    let idx = world.add_node(deployment.entry(0, 5), Tuning::default(), 5);
    world.run_for(Duration::from_secs(5));
    assert!(!world.node(idx).is_ready());
    let ticket = world.submit(idx, Request::new("stores", "tag", "crate 9"));
    world.run_for(Duration::from_secs(1));
    let answer = world.requests.get(&ticket).and_then(|it| it.answer()).expect("an answer");
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_eq!(answer.refusal, Some(RefusalReason::NoConfiguration));
    world.store.faults.down = false;
    world.run_for(TARGET);
    assert!(world.node(idx).is_ready());
}

#[test]
fn instance_is_ready_once_it_knows_the_endpoints() {
    let mut world = world(6);
    world.list_missing = true;
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let idx = world.add_node(deployment.entry(6, 7), Tuning::default(), 7);
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.node(idx).revision(), 1, "the configuration is known");
    assert!(!world.node(idx).is_ready());
    world.list_missing = false;
    world.run_for(TARGET);
    assert!(world.node(idx).is_ready());
}

#[test]
fn request_keeps_the_revision_it_started_with() {
    let mut world = world(6);
    let ticket = world.submit(2, Request::new("bars", "draft", "licence"));
    world.run_for(Duration::from_millis(20));
    use_preset(&mut world, 0, "switch", PresetName::Peak);
    world.run_for(Duration::from_secs(10));
    let answer = world.requests.get(&ticket).and_then(|it| it.answer()).expect("an answer");
    assert_eq!((answer.outcome, answer.revision), (Outcome::Complete, 1));
    assert_eq!(world.node(2).revision(), 2);
}

#[test]
fn workspace_change_spreads_by_watches_and_by_peers() {
    for silent in [false, true] {
        let mut world = world(7);
        world.store.faults.silent_watches = silent;
        let token = blake3::hash(b"fresh").to_hex().to_string();
        let workspace = Workspace {
            name: "caterers".to_owned(),
            weight: 1,
            concurrent: 3,
            tokens: vec![token.clone()],
        };
        let op = AdminOp::PutWorkspace { expect: 0, workspace };
        let ticket = world.submit_admin(1, "amaka", "caterers", op);
        world.run_for(Duration::from_secs(5));
        assert!(matches!(world.reply(ticket), Some(AdminReply::Accepted { .. })));
        for idx in 0..N_NODES {
            let found = world.node(idx).workspaces().by_token(&token);
            assert_eq!(found.map(|it| it.concurrent), Some(3), "node {idx}, silent {silent}");
        }
    }
}

#[test]
fn status_shows_which_instance_lags_and_for_how_long() {
    let mut world = world(8);
    world.pause(5);
    use_preset(&mut world, 0, "switch", PresetName::Peak);
    world.run_for(Duration::from_secs(4));
    let ticket = world.submit_admin(0, "amaka", "look", AdminOp::Status);
    world.run_for(Duration::from_millis(10));
    let Some(AdminReply::Status(statuses)) = world.reply(ticket) else { panic!("no status") };
    assert_eq!(statuses.len(), N_NODES);
    for status in statuses {
        let is_paused = status.instance.id == "entry-5";
        assert_eq!(status.revision, if is_paused { 1 } else { 2 }, "{}", status.instance.id);
        let lag = status.lag.unwrap_or_default();
        assert_eq!(lag >= Duration::from_secs(3), is_paused, "{}", status.instance.id);
    }
    world.run_for(Duration::from_secs(4));
    let ticket = world.submit_admin(0, "amaka", "look again", AdminOp::Status);
    let Some(AdminReply::Status(statuses)) = world.reply(ticket) else { panic!("no status") };
    let state = statuses.iter().find(|it| it.instance.id == "entry-5").map(|it| it.state);
    assert_eq!(state, Some(InstanceState::Suspect));
}
