//! Comparison of the routing policies with the same arrivals and seeds.

use std::time::Duration;

use ferry_core::{Metric, Tuning, route::Policy};
use ferry_fakes::{Deployment, DeploymentName, Request, World, invariant_violations};
use ferry_model::{Moment, Outcome, SortedMap};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// Number of entries in the present deployments.
const N_ENTRIES: usize = 6;
/// Time for the entries to read their configuration.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time after the last arrival within which every request ends.
const DRAIN_TIME: Duration = Duration::from_secs(15);
/// Time from the start of the arrivals to the start of the window that counts for goodput.
const GOODPUT_DELAY: Duration = Duration::from_secs(5);

/// Load or fault under which the policies are compared.
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
    /// Overload whose bottleneck is the pool that all pipelines share.
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

/// Statistics of one run.
#[derive(Debug, Clone, Serialize)]
pub struct RunStats {
    pub deployment: String,
    pub case: String,
    pub policy: String,
    pub seed: u64,
    pub sent: usize,
    /// Share of requests completed within their deadline.
    pub attainment: f64,
    pub pipelines: Vec<PipelineStats>,
    /// Rate of requests through the bottleneck pool completed in time, as a share of its capacity.
    pub goodput: f64,
    pub calls: u64,
    pub hedges: u64,
    pub retries: u64,
    /// Endpoint time used by pool, in seconds per 1,000 requests.
    pub runner_seconds: Vec<(String, f64)>,
    pub broken: Vec<String>,
    /// Requests that did not complete, by the outcome and reason that their callers received.
    pub missed: Vec<(String, u32)>,
}

#[derive(Debug, Clone, Serialize)]
pub struct PipelineStats {
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

/// The world after a simulated run.
#[derive(Debug)]
pub struct Simulation {
    pub deployment: Deployment,
    pub world: World,
    /// Moment from which arrivals and faults are timed.
    pub start: Moment,
}

/// Simulates a run on virtual time and measures it.
pub fn measure(run: Run) -> Result<RunStats, serde_json::Error> {
    let Simulation { deployment, world, start } = simulate(run)?;
    Ok(stats_of(&deployment, run, &world, start))
}

/// Simulates a run on virtual time.
pub fn simulate(run: Run) -> Result<Simulation, serde_json::Error> {
    let deployment = deployment_for(run);
    let tuning = Tuning { policy: run.policy, ..Tuning::default() };
    let mut world = World::with_deployment(&deployment, N_ENTRIES, &tuning, run.seed)?;
    world.run_for(WARM_UP);
    let start = world.now;
    let mut faults = fault_schedule(run);
    for arrival in arrivals(&deployment, run) {
        while let Some((at, apply)) = faults.first().copied()
            && at <= arrival.at
        {
            world.run_until(start + at);
            apply(&mut world);
            faults.remove(0);
        }
        world.run_until(start + arrival.at);
        let node = (0..N_ENTRIES).map(|it| (arrival.node + it) % N_ENTRIES);
        let alive = node.into_iter().find(|it| world.is_alive(*it)).unwrap_or(0);
        world.submit(alive, arrival.request);
    }
    world.run_until(start + run.length + DRAIN_TIME);
    Ok(Simulation { deployment, world, start })
}

/// Returns the deployment with the pools and the mix of the case.
fn deployment_for(run: Run) -> Deployment {
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

/// Returns the requests a second of this mix that the bottleneck pool can serve, and its name.
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
        // An engine takes its token time for each token of an answer.
        let service = pool.service_time.as_secs_f64() + pool.token_time.as_secs_f64() * N_TOKENS;
        let calls = (pool.endpoints * pool.slots) as f64 / service;
        if share == 0.0 { (f64::INFINITY, pool.name) } else { (calls / share, pool.name) }
    });
    per_pool.min_by(|left, right| left.0.total_cmp(&right.0)).unwrap_or((f64::INFINITY, ""))
}

/// Tokens of an engine's answer to an input of this experiment.
const N_TOKENS: f64 = 30.0;

