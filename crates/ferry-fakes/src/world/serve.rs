//! Calls to endpoints and to the store on virtual time.

use ferry_core::{CallEvent, Connection, Echo, Event, StageCall};
use ferry_model::{
    AttemptId, Config, Moment, ObjectKind, StageKind, StoreError, StoreOp, StoreReply,
};

use super::{Action, NodeIdx, STORE_TIMEOUT, WATCH_TIMEOUT, Watch, World};
use crate::endpoint::{Job, Run, output_of, tokens_of};
use crate::trace::WrittenConfig;

/// Time until a hanging write takes effect, longer than its writer waits for it.
const LATE_WRITE_DELAY: Moment = Moment::from_millis(2_500);

impl World {
    pub(super) fn start_call(&mut self, node: NodeIdx, generation: u32, call: Box<StageCall>) {
        let from = &self.nodes[node].zone;
        let delay = match self.endpoints.get(&call.endpoint) {
            Some(it) if self.network.is_partitioned(from, &it.endpoint.zone) => return,
            Some(it) if it.faults.stale_connections && call.connection == Connection::Pooled => {
                return;
            }
            Some(it) => self.network.delay(from, &it.endpoint.zone),
            None => self.network.cross_zone,
        };
        self.schedule(self.now + delay, Action::Call { node, generation, call });
    }

    pub(super) fn start_cancel(&mut self, node: NodeIdx, generation: u32, attempt: AttemptId) {
        let is_same =
            |it: &Job| it.node == node && it.generation == generation && it.call.attempt == attempt;
        let found = self
            .endpoints
            .values()
            .find(|it| it.running.iter().any(is_same) || it.waiting.iter().any(is_same));
        let Some(found) = found else { return };
        let endpoint = found.endpoint.id.clone();
        let delay = self.network.delay(&self.nodes[node].zone, &found.endpoint.zone);
        self.schedule(self.now + delay, Action::CancelCall { endpoint, node, generation, attempt });
    }

    pub(super) fn receive_call(&mut self, node: NodeIdx, generation: u32, call: StageCall) {
        let attempt = call.attempt;
        let Some(it) = self.endpoints.get_mut(&call.endpoint) else {
            let error = "no such endpoint".to_owned();
            self.report(node, generation, attempt, self.now, CallEvent::Unsent { error });
            return;
        };
        let at = self.now + self.network.delay(&self.nodes[node].zone, &it.endpoint.zone);
        if it.faults.down {
            let error = "connection refused".to_owned();
            self.report(node, generation, attempt, at, CallEvent::Unsent { error });
            return;
        }
        if it.faults.leaving {
            let error = "leaving".to_owned();
            let event = CallEvent::Refused { error, leaving: true, retry_after: None };
            self.report(node, generation, attempt, at, event);
            return;
        }
        if !it.can_run(call.kind, call.model.as_ref()) {
            let error = "the model is not loaded".to_owned();
            let event = CallEvent::Refused { error, leaving: false, retry_after: None };
            self.report(node, generation, attempt, at, event);
            return;
        }
        if it.faults.crash_before_run {
            it.faults.crash_before_run = false;
            let error = "connection reset".to_owned();
            self.report(node, generation, attempt, at, CallEvent::Broken { error });
            return;
        }
        let endpoint = call.endpoint.clone();
        it.waiting.push(Job { node, generation, received: self.now, call, started: Moment::ZERO });
        self.start_jobs(&endpoint);
    }

    /// Starts waiting calls while there are free slots.
    pub(super) fn start_jobs(&mut self, endpoint: &str) {
        loop {
            let now = self.now;
            let Some(it) = self.endpoints.get_mut(endpoint) else { return };
            if it.waiting.is_empty() || it.speed.slots <= it.running.len() {
                return;
            }
            let job = it.take_next();
            let service = it.draw_service_time(&mut self.rng);
            let token = it.token_time();
            let late = it.faults.answer_delay;
            let leaving = it.leaving_since.and_then(|since| job.received.checked_sub(since));
            let job = Job { started: now, ..job };
            it.running.push(job.clone());
            self.runs.push(Run {
                endpoint: endpoint.to_owned(),
                request: job.call.request,
                stage: job.call.stage.clone(),
                attempt: job.call.attempt,
                key: job.call.key.clone(),
                at: now,
                repeatable: job.call.repeatable,
                received: job.received,
                node: job.node,
                leaving,
            });
            let ends = match job.call.kind {
                StageKind::Generate => self.stream(&job, now + service, token),
                _ => Some(now + service),
            };
            if let Some(ends) = ends {
                let action = Action::FinishCall {
                    endpoint: endpoint.to_owned(),
                    node: job.node,
                    generation: job.generation,
                    attempt: job.call.attempt,
                };
                self.schedule(ends + late, action);
            }
        }
    }

    /// Schedules the tokens of a stream and returns when its terminal event is due, if it has one.
    fn stream(&mut self, job: &Job, first: Moment, token: Moment) -> Option<Moment> {
        let it = self.endpoints.get(&job.call.endpoint)?;
        let (break_after, stall_after) = (it.faults.break_after, it.faults.stall_after);
        let delay = self.network.delay(&self.nodes[job.node].zone, &it.endpoint.zone);
        let echo = echo_of(&job.call, it.faults.wrong_echo);
        let (node, generation, attempt) = (job.node, job.generation, job.call.attempt);
        self.report(node, generation, attempt, self.now + delay, CallEvent::Accepted { echo });
        let mut at = first;
        for (number, text) in (0..).zip(tokens_of(&job.call)).skip(job.call.offset as usize) {
            at += token;
            if stall_after == Some(number) {
                return None;
            }
            if break_after == Some(number) {
                let error = "connection reset".to_owned();
                self.report(node, generation, attempt, at + delay, CallEvent::Broken { error });
                let endpoint = job.call.endpoint.clone();
                self.schedule(at, Action::CancelCall { endpoint, node, generation, attempt });
                return None;
            }
            self.report(node, generation, attempt, at + delay, CallEvent::Token { number, text });
        }
        Some(at)
    }

