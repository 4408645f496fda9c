//! Endpoints that fall silent and go on, and checks of what their callers get meanwhile.

use std::time::Duration;

use ferry_serve::{AnswerKind, Call, CallEvent, CallId, Event};

use super::{QueuedEvent, Simulation};

/// A call of a request in progress.
#[derive(Debug)]
pub(super) struct OpenCall {
    ticket: u64,
    endpoint: String,
    /// Last event that the caller had when it was sent.
    resume: Option<u64>,
    /// Whether its answer is forwarded.
    is_relayed: bool,
}

/// An answer that has arrived whole and was neither forwarded nor dropped.
#[derive(Debug)]
pub(super) struct PendingAnswer {
    ticket: u64,
    is_held: bool,
}

impl Simulation {
    /// Lets an endpoint say nothing for a while, and then go on.
    pub fn silence(&mut self, id: &str, time: Duration) {
        let until = self.now + time;
        let endpoint = self.endpoints.get_mut(id).expect("the endpoint exists");
        let added = until.saturating_sub(endpoint.silent_until.max(self.now));
        endpoint.silent_until = endpoint.silent_until.max(until);
        let open = self.open_calls.iter().filter(|it| it.1.endpoint == id);
        let batches = self.batches.iter().filter(|it| it.1 == id).map(|it| *it.0);
        let calls: Vec<(usize, CallId)> = open.map(|it| *it.0).chain(batches).collect();
        self.delay_events(added, |instance, call| calls.contains(&(instance, call)));
    }

    /// Lets a silent endpoint answer new calls again.
    pub fn end_silence(&mut self, id: &str) {
        self.endpoints.get_mut(id).expect("the endpoint exists").silent_until = self.now;
    }

    /// Returns the ticket of a call in progress.
    pub(super) fn ticket_of(&self, instance: usize, call: CallId) -> Option<u64> {
        self.open_calls.get(&(instance, call)).map(|it| it.ticket)
    }

    /// Drops what is to come of calls behind a cut.
    pub(super) fn drop_answers_of(&mut self, is_behind: impl Fn(&Simulation, usize, &str) -> bool) {
        let open = self.open_calls.iter().map(|it| (*it.0, it.1.endpoint.clone()));
        let batches = self.batches.iter().map(|it| (*it.0, it.1.clone()));
        let calls: Vec<(usize, CallId)> = open
            .chain(batches)
            .filter(|(key, endpoint)| is_behind(self, key.0, endpoint))
            .map(|it| it.0)
            .collect();
        self.queue.retain(|_, it| match it {
            QueuedEvent::Deliver {
                instance,
                event: Event::Call { call, .. } | Event::Batch { call, result: Ok(_), .. },
                ..
            } => !calls.contains(&(*instance, *call)),
            _ => true,
        });
    }

    /// Breaks off the calls of an instance in progress at endpoints.
    pub(super) fn reset_calls_of(&mut self, instance: usize, reaches: impl Fn(&str) -> bool) {
        let own =
            self.open_calls.iter().filter(|it| it.0.0 == instance && !reaches(&it.1.endpoint));
        let calls: Vec<CallId> = own.map(|it| it.0.1).collect();
        for call in calls {
            let event = CallEvent::Broken { error: "reset".to_owned() };
            self.deliver(instance, Event::Call { call, event });
        }
    }

    /// Returns the latest call of an attempt that is in progress.
    pub fn last_call(&self, attempt: &str) -> Option<CallId> {
        let is_own = |instance: usize, ticket: u64| {
            self.callers.get(&(instance, ticket)).is_some_and(|it| it.attempt == attempt)
        };
        let own = self.open_calls.iter().filter(|it| is_own(it.0.0, it.1.ticket));
        own.map(|it| it.0.1).max()
    }

    /// Returns the call of an attempt that is in progress at an instance.
    pub fn call_at(&self, instance: usize, attempt: &str) -> Option<CallId> {
        let is_own = |ticket: u64| {
            self.callers.get(&(instance, ticket)).is_some_and(|it| it.attempt == attempt)
        };
        let mut open = self.open_calls.iter();
        open.find(|it| it.0.0 == instance && is_own(it.1.ticket)).map(|it| it.0.1)
    }

    /// Delays what is to come of calls.
    pub(super) fn delay_events(
        &mut self,
        time: Duration,
        is_delayed: impl Fn(usize, CallId) -> bool,
    ) {
        if time.is_zero() {
            return;
        }
        let fits = |it: &QueuedEvent| match it {
            QueuedEvent::Deliver {
                instance,
                event: Event::Call { call, .. } | Event::Batch { call, result: Ok(_), .. },
                ..
            } => is_delayed(*instance, *call),
            _ => false,
        };
        let keys: Vec<_> = self.queue.iter().filter(|it| fits(it.1)).map(|it| *it.0).collect();
        for key in keys {
            let Some(item) = self.queue.remove(&key) else { continue };
            self.queue.insert((key.0 + time, key.1), item);
        }
    }

    /// Returns the number of calls that have neither ended nor been cancelled, and of those whose
    /// answers are held back.
    pub fn n_open_calls(&self) -> usize {
        self.open_calls.len() + self.answers.len()
    }

