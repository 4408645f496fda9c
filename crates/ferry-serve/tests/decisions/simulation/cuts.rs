//! Instances that have lost their links to endpoints, and requests that they pass on to others.

use std::time::Duration;

use ferry_serve::{AnswerKind, Call, CallEvent, CallId, Event, Framing, ResumedStream, StreamEnd};

use super::{Ending, NETWORK_DELAY, Simulation, ms};

/// Time after which an instance gives up to open a connection.
const CONNECT_TIMEOUT: Duration = ms(400);

/// Start of the names of instances.
const INSTANCE_PREFIX: &str = "instance-";

/// What becomes of the connections to endpoints behind a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutForm {
    /// Those that are open are silent, and new ones are not opened in time.
    Hangs,
    /// Those that are open are reset, like new ones.
    Reset,
    /// Those that are open live on, and new ones are refused.
    RefusesNew,
}

/// An instance that has lost its links to endpoints.
#[derive(Debug, Clone)]
pub struct Cut {
    pub instance: usize,
    pub form: CutForm,
    /// Start of the names of the endpoints; all of them if empty.
    pub endpoints: &'static str,
}

impl Simulation {
    /// Cuts an instance off from endpoints.
    pub fn cut(&mut self, cut: Cut) {
        let Cut { instance, form, endpoints } = cut.clone();
        self.cuts.push(cut);
        // The links to other instances are sound.
        let is_behind = |it: &str| it.starts_with(endpoints) && !it.starts_with(INSTANCE_PREFIX);
        match form {
            CutForm::Hangs => {
                self.drop_answers_of(|_, at, endpoint| at == instance && is_behind(endpoint));
            }
            CutForm::Reset => self.reset_calls_of(instance, |it| !is_behind(it)),
            CutForm::RefusesNew => (),
        }
    }

    /// Returns the time after which a connection to an endpoint fails; none if it does not.
    pub(super) fn cut_delay(&self, instance: usize, endpoint: &str) -> Option<Duration> {
        let is_cut = |it: &&Cut| it.instance == instance && endpoint.starts_with(it.endpoints);
        self.cuts.iter().find(is_cut).map(|it| match it.form {
            CutForm::Hangs => CONNECT_TIMEOUT,
            CutForm::Reset | CutForm::RefusesNew => NETWORK_DELAY,
        })
    }

    /// Passes a request on to another instance.
    pub(super) fn pass_on(&mut self, instance: usize, call: &Call) {
        let to = usize::from(call.address.port()) - 6_000;
        let caller = self.callers.get(&(instance, call.ticket));
        let caller = caller.map(|it| (it.attempt.clone(), it.head.clone()));
        let Some((attempt, mut head)) = caller else {
            return self.violations.push("a call without a caller".to_owned());
        };
        if self.instances[to].is_none() {
            let event = CallEvent::Unsent { error: "connection refused".to_owned() };
            let call = call.call;
            return self.schedule(instance, NETWORK_DELAY, Event::Call { call, event });
        }
        if head.relayed.is_some() {
            self.violations.push(format!("{attempt} was passed on twice"));
        }
        self.open_call(instance, call);
        self.calls.insert((instance, call.call), if call.is_stream { 2 } else { 0 });
        self.n_passed_on += 1;
        head.time_left = Some(call.time_left);
        head.relayed = call.relayed.clone();
        if call.resume.is_some_and(|it| 0 < it) {
            head.resumed = Some(ResumedStream { first_attempt: None });
        }
        let digest = self.digests.get(&attempt).copied().unwrap_or_default();
        let n_sent = self.sent.clone();
        let key = (to, self.n_tickets + 1);
        self.passed_on.insert(key, (instance, call.call));
        self.offset = call.resume.unwrap_or(0);
        self.arrive_same(to, &attempt, digest, head);
        self.offset = 0;
        // Only callers send requests.
        self.sent = n_sent;
    }

    /// Reports an event of a stream to the instance that passed its request on.
    pub(super) fn pass_back_event(&mut self, instance: usize, event: &Event) {
        let Event::Call { call, event: CallEvent::Progress { last_event } } = event else { return };
        let ticket = self.ticket_of(instance, *call);
        let Some((to, call)) = ticket.and_then(|it| self.passed_on.get(&(instance, it)).copied())
        else {
            return;
        };
        let event = CallEvent::Progress { last_event: *last_event };
        self.schedule(to, NETWORK_DELAY, Event::Call { call, event });
    }

    pub(super) fn pass_back_head(&mut self, instance: usize, ticket: u64) -> bool {
        let Some((to, call)) = self.passed_on.get(&(instance, ticket)).copied() else {
            return false;
        };
        let event = CallEvent::Began { load: None };
        self.schedule(to, NETWORK_DELAY, Event::Call { call, event });
        true
    }

    /// Reports the end of a request to the instance that passed it on, if one did.
    pub(super) fn pass_back_end(&mut self, instance: usize, ticket: u64, ending: &Ending) -> bool {
        let Some((to, call)) = self.passed_on.remove(&(instance, ticket)) else { return false };
        let broken = |error: &str| CallEvent::Broken { error: error.to_owned() };
        let event = match ending {
            Ending::Answer => CallEvent::Answer { kind: AnswerKind::Result, load: None },
            Ending::Error => CallEvent::Answer { kind: AnswerKind::Error, load: None },
            Ending::Stream => {
                let end = StreamEnd { framing: Framing::Chunked, n_events: 1, partial: 0 };
                CallEvent::Ended(end)
            }
            Ending::Refused(it) if it.status == ferry_serve::Status::NotRun => {
                let reason = ferry_serve::NotRunReason::Full;
                CallEvent::NotRun { reason, load: None }
            }
            Ending::Refused(_) => broken("the peer does not know"),
            Ending::Aborted => broken("the peer aborted it"),
        };
        let kind = match ending {
            Ending::Error => 1,
            Ending::Answer => 0,
            Ending::Stream | Ending::Refused(_) | Ending::Aborted => 2,
        };
        self.calls.insert((to, call), kind);
        self.schedule(to, NETWORK_DELAY, Event::Call { call, event });
        true
    }

    /// Breaks off the requests that were passed on to an instance which is killed, and those that
    /// it has passed on.
    pub(super) fn break_passed_on(&mut self, killed: usize) {
        let own = self.passed_on.iter().filter(|it| it.1.0 == killed).map(|it| *it.1);
        let own: Vec<(usize, CallId)> = own.collect();
        own.into_iter().for_each(|(instance, call)| self.cancel_passed_on(instance, call));
        let lost = self.passed_on.iter().filter(|it| it.0.0 == killed);
        let lost: Vec<((usize, u64), (usize, CallId))> = lost.map(|it| (*it.0, *it.1)).collect();
        for (key, (to, call)) in lost {
            self.passed_on.remove(&key);
            let event = CallEvent::Broken { error: "the peer was killed".to_owned() };
            self.schedule(to, NETWORK_DELAY, Event::Call { call, event });
        }
    }

    /// Ends a request that was passed on, as the instance that did so cancels it.
    pub(super) fn cancel_passed_on(&mut self, instance: usize, call: CallId) {
        let found = self.passed_on.iter().find(|it| *it.1 == (instance, call)).map(|it| *it.0);
        let Some((to, ticket)) = found else { return };
        self.passed_on.remove(&(to, ticket));
        self.abandoned.insert((to, ticket));
        self.schedule(to, NETWORK_DELAY, Event::CallerGone { ticket });
    }
}
