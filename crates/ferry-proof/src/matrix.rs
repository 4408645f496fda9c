//! The fault matrix: each fault at each step, alone, repeated and in pairs.

use std::sync::PoisonError;
use std::time::Duration;

use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_fakes::{Deployment, DeploymentName, Interceptor, NodeIdx, Request, World};
use ferry_model::{AdminOp, Moment, PresetName, Ticket};
use serde::Serialize;
use strum::{Display, IntoEnumIterator};

use crate::check::{Bounds, Violation, check};
use crate::fault::{Fault, LIST_LAG, Site};
use crate::mutation::Mutant;
use crate::step::{Hit, Probe, Step};

/// Entries in each world; two control processes come after them.
pub const N_ENTRIES: usize = 3;
const N_CONTROLS: usize = 2;
/// Time for configuration and membership to settle before the load.
const WARM_UP: Duration = Duration::from_secs(4);
/// Length of the load.
const LOAD: Duration = Duration::from_secs(8);
/// Time after the load in which every deadline, lease and watch runs out.
const REST: Duration = Duration::from_secs(32);
/// Time of low demand before capacity is given up; a cell is over before the usual one.
const CELL_HOLD: Duration = Duration::from_secs(1);
/// Most threads that run cells at once.
const MAX_THREADS: usize = 4;
/// Time between requests of the load.
const PACE: Duration = Duration::from_millis(90);

/// What one run of the matrix suffers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Cell {
    pub step: Step,
    /// One fault, or two that strike together.
    pub faults: Vec<Fault>,
    /// How often the faults strike.
    pub times: u32,
    pub seed: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Every promise held.
    Held,
    Broken(Vec<Violation>),
    /// The load never came to the step.
    Missed,
    /// The cell can't occur, for this reason.
    Excluded(&'static str),
}

/// Counts over many cells.
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

    pub fn with_second(mut self, fault: Fault) -> Cell {
        self.faults.push(fault);
        self
    }

    /// Runs the cell and checks every promise.
    pub fn run(&self) -> Verdict {
        self.run_with(None)
    }

    /// Runs the cell with a deliberate error.
    pub fn run_with(&self, mutant: Option<Mutant>) -> Verdict {
        let excluded = self.faults.iter().find_map(|it| it.excluded_at(self.step));
        if let Some(reason) = excluded {
            return Verdict::Excluded(reason);
        }
        let deployment = Deployment::new(match self.seed % 2 {
            0 => DeploymentName::Kancil,
            _ => DeploymentName::Ikenna,
        });
        let mut tuning = Tuning::default();
        tuning.place.hold_time = CELL_HOLD;
        let mut run = Run::new(self, &deployment, &tuning);
        if let Some(mutant) = &mutant {
            mutant.prepare(&mut run.world);
        }
        run.drive(mutant.map(|it| Box::new(it) as Box<dyn Interceptor>));
        if run.strikes.is_empty() {
            return Verdict::Missed;
        }
        match check(&run.world, &Bounds::default()) {
            found if found.is_empty() => Verdict::Held,
            found => Verdict::Broken(found),
        }
    }
}

/// Returns every single fault at every step.
pub fn singles(seed: u64) -> Vec<Cell> {
    Step::iter()
        .flat_map(|step| Fault::iter().map(move |fault| Cell::new(step, fault, seed)))
        .collect()
}

/// Returns every fault struck three times at every step.
pub fn repeats(seed: u64) -> Vec<Cell> {
    singles(seed).into_iter().map(|it| it.with_times(3)).collect()
}

/// Returns every pair of different faults, each at the step that `seed` gives it.
pub fn pairs(seed: u64) -> Vec<Cell> {
    let faults: Vec<Fault> = Fault::iter().collect();
    let steps: Vec<Step> = Step::iter().collect();
    let mut cells = Vec::new();
    for (idx, first) in faults.iter().enumerate() {
        for second in &faults[idx + 1..] {
            let fits: Vec<Step> = steps
                .iter()
                .copied()
                .filter(|it| first.excluded_at(*it).or(second.excluded_at(*it)).is_none())
                .collect();
            let at = (seed as usize + cells.len()) % fits.len().max(1);
            let step = fits.get(at).copied().unwrap_or(Step::Admit);
            cells.push(Cell::new(step, *first, seed).with_second(*second));
        }
    }
    cells
}

/// Has an operator choose a preset under the revision that the node has applied.
pub fn choose_preset(world: &mut World, node: NodeIdx, id: &str, name: PresetName) -> Ticket {
    let expect = world.node(node).revision();
    let id = format!("{id}-{}", world.now.as_micros());
    world.submit_admin(node, "operator", &id, AdminOp::UsePreset { expect, name })
}

struct Run<'a> {
    cell: &'a Cell,
    site: Site<'a>,
    world: World,
    /// Where the faults struck and when they end.
    strikes: Vec<(Moment, Hit)>,
    healed: usize,
    n_asked: usize,
}

impl<'a> Run<'a> {
    fn new(cell: &'a Cell, deployment: &'a Deployment, tuning: &'a Tuning) -> Run<'a> {
        let world = world_with_controls(deployment, tuning, cell.seed);
        let site = Site { deployment, tuning, n_entries: N_ENTRIES, seed: cell.seed };
        Run { cell, site, world, strikes: Vec::new(), healed: 0, n_asked: 0 }
    }

    fn drive(&mut self, border: Option<Box<dyn Interceptor>>) {
        self.world.run_for(WARM_UP);
        let (probe, hit) = Probe::new(self.cell.step, border);
        self.world.interceptor = Some(Box::new(probe));
        let end = self.world.now + LOAD;
        let mut next = self.world.now;
        while self.world.now < end + REST {
            if next <= self.world.now && next < end {
                self.load();
                next += PACE;
            }
            let until = if next < end { next } else { end + REST };
            if !self.world.step(until) {
                self.world.run_until(until);
            }
            let found = hit.lock().unwrap_or_else(PoisonError::into_inner).take();
            if let Some(found) = found {
                self.strike(found);
            }
            self.heal();
        }
    }

    fn strike(&mut self, hit: Hit) {
        let is_struck = self.healed < self.strikes.len();
        if is_struck || self.cell.times as usize <= self.strikes.len() {
            return;
        }
        for fault in &self.cell.faults {
            fault.strike(&mut self.world, &self.site, &hit);
        }
        let time = self.cell.faults.iter().map(|it| it.lasts()).max().unwrap_or_default();
        self.strikes.push((self.world.now + time, hit));
    }

    fn heal(&mut self) {
        let Some((until, hit)) = self.strikes.get(self.healed) else { return };
        if self.world.now < *until {
            return;
        }
        for fault in &self.cell.faults {
            fault.heal(&mut self.world, &self.site, hit);
        }
        self.healed += 1;
    }

    /// Sends the next request: each pipeline in turn, some keys twice, at two entries.
    fn load(&mut self) {
        let idx = self.n_asked;
        self.n_asked += 1;
        let config = &self.site.deployment.config;
        let pipeline = &config.pipelines[idx % config.pipelines.len()];
        let workspaces = &self.site.deployment.workspaces;
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
        self.show_leaving();
    }

    /// Lets the instance list show an endpoint as leaving after its lag.
    fn show_leaving(&mut self) {
        let now = self.world.now;
        for it in self.world.endpoints.values_mut() {
            if it.leaving_since.is_some_and(|since| since + LIST_LAG <= now) {
                it.endpoint.state = ferry_model::EndpointState::Leaving;
            }
        }
    }
}

/// Makes a world of entries and control processes with the deployment's endpoints.
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

/// Runs cells on a few threads; each cell is a world of its own.
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
