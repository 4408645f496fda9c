//! Requests in flight, from arrival to their final answer.

pub mod flight;
pub mod summary;

use std::sync::Arc;

use ferry_model::{
    Answer, AttemptId, FailReason, Moment, Outcome, RefusalReason, RequestId, SortedMap,
    StageReport, Ticket,
};
use serde::{Deserialize, Serialize};

use crate::node::Turn;
use crate::request::flight::{Attempt, Flight};
use crate::route;
use crate::{
    Arrival, CallEvent, Connection, Decision, DecisionKind, Echo, Effect, Metric, StageCall,
};

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Requests {
    flights: SortedMap<RequestId, Flight>,
    attempts: SortedMap<AttemptId, RequestId>,
    tickets: SortedMap<Ticket, RequestId>,
    n_requests: u64,
    n_attempts: AttemptId,
    leaving: bool,
}

impl Requests {
    pub fn new() -> Requests {
        Requests::default()
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub fn next_wake(&self) -> Option<Moment> {
        self.flights.values().map(|it| it.deadline).min()
    }

    pub fn arrive(&mut self, cx: &mut Turn<'_>, arrival: Arrival) {
        cx.out.push(Effect::Count { metric: Metric::RequestsArrived, by: 1 });
        self.n_requests += 1;
        let id = (u128::from(cx.ctx.identity.incarnation) << 64) | u128::from(self.n_requests);
        let ticket = arrival.ticket;
        match self.admit(cx, id, arrival) {
            Ok(flight) => {
                self.flights.insert(id, flight);
                self.tickets.insert(ticket, id);
                self.start_stage(cx, id);
            }
            Err(refusal) => {
                let mut refused = refuse(cx, id, 0, refusal);
                refused.stages.clear();
                answer(cx, ticket, refused);
            }
        }
    }

    pub fn caller_gone(&mut self, cx: &mut Turn<'_>, ticket: Ticket) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.ticket = None;
        if flight.pipeline.is_repeatable() {
            self.give_up(cx, id, FailReason::CallerGone);
        }
    }

    pub fn on_call(&mut self, cx: &mut Turn<'_>, attempt: AttemptId, event: CallEvent) {
        let Some(&id) = self.attempts.get(&attempt) else {
            drop_reply(cx, "attempt has ended");
            return;
        };
        match event {
            CallEvent::Unsent { error } => {
                self.try_elsewhere(cx, id, attempt, &error);
            }
            CallEvent::Refused { error, leaving, .. } => {
                if leaving && let Some(endpoint) = self.endpoint_of(id) {
                    cx.ctx.fleet.leaves(&endpoint);
                }
                self.try_elsewhere(cx, id, attempt, &error);
            }
            CallEvent::Accepted { echo } => {
                self.expect_echo(cx, id, attempt, &echo);
            }
            CallEvent::Token { number, text } => {
                if let Some(flight) = self.flights.get_mut(&id) {
                    flight.take_token(number, text, cx.out);
                }
            }
            CallEvent::Reply { echo, output, load } => {
                if self.expect_echo(cx, id, attempt, &echo) {
                    self.report_load(cx, id, load);
                    self.finish_stage(cx, id, output);
                }
            }
            CallEvent::End { echo, count, digest, load } => {
                if !self.expect_echo(cx, id, attempt, &echo) {
                    return;
                }
                self.report_load(cx, id, load);
                let Some(flight) = self.flights.get_mut(&id) else { return };
                if flight.is_whole(count, &digest) {
                    let output = flight.emitted.clone();
                    self.finish_stage(cx, id, output);
                } else {
                    self.break_attempt(cx, id, attempt, "the stream has gaps");
                }
            }
            CallEvent::Failed { error, .. } => {
                self.break_attempt(cx, id, attempt, &error);
            }
            CallEvent::Broken { error } => {
                self.break_attempt(cx, id, attempt, &error);
            }
        }
    }

    pub fn tick(&mut self, cx: &mut Turn<'_>) {
        let due: Vec<RequestId> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.deadline <= cx.now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.give_up(cx, id, FailReason::DeadlinePassed);
        }
    }

    /// Refuses every later arrival; requests in flight go on to their end.
    pub fn close(&mut self) {
        self.leaving = true;
    }

    pub fn is_idle(&self) -> bool {
        self.flights.is_empty()
    }

