//! Requests that endpoints ran and whose callers got no whole answer, and what excuses that.

use std::time::Duration;

use tokio::time::Instant;

use crate::config::SHORTEST_LIMIT;

/// Time before its limit from which a request may be ended.
const LIMIT_MARGIN: Duration = Duration::from_millis(100);
/// Time after SIGTERM from which a gateway may end requests.
const GRACE: Duration = Duration::from_millis(6_500);
/// Share of its time limit after which a request at a silent endpoint may be given up.
const LATE_SHARE: f64 = 0.7;

/// Time after a configuration for which a cut answer counts as beside it.
const NEAR: Duration = Duration::from_millis(3_000);
/// How many times as often answers may be cut beside configurations as at other times.
const MAX_RATIO: f64 = 3.0;

/// What the plan does to a gateway or an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    Killed,
    Terminated,
    /// The endpoint or its link breaks off, withholds or falsifies answers.
    Broken,
    /// The endpoint has crashed on a request.
    Crashed,
    /// The endpoint falls silent and goes on, or sends slowly.
    Silent,
}

/// Why a request may have ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Excuse {
    /// No endpoint has seen it, so its caller may send it again.
    NotPassedOn,
    /// Its time limit had passed, or its caller had left, which callers do after it.
    TimeLimit,
    /// The plan killed the process that held the caller's connection.
    Killed,
    /// A process that was told to end has to end.
    GraceOver,
    /// Each endpoint that ran it had a fault of the plan, or crashed, during the request.
    EndpointBroken,
    /// What is left of its time limit after a silence may not be enough.
    LateAndSilent,
}

/// A request that ended without an answer.
#[derive(Debug, Clone, Copy)]
pub struct Ended<'a> {
    /// Subject of the gateway; none if no connection could be opened.
    pub node: Option<&'a str>,
    /// Endpoints that ran the request.
    pub runs: &'a [String],
    /// Endpoints that ran items of its stages.
    pub stages: &'a [String],
    pub sent: Instant,
    pub end: Instant,
}

/// Whether a request that took this long may have ended for its time limit.
pub fn is_at_limit(time: Duration) -> bool {
    SHORTEST_LIMIT <= time + LIMIT_MARGIN
}

#[derive(Debug)]
struct Period {
    subject: String,
    trouble: Trouble,
    from: Instant,
    until: Option<Instant>,
}

/// When gateways and endpoints were in trouble, by their address or id.
#[derive(Debug, Default)]
pub struct Troubles {
    periods: Vec<Period>,
}

impl Troubles {
    /// Records that a trouble begins or has ended.
    pub fn set(&mut self, subject: &str, trouble: Trouble, is_on: bool) {
        let now = Instant::now();
        let is_open =
            |it: &&mut Period| it.subject == subject && it.trouble == trouble && it.until.is_none();
        match (self.periods.iter_mut().find(is_open), is_on) {
            (Some(period), false) => period.until = Some(now),
            (None, true) => {
                let subject = subject.to_owned();
                self.periods.push(Period { subject, trouble, from: now, until: None });
            }
            (Some(_), true) | (None, false) => (),
        }
    }

    /// Returns what excuses the end of a request; silence does not, if `is_strict`.
    pub fn excuse(&self, it: &Ended<'_>, is_strict: bool) -> Option<Excuse> {
        let Some(node) = it.node else { return Some(Excuse::NotPassedOn) };
        let is_in = |subject: &String, trouble| self.is_in(subject, trouble, it.sent, it.end);
        let is_faulty = |id: &String| is_in(id, Trouble::Broken) || is_in(id, Trouble::Crashed);
        let time = it.end - it.sent;
        let is_late = SHORTEST_LIMIT.mul_f64(LATE_SHARE) <= time;
        let mut endpoints = it.runs.iter().chain(it.stages);
        if it.runs.is_empty() && it.stages.is_empty() {
            Some(Excuse::NotPassedOn)
        } else if is_at_limit(time) {
            Some(Excuse::TimeLimit)
        } else if self.is_in(node, Trouble::Killed, it.sent, it.end) {
            Some(Excuse::Killed)
        } else if self.is_grace_over(node, it) {
            Some(Excuse::GraceOver)
        } else if !it.runs.is_empty() && it.runs.iter().all(is_faulty) {
            Some(Excuse::EndpointBroken)
        } else if !is_strict && is_late && endpoints.any(|id| is_in(id, Trouble::Silent)) {
            Some(Excuse::LateAndSilent)
        } else {
            None
        }
    }

    /// Returns whether a process had been told to end so long ago that it may end a request.
    fn is_grace_over(&self, node: &str, it: &Ended<'_>) -> bool {
        self.periods.iter().any(|period| {
            period.subject == node
                && period.trouble == Trouble::Terminated
                && period.from + GRACE <= it.end
                && period.until.is_none_or(|end| it.sent <= end)
        })
    }

    /// Returns whether a subject was in trouble at some time of a span.
    fn is_in(&self, subject: &str, trouble: Trouble, from: Instant, until: Instant) -> bool {
        let mut periods =
            self.periods.iter().filter(|it| it.subject == subject && it.trouble == trouble);
        periods.any(|it| it.from <= until && it.until.is_none_or(|end| from <= end))
    }
}

/// Answers that were cut before their time limit, beside configurations and at other times, whatever
/// else excuses them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cuts {
    pub n_near: usize,
    pub n_far: usize,
    /// Time beside configurations, and the rest.
    pub near: Duration,
    pub far: Duration,
}

impl Cuts {
    /// Divides the answers that were cut in a span by the time since the last configuration, of which
    /// the times are in order.
    pub fn count(configured: &[Instant], cut: &[Instant], from: Instant, until: Instant) -> Cuts {
        let is_near = |it: &Instant| {
            let next = configured.partition_point(|at| at <= it);
            configured[..next].last().is_some_and(|at| *it < *at + NEAR)
        };
        let is_in = |it: &&Instant| from <= **it && **it < until;
        let n_cut = cut.iter().filter(is_in).count();
        let n_near = cut.iter().filter(is_in).filter(|it| is_near(it)).count();
        let mut near = Duration::ZERO;
        let mut counted = from;
        for at in configured {
            let end = (*at + NEAR).min(until);
            near += end.saturating_duration_since(counted.max(*at));
            counted = counted.max(end);
        }
        Cuts { n_near, n_far: n_cut - n_near, near, far: (until - from).saturating_sub(near) }
    }

    /// Whether answers are cut over three times as often beside configurations as at other times.
    pub fn is_uneven(&self) -> bool {
        let far = self.n_far as f64 * self.near.as_secs_f64();
        MAX_RATIO * far < self.n_near as f64 * self.far.as_secs_f64()
    }
}
