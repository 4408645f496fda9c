//! The models of an endpoint, the orders that change them and the weight store.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ferry_model::{EndpointReport, Fence, ModelId, Order, Role};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The store of model weights that the endpoints of one process share.
#[derive(Debug, Clone)]
pub struct WeightStore {
    permits: Arc<Semaphore>,
    load_time: Duration,
}

impl WeightStore {
    /// Creates a store that runs `max_loads` loads at a time, each of which takes `load_time`.
    pub fn new(max_loads: usize, load_time: Duration) -> WeightStore {
        WeightStore { permits: Arc::new(Semaphore::new(max_loads)), load_time }
    }
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    Applied,
    Fenced {
        seen: Fence,
    },
    /// The weight store runs as many loads as it can.
    Busy,
}

/// The state that orders change.
#[derive(Debug, Clone)]
pub struct EngineState {
    inner: Arc<Mutex<Inner>>,
    weights: WeightStore,
}

#[derive(Debug)]
struct Inner {
    /// Loaded models, sorted.
    models: Vec<ModelId>,
    /// Models that are being loaded, sorted.
    loading: Vec<ModelId>,
    role: Role,
    /// Highest fencing number seen; `None` if the endpoint doesn't check it.
    fence: Option<Fence>,
    /// Number of loads started; distinguishes a load from an earlier one that was aborted.
    n_loads: u64,
}

impl EngineState {
    pub fn new(models: Vec<ModelId>, checks_fence: bool, weights: WeightStore) -> EngineState {
        let inner = Inner {
            models,
            loading: Vec::new(),
            role: Role::Both,
            fence: checks_fence.then_some(0),
            n_loads: 0,
        };
        EngineState { inner: Arc::new(Mutex::new(inner)), weights }
    }

    /// Whether a call for this model can run; a call without a model needs any loaded model.
    pub fn can_run(&self, model: Option<&str>) -> bool {
        let inner = self.lock();
        match model {
            Some(model) => inner.models.iter().any(|it| it == model),
            None => !inner.models.is_empty(),
        }
    }

    pub fn report(&self, endpoint: &str, in_flight: u32, slots: usize) -> EndpointReport {
        let inner = self.lock();
        EndpointReport {
            endpoint: endpoint.to_owned(),
            models: inner.models.clone(),
            loading: inner.loading.clone(),
            role: inner.role,
            in_flight,
            slots: slots as u32,
            fence: inner.fence,
        }
    }

    /// Applies an order unless its fencing number is outdated or the weight store is busy.
    pub fn apply(&self, order: &Order) -> OrderOutcome {
        let mut inner = self.lock();
        if let Some(seen) = inner.fence {
            if order.fence < seen {
                return OrderOutcome::Fenced { seen };
            }
            inner.fence = Some(order.fence);
        }
        let missing: Vec<ModelId> =
            order.models.iter().filter(|it| !inner.models.contains(it)).cloned().collect();
        if !missing.is_empty() && missing != inner.loading {
            let Ok(permit) = self.weights.permits.clone().try_acquire_owned() else {
                return OrderOutcome::Busy;
            };
            inner.n_loads += 1;
            self.start_load(inner.n_loads, permit);
        }
        inner.loading = missing;
        inner.models.retain(|it| order.models.contains(it));
        inner.role = order.role;
        OrderOutcome::Applied
    }

    fn start_load(&self, number: u64, permit: OwnedSemaphorePermit) {
        let state = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(state.weights.load_time).await;
            drop(permit);
            let mut inner = state.lock();
            if inner.n_loads == number {
                let loaded = std::mem::take(&mut inner.loading);
                inner.models.extend(loaded);
                inner.models.sort();
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}
