//! Collects items of many requests into calls to the endpoints of batch pools.
//!
//! An endpoint of such a pool runs one call at a time, and most of the time of a call does not
//! depend on its number of items. So one instance, the batcher, collects the items of a group of
//! endpoints, sends a call only to an endpoint that is free, and serves the earliest due time
//! first; docs/design/platform.md has the figures.

mod backlog;
mod candidates;
mod crash;
mod job;
mod late;
mod outcomes;
mod permits;
mod plan;
mod shed;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{BatchLimits, EndpointId, Moment, PoolId, ResultHandle, SortedMap};

use crate::pass::{Context, Pass, free};
use crate::{
    BatchCall, BatchFailure, BatchItem, CallId, Decision, DecisionKind, Effect, Endpoints, Group,
    ItemResult, LoadReport, Mechanism, Metric,
};

pub(crate) use backlog::group_pause;
use candidates::Candidate;
pub use job::{Job, JobKey, JobOutcome, JobOwner};
use late::GroupAnswers;
use outcomes::{finish, notify_owner};
use permits::BatchPermits;
pub(crate) use plan::full_call;

/// Time that a call spends on the network, in addition to the endpoint's work.
const TRANSIT_TIME: Duration = Duration::from_millis(6);
/// Multiple of the expected time after which the items of a call are sent to another endpoint too.
const HEDGE_FACTOR: f64 = 1.8;
/// Added to the time of a call before its items are sent to another endpoint too.
const HEDGE_SLACK: Duration = Duration::from_millis(60);
/// Multiple of the expected time after which a call times out.
const TIMEOUT_FACTOR: u32 = 8;
/// Shortest time after which a call times out; a sound endpoint may be silent for most of it.
const MIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which items that wait for an endpoint in their zone are checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which a withdrawn job is kept, longer than messages arrive out of order.
const WITHDRAWN_RETENTION: Duration = Duration::from_millis(400);

/// A call in progress.
#[derive(Debug, Clone)]
struct SentCall {
    group: Group,
    endpoint: EndpointId,
    /// Which start of the endpoint it is.
    started: u64,
    address: SocketAddr,
    items: Vec<(JobKey, u16)>,
    sent_at: Moment,
    /// Expected time on an endpoint of normal speed.
    expected: Duration,
    /// For how long this process stood still meanwhile.
    stopped: Duration,
    /// When it ends if its endpoint is as fast as lately.
    due: Moment,
    /// From when on it is late.
    late_at: Moment,
    /// When its items are sent to another endpoint too; none once they are.
    hedge_at: Option<Moment>,
}

/// The jobs whose items this instance collects, and the calls that serve them.
#[derive(Debug, Clone, Default)]
pub struct Batcher {
    jobs: SortedMap<JobKey, Job>,
    calls: SortedMap<CallId, SentCall>,
    /// When batches that wait for more items are sent as they are.
    linger: SortedMap<Group, Moment>,
    permits: BatchPermits,
    answers: GroupAnswers,
}

impl Batcher {
    pub fn new() -> Batcher {
        Batcher::default()
    }

    /// Whether no job is in progress.
    pub fn is_idle(&self) -> bool {
        self.jobs.values().all(|it| it.outcome.is_some())
    }

    /// Accepts a job. One that is known already is not run again; its outcome is sent again, if
    /// any.
    pub fn submit(&mut self, cx: &mut Pass<'_>, key: JobKey, job: Job) {
        if let Some(known) = self.jobs.get_mut(&key) {
            known.owner = job.owner;
            if let Some(outcome) = known.outcome.clone() {
                notify_owner(cx, &key, known.owner, outcome);
            }
            return;
        }
        let group = job.group.clone();
        self.jobs.insert(key, job);
        self.dispatch(cx, &group);
    }

    /// Withdraws a job: pending items are dropped, and results are freed, also those of calls in
    /// progress.
    pub fn withdraw(&mut self, cx: &mut Pass<'_>, key: &JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.is_withdrawn = true;
        let handles: Vec<ResultHandle> = job.results.iter_mut().filter_map(Option::take).collect();
        if job.outcome.is_none() {
            job.settle(cx.now, JobOutcome::Failed);
        }
        let group = job.group.clone();
        free(cx, handles);
        self.dispatch(cx, &group);
    }