    fn admit(
        &self,
        cx: &Turn<'_>,
        id: RequestId,
        arrival: Arrival,
    ) -> Result<Flight, RefusalReason> {
        if self.leaving {
            return Err(RefusalReason::InstanceLeaving);
        }
        let config = cx.ctx.config.as_ref().ok_or(RefusalReason::NoConfiguration)?;
        let pipeline = config.pipeline(&arrival.pipeline).ok_or(RefusalReason::UnknownPipeline)?;
        if cx.ctx.tuning.max_requests <= self.flights.len() {
            return Err(RefusalReason::QueueFull);
        }
        let budget = arrival.deadline.unwrap_or(pipeline.deadline).min(cx.ctx.tuning.max_deadline);
        if budget < cx.ctx.tuning.min_deadline {
            return Err(RefusalReason::DeadlineTooShort);
        }
        let pipeline = Arc::new(pipeline.clone());
        Ok(Flight::new(id, cx.now, cx.now + budget, pipeline, config.revision, arrival))
    }

    fn start_stage(&mut self, cx: &mut Turn<'_>, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let pipeline = flight.pipeline.clone();
        let stage = &pipeline.stages[flight.stage];
        let sample = cx.ctx.tuning.sample;
        let choice =
            route::choose(cx.now, &cx.ctx.fleet, stage, &flight.tried, sample, &mut cx.ctx.rng);
        let Some(choice) = choice else {
            self.give_up(cx, id, FailReason::NoEndpoint);
            return;
        };
        self.n_attempts += 1;
        let attempt = self.n_attempts;
        let budget = flight.deadline.saturating_sub(cx.now);
        let endpoint = choice.view.endpoint.clone();
        cx.out.push(Effect::Log(
            Decision::new(DecisionKind::Route, "lowest score", flight.revision)
                .with_request(id)
                .with_stage(&stage.name)
                .with_endpoint(&endpoint.id)
                .with_score(choice.considered, choice.score)
                .with_budget(budget),
        ));
        cx.out.push(Effect::Count { metric: Metric::CallsSent, by: 1 });
        cx.out.push(Effect::Call(Box::new(StageCall {
            attempt,
            request: id,
            stage: stage.name.clone(),
            kind: stage.kind,
            endpoint: endpoint.id.clone(),
            address: endpoint.address,
            key: flight.key.clone(),
            input: flight.input.clone(),
            model: stage.model.clone(),
            max_tokens: stage.max_tokens,
            offset: 0,
            emitted: String::new(),
            priority: pipeline.priority,
            budget,
            repeatable: stage.repeatable,
            connection: match stage.repeatable {
                true => Connection::Pooled,
                false => Connection::Fresh,
            },
        })));
        cx.ctx.fleet.started(&endpoint.id);
        flight.tried.push(endpoint.id.clone());
        flight.attempt = Some(Attempt { id: attempt, endpoint: endpoint.id, started: cx.now });
        flight.dispatched = true;
        self.attempts.insert(attempt, id);
    }

    fn finish_stage(&mut self, cx: &mut Turn<'_>, id: RequestId, output: String) {
        let Some(ended) = self.end_attempt(cx, id) else { return };
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let took = cx.now.saturating_sub(ended.started);
        cx.ctx.fleet.served(&ended.endpoint, took);
        flight.reports.push(StageReport {
            stage: flight.pipeline.stages[flight.stage].name.clone(),
            endpoint: ended.endpoint,
            took,
            attempts: flight.tried.len() as u32,
        });
        flight.input = output;
        flight.tried.clear();
        flight.stage += 1;
        if flight.stage < flight.pipeline.stages.len() {
            self.start_stage(cx, id);
            return;
        }
        let whole = Answer::new(id, Outcome::Complete, flight.revision)
            .with_output(flight.input.clone(), flight.tokens);
        self.settle(cx, id, whole);
    }

    /// Sends a call elsewhere that provably did not run.
    fn try_elsewhere(&mut self, cx: &mut Turn<'_>, id: RequestId, attempt: AttemptId, error: &str) {
        self.end_attempt(cx, id);
        let Some(flight) = self.flights.get(&id) else { return };
        if cx.ctx.tuning.max_attempts <= flight.tried.len() as u32 {
            self.give_up(cx, id, FailReason::RetriesSpent);
            return;
        }
        cx.out.push(Effect::Count { metric: Metric::CallsRetried, by: 1 });
        let reason = format!("attempt {attempt}: {error}");
        let decision = Decision::new(DecisionKind::Retry, reason, flight.revision);
        cx.out.push(Effect::Log(decision.with_request(id)));
        self.start_stage(cx, id);
    }