/// Returns the arrival rate at a moment, as a share of the capacity.
fn rate_share(run: Run, at: Moment) -> f64 {
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

/// Returns the share of arrivals whose pipeline has a stage in the pool.
fn pool_share(deployment: &Deployment, pool: &str) -> f64 {
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
        let gap = -(1.0 - rng.random::<f64>()).ln() / (capacity * rate_share(run, at));
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

type ApplyFault = fn(&mut World);

/// Returns the changes of faults in a case, with their times since the start.
fn fault_schedule(run: Run) -> Vec<(Moment, ApplyFault)> {
    let third = run.length / 3;
    let schedule: [(Moment, ApplyFault); 2] = match run.case {
        CaseName::Steady
        | CaseName::MorningBurst
        | CaseName::Overload
        | CaseName::SharedOverload => {
            return Vec::new();
        }
        CaseName::Straggler => [
            (third, |world| change_first_engine(world, |it| it.straggle = Some(20.0))),
            (third * 2, |world| change_first_engine(world, |it| it.straggle = None)),
        ],
        CaseName::EndpointCrash => [
            (third, |world| change_first_engine(world, |it| it.down = true)),
            (third * 2, |world| change_first_engine(world, |it| it.down = false)),
        ],
        CaseName::ZoneLost => [(third, fail_zone), (third * 2, |_| ())],
        CaseName::StoreDown => [
            (third, |world| world.store.faults.down = true),
            (third * 2, |world| world.store.faults.down = false),
        ],
    };
    schedule.to_vec()
}

fn change_first_engine(world: &mut World, change: fn(&mut ferry_fakes::EndpointFaults)) {
    let is_engine = |it: &&mut ferry_fakes::FakeEndpoint| !it.speed.token_time.is_zero();
    if let Some(engine) = world.endpoints.values_mut().find(is_engine) {
        change(&mut engine.faults);
    }
}

/// Takes down the zone of the second entry: its endpoints refuse calls, its entries are killed.
fn fail_zone(world: &mut World) {
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

fn stats_of(deployment: &Deployment, run: Run, world: &World, start: Moment) -> RunStats {
    let mut groups: SortedMap<&str, (usize, Vec<Duration>)> = SortedMap::new();
    let mut n_good = 0;
    let (capacity, bottleneck) = capacity(deployment);
    let bottleneck_share: f64 = pool_share(deployment, bottleneck);
    let window = start + GOODPUT_DELAY..start + run.length;
    for record in world.requests.values() {
        let Some(pipeline) = deployment.config.pipeline(&record.request.pipeline) else { continue };
        let group = groups.get_or_insert_with(&pipeline.name, Default::default);
        group.0 += 1;
        let Some((at, answer)) = record.answers.first() else { continue };
        let took = at.saturating_sub(record.at);
        if answer.outcome == Outcome::Complete && took <= pipeline.deadline {
            group.1.push(took);
            let uses_bottleneck = pipeline.stages.iter().any(|it| it.pool == bottleneck);
            n_good += usize::from(uses_bottleneck && window.contains(at));
        }
    }
    let n_sent = world.requests.len();
    let n_in_time: usize = groups.values().map(|it| it.1.len()).sum();
    let goodput =
        n_good as f64 / (run.length - GOODPUT_DELAY).as_secs_f64() / (capacity * bottleneck_share);
    let count = |metric| (0..N_ENTRIES).map(|it| world.count(it, metric)).sum();
    RunStats {
        deployment: run.deployment.to_string(),
        case: run.case.to_string(),
        policy: run.policy.to_string(),
        seed: run.seed,
        sent: n_sent,
        attainment: n_in_time as f64 / n_sent as f64,
        pipelines: groups.iter().map(|(name, it)| pipeline_stats(name, it)).collect(),
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
    for record in world.requests.values() {
        let reason = match record.answer() {
            Some(answer) if answer.outcome == Outcome::Complete => continue,
            Some(answer) => {
                let refusal = answer.refusal.map(|it| it.to_string());
                let failure = answer.failure.map(|it| it.to_string());
                format!("{} {}", answer.outcome, refusal.or(failure).unwrap_or_default())
            }
            None => "no answer".to_owned(),
        };
        *counts.get_or_insert_with(reason, || 0) += 1;
    }
    counts.iter().map(|(reason, count)| (reason.clone(), *count)).collect()
}

fn pipeline_stats(name: &str, (n_sent, in_time): &(usize, Vec<Duration>)) -> PipelineStats {
    let mut sorted = in_time.clone();
    sorted.sort();
    let quantile = |share: f64| {
        let idx = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
        sorted.get(idx).map_or(0.0, |it| it.as_secs_f64() * 1e3)
    };
    PipelineStats {
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
