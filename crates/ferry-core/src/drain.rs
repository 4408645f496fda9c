//! Graceful shutdown: leave, serve until callers have moved, refuse, end; see
//! docs/design/membership.md.

use ferry_model::Moment;
use serde::{Deserialize, Serialize};

use crate::turn::Turn;
use crate::{Decision, DecisionKind, Effect};

/// How far a shutdown has come; the phases follow each other and none is skipped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    #[default]
    Serving,
    /// Callers may still hold this address, so new requests are served until then.
    Leaving {
        until: Moment,
    },
    /// New requests are refused; those in flight go on to their end.
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

    /// Starts to leave; a second call changes nothing, so that no request is cut.
    pub fn start(&mut self, cx: &mut Turn<'_>) {
        if self.phase != Phase::Serving {
            return;
        }
        let until = cx.now + cx.ctx.tuning.answer_ttl + cx.ctx.tuning.leave_margin;
        self.phase = Phase::Leaving { until };
        cx.ctx.members.leave(cx.now);
        log(cx, "leaving; serving until callers have moved");
    }

    /// Returns whether new requests are to be refused from now on.
    pub fn close_if_due(&mut self, cx: &mut Turn<'_>) -> bool {
        let Phase::Leaving { until } = self.phase else { return false };
        if cx.now < until {
            return false;
        }
        self.phase = Phase::Closed;
        log(cx, "closed; waiting for requests in flight");
        true
    }

    /// Ends the process once everything in flight has ended.
    pub fn exit_if_idle(&mut self, cx: &mut Turn<'_>, is_idle: bool) {
        if self.phase != Phase::Closed || !is_idle {
            return;
        }
        self.phase = Phase::Exited;
        log(cx, "every request has ended");
        cx.out.push(Effect::Exit);
    }
}

fn log(cx: &mut Turn<'_>, reason: &str) {
    let decision = Decision::new(DecisionKind::Drain, reason, cx.ctx.revision());
    cx.out.push(Effect::Log(decision));
}
