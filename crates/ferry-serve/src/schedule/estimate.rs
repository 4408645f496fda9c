//! What a request would cost at each engine.

use std::time::Duration;

use ferry_model::{EndpointId, Moment};

use super::engine::Engine;
use super::{ScheduleRequest, Scheduler};
use crate::choose::{
    FAIL_COST, LIKELY_CACHED_FRACTION, PERMIT_COST, ZONE_HOP_COST, millis, prefixes,
    sort_by_affinity,
};
use crate::{EndpointView, Endpoints, Mechanism, Tuning};

/// Cost of one more request that writes tokens, as time: each makes the steps of an engine longer.
const RUNNING_COST: Duration = Duration::from_millis(3);
/// Cost of each rank of an engine among those that a prompt prefers, as time, if none of them is
/// known to have cached it. A scheduler that has just taken over then finds what others chose.
const RANK_COST: Duration = Duration::from_millis(100);
const MAX_RANK: usize = 4;
/// Cost of a stream that pauses for too long while its engine reads a prompt, as time.
const PAUSE_COST: Duration = Duration::from_millis(200);
/// Part of the objective for pauses that reading may take; tokens are written in the rest.
const STALL_FRACTION: f64 = 0.6;
/// Longest wait for a permit that makes a difference.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(60);

/// Shared tokens of a prompt that are cached.
#[derive(Debug, Clone, Copy)]
struct Cached {
    /// By the engine.
    here: u32,
    /// By the engine that has cached most of them.
    most: u32,
}

/// What a request would cost at one engine, in parts, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineCost {
    pub endpoint: EndpointId,
    /// Time until the prompts of earlier calls are read.
    pub wait: Duration,
    /// Time to read the prompt.
    pub read: Duration,
    /// Cost of the streams that would pause for too long meanwhile.
    pub stall: Duration,
    /// Shared tokens that the engine has to read.
    pub uncached: u32,
    /// All of that with the smaller parts, as time.
    pub total: Duration,
}

/// What a request would cost at one engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    /// Milliseconds until the prompts of earlier calls are read.
    pub(super) wait: f64,
    /// Milliseconds to read the prompt.
    pub(super) read: f64,
    /// Cost in milliseconds of the streams that would pause for too long.
    stall: f64,
    /// Cost of all that in milliseconds.
    pub(super) cost: f64,
    /// Shared tokens that the engine has to read.
    pub(super) uncached: u32,
}

