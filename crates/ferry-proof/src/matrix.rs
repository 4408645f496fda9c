//! The fault matrix: every fault at every step, alone, repeated and in pairs.

use std::sync::PoisonError;
use std::time::Duration;

use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_fakes::{Deployment, DeploymentName, Interceptor, NodeIdx, Request, World};
use ferry_model::{AdminOp, Moment, PresetName, Ticket};
use serde::Serialize;
use strum::{Display, IntoEnumIterator};

use crate::check::{TimeLimits, Violation, check};
use crate::fault::{Fault, FaultContext, LIST_LAG};
use crate::mutation::Mutant;
use crate::step::{Occurrence, Probe, Step};

/// Number of entries in each world. The control processes follow them in the node order.
pub const N_ENTRIES: usize = 3;
const N_CONTROLS: usize = 2;
/// Time before the load, in which configuration and membership settle.
const WARM_UP: Duration = Duration::from_secs(4);
/// Duration of the load.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Time after the load, in which every deadline, lease and watch expires.
const SETTLE_TIME: Duration = Duration::from_secs(32);
/// Time of low demand before capacity is released. A cell ends before the default has passed.
const HOLD_TIME: Duration = Duration::from_secs(1);
/// Maximum number of threads that run cells.
const MAX_THREADS: usize = 4;
/// Time between two requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(90);

/// One run of the matrix: which faults are injected, and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Cell {
    pub step: Step,
    /// One fault, or two that are injected together.
    pub faults: Vec<Fault>,
    /// Number of times that the faults are injected.
    pub times: u32,
    pub seed: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Every invariant held.
    Held,
    /// At least one invariant was violated.
    Broken(Vec<Violation>),
    /// The step never occurred during the load.
    Missed,
    /// The faults can't be injected at the step, for this reason.
    Excluded(&'static str),
}

/// Number of cells by verdict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub held: u32,
    pub broken: u32,
    pub missed: u32,
    pub excluded: u32,
}

impl Counts {
    pub fn add(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::Held => self.held += 1,
            Verdict::Broken(_) => self.broken += 1,
            Verdict::Missed => self.missed += 1,
            Verdict::Excluded(_) => self.excluded += 1,
        }
    }
}

impl Cell {
    pub fn new(step: Step, fault: Fault, seed: u64) -> Cell {
        Cell { step, faults: vec![fault], times: 1, seed }
    }

    pub fn with_times(mut self, times: u32) -> Cell {
        self.times = times;
        self
    }

    pub fn with_fault(mut self, fault: Fault) -> Cell {
        self.faults.push(fault);
        self
    }

    /// Runs the cell and checks every invariant.
    pub fn run(&self) -> Verdict {
        self.run_with(None)
    }

    /// Runs the cell with a mutation, if one is given.
    pub fn run_with(&self, mutant: Option<Mutant>) -> Verdict {
        let excluded = self.faults.iter().find_map(|it| it.exclusion_reason(self.step));
        if let Some(reason) = excluded {
            return Verdict::Excluded(reason);
        }
        let deployment = Deployment::new(match self.seed % 2 {
            0 => DeploymentName::Kancil,
            _ => DeploymentName::Ikenna,
        });
        let mut tuning = Tuning::default();
        tuning.place.hold_time = HOLD_TIME;
        let mut run = CellRun::new(self, &deployment, &tuning);
        if let Some(mutant) = &mutant {
            mutant.prepare(&mut run.world);
        }
        run.run(mutant.map(|it| Box::new(it) as Box<dyn Interceptor>));
        if run.injections.is_empty() {
            return Verdict::Missed;
        }
        match check(&run.world, &TimeLimits::default()) {
            violations if violations.is_empty() => Verdict::Held,
            violations => Verdict::Broken(violations),
        }
    }
}

/// Returns a cell for every fault at every step.
pub fn single_faults(seed: u64) -> Vec<Cell> {
    Step::iter()
        .flat_map(|step| Fault::iter().map(move |fault| Cell::new(step, fault, seed)))
        .collect()
}

/// Returns a cell for every fault, injected three times, at every step.
pub fn repeated_faults(seed: u64) -> Vec<Cell> {
    single_faults(seed).into_iter().map(|it| it.with_times(3)).collect()
}

/// Returns a cell for every pair of different faults, at a step that `seed` selects.
pub fn fault_pairs(seed: u64) -> Vec<Cell> {
    let faults: Vec<Fault> = Fault::iter().collect();
    let steps: Vec<Step> = Step::iter().collect();
    let mut cells = Vec::new();
    for (nth, first) in faults.iter().enumerate() {
        for second in &faults[nth + 1..] {
            let possible: Vec<Step> = steps
                .iter()
                .copied()
                .filter(|it| first.exclusion_reason(*it).or(second.exclusion_reason(*it)).is_none())
                .collect();
            let idx = (seed as usize + cells.len()) % possible.len().max(1);
            let step = possible.get(idx).copied().unwrap_or(Step::Admit);
            cells.push(Cell::new(step, *first, seed).with_fault(*second));
        }
    }
    cells
}

/// Submits an operator's choice of a preset, against the revision that the node has applied.
pub fn choose_preset(world: &mut World, node: NodeIdx, id: &str, name: PresetName) -> Ticket {
    let expect = world.node(node).revision();
    let id = format!("{id}-{}", world.now.as_micros());
    world.submit_admin(node, "operator", &id, AdminOp::UsePreset { expect, name })
}

