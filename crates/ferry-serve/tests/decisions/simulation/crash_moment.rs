//! When a call crashes its endpoint.

use std::time::Duration;

use super::{Simulation, ms};

/// The moment of a call at which it crashes its endpoint. A call without events crashes it at any
/// moment before the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMoment {
    BeforeHead,
    /// Between the head and the first event.
    AtHead,
    /// Milliseconds after the first event, at least and at most.
    AfterFirst {
        min: u64,
        max: u64,
    },
    AtEvent,
    /// Between the last event and the end marker.
    BeforeEnd,
    /// Any of the others, drawn for each call.
    Drawn,
}

impl CrashMoment {
    pub const EARLY: CrashMoment = CrashMoment::AfterFirst { min: 60, max: 110 };
    pub const SLOW: CrashMoment = CrashMoment::AfterFirst { min: 200, max: 500 };
}

const DRAWN: [CrashMoment; 6] = [
    CrashMoment::BeforeHead,
    CrashMoment::AtHead,
    CrashMoment::EARLY,
    CrashMoment::SLOW,
    CrashMoment::AtEvent,
    CrashMoment::BeforeEnd,
];

/// What a call would bring, as times since it was sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Answer {
    /// Of the head.
    pub begin: Duration,
    /// Between two events.
    pub gap: Duration,
    pub n_events: u64,
    pub end: Duration,
}

/// A crash that a call is to cause, and what its caller gets before.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedCrash {
    pub after: Duration,
    pub has_head: bool,
    pub n_events: u64,
}

impl Simulation {
    pub(super) fn draw_crash(&mut self, moment: CrashMoment, answer: Answer) -> PlannedCrash {
        let Answer { begin, gap, n_events, end } = answer;
        let after_event = |idx: u64| begin + gap * idx as u32;
        let last = after_event(n_events.saturating_sub(1));
        let after = match moment {
            CrashMoment::Drawn => {
                let idx = self.next_random() as usize % DRAWN.len();
                return self.draw_crash(DRAWN[idx], answer);
            }
            CrashMoment::BeforeHead => self.draw_between(ms(1), begin),
            CrashMoment::AtHead => begin + self.draw_between(ms(1), gap),
            CrashMoment::AfterFirst { min, max } => begin + self.draw(min, max),
            CrashMoment::AtEvent => self.draw_between(begin, last),
            CrashMoment::BeforeEnd => self.draw_between(last + ms(1), end),
        };
        let after = after.min(end.saturating_sub(ms(2))).max(ms(1));
        let n_before = match moment {
            CrashMoment::BeforeHead | CrashMoment::AtHead => 0,
            _ => (0..n_events).take_while(|it| after_event(*it) <= after).count() as u64,
        };
        PlannedCrash { after, has_head: moment != CrashMoment::BeforeHead, n_events: n_before }
    }

    fn draw_between(&mut self, min: Duration, max: Duration) -> Duration {
        let (min, max) = (min.as_millis() as u64, max.as_millis() as u64);
        self.draw(min, max.max(min))
    }

    pub(super) fn draw(&mut self, min: u64, max: u64) -> Duration {
        ms(min + self.next_random() % (max - min + 1))
    }
}
