//! Comparison of forecast, reactive and fixed capacity over compressed days.
//!
//! The first day only fills the stored history of demand; the ordinary day and the holiday that
//! follow are measured. All strategies get the same arrivals.

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
/// Time to load weights from the weight store once.
const WEIGHT_LOAD_TIME: Duration = Duration::from_secs(4);
/// Time from the last arrival until every deadline has passed.
const DRAIN_TIME: Duration = Duration::from_secs(10);
/// Token limit of generate stages.
const MAX_TOKENS: u32 = 8;
/// Number of endpoints that a placed pool keeps at all times.
const MIN_ENDPOINTS: u32 = 2;

/// How the number of endpoints of a pool is chosen.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Strategy {
    /// As many endpoints as the day's peak needs, at all times.
    Fixed,
    /// Follows recent demand only.
    Reactive,
    /// Follows recent demand and the demand at the same time of earlier days.
    Forecast,
}

/// Course of the demand over a day.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DayKind {
    /// Half of the daytime demand at night, a burst in the morning.
    Ordinary,
    /// Half of the daytime demand all day, without a burst.
    Holiday,
}

impl DayKind {
    /// Returns the share of the peak rate at an hour of the day.
    fn rate_share(self, hour: f64) -> f64 {
        match self {
            DayKind::Holiday => 0.3,
            DayKind::Ordinary if hour < 8.0 => 0.3,
            DayKind::Ordinary if hour < 10.0 => 1.0,
            DayKind::Ordinary if hour < 18.0 => 0.6,
            DayKind::Ordinary => 0.3,
        }
    }
}

/// Statistics of one strategy on one day.
#[derive(Debug, Clone, Serialize)]
pub struct DayStats {
    pub deployment: String,
    pub strategy: Strategy,
    pub day: DayKind,
    pub sent: u64,
    pub complete: u64,
    pub not_run: u64,
    pub failed: u64,
    pub in_doubt: u64,
    /// Share of requests completed before their deadline.
    pub attainment: f64,
    /// Calls in flight that placement orders interrupted.
    pub cut: usize,
    /// Capacity held in each placed pool.
    pub stages: Vec<HeldCapacity>,
}

/// Endpoints held in one pool over a day.
#[derive(Debug, Clone, Serialize)]
pub struct HeldCapacity {
    pub pool: String,
    /// Runner-seconds.
    pub held: f64,
}

impl DayStats {
    /// Returns the runner-seconds held over all placed pools.
    pub fn total_held(&self) -> f64 {
        self.stages.iter().map(|it| it.held).sum()
    }
}

/// Runs the three days under one strategy and returns the two measured ones.
pub fn run(name: DeploymentName, strategy: Strategy, seed: u64) -> Result<Vec<DayStats>, String> {
    let deployment = deployment(name);
    let peak = peak_rate(&deployment);
    let mut world = world(&deployment, strategy, peak, seed)?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let days = [DayKind::Ordinary, DayKind::Ordinary, DayKind::Holiday];
    let mut measured = Vec::new();
    for (idx, kind) in (0..).zip(days) {
        let start = DAY * idx;
        let before: Vec<Duration> =
            placed_pools(&deployment).map(|it| world.held_time(it)).collect();
        let n_orders = world.orders.len();
        let tickets = send_day(&mut world, &deployment, kind, start, peak, &mut rng);
        let stages = placed_pools(&deployment)
            .zip(before)
            .map(|(pool, before)| HeldCapacity {
                pool: pool.to_owned(),
                held: (world.held_time(pool) - before).as_secs_f64(),
            })
            .collect();
        if idx == 0 {
            continue;
        }
        let cut = world.orders[n_orders..].iter().map(|it| it.broken_calls).sum();
        let stats = DayStats {
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
        measured.push((stats, tickets));
    }
    world.run_for(DRAIN_TIME);
    Ok(measured.into_iter().map(|(stats, tickets)| tally(&world, stats, tickets)).collect())
}

/// Returns the deployment with slower stages, so that a few requests a second need a whole pool.
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
            stage.max_tokens = MAX_TOKENS;
        }
    }
    let floors =
        placed_pools(&deployment).map(|it| Floor { pool: it.to_owned(), endpoints: MIN_ENDPOINTS });
    let mut floors: Vec<Floor> = floors.collect();
    floors.sort_by(|left, right| left.pool.cmp(&right.pool));
    deployment.config.presets.ordinary.floors = floors;
    deployment
}

