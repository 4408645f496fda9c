//! A compressed day: capacity that follows demand against fixed and reactive capacity.
//!
//! The first day fills the stored history and is not measured; an ordinary day
//! and a holiday follow. Every strategy gets the same arrivals.

use std::time::Duration;

use ferry_core::Tuning;
use ferry_core::place::scale::endpoints_for;
use ferry_fakes::{Deployment, DeploymentName, Request, RequestRecord, World};
use ferry_model::{Floor, Moment, Outcome, StageKind};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

const N_ENTRIES: usize = 6;
const N_CONTROLS: usize = 2;
/// Length of the compressed day.
pub const DAY: Duration = Duration::from_secs(16 * 60);
/// One hour of the compressed day.
const HOUR: Duration = Duration::from_secs(40);
/// Time of one load from the weight store.
const LOAD: Duration = Duration::from_secs(4);
/// Time from the last arrival until every deadline has passed.
const REST: Duration = Duration::from_secs(10);
const TOKENS: u32 = 8;
/// Endpoints of a placed pool that are kept at all times.
const FLOOR: u32 = 2;

#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Strategy {
    /// As many endpoints as the day's peak needs, at all times.
    Fixed,
    /// Follows the recent demand only.
    Reactive,
    /// Follows the recent demand and the same time of earlier days.
    Forecast,
}

#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DayKind {
    /// Half of the daytime's demand at night, a burst in the morning.
    Ordinary,
    /// Half of the daytime's demand all day, without a burst.
    Holiday,
}

impl DayKind {
    /// Returns the share of the peak rate at an hour of the day.
    fn level(self, hour: f64) -> f64 {
        match self {
            DayKind::Holiday => 0.3,
            DayKind::Ordinary if hour < 8.0 => 0.3,
            DayKind::Ordinary if hour < 10.0 => 1.0,
            DayKind::Ordinary if hour < 18.0 => 0.6,
            DayKind::Ordinary => 0.3,
        }
    }
}

/// What one strategy did on one day.
#[derive(Debug, Clone, Serialize)]
pub struct DayFigures {
    pub deployment: String,
    pub strategy: Strategy,
    pub day: DayKind,
    pub sent: u64,
    pub complete: u64,
    pub not_run: u64,
    pub failed: u64,
    pub in_doubt: u64,
    /// Share of requests that were complete before their deadline.
    pub attainment: f64,
    /// Calls that orders cut.
    pub cut: usize,
    /// Runner-seconds held by placed stage.
    pub stages: Vec<StageCost>,
}

#[derive(Debug, Clone, Serialize)]
pub struct StageCost {
    pub pool: String,
    pub held: f64,
}

impl DayFigures {
    /// Returns the runner-seconds held over all placed stages.
    pub fn held(&self) -> f64 {
        self.stages.iter().map(|it| it.held).sum()
    }
}

/// Runs the three days under one strategy and returns the two measured ones.
pub fn run(name: DeploymentName, strategy: Strategy, seed: u64) -> Result<Vec<DayFigures>, String> {
    let deployment = deployment(name);
    let peak = peak_rate(&deployment);
    let mut world = world(&deployment, strategy, peak, seed)?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let days = [DayKind::Ordinary, DayKind::Ordinary, DayKind::Holiday];
    let mut measured = Vec::new();
    for (idx, kind) in (0..).zip(days) {
        let start = DAY * idx;
        let before: Vec<Duration> = placed(&deployment).map(|it| world.held_time(it)).collect();
        let n_orders = world.orders.len();
        let tickets = load(&mut world, &deployment, kind, start, peak, &mut rng);
        let stages = placed(&deployment)
            .zip(before)
            .map(|(pool, before)| StageCost {
                pool: pool.to_owned(),
                held: (world.held_time(pool) - before).as_secs_f64(),
            })
            .collect();
        if idx == 0 {
            continue;
        }
        let cut = world.orders[n_orders..].iter().map(|it| it.broken_calls).sum();
        let figures = DayFigures {
            deployment: name.to_string(),
            strategy,
            day: kind,
            sent: 0,
            complete: 0,
            not_run: 0,
            failed: 0,
            in_doubt: 0,
            attainment: 0.0,
            cut,
            stages,
        };
        measured.push((figures, tickets));
    }
    world.run_for(REST);
    Ok(measured.into_iter().map(|(figures, tickets)| tally(&world, figures, tickets)).collect())
}

/// The stages are slowed down, so that a few requests a second need the whole pool.
fn deployment(name: DeploymentName) -> Deployment {
    let mut deployment = Deployment::new(name);
    for pool in &mut deployment.pools {
        let service = match pool.kind {
            StageKind::Encode => 60,
            StageKind::Retrieve => 120,
            StageKind::Rerank => 100,
            StageKind::Generate => 400,
            StageKind::Service => continue,
        };
        pool.service_time = Duration::from_millis(service);
        if pool.kind == StageKind::Generate {
            pool.token_time = Duration::from_millis(160);
        }
    }
    for stage in deployment.config.pipelines.iter_mut().flat_map(|it| &mut it.stages) {
        if stage.kind == StageKind::Generate {
            stage.max_tokens = TOKENS;
        }
    }
    let floors = placed(&deployment).map(|it| Floor { pool: it.to_owned(), endpoints: FLOOR });
    let mut floors: Vec<Floor> = floors.collect();
    floors.sort_by(|left, right| left.pool.cmp(&right.pool));
    deployment.config.presets.ordinary.floors = floors;
    deployment
}

