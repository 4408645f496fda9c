//! The steps from a request to stop to the exit of the process.

use std::time::Duration;

use ferry_model::Moment;

use super::{Gateway, Settlement};
use crate::pass::Pass;
use crate::quarantine;
use crate::{Arrival, Decision, DecisionKind, Effect, Metric, Refusal, Status, Tuning};

/// Time for which an instance without requests waits until what it knows of crashes is kept.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Why a request is ended, or refused, as the process exits.
pub const REASON: &str = "the instance stops";

/// Refuses a request that arrives after the decision to exit, for whose call nothing would wait.
pub(super) fn refuse(cx: &mut Pass<'_>, arrival: &Arrival) {
    cx.count(Metric::RequestsArrived);
    cx.count(Metric::RequestsRefused);
    let decision = Decision::new(DecisionKind::Refuse, REASON);
    cx.log(decision.with_attempt(&arrival.head.attempt));
    let refusal = refusal(&cx.ctx.tuning);
    cx.effects.push(Effect::Refuse { ticket: arrival.ticket, refusal });
}

fn refusal(tuning: &Tuning) -> Refusal {
    Refusal { status: Status::NotRun, retry_after: Some(tuning.retry_after), reason: REASON }
}

impl Gateway {
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns the answer to requests that have not arrived completely by the decision to exit.
    pub fn exit_refusal(&self) -> Refusal {
        refusal(&self.ctx.tuning)
    }

    pub(super) fn next_shutdown_step(&self) -> Option<Moment> {
        let since = self.leaving.filter(|_| !self.has_exited)?;
        let tuning = &self.ctx.tuning;
        Some(since + if self.is_closed { tuning.exit_after() } else { tuning.close_after() })
    }

    /// Closes idle connections once callers have had time to switch, and exits when idle.
    pub(super) fn advance_shutdown(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Some(since) = self.leaving else { return };
        if !self.is_closed && since + self.ctx.tuning.close_after() <= now {
            self.is_closed = true;
            effects.push(Effect::Close);
        }
        let is_idle = self.requests.is_empty() && self.batcher.is_idle() && self.n_receiving == 0;
        let is_settled = quarantine::exchange::is_settled(&self.ctx)
            || since + self.ctx.tuning.close_after() + SETTLE_TIME <= now;
        let is_late = since + self.ctx.tuning.exit_after() <= now;
        if !self.has_exited && self.is_closed && (is_late || (is_idle && is_settled)) {
            self.has_exited = true;
            self.end_requests(now, effects);
            effects.push(Effect::Exit);
        }
    }

    /// Ends the requests that are still in progress. What others here wait for is not passed on.
    fn end_requests(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Settlement { mut outcomes, mut released, mut permits } = Settlement::default();
        let cx = &mut Pass {
            now,
            ctx: &mut self.ctx,
            effects,
            outcomes: &mut outcomes,
            released: &mut released,
            permits: &mut permits,
            late: Duration::ZERO,
        };
        self.requests.end_all(cx, &mut self.batcher);
    }
}