fn placed_pools(deployment: &Deployment) -> impl Iterator<Item = &'static str> {
    let pools = deployment.pools.iter().filter(|it| it.kind != StageKind::Service);
    pools.map(|it| it.name).collect::<Vec<_>>().into_iter()
}

/// Returns the mean number of concurrent calls to a pool at a rate of requests.
fn concurrency(deployment: &Deployment, pool: &str, rate: f64) -> f64 {
    let uses = |name: &str| {
        let pipeline = deployment.config.pipeline(name);
        pipeline.is_some_and(|it| it.stages.iter().any(|it| it.pool == pool))
    };
    let share: f64 =
        deployment.mix.iter().filter(|(name, _)| uses(name)).map(|(_, share)| share).sum();
    let shape = deployment.pools.iter().find(|it| it.name == pool);
    let service = shape.map_or(Duration::ZERO, |it| it.service_time + it.token_time * MAX_TOKENS);
    rate * share * service.as_secs_f64()
}

/// Returns the endpoints that a pool needs at a rate, sized as placement sizes them.
fn endpoints_needed(deployment: &Deployment, pool: &str, rate: f64) -> u32 {
    let slots = deployment.pools.iter().find(|it| it.name == pool).map_or(1, |it| it.slots);
    let utilisation = Tuning::default().place.utilisation;
    endpoints_for(concurrency(deployment, pool, rate), slots as f64, utilisation).max(MIN_ENDPOINTS)
}

/// Returns the highest whole rate that the pools can serve.
fn peak_rate(deployment: &Deployment) -> f64 {
    let fits = |rate: f64| {
        let pools = deployment.pools.iter().filter(|it| it.kind != StageKind::Service);
        pools.clone().all(|it| endpoints_needed(deployment, it.name, rate) <= it.endpoints as u32)
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
    world.weights.load_time = WEIGHT_LOAD_TIME;
    if strategy == Strategy::Fixed {
        for pool in placed_pools(deployment) {
            let n_needed = endpoints_needed(deployment, pool, peak) as usize;
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

/// Sends the arrivals of one day and returns their tickets.
fn send_day(
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
        let rate = peak * kind.rate_share(hour);
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        if end <= at {
            break;
        }
        let entry = rng.random_range(0..N_ENTRIES);
        let pipeline = pick(&deployment.mix, rng.random());
        let workspace = &deployment.workspaces[rng.random_range(0..deployment.workspaces.len())];
        let input = format!("case {}", tickets.len());
        // The processes start during the first second.
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

fn tally(world: &World, mut stats: DayStats, tickets: Vec<u64>) -> DayStats {
    let mut n_in_time = 0;
    for record in tickets.iter().filter_map(|it| world.requests.get(it)) {
        stats.sent += 1;
        match record.answer().map(|it| it.outcome) {
            Some(Outcome::Complete) => stats.complete += 1,
            Some(Outcome::NotRun) => stats.not_run += 1,
            Some(Outcome::Failed) => stats.failed += 1,
            Some(Outcome::InDoubt) => stats.in_doubt += 1,
            None => (),
        }
        n_in_time += u64::from(is_in_time(record));
    }
    stats.attainment = n_in_time as f64 / (stats.sent as f64).max(1.0);
    stats
}

/// Entries answer by the deadline at the latest, so every complete answer is in time.
fn is_in_time(record: &RequestRecord) -> bool {
    record.answer().is_some_and(|it| it.outcome == Outcome::Complete)
}
