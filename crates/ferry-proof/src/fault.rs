//! The faults that a world can suffer, each with its cure.

use std::time::Duration;

use ferry_core::{Event, Tuning};
use ferry_fakes::{Deployment, EndpointFaults, FakeEndpoint, NodeIdx, Request, World};
use ferry_model::{EndpointState, PresetName};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::step::{Hit, Step};

/// How much slower a straggler is.
const STRAGGLE: f64 = 20.0;
/// How late late replies are.
const LATE: Duration = Duration::from_secs(3);
/// Delay to a slow store.
const SLOW_STORE: Duration = Duration::from_millis(400);
/// Requests of one burst.
const N_BURST: usize = 60;
/// How long the instance list goes on to show a leaving endpoint as live.
pub const LIST_LAG: Duration = Duration::from_millis(1_500);

#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    Straggler,
    /// The endpoint dies before it runs the call.
    CrashBefore,
    /// The endpoint runs the call and dies before its answer.
    CrashAfter,
    LateReply,
    DuplicateReply,
    MisaddressedReply,
    /// Open connections go silent for good while new ones work.
    SilentConnection,
    /// A streamed answer stops with its connection open.
    StalledStream,
    /// The process that serves the request dies and another takes its place.
    EntryDeath,
    StoreDown,
    StoreSlow,
    /// The answer to the next write is lost after the write took effect.
    LostAnswer,
    /// Watches report nothing and reads are stale.
    WatchGap,
    /// A control process stands still past its lease and then goes on.
    PausedHolder,
    /// Two operators choose a preset at the same moment.
    RacingOperators,
    Burst,
    /// The endpoint goes on to take calls; its load reports and, later, the list say that it leaves.
    LeavingEndpoint,
    /// The process that serves the request is asked to shut down.
    LeavingEntry,
    /// Cache events come with a gap in their sequence.
    CacheGap,
    /// Load reports stop.
    StaleLoad,
    /// One availability zone loses its connections to the others.
    ZoneCut,
}

/// What a fault needs to know of the world it strikes.
#[derive(Debug)]
pub struct Site<'a> {
    pub deployment: &'a Deployment,
    pub tuning: &'a Tuning,
    pub n_entries: usize,
    pub seed: u64,
}

impl Fault {
    /// Why the fault can't strike at the step; none if it can.
    pub fn excluded_at(self, step: Step) -> Option<&'static str> {
        match self {
            Fault::CrashBefore
            | Fault::CrashAfter
            | Fault::LateReply
            | Fault::DuplicateReply
            | Fault::MisaddressedReply
            | Fault::SilentConnection
                if !step.calls_endpoint() =>
            {
                Some("no endpoint call belongs to the step")
            }
            Fault::StalledStream if step != Step::DispatchGenerate && step != Step::MidStream => {
                Some("only generating stages stream")
            }
            Fault::CacheGap if !matches!(step, Step::DispatchGenerate | Step::MidStream) => {
                Some("cache events concern the choice of an engine only")
            }
            _ => None,
        }
    }

    /// How long it lasts; a pause outlives the lease.
    pub fn lasts(self) -> Duration {
        match self {
            Fault::PausedHolder => Duration::from_secs(16),
            _ => Duration::from_secs(5),
        }
    }

    /// Strikes at the place where a step was seen.
    pub fn strike(self, world: &mut World, site: &Site<'_>, hit: &Hit) {
        match self {
            Fault::EntryDeath => world.kill(hit.node),
            Fault::StoreDown => world.store.faults.down = true,
            Fault::StoreSlow => world.store.faults.delay = SLOW_STORE,
            Fault::LostAnswer => world.store.faults.lost_answers += 1,
            Fault::WatchGap => {
                world.store.faults.silent_watches = true;
                world.store.freeze_reads();
            }
            Fault::PausedHolder => world.pause(paused(world, site, hit)),
            Fault::RacingOperators => race(world, site),
            Fault::Burst => burst(world, site),
            Fault::LeavingEntry => {
                let entry = hit.node.min(site.n_entries - 1);
                leave_entry(world, entry);
            }
            Fault::LeavingEndpoint => {
                let now = world.now;
                let Some(it) = target(world, hit) else { return };
                it.leaving_since.get_or_insert(now);
            }
            Fault::CacheGap => cache_gap(world, hit),
            Fault::ZoneCut => cut_zone(world, site),
            Fault::Straggler
            | Fault::CrashBefore
            | Fault::CrashAfter
            | Fault::LateReply
            | Fault::DuplicateReply
            | Fault::MisaddressedReply
            | Fault::SilentConnection
            | Fault::StalledStream
            | Fault::StaleLoad => {
                let Some(it) = target(world, hit) else { return };
                self.disturb(&mut it.faults);
            }
        }
    }

    /// Cures the fault, as operators or the platform would; what it broke stays broken.
    pub fn heal(self, world: &mut World, site: &Site<'_>, hit: &Hit) {
        match self {
            Fault::EntryDeath => revive(world, site, hit.node),
            Fault::StoreDown => world.store.faults.down = false,
            Fault::StoreSlow => world.store.faults.delay = Duration::from_millis(2),
            Fault::LostAnswer => world.store.faults.lost_answers = 0,
            Fault::WatchGap => {
                world.store.faults.silent_watches = false;
                world.store.faults.stale_reads = false;
                world.wake_watches();
            }
            Fault::PausedHolder => {
                let node = paused(world, site, hit);
                world.resume(node);
            }
            Fault::LeavingEndpoint => {
                let Some(it) = target(world, hit) else { return };
                it.endpoint.state = EndpointState::Leaving;
            }
            Fault::ZoneCut => world.network.partitions.clear(),
            Fault::RacingOperators | Fault::Burst | Fault::LeavingEntry | Fault::CacheGap => (),
            Fault::Straggler
            | Fault::CrashBefore
            | Fault::CrashAfter
            | Fault::LateReply
            | Fault::DuplicateReply
            | Fault::MisaddressedReply
            | Fault::SilentConnection
            | Fault::StalledStream
            | Fault::StaleLoad => {
                let Some(it) = target(world, hit) else { return };
                it.faults = EndpointFaults {
                    leaving: it.faults.leaving,
                    ignores_fence: it.faults.ignores_fence,
                    ..Default::default()
                };
            }
        }
    }

    fn disturb(self, faults: &mut EndpointFaults) {
        match self {
            Fault::Straggler => faults.straggle = Some(STRAGGLE),
            Fault::CrashBefore => faults.crash_before_run = true,
            Fault::CrashAfter => faults.crash_after_run = true,
            Fault::LateReply => faults.answer_delay = LATE,
            Fault::DuplicateReply => faults.duplicate = true,
            Fault::MisaddressedReply => faults.wrong_echo = true,
            Fault::SilentConnection => faults.stale_connections = true,
            Fault::StalledStream => faults.stall_after = Some(12),
            Fault::StaleLoad => faults.omits_load = true,
            _ => (),
        }
    }
}

