//! The routing policies side by side, with the same arrivals and seeds.

use std::time::Duration;

use ferry_core::{Metric, Tuning, route::Policy};
use ferry_fakes::{Deployment, DeploymentName, Request, World, invariant_violations};
use ferry_model::{Moment, Outcome, SortedMap};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// Entries of today's deployments.
const N_ENTRIES: usize = 6;
/// Time for the entries to read their configuration.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time after the last arrival until every request has ended.
const TAIL: Duration = Duration::from_secs(15);
/// Start of the window in which goodput is counted, after the first arrivals.
const SETTLE: Duration = Duration::from_secs(5);

#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum CaseName {
    Steady,
    MorningBurst,
    Straggler,
    EndpointCrash,
    ZoneLost,
    StoreDown,
    Overload,
    /// The pool that all pipelines share is the narrow one.
    SharedOverload,
}

/// One run: a deployment, a case and a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    pub deployment: DeploymentName,
    pub case: CaseName,
    pub policy: Policy,
    pub seed: u64,
    pub length: Duration,
}

/// What one run measured.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    pub deployment: String,
    pub case: String,
    pub policy: String,
    pub seed: u64,
    pub sent: usize,
    /// Share of requests complete within their deadline.
    pub attainment: f64,
    pub pipelines: Vec<PipelineFigures>,
    /// Requests of the narrowest pool that were complete in time, over what it can take.
    pub goodput: f64,
    pub calls: u64,
    pub hedges: u64,
    pub retries: u64,
    /// Endpoint time used by pool, in seconds per 1,000 requests.
    pub runner_seconds: Vec<(String, f64)>,
    pub broken: Vec<String>,
    /// Requests that were not complete in time, by what their callers were told.
    pub missed: Vec<(String, u32)>,
}

