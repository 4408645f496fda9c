//! Replies to operators match what is stored, despite concurrent changes and store faults.

use std::time::Duration;

use ferry_core::Tuning;
use ferry_core::admin::document::{Document, Target};
use ferry_fakes::{Deployment, DeploymentName, World};
use ferry_model::{
    AdminOp, AdminReply, Config, Finding, Floor, ObjectKey, ObjectKind, Pipeline, Pool, PoolLimit,
    Preset, PresetName, Stage, StageKind, Workspace,
};

/// Time within which an operator must get a reply.
const DEADLINE: Duration = Duration::from_secs(10);

fn world(seed: u64) -> World {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let mut world = World::with_deployment(&deployment, 3, &Tuning::default(), seed)
        .expect("the configuration is valid");
    world.run_for(Duration::from_secs(1));
    world
}

fn stored(world: &World) -> Config {
    let object = world.store.get(&ObjectKey::new(ObjectKind::Config, "deployment"));
    serde_json::from_str(&object.expect("the object").value).expect("a configuration")
}

fn use_preset(expect: u64, name: PresetName) -> AdminOp {
    AdminOp::UsePreset { expect, name }
}

struct StoreFault {
    name: &'static str,
    fault: fn(&mut World),
    /// What happens while the operator waits, a second later.
    then: fn(&mut World),
    expected: Option<AdminReply>,
    /// Whether the change is stored in the end.
    is_stored: bool,
}

const STORE_FAULTS: &[StoreFault] = &[
    StoreFault {
        name: "answer lost after the write took effect",
        fault: |it| it.store.faults.lost_answers = 1,
        then: |_| (),
        expected: Some(AdminReply::Accepted { revision: 2 }),
        is_stored: true,
    },
    StoreFault {
        name: "three answers lost",
        fault: |it| it.store.faults.lost_answers = 3,
        then: |_| (),
        expected: Some(AdminReply::Accepted { revision: 2 }),
        is_stored: true,
    },
    StoreFault {
        name: "write lost before it took effect",
        fault: |it| it.store.faults.lost_writes = 2,
        then: |_| (),
        expected: Some(AdminReply::Accepted { revision: 2 }),
        is_stored: true,
    },
    StoreFault {
        name: "write takes effect after the writer gave up",
        fault: |it| it.store.faults.late_writes = 1,
        then: |_| (),
        expected: Some(AdminReply::Accepted { revision: 2 }),
        is_stored: true,
    },
    StoreFault {
        name: "answer lost, then stale reads",
        fault: |it| {
            it.store.freeze_reads();
            it.store.faults.lost_answers = 1;
        },
        then: |it| {
            it.run_for(Duration::from_secs(3));
            it.store.faults.stale_reads = false;
        },
        expected: Some(AdminReply::Accepted { revision: 2 }),
        is_stored: true,
    },
    StoreFault {
        name: "answer lost, then a short outage",
        fault: |it| it.store.faults.lost_answers = 1,
        then: |it| {
            it.store.faults.down = true;
            it.run_for(Duration::from_secs(4));
            it.store.faults.down = false;
        },
        expected: Some(AdminReply::Accepted { revision: 2 }),
        is_stored: true,
    },
    StoreFault {
        name: "write lost, then another operator changes it first",
        fault: |it| it.store.faults.lost_writes = 1,
        then: |it| {
            let op = use_preset(1, PresetName::Maintenance);
            it.submit_admin(1, "farid", "other", op);
        },
        expected: None,
        is_stored: false,
    },
    StoreFault {
        name: "outage from the start",
        fault: |it| it.store.faults.down = true,
        then: |_| (),
        expected: Some(AdminReply::Unavailable(String::new())),
        is_stored: false,
    },
    StoreFault {
        name: "answer lost, then an outage past the deadline",
        fault: |it| it.store.faults.lost_answers = 1,
        then: |it| it.store.faults.down = true,
        expected: Some(AdminReply::Unconfirmed(String::new())),
        is_stored: true,
    },
];

/// Compares replies without the text that explains them.
fn is_same(reply: &AdminReply, expected: &AdminReply) -> bool {
    match (reply, expected) {
        (AdminReply::Unavailable(_), AdminReply::Unavailable(_))
        | (AdminReply::Unconfirmed(_), AdminReply::Unconfirmed(_)) => true,
        (reply, expected) => reply == expected,
    }
}

