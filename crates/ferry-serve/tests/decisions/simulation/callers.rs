//! What callers send and get.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use ferry_serve::{Arrival, CallId, Event, Refusal, RequestDigest, RequestHead, Status};

use super::{Caller, Ending, Outcome, QueuedEvent, Simulation};

impl Simulation {
    /// Sends a request, the same as no other, to an instance and returns its ticket.
    pub fn arrive(&mut self, instance: usize, attempt: &str, head: RequestHead) -> u64 {
        let mut hasher = DefaultHasher::new();
        attempt.hash(&mut hasher);
        self.arrive_same(instance, attempt, u128::from(hasher.finish()), head)
    }

    /// Sends a request, the same as all with this digest, to an instance and returns its ticket.
    pub fn arrive_same(
        &mut self,
        instance: usize,
        attempt: &str,
        digest: RequestDigest,
        head: RequestHead,
    ) -> u64 {
        let now = self.now;
        self.sent.get_or_insert_with(head.path.clone(), Vec::new).push(now);
        self.n_tickets += 1;
        let ticket = self.n_tickets;
        let caller = Caller {
            attempt: attempt.to_owned(),
            prompt: head.prompt.clone(),
            head: head.clone(),
            offset: self.offset,
            arrived: self.now,
            began: None,
        };
        self.callers.insert((instance, ticket), caller);
        self.digests.insert(attempt.to_owned(), digest);
        let event = Event::Arrive(Box::new(Arrival { ticket, digest, head }));
        let incarnation = self.incarnations[instance];
        self.process(QueuedEvent::Deliver { instance, incarnation, event });
        ticket
    }

    pub fn outcome(&self, attempt: &str) -> &Outcome {
        self.outcomes.get(attempt).unwrap_or_else(|| panic!("{attempt} has not ended"))
    }

    /// Returns the fraction of attempts whose first event arrived within `objective`.
    pub fn on_time(&self, attempts: &[String], objective: Duration) -> f64 {
        let is_on_time = |it: &&String| {
            self.first_events.get(it.as_str()).is_some_and(|took| *took <= objective)
        };
        attempts.iter().filter(is_on_time).count() as f64 / attempts.len() as f64
    }

    pub(super) fn end(&mut self, instance: usize, ticket: u64, ending: Ending) {
        if self.abandoned.contains(&(instance, ticket)) {
            return;
        }
        let Some(caller) = self.callers.remove(&(instance, ticket)) else {
            return self.violations.push(format!("ticket {ticket} was answered twice"));
        };
        self.check_end(instance, ticket, &caller.attempt);
        if self.pass_back_end(instance, ticket, &ending) {
            return;
        }
        let took = self.now - caller.arrived;
        self.outcomes.insert(caller.attempt, Outcome { ending, took });
    }

    pub(super) fn check_refusal(&mut self, instance: usize, ticket: u64, refusal: &Refusal) {
        let attempt = self.callers.get(&(instance, ticket)).map(|it| it.attempt.clone());
        // The instance that passed a request on may have sent it to an endpoint before, and answers
        // for it.
        let key = (instance, ticket);
        let is_own = !self.passed_on.contains_key(&key) && !self.abandoned.contains(&key);
        let Some(attempt) = attempt.filter(|_| is_own) else { return };
        if refusal.status == Status::NotRun && self.runs.contains_key(&attempt) {
            self.violations.push(format!("{attempt} ran and was refused as not run"));
        }
        if refusal.status != Status::NotRun && refusal.retry_after.is_some() {
            self.violations.push(format!("{attempt} may have run and was told to retry"));
        }
    }

    pub(super) fn relay(&mut self, instance: usize, call: CallId, ticket: u64) {
        self.check_relay(instance, call, ticket);
        let kind = self.calls.get(&(instance, call)).copied().unwrap_or_default();
        if kind != 2 {
            self.check_answer(instance, call);
        }
        let now = self.now;
        let began = self.callers.get(&(instance, ticket)).and_then(|it| it.began);
        match kind {
            // A caller that has the head of a stream gets no other head.
            0 | 1 if began.is_some() => self.end(instance, ticket, Ending::Aborted),
            0 => self.end(instance, ticket, Ending::Answer),
            1 => self.end(instance, ticket, Ending::Error),
            _ => {
                let Some(caller) = self.callers.get_mut(&(instance, ticket)) else { return };
                if caller.began.is_none() {
                    caller.began = Some(now);
                    if self.pass_back_head(instance, ticket) {
                        return;
                    }
                    let Some(caller) = self.callers.get_mut(&(instance, ticket)) else { return };
                    self.first_events.insert(caller.attempt.clone(), now - caller.arrived);
                }
            }
        }
    }
}
