//! The faults that can be injected into a world, and how each is healed.

use std::time::Duration;

use ferry_core::{Event, Tuning};
use ferry_fakes::{Deployment, EndpointFaults, FakeEndpoint, NodeIdx, Request, World};
use ferry_model::{EndpointState, PresetName};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::step::{Occurrence, Step};

/// Factor by which a straggler is slower.
const STRAGGLER_FACTOR: f64 = 20.0;
/// Delay of late replies.
const REPLY_DELAY: Duration = Duration::from_secs(3);
/// One-way delay to a slow store.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(400);
/// Number of requests in one burst.
const BURST_SIZE: usize = 60;
/// Time until the instance list shows an endpoint as leaving.
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
    /// The endpoint takes many times as long for each call.
    Straggler,
    /// The endpoint dies before it runs the call.
    CrashBefore,
    /// The endpoint runs the call and dies before its answer.
    CrashAfter,
    LateReply,
    DuplicateReply,
    /// The endpoint answers with another request's echo.
    MisaddressedReply,
    /// Open connections stay silent, but new ones work.
    SilentConnection,
    /// A streamed answer stops while its connection stays open.
    StalledStream,
    /// The process that serves the request dies and is replaced.
    EntryDeath,
    StoreDown,
    StoreSlow,
    /// The next write takes effect, but its answer is lost.
    LostAnswer,
    /// Watches report nothing, and reads return stale values.
    WatchGap,
    /// A control process is paused until its lease has expired, and then resumes.
    PausedHolder,
    /// Two operators choose a preset at the same time.
    RacingOperators,
    /// Many requests arrive at once at all entries.
    Burst,
    /// The endpoint is leaving but still takes calls. Its load reports say so at once, and the
    /// instance list after a delay.
    LeavingEndpoint,
    /// The process that serves the request is asked to shut down.
    LeavingEntry,
    /// Cache updates arrive with a gap in their sequence numbers.
    CacheGap,
    /// The endpoint stops sending load reports.
    StaleLoad,
    /// One availability zone is cut off from the others.
    ZoneCut,
}

/// The setup of the world into which a fault is injected.
#[derive(Debug)]
pub struct FaultContext<'a> {
    pub deployment: &'a Deployment,
    pub tuning: &'a Tuning,
    pub n_entries: usize,
    pub seed: u64,
}

impl Fault {
    /// Returns why the fault can't be injected at the step, or `None` if it can.
    pub fn exclusion_reason(self, step: Step) -> Option<&'static str> {
        match self {
            Fault::CrashBefore
            | Fault::CrashAfter
            | Fault::LateReply
            | Fault::DuplicateReply
            | Fault::MisaddressedReply
            | Fault::SilentConnection
                if !step.calls_endpoint() =>
            {
                Some("the step involves no call to an endpoint")
            }
            Fault::StalledStream if step != Step::DispatchGenerate && step != Step::MidStream => {
                Some("only generate stages stream")
            }
            Fault::CacheGap if !matches!(step, Step::DispatchGenerate | Step::MidStream) => {
                Some("cache updates only affect the choice of an engine")
            }
            _ => None,
        }
    }

    /// Returns the time until the fault is healed. A pause lasts longer than the lease.
    pub fn duration(self) -> Duration {
        match self {
            Fault::PausedHolder => Duration::from_secs(16),
            _ => Duration::from_secs(5),
        }
    }

    /// Injects the fault where a step occurred.
    pub fn inject(self, world: &mut World, context: &FaultContext<'_>, at: &Occurrence) {
        match self {
            Fault::EntryDeath => world.kill(at.node),
            Fault::StoreDown => world.store.faults.down = true,
            Fault::StoreSlow => world.store.faults.delay = SLOW_STORE_DELAY,
            Fault::LostAnswer => world.store.faults.lost_answers += 1,
            Fault::WatchGap => {
                world.store.faults.silent_watches = true;
                world.store.freeze_reads();
            }
            Fault::PausedHolder => world.pause(pause_target(world, context, at)),
            Fault::RacingOperators => submit_conflicting_presets(world, context),
            Fault::Burst => send_burst(world, context),
            Fault::LeavingEntry => {
                let entry = at.node.min(context.n_entries - 1);
                shut_down_entry(world, entry);
            }
            Fault::LeavingEndpoint => {
                let now = world.now;
                let Some(it) = target_endpoint(world, at) else { return };
                it.leaving_since.get_or_insert(now);
            }
            Fault::CacheGap => deliver_cache_gap(world, at),
            Fault::ZoneCut => cut_zone(world, context),
            Fault::Straggler
            | Fault::CrashBefore
            | Fault::CrashAfter
            | Fault::LateReply
            | Fault::DuplicateReply
            | Fault::MisaddressedReply
            | Fault::SilentConnection
            | Fault::StalledStream
            | Fault::StaleLoad => {
                let Some(it) = target_endpoint(world, at) else { return };
                self.set_endpoint_fault(&mut it.faults);
            }
        }
    }

    /// Ends the fault, as operators or the platform would. Its consequences remain.
    pub fn heal(self, world: &mut World, context: &FaultContext<'_>, at: &Occurrence) {
        match self {
            Fault::EntryDeath => replace_node(world, context, at.node),
            Fault::StoreDown => world.store.faults.down = false,
            Fault::StoreSlow => world.store.faults.delay = Duration::from_millis(2),
            Fault::LostAnswer => world.store.faults.lost_answers = 0,
            Fault::WatchGap => {
                world.store.faults.silent_watches = false;
                world.store.faults.stale_reads = false;
                world.wake_watches();
            }
            Fault::PausedHolder => {
                let node = pause_target(world, context, at);
                world.resume(node);
            }
            Fault::LeavingEndpoint => {
                let Some(it) = target_endpoint(world, at) else { return };
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
                let Some(it) = target_endpoint(world, at) else { return };
                it.faults = EndpointFaults {
                    leaving: it.faults.leaving,
                    ignores_fence: it.faults.ignores_fence,
                    ..Default::default()
                };
            }
        }
    }

    fn set_endpoint_fault(self, faults: &mut EndpointFaults) {
        match self {
            Fault::Straggler => faults.straggle = Some(STRAGGLER_FACTOR),
            Fault::CrashBefore => faults.crash_before_run = true,
            Fault::CrashAfter => faults.crash_after_run = true,
            Fault::LateReply => faults.answer_delay = REPLY_DELAY,
            Fault::DuplicateReply => faults.duplicate = true,
            Fault::MisaddressedReply => faults.wrong_echo = true,
            Fault::SilentConnection => faults.stale_connections = true,
            Fault::StalledStream => faults.stall_after = Some(12),
            Fault::StaleLoad => faults.omits_load = true,
            _ => (),
        }
    }
}

