//! Applies the results and failures of calls to the jobs that they serve.

use std::time::Duration;

use ferry_model::ResultHandle;

use super::{Batcher, Job, JobKey, JobOutcome, JobOwner, SentCall, TRANSIT_TIME};
use crate::pass::{Pass, free};
use crate::{
    BatchFailure, Decision, DecisionKind, Effect, ItemFailure, ItemResult, Metric, PeerMessage,
};

/// Pause of an endpoint that is busy with calls of other instances.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Expected time of a call from which on ratios to it are taken.
const MIN_EXPECTED: Duration = Duration::from_millis(1);
/// Pause of an endpoint that has no memory for more results.
const MEMORY_PAUSE: Duration = Duration::from_millis(80);

impl Batcher {
    pub(super) fn on_items(
        &mut self,
        cx: &mut Pass<'_>,
        sent: &SentCall,
        results: Vec<ItemResult>,
        pause: Duration,
    ) {
        let took = cx.now.saturating_sub(sent.sent_at);
        let n_items = sent.items.len();
        if results.len() != n_items {
            let failure = BatchFailure::Failed("results are missing".to_owned());
            return self.on_failure(cx, sent, &failure);
        }
        if let Some(view) = cx.ctx.endpoints.get_mut(&sent.endpoint) {
            let expected = sent.expected.max(MIN_EXPECTED);
            let work = took.saturating_sub(TRANSIT_TIME);
            let own = work.saturating_sub(pause).max(work.min(expected));
            view.record_success(cx.now, own.div_duration_f64(expected));
        }
        log_failed_items(cx, sent, &results);
        let mut unneeded = Vec::new();
        for ((key, item), result) in sent.items.iter().zip(results) {
            match result {
                ItemResult::Done(handle) => unneeded.extend(self.on_done(cx, key, *item, handle)),
                ItemResult::Failed(reason) => self.on_item_failed(cx, sent, key, *item, reason),
            }
        }
        free(cx, unneeded);
    }

    /// Stores a result; returns it if it is not needed.
    fn on_done(
        &mut self,
        cx: &mut Pass<'_>,
        key: &JobKey,
        item: u16,
        handle: ResultHandle,
    ) -> Option<ResultHandle> {
        let Some(job) = self.jobs.get_mut(key) else { return Some(handle) };
        job.n_in_flight = job.n_in_flight.saturating_sub(1);
        let is_needed = !job.is_withdrawn && job.outcome.is_none();
        let slot = job.results.get_mut(usize::from(item)).filter(|it| is_needed && it.is_none());
        let Some(slot) = slot else {
            cx.count(Metric::ResultsDuplicated);
            return Some(handle);
        };
        *slot = Some(handle);
        job.pending.retain(|it| *it != item);
        if job.results.iter().all(Option::is_some) {
            let handles = job.results.iter().flatten().cloned().collect();
            finish(cx, key, job, JobOutcome::Done(handles));
        }
        None
    }

    fn on_item_failed(
        &mut self,
        cx: &mut Pass<'_>,
        sent: &SentCall,
        key: &JobKey,
        item: u16,
        reason: ItemFailure,
    ) {
        let (pause, tuning) = (cx.now + MEMORY_PAUSE, cx.ctx.tuning.clone());
        match reason {
            ItemFailure::OutOfMemory => {
                if let Some(view) = cx.ctx.endpoints.get_mut(&sent.endpoint) {
                    view.pause_until(pause);
                }
            }
            ItemFailure::Error => {
                if let Some(view) = cx.ctx.endpoints.get_mut(&sent.endpoint) {
                    view.record_error();
                }
            }
            ItemFailure::Late | ItemFailure::Gone => (),
        }
        let is_in_call = self.is_in_call(key, item);
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.n_in_flight = job.n_in_flight.saturating_sub(1);
        if job.outcome.is_some() {
            return;
        }
        match reason {
            ItemFailure::Gone => finish(cx, key, job, JobOutcome::Gone),
            // The other call may bring its result; otherwise the deadline ends the job.
            ItemFailure::Late if is_in_call => (),
            ItemFailure::Error if is_in_call && tuning.max_item_tries <= job.n_tries => (),
            ItemFailure::Late => finish(cx, key, job, JobOutcome::Late),
            ItemFailure::OutOfMemory => retry(cx, key, job, item, u8::MAX),
            ItemFailure::Error => retry(cx, key, job, item, tuning.max_item_tries),
        }
    }