#[derive(Debug, Clone, Serialize)]
pub struct PipelineFigures {
    pub pipeline: String,
    pub attainment: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

#[derive(Debug, Clone)]
struct Arrival {
    at: Moment,
    node: usize,
    request: Request,
}

/// Returns every run of the comparison for a seed.
pub fn runs(seed: u64, length: Duration) -> Vec<Run> {
    let mut runs = Vec::new();
    for deployment in DeploymentName::iter() {
        for case in CaseName::iter() {
            for policy in Policy::iter() {
                runs.push(Run { deployment, case, policy, seed, length });
            }
        }
    }
    runs
}

/// A world after a run, with the time of the first arrival.
#[derive(Debug)]
pub struct Played {
    pub deployment: Deployment,
    pub world: World,
    pub start: Moment,
}

/// Performs a run on virtual time and measures it.
pub fn perform(run: Run) -> Result<Figures, serde_json::Error> {
    let Played { deployment, world, start } = play(run)?;
    Ok(measure(&deployment, run, &world, start))
}

/// Performs a run on virtual time.
pub fn play(run: Run) -> Result<Played, serde_json::Error> {
    let deployment = shape(run);
    let tuning = Tuning { policy: run.policy, ..Tuning::default() };
    let mut world = World::with_deployment(&deployment, N_ENTRIES, &tuning, run.seed)?;
    world.run_for(WARM_UP);
    let start = world.now;
    let mut changes = changes(run);
    for arrival in arrivals(&deployment, run) {
        while let Some((at, change)) = changes.first().copied()
            && at <= arrival.at
        {
            world.run_until(start + at);
            change(&mut world);
            changes.remove(0);
        }
        world.run_until(start + arrival.at);
        let node = (0..N_ENTRIES).map(|it| (arrival.node + it) % N_ENTRIES);
        let alive = node.into_iter().find(|it| world.is_alive(*it)).unwrap_or(0);
        world.submit(alive, arrival.request);
    }
    world.run_until(start + run.length + TAIL);
    Ok(Played { deployment, world, start })
}

/// Returns the deployment with the pools and the mix of the case.
fn shape(run: Run) -> Deployment {
    let mut deployment = Deployment::new(run.deployment);
    if run.case != CaseName::SharedOverload {
        return deployment;
    }
    for pool in deployment.pools.iter_mut().filter(|it| it.name == "encode") {
        pool.slots = 1;
        pool.service_time = Duration::from_millis(40);
    }
    if run.deployment == DeploymentName::Ikenna {
        deployment.mix = vec![("draft", 0.3), ("file", 0.3), ("portal", 0.25), ("calendar", 0.15)];
    }
    deployment
}

/// Requests a second of this mix that the narrowest pool can take, and that pool.
fn capacity(deployment: &Deployment) -> (f64, &'static str) {
    let per_pool = deployment.pools.iter().map(|pool| {
        let share: f64 = deployment
            .mix
            .iter()
            .filter_map(|(name, share)| {
                let pipeline = deployment.config.pipeline(name)?;
                let n_calls = pipeline.stages.iter().filter(|it| it.pool == pool.name).count();
                Some(share * n_calls as f64)
            })
            .sum();
        // An engine's token time counts for the tokens that its answers have.
        let service = pool.service_time.as_secs_f64() + pool.token_time.as_secs_f64() * N_TOKENS;
        let calls = (pool.endpoints * pool.slots) as f64 / service;
        if share == 0.0 { (f64::INFINITY, pool.name) } else { (calls / share, pool.name) }
    });
    per_pool.min_by(|left, right| left.0.total_cmp(&right.0)).unwrap_or((f64::INFINITY, ""))
}

/// Tokens of an engine's answer to an input of this experiment.
const N_TOKENS: f64 = 30.0;

/// Requests a second at a moment, as a share of the capacity.
fn load(run: Run, at: Moment) -> f64 {
    let is_burst = run.length / 3 <= at && at < run.length * 2 / 3;
    match run.case {
        CaseName::MorningBurst if is_burst => 1.0,
        CaseName::MorningBurst => 0.2,
        CaseName::Overload | CaseName::SharedOverload => 2.0,
        CaseName::Steady
        | CaseName::Straggler
        | CaseName::EndpointCrash
        | CaseName::ZoneLost
        | CaseName::StoreDown => 0.5,
    }
}

/// Share of arrivals whose pipeline has a stage in the pool.
fn share_of(deployment: &Deployment, pool: &str) -> f64 {
    let has_pool = |name: &str| {
        let pipeline = deployment.config.pipeline(name);
        pipeline.is_some_and(|it| it.stages.iter().any(|it| it.pool == pool))
    };
    deployment.mix.iter().filter(|(name, _)| has_pool(name)).map(|(_, share)| share).sum()
}

fn arrivals(deployment: &Deployment, run: Run) -> Vec<Arrival> {
    let (capacity, _) = capacity(deployment);
    let mut rng = Pcg64Mcg::seed_from_u64(run.seed);
    let mut at = Duration::ZERO;
    let mut arrivals = Vec::new();
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / (capacity * load(run, at));
        at += Duration::from_secs_f64(gap);
        if run.length <= at {
            return arrivals;
        }
        let number = arrivals.len();
        let pipeline = pick(&deployment.mix, rng.random());
        let workspace = rng.random_range(0..deployment.workspaces.len());
        let workspace = &deployment.workspaces[workspace].name;
        let input = format!("{pipeline} number {number:06}");
        let request = Request::new(workspace, pipeline, input).with_key(format!("key-{number}"));
        arrivals.push(Arrival { at, node: rng.random_range(0..N_ENTRIES), request });
    }
}

fn pick<'a>(mix: &[(&'a str, f64)], at: f64) -> &'a str {
    let mut sum = 0.0;
    for (name, share) in mix {
        sum += share;
        if at < sum {
            return name;
        }
    }
    mix[mix.len() - 1].0
}

type Change = fn(&mut World);

/// What goes wrong, and when after the first arrival.
fn changes(run: Run) -> Vec<(Moment, Change)> {
    let third = run.length / 3;
    let changes: [(Moment, Change); 2] = match run.case {
        CaseName::Steady
        | CaseName::MorningBurst
        | CaseName::Overload
        | CaseName::SharedOverload => {
            return Vec::new();
        }
        CaseName::Straggler => [
            (third, |world| first_engine(world, |it| it.straggle = Some(20.0))),
            (third * 2, |world| first_engine(world, |it| it.straggle = None)),
        ],
        CaseName::EndpointCrash => [
            (third, |world| first_engine(world, |it| it.down = true)),
            (third * 2, |world| first_engine(world, |it| it.down = false)),
        ],
        CaseName::ZoneLost => [(third, lose_zone), (third * 2, |_| ())],
        CaseName::StoreDown => [
            (third, |world| world.store.faults.down = true),
            (third * 2, |world| world.store.faults.down = false),
        ],
    };
    changes.to_vec()
}