    pub fn on_result(
        &mut self,
        cx: &mut Pass<'_>,
        call: CallId,
        result: Result<Vec<ItemResult>, BatchFailure>,
        load: Option<LoadReport>,
    ) {
        let Some(sent) = self.calls.remove(&call) else { return };
        if let Some(view) = cx.ctx.endpoints.get_mut(&sent.endpoint) {
            view.outstanding = view.outstanding.saturating_sub(1);
            view.record_load(cx.now, load);
        }
        self.observe(cx, &sent, &result);
        match result {
            Ok(results) => {
                let pause = self.answers.record(cx.now, &sent, &self.calls);
                self.on_items(cx, &sent, results, pause);
            }
            Err(failure) => self.on_failure(cx, &sent, &failure),
        }
        self.dispatch(cx, &sent.group);
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        self.linger = SortedMap::new();
        if cx.ctx.tuning.is_enabled(Mechanism::Hedging) {
            self.hedge_late(cx);
        }
        self.expire(cx);
        self.renew_permits(cx);
        if cx.ctx.tuning.is_enabled(Mechanism::Shedding) {
            self.shed(cx);
        }
        self.dispatch_all(cx);
    }

    /// Sends what waits for a pool that this instance did not know before.
    pub fn dispatch_all(&mut self, cx: &mut Pass<'_>) {
        for group in self.groups() {
            self.dispatch(cx, &group);
        }
    }

    pub fn next_wake(&self, now: Moment, endpoints: &Endpoints) -> Option<Moment> {
        let hedge = self.calls.values().filter_map(|it| it.hedge_at).min();
        let deadline =
            self.jobs.values().filter(|it| it.outcome.is_none()).map(|it| it.deadline).min();
        let paused = self
            .waiting_pools()
            .iter()
            .flat_map(|it| endpoints.pool(it))
            .flat_map(|it| [it.paused_until(), now + it.permit_pause(now)])
            .filter(|it| now < *it)
            .min();
        let linger = self.linger.values().min().copied();
        let permits = self.permits.next_wake();
        [hedge, deadline, paused, linger, permits].into_iter().flatten().min()
    }

    /// Returns the groups whose items this instance currently collects.
    pub fn groups(&self) -> Vec<Group> {
        let open = self.jobs.values().filter(|it| it.outcome.is_none());
        let mut groups: Vec<Group> = open.map(|it| it.group.clone()).collect();
        groups.sort();
        groups.dedup();
        groups
    }

    fn waiting_pools(&self) -> Vec<&PoolId> {
        let waiting = self.jobs.values().filter(|it| it.is_waiting());
        let mut pools: Vec<&PoolId> = waiting.map(|it| &it.group.pool).collect();
        pools.sort();
        pools.dedup();
        pools
    }

