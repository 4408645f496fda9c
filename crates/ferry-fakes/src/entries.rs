//! Fake entries that serve no requests: they follow plans and report a demand that tests set.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_core::Event;
use ferry_core::place::plan;
use ferry_model::{
    EndpointState, Heartbeat, Instance, InstanceState, PeerMessage, Plan, PoolLoad, Revision,
};

use crate::{NodeIdx, World};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// First port of the fake addresses.
const FIRST_PORT: u16 = 40_000;

/// An entry that only sends heartbeats to placement.
#[derive(Debug, Clone)]
pub struct FakeEntry {
    pub name: String,
    /// Whether it applies new plans; if not, it keeps the plan that it has, as if paused.
    pub follows_plan: bool,
    pub sends_heartbeats: bool,
    /// Demand that its heartbeats report, sorted by pool.
    pub loads: Vec<PoolLoad>,
    plan: Revision,
}

/// Fake entries on the instance list of a world.
#[derive(Debug, Clone)]
pub struct FakeEntries {
    pub entries: Vec<FakeEntry>,
}

impl FakeEntries {
    /// Adds `n_entries` to the instance list of `world`.
    pub fn new(world: &mut World, n_entries: u16) -> FakeEntries {
        let entries: Vec<FakeEntry> = (0..n_entries)
            .map(|idx| FakeEntry {
                name: format!("fake-{idx}"),
                follows_plan: true,
                sends_heartbeats: true,
                loads: Vec::new(),
                plan: 0,
            })
            .collect();
        for (idx, entry) in (0..).zip(&entries) {
            let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            world.instances.push(Instance {
                id: entry.name.clone(),
                zone: "zone-1".to_owned(),
                region: "region".to_owned(),
                address: address(FIRST_PORT + 2 * idx),
                peer: address(FIRST_PORT + 2 * idx + 1),
                state: EndpointState::Live,
                is_entry: true,
            });
        }
        FakeEntries { entries }
    }

    /// Sets the number of concurrent calls to a pool that the first entry reports.
    pub fn set_concurrency(&mut self, pool: &str, running: u32) {
        let loads = &mut self.entries[0].loads;
        let load = PoolLoad { pool: pool.to_owned(), running, queued: 0, arrived: running };
        match loads.binary_search_by(|it| it.pool.as_str().cmp(pool)) {
            Ok(idx) => loads[idx] = load,
            Err(idx) => loads.insert(idx, load),
        }
    }

    /// Runs the world for `time` and sends heartbeats to `controls` meanwhile.
    pub fn run(&mut self, world: &mut World, controls: &[NodeIdx], time: Duration) {
        let end = world.now + time;
        while world.now < end {
            self.send_heartbeats(world, controls);
            world.run_until(end.min(world.now + HEARTBEAT_INTERVAL));
        }
    }

    fn send_heartbeats(&mut self, world: &mut World, controls: &[NodeIdx]) {
        let stored = world.store.get(&plan::plan_key());
        let plan: Option<Plan> = stored.and_then(|it| serde_json::from_str(&it.value).ok());
        let revision = plan.map_or(0, |it| it.revision);
        for entry in self.entries.iter_mut().filter(|it| it.sends_heartbeats) {
            if entry.follows_plan {
                entry.plan = revision;
            }
            for idx in controls {
                world.deliver(*idx, heartbeat_of(entry));
            }
        }
    }
}

fn heartbeat_of(entry: &FakeEntry) -> Event {
    let heartbeat = Heartbeat {
        instance: entry.name.clone(),
        incarnation: 1,
        zone: "zone-1".to_owned(),
        state: InstanceState::Live,
        revision: 1,
        plan: entry.plan,
        loads: entry.loads.clone(),
        demand: Vec::new(),
        leaving: Vec::new(),
        workspaces: 0,
    };
    Event::Peer { from: entry.name.clone(), message: PeerMessage::Heartbeat(heartbeat) }
}
