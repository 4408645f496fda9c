//! Graceful shutdown: announces that the instance leaves, serves until callers use other
//! instances, refuses new requests and exits when idle; see docs/design/membership.md.

use ferry_model::Moment;
use serde::{Deserialize, Serialize};

use crate::pass::Pass;
use crate::{Decision, DecisionKind, Effect};

/// Phase of a shutdown; the phases follow in this order and none is skipped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    #[default]
    Serving,
    /// Callers may still use this address, so new requests are served until then.
    Leaving {
        until: Moment,
    },
    /// New requests are refused; those in flight are completed.
    Closed,
    Exited,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Drain {
    phase: Phase,
}

impl Drain {
    pub fn new() -> Drain {
        Drain::default()
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn next_wake(&self) -> Option<Moment> {
        match self.phase {
            Phase::Leaving { until } => Some(until),
            Phase::Serving | Phase::Closed | Phase::Exited => None,
        }
    }

    /// Starts the shutdown. A second call changes nothing, so that it cannot cut off a request.
    pub fn start(&mut self, cx: &mut Pass<'_>) {
        if self.phase != Phase::Serving {
            return;
        }
        let until = cx.now + cx.ctx.tuning.answer_ttl + cx.ctx.tuning.leave_margin;
        self.phase = Phase::Leaving { until };
        cx.ctx.members.leave(cx.now);
        log(cx, "leaving; serving until callers use other instances");
    }

    /// Stops accepting requests once the leaving phase is over; returns whether it did so now.
    pub fn close_if_due(&mut self, cx: &mut Pass<'_>) -> bool {
        let Phase::Leaving { until } = self.phase else { return false };
        if cx.now < until {
            return false;
        }
        self.phase = Phase::Closed;
        log(cx, "closed; waiting for requests in flight");
        true
    }

    /// Ends the process if it no longer accepts requests and has none in flight.
    pub fn exit_if_idle(&mut self, cx: &mut Pass<'_>, is_idle: bool) {
        if self.phase != Phase::Closed || !is_idle {
            return;
        }
        self.phase = Phase::Exited;
        log(cx, "every request has ended");
        cx.effects.push(Effect::Exit);
    }
}

fn log(cx: &mut Pass<'_>, reason: &str) {
    let decision = Decision::new(DecisionKind::Drain, reason, cx.ctx.revision());
    cx.effects.push(Effect::Log(decision));
}