    /// Returns the peers that wait for results, sorted.
    pub fn owners(&self) -> Vec<SocketAddr> {
        let open = self.jobs.values().filter(|it| it.outcome.is_none());
        let mut owners: Vec<SocketAddr> = open.filter_map(|it| it.owner.peer()).collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    /// Sends calls as long as there are free endpoints and waiting items that may use them.
    fn dispatch(&mut self, cx: &mut Pass<'_>, group: &Group) {
        self.linger.remove(group);
        let Some(limits) = batch_limits(cx.ctx, &group.pool) else { return };
        loop {
            let waiting = self.sendable(cx.ctx, group);
            if waiting.is_empty() {
                return;
            }
            let result_memory = self.result_memory(group);
            let candidates =
                candidates::candidates(cx, group, &limits, &self.calls, &result_memory, |it| {
                    self.permits.is_granted(cx.now, it)
                });
            let Some(plan) = plan::next(cx.now, &waiting, &candidates, &limits) else {
                if !waiting.is_empty() && candidates.iter().any(|it| it.is_free) {
                    self.linger.insert(group.clone(), cx.now + RECHECK_INTERVAL);
                }
                if !self.want_permits(cx, group, limits.slots) {
                    return;
                }
                continue;
            };
            if self.should_linger(cx, group, &limits, &candidates, plan.items.len()) {
                return;
            }
            let expected = call_time(&limits, plan.items.len());
            self.send(cx, group, &candidates[plan.candidate], plan.items, expected);
        }
    }

    fn waiting(&self, group: &Group) -> Vec<(&JobKey, &Job)> {
        self.jobs.iter().filter(|(_, it)| it.group == *group && it.is_waiting()).collect()
    }

    /// Returns the bytes of results at each endpoint of a group, with those being produced.
    fn result_memory(&self, group: &Group) -> SortedMap<SocketAddr, u64> {
        let mut result_memory = SortedMap::new();
        let mut add = |address: SocketAddr, bytes: u64| {
            *result_memory.get_or_insert_with(address, || 0) += bytes;
        };
        for job in self.jobs.values().filter(|it| it.group == *group) {
            for handle in job.results.iter().flatten() {
                add(handle.address, job.result_bytes);
            }
        }
        for call in self.calls.values().filter(|it| it.group == *group) {
            for (key, _) in &call.items {
                add(call.address, self.jobs.get(key).map_or(0, |it| it.result_bytes));
            }
        }
        result_memory
    }

    /// Whether a small batch waits a moment for more items, because few endpoints are free.
    fn should_linger(
        &mut self,
        cx: &Pass<'_>,
        group: &Group,
        limits: &BatchLimits,
        candidates: &[Candidate],
        n_items: usize,
    ) -> bool {
        if !cx.ctx.tuning.is_enabled(Mechanism::Lingering) {
            return false;
        }
        let n_free = candidates.iter().filter(|it| it.is_free).count();
        if limits.max_items <= 2 * n_items || candidates.len() < 2 * n_free {
            return false;
        }
        let waiting = self.jobs.values().filter(|it| it.group == *group && it.is_waiting());
        let Some(oldest) = waiting.map(|it| it.since).min() else { return false };
        let until = oldest + cx.ctx.tuning.linger;
        let is_early = cx.now < until;
        if is_early {
            self.linger.insert(group.clone(), until);
        }
        is_early
    }

    fn send(
        &mut self,
        cx: &mut Pass<'_>,
        group: &Group,
        candidate: &Candidate,
        items: Vec<(JobKey, u16)>,
        expected: Duration,
    ) {
        let call = cx.next_call();
        let mut sent = Vec::with_capacity(items.len());
        let mut owners = Vec::new();
        for (key, item) in &items {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.pending.retain(|it| it != item);
            job.n_in_flight += 1;
            owners.push(job.owner.peer());
            sent.push(BatchItem {
                attempt: key.attempt.clone(),
                stage: key.stage,
                item: *item,
                time_left: job.deadline.saturating_sub(cx.now),
                input: job.input.clone(),
            });
        }
        let mut started = 0;
        if let Some(view) = cx.ctx.endpoints.get_mut(&candidate.endpoint) {
            view.record_sent(cx.now);
            started = view.endpoint.started;
        }
        self.permits.spend(&candidate.endpoint);
        let timeout = (expected * TIMEOUT_FACTOR).max(MIN_TIMEOUT);
        let usual = expected.mul_f64(candidate.slowdown.max(1.0));
        let late_at = cx.now + usual.mul_f64(HEDGE_FACTOR) + HEDGE_SLACK;
        cx.count(Metric::BatchesSent);
        owners.sort_unstable();
        owners.dedup();
        let reason = format!("{} items of {} instances", items.len(), owners.len());
        cx.log(
            Decision::new(DecisionKind::Batch, reason)
                .with_pool(&group.pool)
                .with_endpoint(&candidate.endpoint)
                .with_score(candidate.considered, expected.as_micros() as u64),
        );
        let endpoint = candidate.endpoint.clone();
        cx.effects.push(Effect::Batch(Box::new(BatchCall {
            call,
            endpoint: endpoint.clone(),
            started,
            address: candidate.address,
            items: sent,
            timeout,
        })));
        let group = group.clone();
        let sent = SentCall {
            group,
            endpoint,
            started,
            address: candidate.address,
            items,
            sent_at: cx.now,
            expected,
            stopped: Duration::ZERO,
            due: cx.now + usual,
            late_at,
            hedge_at: cx.ctx.tuning.is_enabled(Mechanism::Hedging).then_some(late_at),
        };
        self.calls.insert(call, sent);
    }

    /// Ends jobs past their deadline, and drops those that ended a while ago.
    fn expire(&mut self, cx: &mut Pass<'_>) {
        let (now, retention) = (cx.now, cx.ctx.tuning.job_retention);
        for (key, job) in self.jobs.iter_mut() {
            if job.outcome.is_none() && job.deadline <= now {
                finish(cx, key, job, JobOutcome::Late);
            }
        }
        let is_kept = |it: &Job| match it.settled_at {
            None => true,
            Some(at) if it.is_withdrawn => now < at + WITHDRAWN_RETENTION,
            Some(at) => now < at + retention,
        };
        self.jobs.retain(|_, it| is_kept(it));
    }
}

/// Returns the limits of a batch pool, also of one that a newer configuration has dropped; none for a
/// pool of another kind.
pub(crate) fn batch_limits(ctx: &Context, pool: &str) -> Option<BatchLimits> {
    ctx.catalog.batch_limits(pool).cloned()
}

fn call_time(limits: &BatchLimits, n_items: usize) -> Duration {
    limits.call_time + limits.item_time * n_items as u32
}
