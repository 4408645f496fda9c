//! What endpoints do with calls, by their moods.

use ferry_model::ResultHandle;
use ferry_serve::{BatchCall, BatchFailure, Call, CallEvent, Event, ItemInput, ItemResult};

use super::{EVENT_GAP, FIRST_EVENT, HOP, Mood, N_EVENTS, PLAIN_TIME, World, limits};

impl World {
    pub(super) fn call(&mut self, instance: usize, call: &Call) {
        let attempt = self.callers.get(&(instance, call.ticket)).map(|it| it.attempt.clone());
        let Some(attempt) = attempt else {
            return self.wrongs.push("a call without a caller".to_owned());
        };
        for handle in call.inputs.iter().flatten() {
            if self.results.get(&handle.id).is_none_or(|(owner, _)| *owner != attempt) {
                let event =
                    CallEvent::NotRun { reason: ferry_serve::NotRunReason::InputsGone, load: None };
                let id = call.call;
                return self.later(instance, HOP, Event::Call { call: id, event });
            }
        }
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return };
        endpoint.n_calls += 1;
        endpoint.last_call = self.now;
        let (mood, id) = (endpoint.mood, call.call);
        let event = |event| Event::Call { call: id, event };
        if !matches!(mood, Mood::Full) {
            let runs = self.runs.get_or_insert_with(attempt, Vec::new);
            runs.push(call.endpoint.clone());
        }
        let factor = if let Mood::Slow(factor) = mood { factor } else { 1 };
        match mood {
            Mood::Mute => (),
            Mood::Broken => {
                let broken = CallEvent::Broken { error: "reset".to_owned() };
                self.later(instance, HOP, event(broken));
            }
            Mood::Full => {
                let reason = ferry_serve::NotRunReason::Full;
                self.later(instance, HOP, event(CallEvent::NotRun { reason, load: None }));
            }
            Mood::Failing => {
                self.calls.insert((instance, id), 1);
                let answer = CallEvent::Answer { is_error: true, load: None };
                self.later(instance, PLAIN_TIME, event(answer));
            }
            Mood::Sound | Mood::Slow(_) | Mood::Barren(_) if call.is_stream => {
                self.calls.insert((instance, id), 2);
                let begin = FIRST_EVENT * factor;
                self.later(instance, begin, event(CallEvent::Began { load: None }));
                let first = call.resume.unwrap_or(0) + 1;
                for number in first..=N_EVENTS {
                    let at = begin + EVENT_GAP * factor * (number - first) as u32;
                    let progress = CallEvent::Progress { last_event: Some(number) };
                    self.later(instance, at, event(progress));
                }
                let end = begin + EVENT_GAP * factor * N_EVENTS as u32;
                self.later(instance, end, event(CallEvent::Ended));
            }
            Mood::Sound | Mood::Slow(_) | Mood::Barren(_) => {
                self.calls.insert((instance, id), 0);
                let answer = CallEvent::Answer { is_error: false, load: None };
                self.later(instance, PLAIN_TIME * factor, event(answer));
            }
        }
    }

    pub(super) fn batch(&mut self, instance: usize, call: &BatchCall) {
        self.n_batches += 1;
        let now = self.now;
        let limits = limits();
        let mut results = Vec::new();
        for item in &call.items {
            self.check_inputs(&item.attempt, &item.input, item.stage);
            let id = format!("{}/{}/{}/{}", item.attempt, item.stage, item.item, self.n_queued);
            self.results.insert(id.clone(), (item.attempt.to_string(), item.stage));
            results.push(ItemResult::Done(ResultHandle { address: call.address, id }));
        }
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return };
        endpoint.n_calls += 1;
        endpoint.n_items += call.items.len();
        endpoint.last_call = now;
        let work = limits.call_time + limits.item_time * call.items.len() as u32;
        let id = call.call;
        let batch = |result| Event::Batch { call: id, result, load: None };
        match endpoint.mood {
            Mood::Mute => {
                let failure = BatchFailure::Broken("no answer in time".to_owned());
                self.later(instance, call.timeout, batch(Err(failure)));
            }
            Mood::Broken | Mood::Failing => {
                let failure = BatchFailure::Broken("reset".to_owned());
                self.later(instance, HOP, batch(Err(failure)));
            }
            Mood::Full => {
                let failure = BatchFailure::NotRun("full".to_owned());
                self.later(instance, HOP, batch(Err(failure)));
            }
            Mood::Barren(reason) => {
                let failed = call.items.iter().map(|_| ItemResult::Failed(reason)).collect();
                self.later(instance, work, batch(Ok(failed)));
            }
            Mood::Sound | Mood::Slow(_) => {
                let factor = if let Mood::Slow(factor) = endpoint.mood { factor } else { 1 };
                endpoint.busy = endpoint.busy.max(now) + work * factor;
                let after = endpoint.busy - now;
                self.later(instance, after, batch(Ok(results)));
            }
        }
    }

    /// Checks that an item is given every result of the stage before, and only of its request.
    fn check_inputs(&mut self, attempt: &str, input: &ItemInput, stage: u8) {
        let ItemInput::Results(handles) = input else { return };
        if handles.is_empty() {
            self.wrongs.push(format!("{attempt}: stage {stage} has no inputs"));
        }
        for handle in handles {
            match self.results.get(&handle.id) {
                Some((owner, _)) if owner == attempt => (),
                Some((owner, _)) => {
                    self.wrongs.push(format!("{attempt} was given results of {owner}"));
                }
                // A restarted endpoint has forgotten it; the endpoint would say that it is gone.
                None => (),
            }
        }
    }
}
