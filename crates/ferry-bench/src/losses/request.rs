//! One request, put together from its log lines.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::Cause;

pub(super) type Timestamp = OffsetDateTime;

/// The fields of a log line that are used.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Record {
    pub(super) request: String,
    ts: String,
    decision: String,
    #[serde(default)]
    reason: String,
    route: Option<String>,
    pool: Option<String>,
    stage: Option<u8>,
    took_us: Option<u64>,
    floor_us: Option<u64>,
    slack_ms: Option<u64>,
    pause_ms: Option<u64>,
    max_pause_ms: Option<u64>,
    own_tokens: Option<u32>,
    shared_tokens: Option<u32>,
    uncached_tokens: Option<u32>,
}

/// Returns the record of a line about a request; none for other lines.
pub(super) fn parse(line: &str) -> Option<Record> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

#[derive(Debug, Clone)]
struct Step {
    at: Timestamp,
    took: Duration,
    floor: Duration,
}

/// The call to an engine, as it was last sent.
#[derive(Debug, Clone)]
struct Sent {
    at: Timestamp,
    own: u32,
    uncached: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum End {
    /// Complete, with its time to the first event and whether that was in time.
    Complete {
        first: Duration,
        is_in_time: bool,
        /// Whether two events were further apart than its route allows.
        has_paused: bool,
    },
    Refused(String),
    Failed(String),
}

#[derive(Debug, Clone, Default)]
pub(super) struct Request {
    route: Option<String>,
    arrived: Option<Timestamp>,
    /// Time since the first attempt of its caller.
    elapsed: Duration,
    floor: Duration,
    slack: Duration,
    /// Tokens of its prompt; zero if it has none.
    size: u32,
    /// The last run of each stage, with its pool.
    stages: BTreeMap<u8, (String, Step)>,
    /// How often it was sent.
    n_sent: usize,
    sent: Option<Sent>,
    end: Option<End>,
}

impl Request {
    pub(super) fn add(&mut self, it: Record) {
        let Ok(at) = Timestamp::parse(&it.ts, &Rfc3339) else { return };
        let took = Duration::from_micros(it.took_us.unwrap_or_default());
        let floor = Duration::from_micros(it.floor_us.unwrap_or_default());
        match it.decision.as_str() {
            "admit" => {
                self.route = it.route;
                self.arrived = Some(at);
                self.elapsed = took;
                self.floor = floor;
                self.slack = Duration::from_millis(it.slack_ms.unwrap_or_default());
                self.size =
                    it.own_tokens.unwrap_or_default() + it.shared_tokens.unwrap_or_default();
            }
            "stage" => {
                let (Some(stage), Some(pool)) = (it.stage, it.pool) else { return };
                self.stages.insert(stage, (pool, Step { at, took, floor }));
            }
            "route" => {
                self.n_sent += 1;
                self.sent = Some(Sent {
                    at,
                    own: it.own_tokens.unwrap_or_default(),
                    uncached: it.uncached_tokens.unwrap_or_default(),
                });
            }
            "complete" => {
                let is_in_time = 0 < it.slack_ms.unwrap_or_default();
                let has_paused = it.max_pause_ms.is_some_and(|max| Some(max) < it.pause_ms);
                self.end = Some(End::Complete { first: took, is_in_time, has_paused });
            }
            // The admission controller writes one as well, before the instance of the caller.
            "refuse" if it.reason.starts_with("class ") => (),
            "refuse" => self.end = Some(End::Refused(it.reason)),
            "fail" | "drop" => self.end = Some(End::Failed(it.reason)),
            _ => (),
        }
    }

    pub(super) fn route(&self) -> Option<&str> {
        self.route.as_deref()
    }

    pub(super) fn arrived(&self) -> Option<Timestamp> {
        self.arrived
    }

    pub(super) fn objective(&self) -> Duration {
        self.elapsed + self.slack
    }

    pub(super) fn size(&self) -> f64 {
        f64::from(self.size)
    }

    /// Returns why it was not in time; none if it was.
    pub(super) fn cause(&self) -> Option<Cause> {
        match self.end.clone() {
            Some(End::Complete { is_in_time: true, has_paused: false, .. }) => None,
            Some(End::Complete { is_in_time: true, has_paused: true, .. }) => Some(Cause::Pause),
            Some(End::Complete { first, .. }) => Some(self.late_cause(first)),
            Some(End::Refused(reason)) => Some(Cause::Refused(reason)),
            Some(End::Failed(reason)) => Some(Cause::Failed(reason)),
            None => Some(Cause::Unfinished),
        }
    }

    /// Returns the step that took most beyond its floor.
    fn late_cause(&self, first: Duration) -> Cause {
        if self.objective() < self.floor {
            return Cause::Floor;
        }
        let mut waits = vec![(Cause::EarlierAttempt, self.elapsed)];
        waits.extend(self.stages.values().map(|(pool, step)| {
            (Cause::StageQueue(pool.clone()), step.took.saturating_sub(step.floor))
        }));
        waits.extend(self.admission().map(|it| (Cause::Admission, it)));
        if let (Some(sent), Some(arrived)) = (&self.sent, self.arrived) {
            // A request may wait for its engine before it is sent.
            let staged = self.stages.values().map(|it| it.1.at).max();
            let ready = staged.filter(|it| *it <= sent.at && self.n_sent == 1).unwrap_or(sent.at);
            let before = duration(arrived, ready) + self.elapsed;
            let engine = first.saturating_sub(before);
            let own_share = f64::from(sent.own) / f64::from((sent.own + sent.uncached).max(1));
            // The floor of the request is that of its stages and of its own part.
            let own = self.floor.saturating_sub(self.stage_floor());
            let shared = match own_share {
                0.0 => Duration::ZERO,
                share => own.mul_f64((1.0 - share) / share),
            };
            waits.push((Cause::SharedParts, shared.min(engine)));
            waits.push((Cause::EngineQueue, engine.saturating_sub(own + shared)));
            if 1 < self.n_sent {
                let last_run: Duration = self.stages.values().map(|it| it.1.took).sum();
                waits.push((Cause::Repeat, duration(arrived, sent.at).saturating_sub(last_run)));
            }
        }
        let longest = waits.into_iter().max_by_key(|it| it.1);
        longest.filter(|it| !it.1.is_zero()).map_or(Cause::Between, |it| it.0)
    }

    /// Returns the time until its first stage was submitted.
    fn admission(&self) -> Option<Duration> {
        let submitted = self.stages.values().map(|(_, it)| it.at - it.took).min()?;
        // A stage that was run again was submitted long after.
        Some(duration(self.arrived?, submitted)).filter(|_| self.n_sent <= 1)
    }

    fn stage_floor(&self) -> Duration {
        self.stages.values().map(|it| it.1.floor).sum()
    }
}

fn duration(from: Timestamp, to: Timestamp) -> Duration {
    Duration::try_from(to - from).unwrap_or_default()
}