fn target<'a>(world: &'a mut World, hit: &Hit) -> Option<&'a mut FakeEndpoint> {
    let id = match &hit.endpoint {
        Some(id) => id.clone(),
        None => world.endpoints.keys().next()?.clone(),
    };
    world.endpoints.get_mut(&id)
}

/// Returns the control process that a pause strikes: the one at the step, or the first.
fn paused(world: &World, site: &Site<'_>, hit: &Hit) -> NodeIdx {
    let is_control = site.n_entries <= hit.node;
    if is_control { hit.node } else { site.n_entries.min(world.n_nodes() - 1) }
}

fn revive(world: &mut World, site: &Site<'_>, node: NodeIdx) {
    let life = u64::from(world.generation(node)) + 1;
    let mut identity = world.node(node).identity().clone();
    identity.incarnation += 1_000_000 * life;
    world.replace(node, identity, site.tuning.clone(), site.seed + 100 * life + node as u64);
}

fn leave_entry(world: &mut World, entry: NodeIdx) {
    let id = world.node(entry).identity().instance.clone();
    for it in world.instances.iter_mut().filter(|it| it.id == id) {
        it.state = EndpointState::Leaving;
    }
    world.deliver(entry, Event::Shutdown);
}

fn race(world: &mut World, site: &Site<'_>) {
    let first = site.n_entries.min(world.n_nodes() - 1);
    let second = (site.n_entries + 1).min(world.n_nodes() - 1);
    crate::matrix::choose_preset(world, first, "race-a", PresetName::Maintenance);
    crate::matrix::choose_preset(world, second, "race-b", PresetName::Ordinary);
}

fn burst(world: &mut World, site: &Site<'_>) {
    let pipelines: Vec<String> =
        site.deployment.config.pipelines.iter().map(|it| it.name.clone()).collect();
    for idx in 0..N_BURST {
        let node = idx % site.n_entries;
        let workspace = &site.deployment.workspaces[idx % site.deployment.workspaces.len()].name;
        let pipeline = &pipelines[idx % pipelines.len()];
        let key = format!("burst-{}-{idx}", world.now.as_micros());
        let request = Request::new(workspace, pipeline, format!("burst {idx}")).with_key(key);
        world.submit(node, request);
    }
}

fn cache_gap(world: &mut World, hit: &Hit) {
    let Some(endpoint) = target(world, hit).map(|it| it.endpoint.id.clone()) else { return };
    for sequence in [1, 2, 9] {
        let (stored, evicted) = (vec![sequence, 7], vec![2 * sequence]);
        let endpoint = endpoint.clone();
        let update = ferry_model::CacheUpdate { endpoint, sequence, stored, evicted };
        world.deliver(hit.node, Event::Cache(update));
    }
}

fn cut_zone(world: &mut World, site: &Site<'_>) {
    let zones = &site.deployment.zones;
    for other in &zones[1..] {
        world.network.partitions.push((zones[0].to_owned(), (*other).to_owned()));
    }
}
