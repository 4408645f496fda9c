//! The permits for one endpoint.

use std::time::Duration;

use ferry_model::Moment;

use super::{PermitAnswer, PermitId, PermitRequest};
use crate::{Asker, RequestRate};

/// Time whose permits may be granted at once, if that is more than one.
pub(crate) const BURST_TIME: Duration = Duration::from_millis(100);
/// Time for which a permit that was granted is kept, as its answer may be lost.
const GRANT_RETENTION: Duration = Duration::from_millis(500);
/// Part of a permit that may be lost when times are rounded.
const ROUNDING: f64 = 1e-6;
/// Time over which the rate of requests for permits is averaged.
const ASK_WINDOW: Duration = Duration::from_secs(1);
/// Requests for permits per second that are always welcome; beyond it, instances are told to pause.
const WELCOME_ASKS: f64 = 20.0;
/// Requests that may wait at a time.
const MAX_QUEUE: usize = 256;

/// A request that waits for a permit.
#[derive(Debug, Clone)]
struct Waiting {
    asker: Asker,
    id: PermitId,
    n_asks: u8,
    class: u8,
    /// When it was last asked for.
    since: Moment,
    until: Moment,
}

/// The answer to a request for a permit.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitReply {
    pub asker: Asker,
    pub id: PermitId,
    /// Number of the request that it answers.
    pub n_asks: u8,
    pub answer: PermitAnswer,
}

/// A token bucket, and the requests that wait for its tokens in the order of their classes.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    /// Permits per second.
    rate: RequestRate,
    /// Permits that were left at `at`.
    tokens: f64,
    at: Moment,
    /// When the first permit may be granted.
    ready: Moment,
    queue: Vec<Waiting>,
    granted: Vec<(Asker, PermitId, Moment)>,
    /// Average rate of requests for permits per second, and when it was computed.
    ask_rate: f64,
    asked_at: Moment,
}

impl Waiting {
    fn reply(self, answer: PermitAnswer) -> PermitReply {
        let Waiting { asker, id, n_asks, .. } = self;
        PermitReply { asker, id, n_asks, answer }
    }
}

impl Bucket {
    /// Creates a bucket that grants nothing before `ready`, and has one permit at once if that has
    /// passed.
    pub(super) fn new(now: Moment, rate: RequestRate, ready: Moment) -> Bucket {
        Bucket {
            rate,
            tokens: if ready <= now { 1.0 } else { 0.0 },
            at: now,
            ready,
            queue: Vec::new(),
            granted: Vec::new(),
            ask_rate: 0.0,
            asked_at: now,
        }
    }

    pub(super) fn set_rate(&mut self, now: Moment, rate: RequestRate) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.depth());
    }

    /// Whether nobody has asked for this time, nor for two permits.
    pub(super) fn is_idle(&self, now: Moment, time: Duration) -> bool {
        let time = time.max(self.rate.interval() * 2);
        self.queue.is_empty() && self.asked_at + time <= now
    }

    /// Answers a request for a permit, which may have been asked for before.
    pub(super) fn ask(
        &mut self,
        now: Moment,
        asker: Asker,
        request: &PermitRequest,
    ) -> PermitAnswer {
        let PermitRequest { id, n_asks, class, max_wait, .. } = *request;
        self.refill(now);
        self.granted.retain(|it| now < it.2 + GRANT_RETENTION);
        if self.granted.iter().any(|it| (it.0, it.1) == (asker, id)) {
            return PermitAnswer::Granted { waited: Duration::ZERO };
        }
        if let Some(idx) = self.queue.iter().position(|it| (it.asker, it.id) == (asker, id)) {
            let known = &mut self.queue[idx];
            (known.n_asks, known.since) = (n_asks, now);
            return PermitAnswer::Queued { wait: self.wait(now, idx) };
        }
        self.record_ask(now);
        let ahead = self.queue.partition_point(|it| it.class <= class);
        let wait = self.wait(now, ahead);
        if max_wait < wait || MAX_QUEUE <= self.queue.len() {
            return PermitAnswer::Denied { wait, pause: self.pause(wait) };
        }
        if wait.is_zero() {
            self.grant(now, asker, id);
            return PermitAnswer::Granted { waited: Duration::ZERO };
        }
        let until = now.saturating_add(max_wait);
        self.queue.insert(ahead, Waiting { asker, id, n_asks, class, since: now, until });
        PermitAnswer::Queued { wait }
    }

    /// Removes a request that no longer needs its permit.
    pub(super) fn withdraw(&mut self, asker: Asker, id: PermitId) {
        self.queue.retain(|it| (it.asker, it.id) != (asker, id));
    }

    /// Grants the permits that are due, and denies those whose time is over.
    pub(super) fn serve(&mut self, now: Moment) -> Vec<PermitReply> {
        self.refill(now);
        let late: Vec<Waiting> = self.queue.extract_if(.., |it| it.until <= now).collect();
        let wait = self.wait(now, self.queue.len());
        let denied = PermitAnswer::Denied { wait, pause: self.pause(wait) };
        let mut replies: Vec<PermitReply> =
            late.into_iter().map(|it| it.reply(denied.clone())).collect();
        while !self.queue.is_empty() && self.wait(now, 0).is_zero() {
            let first = self.queue.remove(0);
            self.grant(now, first.asker, first.id);
            let waited = now.saturating_sub(first.since);
            replies.push(first.reply(PermitAnswer::Granted { waited }));
        }
        replies
    }

    /// Ends all waits with the same answer.
    pub(super) fn close(&mut self, answer: &PermitAnswer) -> Vec<PermitReply> {
        self.queue.drain(..).map(|it| it.reply(answer.clone())).collect()
    }

    /// Returns when [`Bucket::serve`] is due, if a request waits.
    pub(super) fn next_wake(&self) -> Option<Moment> {
        let late = self.queue.iter().map(|it| it.until).min()?;
        Some(late.min(self.at.saturating_add(self.wait(self.at, 0))))
    }

    fn grant(&mut self, now: Moment, asker: Asker, id: PermitId) {
        self.tokens -= 1.0;
        self.granted.push((asker, id, now));
    }

    /// Returns the time until a permit is free for a request behind `n_ahead` others.
    fn wait(&self, now: Moment, n_ahead: usize) -> Duration {
        let missing = (n_ahead as f64 + 1.0 - self.tokens - ROUNDING).max(0.0);
        let wait = self.rate.interval().as_secs_f64() * missing;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        wait.max(self.ready.saturating_sub(now))
    }

    /// Returns the time for which an instance should not ask again: many instances that ask as soon
    /// as a permit may be free would ask for each of them.
    fn pause(&self, wait: Duration) -> Duration {
        let welcome = WELCOME_ASKS.max(4.0 * self.rate.per_second());
        let factor = (self.ask_rate / welcome).max(1.0);
        Duration::try_from_secs_f64(wait.as_secs_f64() * factor).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Moment) {
        let time = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + time * self.rate.per_second()).min(self.depth());
        self.at = self.at.max(now);
    }

    fn depth(&self) -> f64 {
        (self.rate.per_second() * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn record_ask(&mut self, now: Moment) {
        let time = now.saturating_sub(self.asked_at).as_secs_f64();
        let window = ASK_WINDOW.as_secs_f64();
        self.ask_rate = self.ask_rate * (-time / window).exp() + 1.0 / window;
        self.asked_at = now;
    }
}
