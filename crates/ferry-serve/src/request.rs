//! Takes each request through its stages to an endpoint, and ends it exactly once.

mod arrive;
mod ask;
mod call;
mod end;
mod flight;
mod stages;
mod times;

use std::net::SocketAddr;

use ferry_model::{Moment, SortedMap, Ticket};

use crate::admission::Verdict;
use crate::batch::{Batcher, JobKey, JobOutcome};
use crate::pass::Pass;
use crate::{Arrival, CallEvent, CallId, CallerAttempt, Tuning};

pub use ask::evaluate;
use flight::{Flight, Phase};

/// Requests in progress.
#[derive(Debug, Default)]
pub struct Requests {
    flights: SortedMap<Ticket, Flight>,
    /// Ticket of the request that a call serves.
    calls: SortedMap<CallId, Ticket>,
    attempts: SortedMap<CallerAttempt, Ticket>,
}

impl Requests {
    pub fn new() -> Requests {
        Requests::default()
    }

    pub fn len(&self) -> usize {
        self.flights.len()
    }

    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    pub fn arrive(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher, arrival: Arrival) {
        let Some(mut flight) = arrive::take(cx, batcher, arrival) else { return };
        if ask::ask(cx, batcher, &mut flight) {
            return;
        }
        self.attempts.insert(flight.head.attempt.clone(), flight.ticket);
        self.go_on(cx, batcher, flight);
    }

    /// Ends a request that nobody waits for.
    pub fn caller_gone(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher, ticket: Ticket) {
        let Some(flight) = self.flights.remove(&ticket) else { return };
        self.forget(&flight);
        end::drop_flight(cx, batcher, flight);
    }

    pub fn on_call(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        call: CallId,
        event: CallEvent,
    ) {
        let Some(ticket) = self.calls.get(&call) else { return };
        let Some(mut flight) = self.flights.remove(ticket) else { return };
        let ended = call::on_event(cx, batcher, &mut flight, event);
        if flight.call() != Some(call) {
            self.calls.remove(&call);
        }
        match ended {
            true => self.forget(&flight),
            false => self.go_on(cx, batcher, flight),
        }
    }

    /// Takes the decision on a request that has just come.
    pub fn on_verdict(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        attempt: &CallerAttempt,
        verdict: Verdict,
    ) {
        let Some(ticket) = self.attempts.get(attempt).copied() else { return };
        let Some(mut flight) = self.flights.remove(&ticket) else { return };
        let is_open = matches!(flight.phase, Phase::Asking { .. });
        if is_open && ask::on_verdict(cx, &mut flight, verdict) {
            return self.forget(&flight);
        }
        self.go_on(cx, batcher, flight);
    }

    /// Takes the results of a stage.
    pub fn on_settled(
        &mut self,
        cx: &mut Pass<'_>,
        batcher: &mut Batcher,
        key: &JobKey,
        outcome: JobOutcome,
    ) {
        let flight = self.attempts.get(&key.attempt).and_then(|it| self.flights.remove(it));
        let Some(mut flight) = flight else {
            return stages::free_unknown(cx, outcome);
        };
        match stages::on_outcome(cx, batcher, &mut flight, key, outcome) {
            true => self.forget(&flight),
            false => self.go_on(cx, batcher, flight),
        }
    }

    /// Notes that a peer gathers the items of a stage.
    pub fn on_accepted(&mut self, key: &JobKey) {
        let ticket = self.attempts.get(&key.attempt);
        if let Some(flight) = ticket.and_then(|it| self.flights.get_mut(it)) {
            stages::on_accepted(flight, key);
        }
    }

    /// Sends jobs again that the peer had gathered before it started anew.
    pub fn batcher_lost(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher, peer: SocketAddr) {
        let tickets: Vec<Ticket> = self.flights.keys().copied().collect();
        for ticket in tickets {
            let Some(flight) = self.flights.get_mut(&ticket) else { continue };
            stages::resubmit(cx, batcher, flight, Some(peer));
        }
    }

    /// Ends requests whose time is over, and repeats what has been silent for too long.
    pub fn tick(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher) {
        let tickets: Vec<Ticket> = self.flights.keys().copied().collect();
        for ticket in tickets {
            let Some(mut flight) = self.flights.remove(&ticket) else { continue };
            if flight.deadline <= cx.now {
                self.forget(&flight);
                end::expire(cx, batcher, flight);
                continue;
            }
            if matches!(flight.phase, Phase::Asking { until } if until <= cx.now) {
                ask::on_silence(cx, &mut flight);
            }
            if flight.fetched_at().is_some_and(|it| it <= cx.now) {
                call::on_fetched(cx, batcher, &mut flight);
            }
            if flight.is_silent(cx.now, &cx.ctx.tuning) {
                let call = flight.call();
                let ended = call::on_silence(cx, batcher, &mut flight);
                if let Some(call) = call {
                    self.calls.remove(&call);
                }
                if ended {
                    self.forget(&flight);
                    continue;
                }
            }
            stages::resubmit(cx, batcher, &mut flight, None);
            self.go_on(cx, batcher, flight);
        }
    }

    pub fn next_wake(&self, tuning: &Tuning) -> Option<Moment> {
        self.flights.values().map(|it| it.next_wake(tuning)).min()
    }

    /// Starts what a request is ready for; it stays in progress unless that ends it.
    fn go_on(&mut self, cx: &mut Pass<'_>, batcher: &mut Batcher, mut flight: Flight) {
        let mut ended = false;
        if matches!(flight.phase, Phase::Staging) {
            ended = stages::advance(cx, batcher, &mut flight);
        }
        if !ended && matches!(flight.phase, Phase::Staging) && flight.is_staged() {
            ended = call::start(cx, batcher, &mut flight);
        }
        if ended {
            return self.forget(&flight);
        }
        if let Some(call) = flight.call() {
            self.calls.insert(call, flight.ticket);
        }
        self.flights.insert(flight.ticket, flight);
    }

    fn forget(&mut self, flight: &Flight) {
        self.attempts.remove(&flight.head.attempt);
        if let Some(call) = flight.call() {
            self.calls.remove(&call);
        }
    }
}