impl Scheduler {
    /// Returns the engine at which a request costs least, and the number of engines compared.
    pub(super) fn best<'a>(
        &self,
        now: Moment,
        endpoints: &'a Endpoints,
        tuning: &Tuning,
        request: &ScheduleRequest,
        prefixes: &[(u64, u32)],
    ) -> Option<(Estimate, &'a EndpointView, u32)> {
        let (estimates, considered) = self.estimates(now, endpoints, tuning, request, prefixes);
        let (best, view) = estimates.into_iter().min_by(|a, b| a.0.cost.total_cmp(&b.0.cost))?;
        Some((best, view, considered))
    }

    /// Returns what a request would cost at each engine that may get it now, and the number of
    /// engines that may get it at all.
    fn estimates<'a>(
        &self,
        now: Moment,
        endpoints: &'a Endpoints,
        tuning: &Tuning,
        request: &ScheduleRequest,
        prefixes: &[(u64, u32)],
    ) -> (Vec<(Estimate, &'a EndpointView)>, u32) {
        let fits = |it: &&EndpointView| {
            it.accepts_work()
                && it.has_build(request.build.as_deref())
                && request.shard.contains(&it.endpoint.id)
                && !request.tried.contains(&it.endpoint.id)
        };
        let candidates: Vec<&EndpointView> = endpoints.pool(&request.pool).filter(fits).collect();
        let has_usable = candidates.iter().any(|it| it.is_usable(now));
        let shared = &prefixes[..prefixes.len().saturating_sub(1)];
        let known: Vec<(&EndpointView, u32)> =
            candidates.iter().map(|it| (*it, self.cached(now, it, request, shared))).collect();
        let most_cached = known.iter().map(|it| it.1).max().unwrap_or_default();
        let mut usable = known;
        usable.retain(|it| !has_usable || it.0.is_usable(now));
        let has_permits = usable.iter().any(|it| it.0.may_have_permit(now));
        usable.retain(|it| !has_permits || it.0.may_have_permit(now));
        let total: u32 = shared.iter().map(|it| it.1).sum();
        let is_unknown = most_cached < total;
        // Without knowledge of what an earlier scheduler chose, its first choice is the best guess.
        let guessed = match is_unknown && self.has_predecessor {
            true => (f64::from(total) * LIKELY_CACHED_FRACTION) as u32,
            false => 0,
        };
        if is_unknown {
            sort_by_affinity(&mut usable, prefixes);
        }
        let estimates = usable.into_iter().enumerate().map(|(rank, (view, cached))| {
            let here = cached.max(if rank == 0 { guessed } else { 0 });
            let known = Cached { here, most: most_cached.max(guessed) };
            let mut estimate = self.estimate(now, view, tuning, request, prefixes, known);
            if is_unknown && tuning.is_enabled(Mechanism::Affinity) {
                estimate.cost += millis(RANK_COST) * rank.min(MAX_RANK) as f64;
            }
            (estimate, view)
        });
        (estimates.collect(), candidates.len() as u32)
    }

    /// Whether the streams of an engine pause for longer than is useful while it reads prompts for this
    /// number of milliseconds.
    fn is_too_long(&self, pool: &str, tuning: &Tuning, reading: f64) -> bool {
        tuning.is_enabled(Mechanism::StallAvoidance)
            && self.max_pauses.get(pool).is_some_and(|it| STALL_FRACTION * millis(*it) < reading)
    }

    /// Returns what a request would cost at each engine that may get it now, without choosing one.
    pub fn explain(
        &self,
        now: Moment,
        endpoints: &Endpoints,
        tuning: &Tuning,
        request: &ScheduleRequest,
    ) -> Vec<EngineCost> {
        let prefixes = prefixes(&request.prompt);
        let (estimates, _) = self.estimates(now, endpoints, tuning, request, &prefixes);
        let time = |millis: f64| Duration::from_secs_f64(millis.max(0.0) / 1e3);
        let cost = |(it, view): (Estimate, &EndpointView)| EngineCost {
            endpoint: view.endpoint.id.clone(),
            wait: time(it.wait),
            read: time(it.read),
            stall: time(it.stall),
            uncached: it.uncached,
            total: time(it.cost),
        };
        estimates.into_iter().map(cost).collect()
    }

    /// Returns how many tokens of the shared parts an engine has cached.
    fn cached(
        &self,
        now: Moment,
        view: &EndpointView,
        request: &ScheduleRequest,
        shared: &[(u64, u32)],
    ) -> u32 {
        let engine = self.engines.get(&view.endpoint.id);
        let parts = &request.prompt[..shared.len()];
        let scheduled = engine.map_or(0, |it| it.cached_tokens(parts));
        scheduled.max(view.cached_tokens(now, shared))
    }

    fn estimate(
        &self,
        now: Moment,
        view: &EndpointView,
        tuning: &Tuning,
        request: &ScheduleRequest,
        prefixes: &[(u64, u32)],
        cached: Cached,
    ) -> Estimate {
        let total: u32 = prefixes.iter().map(|it| it.1).sum();
        let engine = self.engines.get(&view.endpoint.id);
        let speed = engine.map_or(1.0, Engine::slowdown);
        let own = prefixes.last().map_or(0, |it| it.1);
        let uncached = total - own - cached.here;
        let read = f64::from(own + uncached) / tuning.tokens_per_ms * speed;
        let wait = engine.map_or(0.0, |it| it.backlog(now));
        let n_running = engine.map_or(0, Engine::n_running).max(view.occupancy(now));
        let slots = f64::from(view.endpoint.slots.max(1));
        let overflow = (f64::from(n_running) + 1.0 - slots).max(0.0) * 1e3 / slots;
        // Reading what another engine has cached costs more than its time.
        let again =
            f64::from(cached.most.saturating_sub(cached.here)) / 1e3 * millis(tuning.reread_cost);
        let elsewhere: f64 =
            request.results.iter().filter(|it| it.0 != view.endpoint.zone).map(|it| it.1).sum();
        let hop = if view.endpoint.zone == request.zone { 0.0 } else { millis(ZONE_HOP_COST) };
        let permit = view.rate_limit().map_or(0.0, |_| {
            millis(PERMIT_COST) + millis(view.permit_wait(now).min(MAX_PERMIT_WAIT))
        });
        let n_begun = engine.map_or(0, Engine::n_begun);
        let stall = match self.is_too_long(&request.pool, tuning, wait + read) {
            true => f64::from(n_begun) * millis(PAUSE_COST),
            false => 0.0,
        };
        let cost = wait
            + read
            + stall
            + permit
            + overflow
            + f64::from(n_running) * millis(RUNNING_COST)
            + again
            + elsewhere * millis(tuning.transfer_cost)
            + hop
            + view.failure_rate * millis(FAIL_COST);
        Estimate { wait, read, stall, cost, uncached }
    }
}