    pub(super) fn open_call(&mut self, instance: usize, call: &Call) {
        let open = OpenCall {
            ticket: call.ticket,
            endpoint: call.endpoint.clone(),
            resume: call.resume,
            is_relayed: false,
        };
        self.open_calls.insert((instance, call.call), open);
    }

    /// Tells an instance that holds back the head of a stream that its events have arrived.
    pub(super) fn bring_events(&mut self, instance: usize, event: &Event) {
        let Event::Call { call, event } = event else { return };
        let has_events = match event {
            CallEvent::Progress { .. } => true,
            CallEvent::Ended(end) => end.is_complete(),
            _ => false,
        };
        let open = self.open_calls.get(&(instance, *call)).filter(|it| !it.is_relayed);
        let Some(resume) = open.filter(|_| has_events).map(|it| it.resume) else { return };
        let event = CallEvent::Progress { last_event: resume };
        self.reduce(instance, Event::Call { call: *call, event });
    }

    /// Checks that callers get each event once and in order, and records the end of calls.
    pub(super) fn check_event(&mut self, instance: usize, event: &Event) {
        let Event::Call { call, event } = event else { return };
        let key = (instance, *call);
        let is_failed = match event {
            CallEvent::Answer { kind, .. } => *kind != AnswerKind::Result,
            _ => matches!(event, CallEvent::Broken { .. }),
        };
        if is_failed {
            let ticket = self.open_calls.get(&key).map(|it| it.ticket);
            let caller = ticket.and_then(|it| self.callers.get(&(instance, it)));
            self.broken.extend(caller.map(|it| it.attempt.clone()));
        }
        match event {
            CallEvent::Progress { last_event: Some(number) } => {
                let Some(open) = self.open_calls.get(&key).filter(|it| it.is_relayed) else {
                    return;
                };
                let Some(caller) = self.callers.get(&(instance, open.ticket)) else { return };
                if self.passed_on.contains_key(&(instance, open.ticket)) {
                    return;
                }
                let events = self.events.get_or_insert_with(caller.attempt.clone(), Vec::new);
                let last = events.last().copied().unwrap_or_default();
                if *number != last + 1 {
                    let attempt = &caller.attempt;
                    self.violations.push(format!("{attempt} got event {number} after {last}"));
                }
                events.push(*number);
            }
            CallEvent::Progress { last_event: None }
            | CallEvent::Began { .. }
            | CallEvent::Blocked => (),
            CallEvent::Answer { .. } => {
                let Some(open) = self.open_calls.remove(&key) else { return };
                let answer = PendingAnswer { ticket: open.ticket, is_held: false };
                self.answers.insert(key, answer);
            }
            CallEvent::Unsent { .. }
            | CallEvent::NotRun { .. }
            | CallEvent::Ended(_)
            | CallEvent::Broken { .. } => {
                self.open_calls.remove(&key);
            }
        }
    }

    pub(super) fn hold(&mut self, instance: usize, call: CallId) {
        match self.answers.get_mut(&(instance, call)) {
            Some(answer) => answer.is_held = true,
            None => self.violations.push(format!("call {call} has no answer to hold back")),
        }
    }

    /// Drops answers that the instance has neither forwarded nor held back.
    pub(super) fn drop_answers(&mut self) {
        self.answers.retain(|_, it| it.is_held);
    }

    /// Checks that an answer is still there.
    pub(super) fn check_answer(&mut self, instance: usize, call: CallId) {
        if self.answers.remove(&(instance, call)).is_none() {
            self.violations.push(format!("the answer of call {call} was dropped"));
        }
    }

    /// Checks that only one call of a request brings its answer.
    pub(super) fn check_relay(&mut self, instance: usize, call: CallId, ticket: u64) {
        let is_other = |it: &(&(usize, CallId), &OpenCall)| {
            it.0.0 == instance && it.0.1 != call && it.1.ticket == ticket
        };
        let others: Vec<CallId> =
            self.open_calls.iter().filter(is_other).map(|it| it.0.1).collect();
        for other in others {
            self.violations
                .push(format!("call {other} goes on beside {call}, whose answer is forwarded"));
        }
        if let Some(open) = self.open_calls.get_mut(&(instance, call)) {
            open.is_relayed = true;
        }
    }

    /// Checks that no call of a request goes on after its end.
    pub(super) fn check_end(&mut self, instance: usize, ticket: u64, attempt: &str) {
        let is_own =
            |it: &(&(usize, CallId), &OpenCall)| it.0.0 == instance && it.1.ticket == ticket;
        if self.open_calls.iter().any(|it| is_own(&it)) {
            self.violations.push(format!("a call of {attempt} goes on after its end"));
        }
        let is_held = |it: &(usize, CallId), answer: &PendingAnswer| {
            it.0 == instance && answer.ticket == ticket && answer.is_held
        };
        if self.answers.iter().any(|it| is_held(it.0, it.1)) {
            self.violations.push(format!("an answer to {attempt} is held back after its end"));
        }
    }
}
