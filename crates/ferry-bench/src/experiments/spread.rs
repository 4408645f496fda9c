//! Time until a configuration change is applied everywhere, and its cost in bytes and calls.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_core::config::CONFIG_NAME;
use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_fakes::{Deployment, DeploymentName, World};
use ferry_model::{
    AdminOp, AdminReply, EndpointState, Instance, ObjectKey, ObjectKind, PresetName,
};
use strum::{Display, EnumIter, IntoStaticStr};

/// Time after which a change counts as never applied.
const APPLY_TIMEOUT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(1);
/// Time for the fleet to settle before a measurement.
const WARM_UP: Duration = Duration::from_secs(5);
/// One-way delay of a slow store.
const SLOW_STORE: Duration = Duration::from_millis(250);
/// Node that receives the operators' requests.
const WRITER: usize = 0;
/// Node that is frozen, and for how long after a change is accepted.
const FROZEN: usize = 5;
const FREEZE_TIME: Duration = Duration::from_secs(5);

/// Condition of the store or of a node while changes are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Condition {
    Healthy,
    StoreSlow,
    WatchesGapped,
    StoreDownAfterAcceptance,
    /// One node is frozen during the change; the time counts from its thaw.
    FrozenThenThawed,
}

/// Returns instances spread over zones and seven regions, at addresses where nothing listens.
pub fn fleet(n_instances: usize, n_zones: usize) -> Vec<Instance> {
    (0..n_instances)
        .map(|idx| Instance {
            id: format!("entry-{idx:03}"),
            zone: format!("zone-{:02}", idx % n_zones),
            region: format!("region-{}", idx % n_zones % 7),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + 2 * idx as u16)),
            peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 10_001 + 2 * idx as u16)),
            state: EndpointState::Live,
            is_entry: true,
        })
        .collect()
}

/// Returns a world of `n_instances` entries that have settled.
pub fn settled_world(n_instances: usize, n_zones: usize, seed: u64) -> Result<World, String> {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world = World::with_deployment(&deployment, 0, &Tuning::default(), seed)
        .map_err(|it| it.to_string())?;
    world.instances = fleet(n_instances, n_zones);
    for (idx, instance) in world.instances.clone().into_iter().enumerate() {
        let identity = Identity {
            instance: instance.id,
            incarnation: seed.wrapping_mul(1_000).wrapping_add(idx as u64 + 1),
            zone: instance.zone,
            region: instance.region,
            role: InstanceRole::Entry,
        };
        world.add_node(identity, Tuning::default(), seed.wrapping_add(idx as u64));
    }
    world.run_for(WARM_UP);
    Ok(world)
}

/// Makes `n_changes` changes in turn and returns the time of each, from its write to the object API
/// until all instances have applied it.
pub fn measure(condition: Condition, n_changes: u64, seed: u64) -> Result<Vec<Duration>, String> {
    let mut world = settled_world(8, 4, seed)?;
    let faults = &mut world.store.faults;
    faults.lossy_watches = condition == Condition::WatchesGapped;
    // The outage begins before any watch has reported the change.
    faults.silent_watches = condition == Condition::StoreDownAfterAcceptance;
    if condition == Condition::StoreSlow {
        faults.delay = SLOW_STORE;
    }
    let mut times = Vec::new();
    for nth in 0..n_changes {
        if condition == Condition::FrozenThenThawed {
            world.pause(FROZEN);
        }
        let change = change(&mut world, nth)?;
        world.store.faults.down = condition == Condition::StoreDownAfterAcceptance;
        let mut started = change.written_at;
        if condition == Condition::FrozenThenThawed {
            world.run_for(FREEZE_TIME);
            started = world.now;
            world.resume(FROZEN);
        }
        while !is_applied_everywhere(&world, change.revision) {
            if started + APPLY_TIMEOUT <= world.now {
                return Err(format!(
                    "{condition}: change {nth} was not applied everywhere in time"
                ));
            }
            world.run_for(STEP);
        }
        times.push(world.now - started);
        world.store.faults.down = false;
        // Starts each change at another phase of the heartbeats and polls.
        world.run_for(Duration::from_millis(2_000 + 37 * nth % 1_000));
    }
    Ok(times)
}

/// Peer messages and object API calls of one instance, per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeTraffic {
    pub messages: f64,
    /// Encoded bytes of the messages sent, without transport overhead.
    pub bytes: f64,
    pub gets: f64,
    pub watches: f64,
    pub lists: f64,
    pub puts: f64,
}

/// Measures the traffic of one instance; `gap` is the time between changes, if there are any.
pub fn traffic(
    n_instances: usize,
    n_zones: usize,
    gap: Option<Duration>,
    seconds: u64,
) -> Result<NodeTraffic, String> {
    let mut world = settled_world(n_instances, n_zones, 1)?;
    // Leaves out the reads of the startup.
    world.run_for(Duration::from_secs(20));
    let (traffic_before, calls_before) = (world.peer_traffic, world.store_calls.clone());
    let until = world.now + Duration::from_secs(seconds);
    let mut nth = 0;
    while world.now < until {
        match gap {
            Some(gap) => {
                let started = world.now;
                change(&mut world, nth)?;
                nth += 1;
                world.run_until(until.min(started + gap));
            }
            None => world.run_until(until),
        }
    }
    let node_seconds = n_instances as f64 * seconds as f64;
    let rate = |op: &str| {
        let count = |it: Option<&u64>| it.copied().unwrap_or(0);
        (count(world.store_calls.get(op)) - count(calls_before.get(op))) as f64 / node_seconds
    };
    Ok(NodeTraffic {
        messages: (world.peer_traffic.messages - traffic_before.messages) as f64 / node_seconds,
        bytes: (world.peer_traffic.bytes - traffic_before.bytes) as f64 / node_seconds,
        gets: rate("get"),
        watches: rate("watch"),
        lists: rate("list"),
        puts: rate("put"),
    })
}

/// An accepted change.
struct Change {
    revision: u64,
    /// When its write took effect in the object API.
    written_at: Duration,
}

/// Switches to another preset and returns once the change is accepted.
fn change(world: &mut World, nth: u64) -> Result<Change, String> {
    let expect = world.node(WRITER).revision();
    let name = if nth.is_multiple_of(2) { PresetName::Peak } else { PresetName::Ordinary };
    let op = AdminOp::UsePreset { expect, name };
    let n_writes = world.store.writes;
    let ticket = world.submit_admin(WRITER, "bench", &format!("change-{nth}"), op);
    let until = world.now + APPLY_TIMEOUT;
    let mut written_at = None;
    while world.now < until {
        if n_writes < world.store.writes {
            written_at.get_or_insert(world.now);
        }
        match world.reply(ticket) {
            Some(AdminReply::Accepted { revision }) => {
                let written_at = written_at.unwrap_or(world.now);
                return Ok(Change { revision: *revision, written_at });
            }
            Some(other) => return Err(format!("change {nth} was not accepted: {other:?}")),
            None => world.run_for(STEP),
        }
    }
    Err(format!("change {nth} got no reply in time"))
}

/// Returns the size of the stored configuration with a full history of changes, in bytes.
pub fn config_bytes() -> Result<usize, String> {
    let mut world = settled_world(8, 4, 1)?;
    for nth in 0..64 {
        change(&mut world, nth)?;
    }
    let key = ObjectKey::new(ObjectKind::Config, CONFIG_NAME);
    Ok(world.store.get(&key).map_or(0, |it| it.value.len()))
}

fn is_applied_everywhere(world: &World, revision: u64) -> bool {
    (0..world.n_nodes()).all(|it| revision <= world.node(it).revision())
}
