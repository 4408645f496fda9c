//! Membership: bounded and connected sets of peers, and addresses by zone and load.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_core::member::subset;
use ferry_core::{Event, Identity, InstanceRole, Tuning};
use ferry_fakes::{Deployment, DeploymentName, Request, World};
use ferry_model::{EndpointState, Heartbeat, Instance, InstanceState, PeerMessage};

/// Bytes a second that a node may send and receive in control messages.
const BYTES_A_SECOND: u64 = 8 * 1024;
/// Bytes that QUIC, UDP and IP add to a message, with its share of acknowledgements.
const TRANSPORT_BYTES: u64 = 80;
const SUSPECT_AFTER: Duration = Duration::from_secs(5);

fn fleet(n_instances: usize, n_zones: usize) -> Vec<Instance> {
    (0..n_instances)
        .map(|idx| Instance {
            id: format!("entry-{idx:03}"),
            zone: format!("zone-{}", idx % n_zones),
            region: format!("region-{}", idx % n_zones % 7),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + 2 * idx as u16)),
            peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 10_001 + 2 * idx as u16)),
            state: EndpointState::Live,
            is_entry: true,
        })
        .collect()
}

fn identity(instance: &Instance) -> Identity {
    Identity {
        instance: instance.id.clone(),
        incarnation: 1,
        zone: instance.zone.clone(),
        region: instance.region.clone(),
        role: InstanceRole::Entry,
    }
}

fn targets(fleet: &[Instance], fanout: usize) -> Vec<Vec<usize>> {
    let position = |id: &str| fleet.iter().position(|it| it.id == id).expect("a known peer");
    fleet
        .iter()
        .map(|own| {
            let others: Vec<&Instance> = fleet.iter().filter(|it| it.id != own.id).collect();
            let chosen = subset::choose(&identity(own), &others, fanout);
            chosen.iter().map(|it| position(it)).collect()
        })
        .collect()
}

#[test]
fn peer_subsets_are_bounded_and_connect_all_instances() {
    for (n_instances, n_zones) in [(2, 1), (8, 4), (9, 4), (64, 8), (470, 28), (470, 1)] {
        let fleet = fleet(n_instances, n_zones);
        let targets = targets(&fleet, 8);
        assert!(targets.iter().all(|it| it.len() <= 8 && it.len() >= 8.min(n_instances - 1)));
        for start in [0, n_instances / 2, n_instances - 1] {
            let mut seen = vec![false; n_instances];
            let mut open = vec![start];
            while let Some(node) = open.pop() {
                if !std::mem::replace(&mut seen[node], true) {
                    open.extend(&targets[node]);
                }
            }
            assert!(seen.iter().all(|it| *it), "{n_instances} from {start}");
        }
    }
}

#[test]
fn removed_instance_changes_only_the_subsets_that_had_it() {
    let fleet = fleet(470, 28);
    let before = targets(&fleet, 8);
    let names: Vec<Vec<&str>> =
        before.iter().map(|it| it.iter().map(|idx| fleet[*idx].id.as_str()).collect()).collect();
    let smaller: Vec<Instance> = fleet.iter().skip(1).cloned().collect();
    let after = targets(&smaller, 8);
    let n_moved: usize = (0..smaller.len())
        .map(|idx| {
            let kept = &names[idx + 1];
            after[idx].iter().filter(|it| !kept.contains(&smaller[**it].id.as_str())).count()
        })
        .sum();
    let n_lost = before.iter().skip(1).filter(|it| it.contains(&0)).count();
    assert_eq!(n_moved, n_lost, "only instances that sent to the removed one choose another");
}

#[test]
fn control_messages_stay_within_their_bytes_at_the_design_size() {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world = World::with_deployment(&deployment, 0, &Tuning::default(), 21)
        .expect("the configuration is valid");
    world.instances = fleet(470, 28);
    for (idx, instance) in world.instances.clone().iter().enumerate() {
        world.add_node(identity(instance), Tuning::default(), idx as u64);
    }
    world.run_for(Duration::from_secs(3));
    let before = world.peer_traffic;
    let seconds = 10;
    world.run_for(Duration::from_secs(seconds));
    let messages = world.peer_traffic.messages - before.messages;
    let bytes = world.peer_traffic.bytes - before.bytes + messages * TRANSPORT_BYTES;
    // Each message is sent by one node and received by another.
    let per_node = 2 * bytes / seconds / 470;
    assert!(per_node < BYTES_A_SECOND, "{per_node} B/s a node in {messages} messages");
    assert!(messages > 470 * seconds, "peers exchange messages: {messages}");
}

