//! Arriving requests: detection of duplicates, admission and the start of the first stage.

use std::sync::Arc;

use ferry_model::{Answer, FailureReason, RefusalReason, RequestId, Ticket, claim::short_digest};

use crate::claim::claim_key;
use crate::pass::Pass;
use crate::request::Requests;
use crate::request::answer::{refuse, send_answer};
use crate::request::state::{Caller, Phase, RequestState};
use crate::{Arrival, Decision, DecisionKind, Effect, Metric};

impl Requests {
    pub fn on_arrival(&mut self, cx: &mut Pass<'_>, arrival: Arrival) {
        cx.effects.push(Effect::Count { metric: Metric::RequestsArrived, by: 1 });
        self.n_requests += 1;
        let id = (u128::from(cx.ctx.identity.incarnation) << 64) | u128::from(self.n_requests);
        if self.answer_duplicate(cx, id, &arrival) {
            return;
        }
        let ticket = arrival.ticket;
        match self.admit(cx, id, arrival) {
            Ok(request) => self.accept(cx, request),
            Err(refusal) => {
                let revision = cx.ctx.revision();
                let refused = refuse(cx, id, revision, refusal);
                let decision = Decision::new(DecisionKind::Refuse, refusal.to_string(), revision);
                cx.effects.push(Effect::Log(decision.with_request(id)));
                send_answer(cx, ticket, refused);
            }
        }
    }

    pub fn on_caller_gone(&mut self, cx: &mut Pass<'_>, ticket: Ticket) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        request.callers.retain(|it| it.ticket != ticket);
        let is_awaited = !request.callers.is_empty();
        let may_run = !request.pipeline.is_repeatable() && request.has_started();
        if !is_awaited && !may_run {
            self.give_up(cx, id, FailureReason::CallerGone);
        }
    }

    /// Handles a request whose key is already known: joins the running request, or answers with the
    /// stored answer or a refusal. Returns whether the request was a duplicate.
    fn answer_duplicate(&mut self, cx: &mut Pass<'_>, id: RequestId, arrival: &Arrival) -> bool {
        let Some(key) = &arrival.key else { return false };
        let claim = claim_key(&arrival.workspace, key);
        if let Some(running) = self.keys.get(&claim).copied() {
            self.join(cx, id, running, arrival);
            return true;
        }
        let Some(recent) = self.recent.get(claim) else { return false };
        let is_replaceable = recent.replaceable.contains(&recent.answer.request);
        if is_replaceable {
            return false;
        }
        let is_same = recent.digest == short_digest(&arrival.digest);
        let answer = match is_same {
            true => recent.answer.clone(),
            false => refuse(cx, id, cx.ctx.revision(), RefusalReason::KeyConflict),
        };
        if is_same && arrival.stream {
            emit_output(cx, arrival.ticket, &answer);
        }
        send_answer(cx, arrival.ticket, answer);
        true
    }

    fn join(&mut self, cx: &mut Pass<'_>, id: RequestId, running: RequestId, arrival: &Arrival) {
        let Some(request) = self.in_flight.get_mut(&running) else { return };
        if request.digest != arrival.digest {
            let refused = refuse(cx, id, request.revision, RefusalReason::KeyConflict);
            send_answer(cx, arrival.ticket, refused);
            return;
        }
        request.callers.push(Caller { ticket: arrival.ticket, stream: arrival.stream });
        self.tickets.insert(arrival.ticket, running);
        if arrival.stream && 0 < request.tokens {
            // The text already sent to the first caller follows as one token, then empty tokens for
            // the rest, so that token numbers match.
            let text = request.emitted.clone();
            emit_from_start(cx, arrival.ticket, request.tokens, &text);
        }
    }

    fn admit(
        &mut self,
        cx: &Pass<'_>,
        id: RequestId,
        arrival: Arrival,
    ) -> Result<RequestState, RefusalReason> {
        if self.leaving {
            return Err(RefusalReason::InstanceLeaving);
        }
        let config = cx.ctx.config.as_ref().ok_or(RefusalReason::NoConfiguration)?;
        let pipeline = config.pipeline(&arrival.pipeline).ok_or(RefusalReason::UnknownPipeline)?;
        if cx.ctx.tuning.max_requests <= self.in_flight.len() {
            return Err(RefusalReason::QueueFull);
        }
        let budget = arrival.deadline.unwrap_or(pipeline.deadline).min(cx.ctx.tuning.max_deadline);
        if budget < cx.ctx.tuning.min_deadline {
            return Err(RefusalReason::DeadlineTooShort);
        }
        if !self.shares.has_room(cx, &arrival.workspace) {
            return Err(RefusalReason::WorkspaceLimit);
        }
        let workspace = &arrival.workspace;
        let weight = cx.ctx.workspaces.get(workspace).map_or(1, |it| it.weight);
        let expected_time = self.pools.expected_time(pipeline, workspace, weight);
        let is_managed = cx.ctx.tuning.policy.is_managed();
        if is_managed && budget.mul_f64(cx.ctx.tuning.admit_share) < expected_time {
            return Err(match self.pools.remaining_service(pipeline, 0) < budget {
                true => RefusalReason::QueueFull,
                false => RefusalReason::DeadlineTooShort,
            });
        }
        let limits = &config.preset().limits;
        for stage in &pipeline.stages {
            let Some(limit) = limits.iter().find(|it| it.pool == stage.pool) else { continue };
            let state = self.pools.get(&stage.pool);
            let n_requests = state.map_or(0, |it| it.running + it.queue.len() as u32);
            if limit.concurrent <= n_requests {
                return Err(RefusalReason::PoolLimit);
            }
        }
        let pipeline = Arc::new(pipeline.clone());
        Ok(RequestState::new(id, cx.now, cx.now + budget, pipeline, config.revision, arrival))
    }

    fn accept(&mut self, cx: &mut Pass<'_>, mut request: RequestState) {
        let id = request.id;
        for caller in &request.callers {
            self.tickets.insert(caller.ticket, id);
        }
        self.keys.insert(request.claim, id);
        self.shares.started(&request.workspace);
        let needs_claim = !request.pipeline.is_repeatable();
        if needs_claim {
            request.phase = Phase::Claiming;
        }
        self.in_flight.insert(id, request);
        match needs_claim {
            true => self.start_claim(cx, id),
            false => self.enqueue(cx, id),
        }
    }
}

/// Streams the stored output to the caller of a duplicate request.
fn emit_output(cx: &mut Pass<'_>, ticket: Ticket, answer: &Answer) {
    if let Some(output) = &answer.output {
        emit_from_start(cx, ticket, answer.tokens.max(1), output);
    }
}

/// Emits `n_tokens` tokens, the first with all of the text and the others empty.
fn emit_from_start(cx: &mut Pass<'_>, ticket: Ticket, n_tokens: u32, text: &str) {
    for number in 0..n_tokens {
        let text = if number == 0 { text.to_owned() } else { String::new() };
        cx.effects.push(Effect::Emit { ticket, number, text });
    }
}