fn first_engine(world: &mut World, set: fn(&mut ferry_fakes::EndpointFaults)) {
    let is_engine = |it: &&mut ferry_fakes::FakeEndpoint| !it.speed.token_time.is_zero();
    if let Some(engine) = world.endpoints.values_mut().find(is_engine) {
        set(&mut engine.faults);
    }
}

/// Loses the zone of the second entry: its endpoints refuse, its entries are gone.
fn lose_zone(world: &mut World) {
    let zone = world.node(1).identity().zone.clone();
    for it in world.endpoints.values_mut().filter(|it| it.endpoint.zone == zone) {
        it.faults.down = true;
    }
    for node in 0..N_ENTRIES {
        if world.node(node).identity().zone == zone {
            world.kill(node);
        }
    }
}

fn measure(deployment: &Deployment, run: Run, world: &World, start: Moment) -> Figures {
    let mut groups: SortedMap<&str, (usize, Vec<Duration>)> = SortedMap::new();
    let mut n_good = 0;
    let (capacity, narrowest) = capacity(deployment);
    let narrow_share: f64 = share_of(deployment, narrowest);
    let window = start + SETTLE..start + run.length;
    for asked in world.requests.values() {
        let Some(pipeline) = deployment.config.pipeline(&asked.request.pipeline) else { continue };
        let group = groups.get_or_insert_with(&pipeline.name, Default::default);
        group.0 += 1;
        let Some((at, answer)) = asked.answers.first() else { continue };
        let took = at.saturating_sub(asked.at);
        if answer.outcome == Outcome::Complete && took <= pipeline.deadline {
            group.1.push(took);
            let is_narrow = pipeline.stages.iter().any(|it| it.pool == narrowest);
            n_good += usize::from(is_narrow && window.contains(at));
        }
    }
    let n_sent = world.requests.len();
    let n_in_time: usize = groups.values().map(|it| it.1.len()).sum();
    let goodput = n_good as f64 / (run.length - SETTLE).as_secs_f64() / (capacity * narrow_share);
    let count = |metric| (0..N_ENTRIES).map(|it| world.count(it, metric)).sum();
    Figures {
        deployment: run.deployment.to_string(),
        case: run.case.to_string(),
        policy: run.policy.to_string(),
        seed: run.seed,
        sent: n_sent,
        attainment: n_in_time as f64 / n_sent as f64,
        pipelines: groups.iter().map(|(name, it)| pipeline_figures(name, it)).collect(),
        goodput,
        calls: count(Metric::CallsSent),
        hedges: count(Metric::CallsHedged),
        retries: count(Metric::CallsRetried),
        runner_seconds: runner_seconds(world, n_sent),
        broken: invariant_violations(world),
        missed: missed(world),
    }
}

fn missed(world: &World) -> Vec<(String, u32)> {
    let mut counts: SortedMap<String, u32> = SortedMap::new();
    for asked in world.requests.values() {
        let told = match asked.answer() {
            Some(answer) if answer.outcome == Outcome::Complete => continue,
            Some(answer) => {
                let refusal = answer.refusal.map(|it| it.to_string());
                let failure = answer.failure.map(|it| it.to_string());
                format!("{} {}", answer.outcome, refusal.or(failure).unwrap_or_default())
            }
            None => "no answer".to_owned(),
        };
        *counts.get_or_insert_with(told, || 0) += 1;
    }
    counts.iter().map(|(told, count)| (told.clone(), *count)).collect()
}

fn pipeline_figures(name: &str, (n_sent, in_time): &(usize, Vec<Duration>)) -> PipelineFigures {
    let mut sorted = in_time.clone();
    sorted.sort();
    let quantile = |share: f64| {
        let idx = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
        sorted.get(idx).map_or(0.0, |it| it.as_secs_f64() * 1e3)
    };
    PipelineFigures {
        pipeline: name.to_owned(),
        attainment: in_time.len() as f64 / *n_sent as f64,
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
    }
}

fn runner_seconds(world: &World, n_sent: usize) -> Vec<(String, f64)> {
    let mut pools: SortedMap<&str, f64> = SortedMap::new();
    for it in world.endpoints.values() {
        *pools.get_or_insert_with(&it.endpoint.pool, || 0.0) += it.busy_time.as_secs_f64();
    }
    let per_thousand = |busy: f64| busy * 1e3 / n_sent as f64;
    pools.iter().map(|(pool, busy)| ((*pool).to_owned(), per_thousand(*busy))).collect()
}