#[test]
fn reply_under_store_faults_matches_what_is_stored() {
    for case in STORE_FAULTS {
        let mut world = world(1);
        (case.fault)(&mut world);
        let ticket = world.submit_admin(0, "amaka", "switch", use_preset(1, PresetName::Peak));
        world.run_for(Duration::from_millis(900));
        (case.then)(&mut world);
        world.run_for(DEADLINE);
        let reply = world.reply(ticket).unwrap_or_else(|| panic!("{}: no reply", case.name));
        if let Some(expected) = &case.expected {
            assert!(is_same(reply, expected), "{}: {reply:?}", case.name);
        }
        world.run_for(Duration::from_secs(5));
        let config = stored(&world);
        let n_changes = config.history.iter().filter(|it| it.id == "switch").count();
        assert_eq!(n_changes, usize::from(case.is_stored), "{}: {:?}", case.name, config.history);
        match world.reply(ticket) {
            Some(AdminReply::Accepted { .. }) => assert!(case.is_stored, "{}", case.name),
            Some(AdminReply::Unconfirmed(_)) => (),
            Some(_) => assert!(!case.is_stored, "{}", case.name),
            None => panic!("{}: no reply", case.name),
        }
    }
}

#[test]
fn retried_change_is_recognized_by_its_id() {
    let mut world = world(2);
    world.store.faults.lost_answers = 1;
    world.submit_admin(0, "amaka", "switch", use_preset(1, PresetName::Peak));
    world.run_for(Duration::from_millis(500));
    world.kill(0);
    let ticket = world.submit_admin(1, "amaka", "switch", use_preset(1, PresetName::Peak));
    world.run_for(DEADLINE);
    assert_eq!(world.reply(ticket), Some(&AdminReply::Accepted { revision: 2 }));
    assert_eq!(stored(&world).history.len(), 2);
}

#[test]
fn one_of_concurrent_changes_is_accepted_and_the_others_see_its_author() {
    for seed in 0..10 {
        let mut world = world(seed);
        let names = [PresetName::Peak, PresetName::Maintenance, PresetName::Ordinary];
        let tickets: Vec<u64> = (0..3)
            .map(|idx| {
                let author = ["amaka", "farid", "chidi"][idx];
                world.submit_admin(idx, author, author, use_preset(1, names[idx]))
            })
            .collect();
        world.run_for(DEADLINE);
        let replies: Vec<&AdminReply> =
            tickets.iter().map(|it| world.reply(*it).expect("one reply")).collect();
        let n_accepted =
            replies.iter().filter(|it| matches!(it, AdminReply::Accepted { .. })).count();
        assert_eq!(n_accepted, 1, "seed {seed}: {replies:?}");
        let config = stored(&world);
        let winner = &config.history[1].author;
        for reply in &replies {
            let AdminReply::Conflict { revision, changes } = reply else { continue };
            assert_eq!(*revision, 2);
            assert_eq!(changes.len(), 1);
            assert_eq!((&changes[0].author, changes[0].location.as_str()), (winner, "/chosen"));
        }
        for idx in 0..3 {
            let chosen = world.node(idx).config().map(|it| it.active);
            assert_eq!(chosen, Some(config.active), "seed {seed}, node {idx}");
        }
    }
}

#[test]
fn concurrent_changes_to_workspaces_of_one_shard_do_not_conflict() {
    let mut world = world(3);
    let names: Vec<String> = (0..400).map(|idx| format!("ward-{idx}")).collect();
    let shard = Target::new(&AdminOp::DeleteWorkspace { expect: 0, name: names[0].clone() });
    let same: Vec<&String> = names
        .iter()
        .filter(|it| {
            Target::new(&AdminOp::DeleteWorkspace { expect: 0, name: (*it).clone() }) == shard
        })
        .take(3)
        .collect();
    let tickets: Vec<u64> = same
        .iter()
        .enumerate()
        .map(|(idx, name)| {
            let workspace =
                Workspace { name: (*name).clone(), weight: 1, concurrent: 0, tokens: Vec::new() };
            world.submit_admin(idx, "amaka", name, AdminOp::PutWorkspace { expect: 0, workspace })
        })
        .collect();
    assert_eq!(tickets.len(), 3);
    world.run_for(DEADLINE);
    for ticket in tickets {
        assert!(matches!(world.reply(ticket), Some(AdminReply::Accepted { .. })));
    }
    let again = AdminOp::DeleteWorkspace { expect: 9_999, name: same[0].clone() };
    let ticket = world.submit_admin(0, "farid", "stale", again);
    world.run_for(DEADLINE);
    let Some(AdminReply::Conflict { changes, .. }) = world.reply(ticket) else {
        panic!("{:?}", world.reply(ticket));
    };
    assert!(changes.is_empty(), "no change is newer than a revision that was never assigned");
}

