//! Endpoints that refuse all calls and ask for a pause, and the check that they get it.

use std::time::Duration;

use ferry_model::Moment;
use ferry_serve::{BatchCall, BatchFailure, Call, CallEvent, Event, NotRunReason, PauseReport};

use super::{NETWORK_DELAY, Simulation, ms};

/// Time after a refusal in which calls may arrive that were on their way.
const GRACE_TIME: Duration = ms(500);
/// Calls that may arrive in the rest of a pause.
const MAX_CALLS: usize = 2;

/// A pause that an endpoint has asked an instance for.
#[derive(Debug)]
pub struct Pause {
    instance: usize,
    endpoint: String,
    from: Moment,
    until: Moment,
    n_calls: usize,
}

impl Simulation {
    /// Counts what reaches an endpoint while it pauses.
    pub(super) fn check_pauses(&mut self, instance: usize, endpoint: &str) {
        let now = self.now;
        let is_open = |it: &&mut Pause| {
            it.instance == instance && it.endpoint == endpoint && it.from < now && now < it.until
        };
        for pause in self.pauses.iter_mut().filter(is_open) {
            pause.n_calls += 1;
            if pause.n_calls == MAX_CALLS + 1 {
                let text = format!("{endpoint} got calls of {instance} in its pause");
                self.violations.push(text);
            }
        }
    }

    fn ask_for_pause(&mut self, instance: usize, endpoint: &str, pause: Duration) {
        self.pauses.push(Pause {
            instance,
            endpoint: endpoint.to_owned(),
            from: self.now + GRACE_TIME,
            until: self.now + pause,
            n_calls: 0,
        });
        let started = self.endpoints.get(endpoint).map_or(0, |it| it.entry.started);
        let (endpoint, report) = (endpoint.to_owned(), PauseReport::Asked(pause));
        self.schedule(instance, NETWORK_DELAY, Event::Pause { endpoint, started, report });
    }

    pub(super) fn refuse_for_pause(&mut self, instance: usize, call: &Call, pause: Duration) {
        self.ask_for_pause(instance, &call.endpoint, pause);
        let event = CallEvent::NotRun { reason: NotRunReason::Full, load: None };
        self.schedule(instance, NETWORK_DELAY, Event::Call { call: call.call, event });
    }

    pub(super) fn refuse_items_for_pause(
        &mut self,
        instance: usize,
        call: &BatchCall,
        pause: Duration,
    ) {
        self.ask_for_pause(instance, &call.endpoint, pause);
        let result = Err(BatchFailure::NotRun("503".to_owned()));
        let event = Event::Batch { call: call.call, result, load: None };
        self.schedule(instance, NETWORK_DELAY, event);
    }
}