fn target_endpoint<'a>(world: &'a mut World, at: &Occurrence) -> Option<&'a mut FakeEndpoint> {
    let id = match &at.endpoint {
        Some(id) => id.clone(),
        None => world.endpoints.keys().next()?.clone(),
    };
    world.endpoints.get_mut(&id)
}

/// Returns the control process to pause: the one at the step, or else the first.
fn pause_target(world: &World, context: &FaultContext<'_>, at: &Occurrence) -> NodeIdx {
    let is_control = context.n_entries <= at.node;
    if is_control { at.node } else { context.n_entries.min(world.n_nodes() - 1) }
}

fn replace_node(world: &mut World, context: &FaultContext<'_>, node: NodeIdx) {
    let generation = u64::from(world.generation(node)) + 1;
    let mut identity = world.node(node).identity().clone();
    identity.incarnation += 1_000_000 * generation;
    world.replace(
        node,
        identity,
        context.tuning.clone(),
        context.seed + 100 * generation + node as u64,
    );
}

fn shut_down_entry(world: &mut World, entry: NodeIdx) {
    let id = world.node(entry).identity().instance.clone();
    for it in world.instances.iter_mut().filter(|it| it.id == id) {
        it.state = EndpointState::Leaving;
    }
    world.deliver(entry, Event::Shutdown);
}

fn submit_conflicting_presets(world: &mut World, context: &FaultContext<'_>) {
    let first = context.n_entries.min(world.n_nodes() - 1);
    let second = (context.n_entries + 1).min(world.n_nodes() - 1);
    crate::matrix::choose_preset(world, first, "race-a", PresetName::Maintenance);
    crate::matrix::choose_preset(world, second, "race-b", PresetName::Ordinary);
}

fn send_burst(world: &mut World, context: &FaultContext<'_>) {
    let pipelines: Vec<String> =
        context.deployment.config.pipelines.iter().map(|it| it.name.clone()).collect();
    for idx in 0..BURST_SIZE {
        let node = idx % context.n_entries;
        let workspace =
            &context.deployment.workspaces[idx % context.deployment.workspaces.len()].name;
        let pipeline = &pipelines[idx % pipelines.len()];
        let key = format!("burst-{}-{idx}", world.now.as_micros());
        let request = Request::new(workspace, pipeline, format!("burst {idx}")).with_key(key);
        world.submit(node, request);
    }
}

fn deliver_cache_gap(world: &mut World, at: &Occurrence) {
    let Some(endpoint) = target_endpoint(world, at).map(|it| it.endpoint.id.clone()) else {
        return;
    };
    for sequence in [1, 2, 9] {
        let (stored, evicted) = (vec![sequence, 7], vec![2 * sequence]);
        let endpoint = endpoint.clone();
        let update = ferry_model::CacheUpdate { endpoint, sequence, stored, evicted };
        world.deliver(at.node, Event::Cache(update));
    }
}

fn cut_zone(world: &mut World, context: &FaultContext<'_>) {
    let zones = &context.deployment.zones;
    for other in &zones[1..] {
        world.network.partitions.push((zones[0].to_owned(), (*other).to_owned()));
    }
}