    /// Handles a call that may have run: only a repeatable stage is tried again.
    fn break_attempt(&mut self, cx: &mut Turn<'_>, id: RequestId, attempt: AttemptId, error: &str) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let is_repeatable = flight.pipeline.stages[flight.stage].repeatable;
        if is_repeatable && flight.tokens == 0 {
            self.try_elsewhere(cx, id, attempt, error);
        } else {
            self.give_up(cx, id, FailReason::ConnectionLost);
        }
    }

    /// Ends a request without its whole answer, and says truly what may have run.
    fn give_up(&mut self, cx: &mut Turn<'_>, id: RequestId, reason: FailReason) {
        if let Some(ended) = self.end_attempt(cx, id) {
            cx.out.push(Effect::Cancel { attempt: ended.id });
        }
        let Some(flight) = self.flights.get(&id) else { return };
        let given = match (flight.dispatched, flight.pipeline.is_repeatable()) {
            (false, _) => refuse(cx, id, flight.revision, refusal_for(reason)),
            (true, true) => Answer::new(id, Outcome::Failed, flight.revision).with_failure(reason),
            (true, false) => {
                Answer::new(id, Outcome::InDoubt, flight.revision).with_failure(reason)
            }
        };
        self.settle(cx, id, given);
    }

    fn settle(&mut self, cx: &mut Turn<'_>, id: RequestId, given: Answer) {
        let Some(flight) = self.flights.remove(&id) else { return };
        if let Some(ticket) = flight.ticket {
            self.tickets.remove(&ticket);
            answer(cx, ticket, given.with_stages(flight.reports));
        }
    }

    fn end_attempt(&mut self, cx: &mut Turn<'_>, id: RequestId) -> Option<Attempt> {
        let ended = self.flights.get_mut(&id)?.attempt.take()?;
        self.attempts.remove(&ended.id);
        cx.ctx.fleet.ended(&ended.endpoint);
        Some(ended)
    }

    fn expect_echo(
        &mut self,
        cx: &mut Turn<'_>,
        id: RequestId,
        attempt: AttemptId,
        echo: &Echo,
    ) -> bool {
        let Some(flight) = self.flights.get(&id) else { return false };
        let stage = &flight.pipeline.stages[flight.stage].name;
        if echo.request == id && echo.attempt == attempt && echo.stage == *stage {
            return true;
        }
        drop_reply(cx, "reply belongs to another call");
        cx.out.push(Effect::Cancel { attempt });
        self.break_attempt(cx, id, attempt, "misaddressed reply");
        false
    }

    fn report_load(&self, cx: &mut Turn<'_>, id: RequestId, load: Option<ferry_model::Load>) {
        let Some(load) = load else { return };
        if let Some(endpoint) = self.endpoint_of(id) {
            cx.ctx.fleet.reported(cx.now, &endpoint, load);
        }
    }

    fn endpoint_of(&self, id: RequestId) -> Option<String> {
        Some(self.flights.get(&id)?.attempt.as_ref()?.endpoint.clone())
    }
}

fn answer(cx: &mut Turn<'_>, ticket: Ticket, answer: Answer) {
    let metric = match answer.outcome {
        Outcome::Complete => Metric::RequestsComplete,
        Outcome::NotRun => Metric::RequestsNotRun,
        Outcome::Failed => Metric::RequestsFailed,
        Outcome::InDoubt => Metric::RequestsInDoubt,
    };
    cx.out.push(Effect::Count { metric, by: 1 });
    cx.out.push(Effect::Answer { ticket, answer: Box::new(answer) });
}

fn refuse(cx: &Turn<'_>, id: RequestId, revision: u64, reason: RefusalReason) -> Answer {
    Answer::new(id, Outcome::NotRun, revision).with_refusal(reason, cx.ctx.tuning.retry_after)
}

fn refusal_for(reason: FailReason) -> RefusalReason {
    match reason {
        FailReason::DeadlinePassed => RefusalReason::DeadlinePassed,
        FailReason::CallerGone => RefusalReason::CallerGone,
        FailReason::StoreUnavailable => RefusalReason::StoreUnavailable,
        FailReason::StageFailed
        | FailReason::RetriesSpent
        | FailReason::NoEndpoint
        | FailReason::ConnectionLost
        | FailReason::HolderGone => RefusalReason::NoEndpoint,
    }
}

fn drop_reply(cx: &mut Turn<'_>, reason: &str) {
    cx.out.push(Effect::Count { metric: Metric::RepliesDropped, by: 1 });
    cx.out.push(Effect::Log(Decision::new(DecisionKind::Drop, reason, 0)));
}