struct CellRun<'a> {
    cell: &'a Cell,
    context: FaultContext<'a>,
    world: World,
    /// When each injection ends, and where the faults were injected.
    injections: Vec<(Moment, Occurrence)>,
    n_healed: usize,
    n_requests: usize,
}

impl<'a> CellRun<'a> {
    fn new(cell: &'a Cell, deployment: &'a Deployment, tuning: &'a Tuning) -> CellRun<'a> {
        let world = world_with_controls(deployment, tuning, cell.seed);
        let context = FaultContext { deployment, tuning, n_entries: N_ENTRIES, seed: cell.seed };
        CellRun { cell, context, world, injections: Vec::new(), n_healed: 0, n_requests: 0 }
    }

    fn run(&mut self, interceptor: Option<Box<dyn Interceptor>>) {
        self.world.run_for(WARM_UP);
        let (probe, occurrence) = Probe::new(self.cell.step, interceptor);
        self.world.interceptor = Some(Box::new(probe));
        let end = self.world.now + LOAD_TIME;
        let mut next = self.world.now;
        while self.world.now < end + SETTLE_TIME {
            if next <= self.world.now && next < end {
                self.send_next();
                next += REQUEST_INTERVAL;
            }
            let until = if next < end { next } else { end + SETTLE_TIME };
            if !self.world.step(until) {
                self.world.run_until(until);
            }
            let at = occurrence.lock().unwrap_or_else(PoisonError::into_inner).take();
            if let Some(at) = at {
                self.inject(at);
            }
            self.heal();
        }
    }

    fn inject(&mut self, at: Occurrence) {
        let is_active = self.n_healed < self.injections.len();
        if is_active || self.cell.times as usize <= self.injections.len() {
            return;
        }
        for fault in &self.cell.faults {
            fault.inject(&mut self.world, &self.context, &at);
        }
        let duration = self.cell.faults.iter().map(|it| it.duration()).max().unwrap_or_default();
        self.injections.push((self.world.now + duration, at));
    }

    fn heal(&mut self) {
        let Some((until, at)) = self.injections.get(self.n_healed) else { return };
        if self.world.now < *until {
            return;
        }
        for fault in &self.cell.faults {
            fault.heal(&mut self.world, &self.context, at);
        }
        self.n_healed += 1;
    }

    /// Sends the next request. It cycles through the pipelines, and some requests are sent twice
    /// under the same key, to one entry or to two.
    fn send_next(&mut self) {
        let idx = self.n_requests;
        self.n_requests += 1;
        let config = &self.context.deployment.config;
        let pipeline = &config.pipelines[idx % config.pipelines.len()];
        let workspaces = &self.context.deployment.workspaces;
        let workspace = &workspaces[idx % workspaces.len()].name;
        let key = format!("key-{idx}");
        let mut request =
            Request::new(workspace, &pipeline.name, format!("case {idx}")).with_key(key);
        if idx % 8 == 1 || idx % 8 == 2 {
            request = request.with_stream();
        }
        let node = idx % N_ENTRIES;
        self.world.submit(node, request.clone());
        if idx % 5 == 2 {
            self.world.submit((node + 1) % N_ENTRIES, request.clone());
        }
        if idx % 7 == 3 {
            self.world.submit(node, request);
        }
        if idx % 10 == 4 {
            self.world.query_instances(node, None);
        }
        match idx {
            12 => {
                choose_preset(&mut self.world, N_ENTRIES, "peak", PresetName::Peak);
            }
            50 => {
                choose_preset(&mut self.world, N_ENTRIES + 1, "calm", PresetName::Maintenance);
            }
            _ => (),
        }
        self.list_leaving();
    }

    /// Lists endpoints as leaving once `LIST_LAG` has passed.
    fn list_leaving(&mut self) {
        let now = self.world.now;
        for it in self.world.endpoints.values_mut() {
            if it.leaving_since.is_some_and(|since| since + LIST_LAG <= now) {
                it.endpoint.state = ferry_model::EndpointState::Leaving;
            }
        }
    }
}

/// Creates a world with the deployment's endpoints, entries and control processes.
pub fn world_with_controls(deployment: &Deployment, tuning: &Tuning, seed: u64) -> World {
    let mut world = World::with_deployment(deployment, N_ENTRIES, tuning, seed)
        .unwrap_or_else(|_| World::new(seed));
    for idx in N_ENTRIES..N_ENTRIES + N_CONTROLS {
        let identity = Identity {
            instance: format!("control-{}", idx - N_ENTRIES),
            role: InstanceRole::Control,
            ..deployment.entry(idx, seed)
        };
        let mut instance = deployment.instance(&identity, idx);
        instance.is_entry = false;
        world.instances.push(instance);
        world.add_node(identity, tuning.clone(), seed.wrapping_add(idx as u64));
    }
    world
}

/// Runs cells in parallel on a few threads, each in a world of its own.
pub fn run_all(cells: &[Cell]) -> Vec<Verdict> {
    let n_threads = std::thread::available_parallelism().map_or(1, |it| it.get().min(MAX_THREADS));
    let size = cells.len().div_ceil(n_threads).max(1);
    std::thread::scope(|scope| {
        let handles: Vec<_> = cells
            .chunks(size)
            .map(|chunk| scope.spawn(|| chunk.iter().map(Cell::run).collect::<Vec<_>>()))
            .collect();
        handles.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect()
    })
}