struct Invalid {
    name: &'static str,
    op: fn() -> AdminOp,
    locations: &'static [&'static str],
}

fn stage(name: &str, kind: StageKind, pool: &str) -> Stage {
    Stage {
        name: name.to_owned(),
        kind,
        pool: pool.to_owned(),
        repeatable: true,
        model: None,
        max_tokens: 0,
    }
}

const INVALID: &[Invalid] = &[
    Invalid {
        name: "pipeline in which every field is invalid",
        op: || AdminOp::PutPipeline {
            expect: 1,
            pipeline: Pipeline {
                name: "Draft Report".to_owned(),
                priority: 0,
                deadline: Duration::ZERO,
                stages: vec![
                    stage("encode", StageKind::Encode, "nowhere"),
                    stage("encode", StageKind::Rerank, "encode"),
                    stage("write", StageKind::Generate, "language"),
                ],
            },
        },
        locations: &[
            "/name",
            "/deadline",
            "/stages/0/pool",
            "/stages/1/kind",
            "/stages/1/name",
            "/stages/2/model",
            "/stages/2/max_tokens",
        ],
    },
    Invalid {
        name: "preset",
        op: || AdminOp::PutPreset {
            expect: 1,
            name: PresetName::Peak,
            preset: Preset {
                floors: vec![
                    Floor { pool: "asset".to_owned(), endpoints: 1 },
                    Floor { pool: "asset".to_owned(), endpoints: 2 },
                ],
                limits: vec![PoolLimit { pool: "nowhere".to_owned(), concurrent: 0 }],
            },
        },
        locations: &["/floors/1/pool", "/limits/0/pool", "/limits/0/concurrent"],
    },
    Invalid {
        name: "pool of another kind than its stages",
        op: || AdminOp::PutPool {
            expect: 1,
            pool: Pool { name: "asset".to_owned(), kind: StageKind::Rerank, checks_fence: true },
        },
        locations: &["/kind"],
    },
    Invalid {
        name: "pool in use",
        op: || AdminOp::DeletePool { expect: 1, name: "asset".to_owned() },
        locations: &[
            "/pipelines/lookup/stages/2/pool",
            "/presets/ordinary/floors",
            "/presets/peak/floors",
            "/presets/maintenance/floors",
        ],
    },
    Invalid {
        name: "workspace",
        op: || AdminOp::PutWorkspace {
            expect: 0,
            workspace: Workspace {
                name: String::new(),
                weight: 0,
                concurrent: 0,
                tokens: vec!["secret".to_owned()],
            },
        },
        locations: &["/name", "/weight", "/tokens/0"],
    },
];

#[test]
fn invalid_change_reports_all_findings_with_their_locations() {
    for case in INVALID {
        let mut world = world(4);
        let before = stored(&world);
        let ticket = world.submit_admin(0, "amaka", "edit", (case.op)());
        world.run_for(DEADLINE);
        let Some(AdminReply::Invalid(findings)) = world.reply(ticket) else {
            panic!("{}: {:?}", case.name, world.reply(ticket));
        };
        let locations: Vec<&str> =
            findings.iter().map(|it: &Finding| it.location.as_str()).collect();
        assert_eq!(locations, case.locations, "{}: {findings:?}", case.name);
        assert_eq!(stored(&world), before, "{}", case.name);
    }
}

#[test]
fn history_keeps_a_bounded_number_of_changes() {
    let mut world = world(5);
    for revision in 1..=70 {
        let name = if revision % 2 == 0 { PresetName::Peak } else { PresetName::Ordinary };
        let id = format!("change-{revision}");
        let ticket = world.submit_admin(0, "amaka", &id, use_preset(revision, name));
        world.run_for(Duration::from_millis(100));
        let accepted = AdminReply::Accepted { revision: revision + 1 };
        assert_eq!(world.reply(ticket), Some(&accepted));
    }
    let config = stored(&world);
    assert_eq!(config.history.len(), 64);
    assert_eq!(config.history.last().map(|it| it.id.as_str()), Some("change-70"));
    let document = Document::Config(Box::new(config));
    assert!(!document.covers(7) && document.covers(8));
}
