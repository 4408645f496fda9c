//! The models of an endpoint, the orders it obeys and the weight store it loads from.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ferry_model::{EndpointReport, Fence, ModelId, Order, Role};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The store of model weights that the endpoints of one process share.
#[derive(Debug, Clone)]
pub struct WeightStore {
    permits: Arc<Semaphore>,
    load: Duration,
}

impl WeightStore {
    /// Makes a store that serves `at_once` loads, each of which takes `load`.
    pub fn new(at_once: usize, load: Duration) -> WeightStore {
        WeightStore { permits: Arc::new(Semaphore::new(at_once)), load }
    }
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    Applied,
    Fenced {
        seen: Fence,
    },
    /// The weight store serves enough loads.
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
    /// Sorted.
    models: Vec<ModelId>,
    /// Sorted.
    loading: Vec<ModelId>,
    role: Role,
    /// Highest fencing number seen; none where it checks none.
    fence: Option<Fence>,
    /// Tells a load from an earlier one that was given up.
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

    /// Whether a call for this model can run; calls without a model need any.
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

    /// Obeys an order unless its fence is old or the weight store is busy.
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
            tokio::time::sleep(state.weights.load).await;
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