    pub(super) fn finish_call(
        &mut self,
        endpoint: &str,
        node: NodeIdx,
        generation: u32,
        attempt: AttemptId,
    ) {
        let now = self.now;
        let Some(it) = self.endpoints.get_mut(endpoint) else { return };
        let found = it.running.iter().position(|it| {
            it.node == node && it.generation == generation && it.call.attempt == attempt
        });
        let Some(found) = found else { return };
        let job = it.running.remove(found);
        it.busy_time += now.saturating_sub(job.started);
        let load = it.load();
        let faults = it.faults.clone();
        it.faults.crash_after_run = false;
        let at = now + self.network.delay(&self.nodes[node].zone, &it.endpoint.zone);
        let echo = echo_of(&job.call, faults.wrong_echo);
        let event = if faults.crash_after_run {
            CallEvent::Broken { error: "connection reset".to_owned() }
        } else if faults.fail {
            CallEvent::Failed { echo: Some(echo), error: "the model failed".to_owned() }
        } else if job.call.kind == StageKind::Generate {
            let tokens = tokens_of(&job.call);
            let digest = *blake3::hash(tokens.concat().as_bytes()).as_bytes();
            CallEvent::End { echo, count: tokens.len() as u32, digest, load }
        } else {
            CallEvent::Reply { echo, output: output_of(&job.call), load }
        };
        if faults.duplicate {
            self.report(node, generation, attempt, at, event.clone());
        }
        self.report(node, generation, attempt, at, event);
        self.start_jobs(endpoint);
    }

    pub(super) fn cancel_call(
        &mut self,
        endpoint: &str,
        node: NodeIdx,
        generation: u32,
        attempt: AttemptId,
    ) {
        let now = self.now;
        let Some(it) = self.endpoints.get_mut(endpoint) else { return };
        let is_other =
            |it: &Job| it.node != node || it.generation != generation || it.call.attempt != attempt;
        let stopped = it.running.iter().filter(|it| !is_other(it)).map(|it| it.started);
        it.busy_time += stopped.map(|it| now.saturating_sub(it)).sum::<Moment>();
        it.running.retain(is_other);
        it.waiting.retain(is_other);
        self.start_jobs(endpoint);
    }

    fn report(
        &mut self,
        node: NodeIdx,
        generation: u32,
        attempt: u64,
        at: Moment,
        event: CallEvent,
    ) {
        self.send(at, node, generation, Event::Call { attempt, event });
    }

    pub(super) fn perform_store_call(
        &mut self,
        node: NodeIdx,
        generation: u32,
        call: u64,
        op: StoreOp,
    ) {
        let is_write = matches!(op, StoreOp::Put { .. } | StoreOp::Delete { .. });
        if is_write && !self.store.faults.down && self.store.faults.late_writes > 0 {
            self.store.faults.late_writes -= 1;
            self.schedule(self.now + LATE_WRITE_DELAY, Action::LateWrite { op });
            let result = Err(StoreError::Unknown("the answer was lost".to_owned()));
            self.send(self.now + STORE_TIMEOUT, node, generation, Event::Store { call, result });
            return;
        }
        let answer = match self.store.perform(&op) {
            Some(answer) => {
                self.record_write(&op, &answer);
                answer
            }
            None => {
                let until = self.now + WATCH_TIMEOUT;
                self.watches.push(Watch { node, generation, call, op, until });
                return;
            }
        };
        let delay = match &answer {
            Err(StoreError::Unknown(_)) => STORE_TIMEOUT,
            Err(_) | Ok(_) => self.store.faults.delay,
        };
        self.send(self.now + delay, node, generation, Event::Store { call, result: answer });
        if is_write {
            self.wake_watches();
        }
    }

    /// Records each configuration that was written, even if its writer got no answer.
    fn record_write(&mut self, op: &StoreOp, answer: &Result<StoreReply, StoreError>) {
        let StoreOp::Put { key, value, .. } = op else { return };
        let took_effect = matches!(answer, Ok(_) | Err(StoreError::Unknown(_)));
        if key.kind != ObjectKind::Config || !took_effect {
            return;
        }
        let Ok(config) = serde_json::from_str::<Config>(value) else { return };
        let change = config.history.last().map(|it| it.id.clone()).unwrap_or_default();
        self.trace.written.push(WrittenConfig { at: self.now, revision: config.revision, change });
    }

    /// Answers the watches that have something to report.
    pub fn wake_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            match self.store.perform(&watch.op) {
                Some(result) => {
                    let at = self.now + self.store.faults.delay;
                    let event = Event::Store { call: watch.call, result };
                    self.send(at, watch.node, watch.generation, event);
                }
                None => self.watches.push(watch),
            }
        }
    }

    pub(super) fn expire_watches(&mut self) {
        let now = self.now;
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            if now < watch.until {
                self.watches.push(watch);
                continue;
            }
            let StoreOp::Watch { since, .. } = watch.op else { continue };
            let reply = StoreReply::Changed { objects: Vec::new(), version: since };
            self.send(
                now,
                watch.node,
                watch.generation,
                Event::Store { call: watch.call, result: Ok(reply) },
            );
        }
    }
}

fn echo_of(call: &StageCall, wrong_echo: bool) -> Echo {
    let request = if wrong_echo { call.request ^ 1 } else { call.request };
    Echo { request, stage: call.stage.clone(), attempt: call.attempt }
}