    fn is_in_call(&self, key: &JobKey, item: u16) -> bool {
        self.calls.values().flat_map(|it| &it.items).any(|it| it.0 == *key && it.1 == item)
    }

    pub(super) fn on_failure(
        &mut self,
        cx: &mut Pass<'_>,
        sent: &SentCall,
        failure: &BatchFailure,
    ) {
        let tuning = cx.ctx.tuning.clone();
        let now = cx.now;
        if let Some(view) = cx.ctx.endpoints.get_mut(&sent.endpoint) {
            match failure {
                BatchFailure::NotRun(_) => view.pause_until(now + BUSY_PAUSE),
                BatchFailure::Unsent(_)
                | BatchFailure::Broken(_)
                | BatchFailure::TimedOut
                | BatchFailure::Failed(_) => view.record_failure(now, &tuning),
            }
        }
        cx.count(Metric::BatchesFailed);
        cx.log(
            Decision::new(DecisionKind::Retry, failure.text())
                .with_pool(&sent.group.pool)
                .with_endpoint(&sent.endpoint),
        );
        let max_tries = match failure {
            BatchFailure::NotRun(_) | BatchFailure::Unsent(_) => u8::MAX,
            BatchFailure::Broken(_) | BatchFailure::TimedOut | BatchFailure::Failed(_) => {
                tuning.max_item_tries
            }
        };
        for (key, item) in &sent.items {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.n_in_flight = job.n_in_flight.saturating_sub(1);
            if job.outcome.is_none() {
                retry(cx, key, job, *item, max_tries);
            }
        }
    }
}

impl BatchFailure {
    fn text(&self) -> String {
        match self {
            BatchFailure::Unsent(error) => format!("could not connect: {error}"),
            BatchFailure::NotRun(error) => format!("endpoint did not accept the call: {error}"),
            BatchFailure::Broken(error) => format!("no complete answer: {error}"),
            BatchFailure::TimedOut => "no complete answer: none in time".to_owned(),
            BatchFailure::Failed(error) => format!("no complete answer: {error}"),
        }
    }
}

/// Logs one line about the items of a call that failed.
fn log_failed_items(cx: &mut Pass<'_>, sent: &SentCall, results: &[ItemResult]) {
    let reason = results.iter().find_map(|it| match it {
        ItemResult::Failed(reason) => Some(*reason),
        ItemResult::Done(_) => None,
    });
    let Some(reason) = reason else { return };
    let n_failed = results.iter().filter(|it| matches!(it, ItemResult::Failed(_))).count();
    cx.log(
        Decision::new(
            DecisionKind::Retry,
            format!("{n_failed} items failed, first reason: {reason}"),
        )
        .with_pool(&sent.group.pool)
        .with_endpoint(&sent.endpoint),
    );
}

fn retry(cx: &mut Pass<'_>, key: &JobKey, job: &mut Job, item: u16, max_tries: u8) {
    let has_result = job.results.get(usize::from(item)).is_some_and(Option::is_some);
    if has_result || job.pending.contains(&item) {
        return;
    }
    let is_counted = max_tries < u8::MAX;
    job.n_tries += u8::from(is_counted);
    if is_counted && max_tries < job.n_tries {
        return finish(cx, key, job, JobOutcome::Failed);
    }
    cx.count(Metric::ItemsRepeated);
    job.pending.push(item);
}

pub(super) fn finish(cx: &mut Pass<'_>, key: &JobKey, job: &mut Job, outcome: JobOutcome) {
    if !matches!(outcome, JobOutcome::Done(_)) {
        let handles = job.results.iter_mut().filter_map(Option::take).collect();
        free(cx, handles);
    }
    job.settle(cx.now, outcome.clone());
    if !job.is_withdrawn {
        notify_owner(cx, key, job.owner, outcome);
    }
}

/// Sends the outcome to the request, on this instance or on the peer that owns it.
pub(super) fn notify_owner(cx: &mut Pass<'_>, key: &JobKey, owner: JobOwner, outcome: JobOutcome) {
    match owner {
        JobOwner::Local => cx.outcomes.push((key.clone(), outcome)),
        JobOwner::Peer(to) => {
            let message = PeerMessage::JobOutcome { key: key.clone(), outcome };
            cx.effects.push(Effect::Send { to, message });
        }
    }
}
