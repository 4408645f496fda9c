//! A permit that an instance waits for.

use std::time::Duration;

use ferry_model::{EndpointId, Moment};

use super::exchange;
use super::{PermitAnswer, PermitId, PermitRequest};
use crate::pass::Pass;
use crate::{Asker, Effect, EndpointView, PeerMessage};

/// Time to wait for an answer of the limiter: several round trips between instances with little CPU
/// time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Time after which a permit that was granted is too old to be used.
pub const PERMIT_TTL: Duration = Duration::from_millis(250);
/// Answers that a limiter may fail to give before it is taken for dead.
const MAX_SILENCE: u8 = 3;

#[derive(Debug, Clone, PartialEq)]
pub struct AwaitedPermit {
    pub id: PermitId,
    /// Where it was asked for.
    limiter: Asker,
    n_asks: u8,
    asked_at: Moment,
    /// When it is asked for again.
    pub until: Moment,
    /// Number of times in a row that the limiter has not answered.
    n_silent: u8,
}

/// What became of a question for a permit.
#[derive(Debug, Clone, PartialEq)]
pub enum Asked {
    /// The endpoint has no rate limit.
    NotNeeded,
    /// By the limiter on this instance.
    Answered(PermitAnswer),
    /// A peer was asked.
    Waits,
}

impl AwaitedPermit {
    pub fn new(now: Moment, id: PermitId) -> AwaitedPermit {
        AwaitedPermit {
            id,
            limiter: Asker::This,
            n_asks: 0,
            asked_at: now,
            until: now,
            n_silent: 0,
        }
    }

    /// Asks the limiter of an endpoint for the permit.
    pub fn ask(
        &mut self,
        cx: &mut Pass<'_>,
        endpoint: &EndpointId,
        class: u8,
        max_wait: Duration,
    ) -> Asked {
        let limit = cx.ctx.endpoints.limit_notice(cx.now, endpoint);
        let notices = cx.ctx.endpoints.cold_notices(cx.now, endpoint);
        let is_cold = cx.ctx.endpoints.get(endpoint).is_some_and(EndpointView::is_cold);
        if limit.rate.is_none() && !is_cold {
            return Asked::NotNeeded;
        }
        self.n_asks = self.n_asks.wrapping_add(1);
        self.asked_at = cx.now;
        let request =
            PermitRequest { id: self.id, n_asks: self.n_asks, limit, class, max_wait, notices };
        match cx.ctx.limiter_peer(cx.now, endpoint) {
            None => {
                self.limiter = Asker::This;
                Asked::Answered(exchange::grant(cx, Asker::This, &request))
            }
            Some(to) => {
                self.limiter = Asker::Peer(to);
                self.until = cx.now + ANSWER_TIMEOUT;
                let message = PeerMessage::PermitRequest(Box::new(request));
                cx.effects.push(Effect::Send { to, message });
                Asked::Waits
            }
        }
    }

    /// Whether an answer is for the last question; one for an earlier question may be from before this
    /// process was stopped.
    pub fn is_answered(&self, n_asks: Option<u8>) -> bool {
        n_asks.is_none_or(|it| it == self.n_asks)
    }

    /// Whether a permit that was granted after it had `waited` may still be used.
    pub fn is_fresh(&self, now: Moment, waited: Duration) -> bool {
        now.saturating_sub(self.asked_at).saturating_sub(waited) <= PERMIT_TTL
    }

    /// Waits in the queue of the limiter.
    pub fn on_queued(&mut self, now: Moment, wait: Duration) {
        self.n_silent = 0;
        self.until = now.saturating_add(wait.saturating_mul(2)).saturating_add(ANSWER_TIMEOUT);
    }

    /// Looks for another limiter than one that is none by its own account.
    pub fn on_elsewhere(&mut self, cx: &mut Pass<'_>) {
        if let Asker::Peer(limiter) = self.limiter {
            exchange::on_elsewhere(cx, limiter);
        }
        self.n_silent = 0;
        self.until = cx.now + ANSWER_TIMEOUT;
    }

    /// Counts an answer that has not arrived; a limiter that gives none is avoided.
    pub fn on_silence(&mut self, cx: &mut Pass<'_>) {
        self.n_silent += 1;
        if let Asker::Peer(limiter) = self.limiter
            && MAX_SILENCE <= self.n_silent
        {
            self.n_silent = 0;
            exchange::on_silence(cx, limiter);
        }
    }

    /// Tells the limiter that the permit is not needed any longer.
    pub fn withdraw(&self, cx: &mut Pass<'_>, endpoint: &EndpointId) {
        match self.limiter {
            Asker::This => cx.ctx.limiter.withdraw(endpoint, Asker::This, self.id),
            Asker::Peer(to) => {
                let (endpoint, id) = (endpoint.clone(), self.id);
                let message = PeerMessage::PermitWithdraw { endpoint, id };
                cx.effects.push(Effect::Send { to, message });
            }
        }
    }
}
