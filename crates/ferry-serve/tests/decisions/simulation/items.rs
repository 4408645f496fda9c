//! What endpoints do with calls for items of stages, by their behaviour.

use ferry_model::ResultHandle;
use ferry_serve::{BatchCall, BatchFailure, Event, ItemInput, ItemResult};

use super::{Behaviour, NETWORK_DELAY, Received, Simulation, limits};

/// The results that a call names for an item, or for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedInputs {
    pub attempt: String,
    /// The stage that reads them; none for the endpoint of the request.
    pub stage: Option<u8>,
    /// Stages and items that made them, sorted.
    pub makers: Vec<(u8, u16)>,
}

impl Simulation {
    pub(super) fn batch(&mut self, instance: usize, call: &BatchCall) {
        if self.refuse_items(instance, call) {
            return;
        }
        self.n_batches += 1;
        self.check_pauses(instance, &call.endpoint);
        let now = self.now;
        let limits = limits();
        let mut results = Vec::new();
        for item in &call.items {
            self.check_inputs(&item.attempt, &item.input, item.stage);
            let id = format!("{}/{}/{}/{}", item.attempt, item.stage, item.item, self.n_queued);
            if !self.loses_results {
                self.results.insert(id.clone(), (item.attempt.to_string(), item.stage));
            }
            results.push(ItemResult::Done(ResultHandle { address: call.address, id }));
        }
        let is_informed = self.is_informed(instance, &call.endpoint);
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return };
        endpoint.n_calls += 1;
        endpoint.n_items += call.items.len();
        endpoint.last_call = now;
        endpoint.arrivals.push(Received { at: now, is_informed });
        let work = limits.call_time + limits.item_time * call.items.len() as u32;
        let id = call.call;
        self.batches.insert((instance, id), call.endpoint.clone());
        let silence = endpoint.silent_until.saturating_sub(now);
        let batch = |result| Event::Batch { call: id, result, load: None };
        match endpoint.behaviour {
            Behaviour::Silent => {
                let failure = BatchFailure::TimedOut;
                self.schedule(instance, call.timeout, batch(Err(failure)));
            }
            Behaviour::Reset | Behaviour::Failing | Behaviour::HeadOnly(_) => {
                let failure = BatchFailure::Broken("reset".to_owned());
                self.schedule(instance, NETWORK_DELAY, batch(Err(failure)));
            }
            Behaviour::RefusesAfterRun(status) => {
                let failure = BatchFailure::Failed(status.to_string());
                self.schedule(instance, NETWORK_DELAY, batch(Err(failure)));
            }
            Behaviour::Full => {
                let failure = BatchFailure::NotRun("full".to_owned());
                self.schedule(instance, NETWORK_DELAY, batch(Err(failure)));
            }
            Behaviour::Pauses(pause) => self.refuse_items_for_pause(instance, call, pause),
            Behaviour::FailItems(reason) => {
                let failed = call.items.iter().map(|_| ItemResult::Failed(reason)).collect();
                self.schedule(instance, work, batch(Ok(failed)));
            }
            Behaviour::Healthy | Behaviour::Slow(_) | Behaviour::Reads(_) => {
                let factor =
                    if let Behaviour::Slow(factor) = endpoint.behaviour { factor } else { 1 };
                endpoint.busy = endpoint.busy.max(now) + work * factor;
                let after = endpoint.busy - now;
                if !self.plan_items_crash(instance, call, after) {
                    self.schedule_limit(instance, after, &call.endpoint);
                    self.schedule(instance, after, batch(Ok(results)));
                }
                let failure = BatchFailure::TimedOut;
                self.schedule(instance, call.timeout, batch(Err(failure)));
            }
        }
        self.delay_events(silence, |at, it| at == instance && it == id);
    }

    pub(super) fn record_inputs(
        &mut self,
        attempt: &str,
        stage: Option<u8>,
        handles: &[ResultHandle],
    ) {
        let maker = |handle: &ResultHandle| {
            let mut parts = handle.id.rsplit('/').skip(1);
            let item = parts.next().and_then(|it| it.parse().ok()).expect("an item made it");
            let stage = parts.next().and_then(|it| it.parse().ok()).expect("a stage made it");
            (stage, item)
        };
        let mut makers: Vec<(u8, u16)> = handles.iter().map(maker).collect();
        makers.sort_unstable();
        self.inputs.push(NamedInputs { attempt: attempt.to_owned(), stage, makers });
    }

    /// Checks that an item gets every result of the preceding stage, and only those of its request.
    fn check_inputs(&mut self, attempt: &str, input: &ItemInput, stage: u8) {
        let ItemInput::Results(handles) = input else {
            return self.record_inputs(attempt, Some(stage), &[]);
        };
        self.record_inputs(attempt, Some(stage), handles);
        if handles.is_empty() {
            self.violations.push(format!("{attempt}: stage {stage} has no inputs"));
        }
        for handle in handles {
            match self.results.get(&handle.id) {
                Some((owner, _)) if owner == attempt => (),
                Some((owner, _)) => {
                    self.violations.push(format!("{attempt} was given results of {owner}"));
                }
                None if self.freed.contains(&handle.id) => {
                    self.reads_of_freed.push(attempt.to_owned());
                }
                // A restarted endpoint has forgotten it and would report it as gone.
                None => (),
            }
        }
    }
}