#[test]
fn silent_peer_is_suspected_until_its_restart() {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let mut world = World::with_deployment(&deployment, 4, &Tuning::default(), 22)
        .expect("the configuration is valid");
    world.run_for(Duration::from_secs(2));
    let state = |world: &World, id: &str| {
        let members = world.node(0).members();
        members.get(id).map(|it| members.state(world.now, SUSPECT_AFTER, it))
    };
    assert_eq!(state(&world, "entry-2"), Some(InstanceState::Live));
    world.kill(2);
    world.run_for(Duration::from_secs(7));
    assert_eq!(state(&world, "entry-2"), Some(InstanceState::Suspect));
    let ticket = world.query_instances(0, Some("kl-3"));
    let answer = world.instance_answers.get(&ticket).expect("an answer");
    assert!(answer.choices.iter().all(|it| it.instance != "entry-2"));
    world.replace(2, deployment.entry(2, 77), Tuning::default(), 77);
    world.run_for(Duration::from_secs(2));
    assert_eq!(state(&world, "entry-2"), Some(InstanceState::Live));
    world.kill(2);
    world.instances.retain(|it| it.id != "entry-2");
    world.run_for(Duration::from_secs(8));
    assert_eq!(state(&world, "entry-2"), Some(InstanceState::Gone));
}

#[test]
fn leaving_state_reaches_instances_beyond_direct_peers() {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world = World::with_deployment(&deployment, 0, &Tuning::default(), 23)
        .expect("the configuration is valid");
    world.instances = fleet(64, 8);
    for (idx, instance) in world.instances.clone().iter().enumerate() {
        world.add_node(identity(instance), Tuning::default(), idx as u64);
    }
    world.run_for(Duration::from_secs(3));
    world.deliver(7, Event::Shutdown);
    world.run_for(Duration::from_secs(2));
    for idx in (0..64).filter(|it| *it != 7) {
        let members = world.node(idx).members();
        let member = members.get("entry-007").expect("a member");
        let state = members.state(world.now, SUSPECT_AFTER, member);
        assert_eq!(state, InstanceState::Leaving, "node {idx}");
    }
}

#[test]
fn answers_prefer_the_zone_and_idle_instances() {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world = World::with_deployment(&deployment, 8, &Tuning::default(), 24)
        .expect("the configuration is valid");
    world.run_for(Duration::from_secs(2));
    for idx in 0..150 {
        world.submit(1, Request::new("bars", "draft", format!("licence {idx}")));
        world.run_for(Duration::from_millis(10));
    }
    let ticket = world.query_instances(0, Some("lagos-2"));
    let answer = world.instance_answers.get(&ticket).expect("an answer").clone();
    let weight = |id: &str| answer.choices.iter().find(|it| it.instance == id).map(|it| it.weight);
    let (busy, idle) = (weight("entry-1"), weight("entry-5"));
    assert!(busy < idle, "busy {busy:?}, idle {idle:?}");
    let n_local = answer.choices.iter().filter(|it| it.zone == "lagos-2").count();
    assert_eq!(n_local, 2, "{:?}", answer.choices);
    let others = answer.choices.iter().filter(|it| it.zone != "lagos-2");
    assert!(others.clone().count() >= 1, "another zone is offered as a fallback");
    assert!(others.map(|it| it.weight).max() < idle);
    world.run_for(Duration::from_secs(8));
    let heartbeat = world.node(0).members().get("entry-1").and_then(|it| it.heartbeat.as_ref());
    assert_eq!(heartbeat.map(|it| it.load()), Some(0), "its requests have ended");
}

#[test]
fn heartbeat_out_of_order_changes_nothing() {
    let deployment = Deployment::new(DeploymentName::Kancil);
    let mut world = World::with_deployment(&deployment, 2, &Tuning::default(), 25)
        .expect("the configuration is valid");
    world.run_for(Duration::from_secs(2));
    let heartbeat_event = |revision, plan, state| {
        let heartbeat = Heartbeat {
            instance: "entry-1".to_owned(),
            incarnation: 99_000,
            zone: "kl-2".to_owned(),
            state,
            revision,
            plan,
            loads: Vec::new(),
            demand: Vec::new(),
            leaving: Vec::new(),
            workspaces: 0,
        };
        let message = PeerMessage::Heartbeat(heartbeat);
        Event::Peer { from: "entry-1".to_owned(), message }
    };
    world.deliver(0, heartbeat_event(1, 5, InstanceState::Leaving));
    world.deliver(0, heartbeat_event(1, 3, InstanceState::Live));
    let heartbeat = world.node(0).members().get("entry-1").and_then(|it| it.heartbeat.clone());
    let heartbeat = heartbeat.expect("a heartbeat was received");
    assert_eq!(
        (heartbeat.revision, heartbeat.plan, heartbeat.state),
        (1, 5, InstanceState::Leaving)
    );
}