fn placed(deployment: &Deployment) -> impl Iterator<Item = &'static str> {
    let pools = deployment.pools.iter().filter(|it| it.kind != StageKind::Service);
    pools.map(|it| it.name).collect::<Vec<_>>().into_iter()
}

/// Returns the mean number of concurrent calls to a pool at a rate of requests.
fn level(deployment: &Deployment, pool: &str, rate: f64) -> f64 {
    let uses = |name: &str| {
        let pipeline = deployment.config.pipeline(name);
        pipeline.is_some_and(|it| it.stages.iter().any(|it| it.pool == pool))
    };
    let share: f64 =
        deployment.mix.iter().filter(|(name, _)| uses(name)).map(|(_, share)| share).sum();
    let shape = deployment.pools.iter().find(|it| it.name == pool);
    let service = shape.map_or(Duration::ZERO, |it| it.service_time + it.token_time * TOKENS);
    rate * share * service.as_secs_f64()
}

/// Returns the endpoints that a pool needs at a rate, sized as placement sizes them.
fn needed(deployment: &Deployment, pool: &str, rate: f64) -> u32 {
    let slots = deployment.pools.iter().find(|it| it.name == pool).map_or(1, |it| it.slots);
    let utilisation = Tuning::default().place.utilisation;
    endpoints_for(level(deployment, pool, rate), slots as f64, utilisation).max(FLOOR)
}

/// Returns the highest whole rate that the pools can take.
fn peak_rate(deployment: &Deployment) -> f64 {
    let fits = |rate: f64| {
        let pools = deployment.pools.iter().filter(|it| it.kind != StageKind::Service);
        pools.clone().all(|it| needed(deployment, it.name, rate) <= it.endpoints as u32)
    };
    (1..1_000).map(f64::from).take_while(|it| fits(*it)).last().unwrap_or(1.0)
}

fn world(
    deployment: &Deployment,
    strategy: Strategy,
    peak: f64,
    seed: u64,
) -> Result<World, String> {
    let mut tuning = Tuning::default();
    tuning.place.day_length = DAY;
    tuning.place.lookahead = HOUR / 2;
    tuning.place.hold_time = HOUR / 2;
    tuning.place.forecast = strategy == Strategy::Forecast;
    let mut world = World::with_deployment(deployment, N_ENTRIES, &tuning, seed)
        .map_err(|it| format!("could not write the configuration: {it}"))?;
    world.weights.load_time = LOAD;
    if strategy == Strategy::Fixed {
        for pool in placed(deployment) {
            let n_needed = needed(deployment, pool, peak) as usize;
            let surplus: Vec<String> = world
                .endpoints
                .values()
                .filter(|it| it.endpoint.pool == pool)
                .skip(n_needed)
                .map(|it| it.endpoint.id.clone())
                .collect();
            surplus.iter().for_each(|it| drop(world.endpoints.remove(it)));
        }
        return Ok(world);
    }
    for idx in 0..N_CONTROLS {
        let identity = deployment.control(idx, seed);
        let mut instance = deployment.instance(&identity, 100 + idx);
        instance.is_entry = false;
        world.instances.push(instance);
        world.add_node(identity, tuning.clone(), seed + 100 + idx as u64);
    }
    Ok(world)
}

/// Sends one day's arrivals and returns the first and the last ticket.
fn load(
    world: &mut World,
    deployment: &Deployment,
    kind: DayKind,
    start: Moment,
    peak: f64,
    rng: &mut Pcg64Mcg,
) -> Vec<u64> {
    let end = start + DAY;
    let mut at = start;
    let mut tickets = Vec::new();
    loop {
        let hour = (at - start).as_secs_f64() / HOUR.as_secs_f64();
        let rate = peak * kind.level(hour);
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        if end <= at {
            break;
        }
        let entry = rng.random_range(0..N_ENTRIES);
        let pipeline = pick(&deployment.mix, rng.random());
        let workspace = &deployment.workspaces[rng.random_range(0..deployment.workspaces.len())];
        let input = format!("case {}", tickets.len());
        // The first second belongs to the start of the processes.
        world.run_until(at.max(Duration::from_secs(1)));
        world.decisions.clear();
        world.runs.clear();
        tickets.push(world.submit(entry, Request::new(&workspace.name, pipeline, input)));
    }
    world.run_until(end);
    tickets
}

fn pick<'a>(mix: &[(&'a str, f64)], mut at: f64) -> &'a str {
    for (name, share) in mix {
        if at < *share {
            return name;
        }
        at -= share;
    }
    mix[mix.len() - 1].0
}

fn tally(world: &World, mut figures: DayFigures, tickets: Vec<u64>) -> DayFigures {
    let mut n_attained = 0;
    for asked in tickets.iter().filter_map(|it| world.requests.get(it)) {
        figures.sent += 1;
        match asked.answer().map(|it| it.outcome) {
            Some(Outcome::Complete) => figures.complete += 1,
            Some(Outcome::NotRun) => figures.not_run += 1,
            Some(Outcome::Failed) => figures.failed += 1,
            Some(Outcome::InDoubt) => figures.in_doubt += 1,
            None => (),
        }
        n_attained += u64::from(is_attained(asked));
    }
    figures.attainment = n_attained as f64 / (figures.sent as f64).max(1.0);
    figures
}

/// The entries answer at the deadline at the latest, so whole answers are in time.
fn is_attained(asked: &RequestRecord) -> bool {
    asked.answer().is_some_and(|it| it.outcome == Outcome::Complete)
}
