//! A fake endpoint with a service-time model, slots and faults.

use std::time::Duration;

use ferry_core::StageCall;
use ferry_model::{AttemptId, Endpoint, Load, Moment, StageKind};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::NodeIdx;
use crate::world::FakeEngine;

/// How fast an endpoint is when nothing is wrong.
#[derive(Debug, Clone)]
pub struct Speed {
    /// Mean time for one call, or for the prefill of an engine.
    pub service_time: Duration,
    /// Time between tokens of an engine.
    pub token_time: Duration,
    /// Calls that run at the same time; further ones wait.
    pub slots: usize,
}

#[derive(Debug, Clone, Default)]
pub struct EndpointFaults {
    /// Refuses connections.
    pub down: bool,
    /// Pooled connections never answer again, while new ones work.
    pub stale_connections: bool,
    /// Factor by which calls take longer.
    pub straggle: Option<f64>,
    /// The next call runs, and the connection breaks before its answer.
    pub crash_after_run: bool,
    /// The next call's connection breaks before it runs.
    pub crash_before_run: bool,
    /// Delay that is added to each answer.
    pub answer_delay: Duration,
    /// Sends each final answer twice.
    pub duplicate: bool,
    /// Echoes the identifier of another request in its answers.
    pub wrong_echo: bool,
    /// Breaks each stream after this many tokens.
    pub break_after: Option<u32>,
    /// Stalls each stream after this many tokens and keeps its connection open.
    pub stall_after: Option<u32>,
    /// Runs each call and reports that it failed.
    pub fail: bool,
    /// Refuses each call because it is leaving.
    pub leaving: bool,
    /// Reports no load.
    pub omits_load: bool,
    /// Delay that is added before each order arrives.
    pub order_delay: Duration,
    /// Orders arrive even after their time to live, as if their sender was paused between its last
    /// check and the write.
    pub accepts_expired: bool,
    /// Reports the highest fencing number, but applies orders with lower ones too.
    pub ignores_fence: bool,
    /// Applies orders, but their answers are lost.
    pub unanswered_orders: bool,
}

/// One run of a stage, as the endpoint recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    pub endpoint: String,
    pub request: u128,
    pub stage: String,
    pub attempt: AttemptId,
    pub key: String,
    /// When it started to run.
    pub at: Moment,
    pub repeatable: bool,
    /// When the endpoint received the call.
    pub received: Moment,
    /// Sender of the call.
    pub node: NodeIdx,
    /// For how long the endpoint had been leaving when it received the call, if it was.
    pub leaving: Option<Duration>,
}

#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) node: NodeIdx,
    pub(crate) generation: u32,
    pub(crate) received: Moment,
    pub(crate) call: StageCall,
    pub(crate) started: Moment,
}

#[derive(Debug, Clone)]
pub struct FakeEndpoint {
    pub endpoint: Endpoint,
    pub speed: Speed,
    pub faults: EndpointFaults,
    pub engine: FakeEngine,
    /// Calls in flight that never end.
    pub stuck_calls: usize,
    /// Whether the instance list shows its models.
    pub(crate) lists_models: bool,
    /// When it started to leave.
    pub leaving_since: Option<Moment>,
    /// Time for which its slots were busy, summed over the slots.
    pub busy_time: Duration,
    pub(crate) running: Vec<Job>,
    pub(crate) waiting: Vec<Job>,
}

impl FakeEndpoint {
    pub fn new(endpoint: Endpoint, speed: Speed) -> FakeEndpoint {
        let models = match endpoint.models.is_empty() {
            true => vec![endpoint.pool.clone()],
            false => endpoint.models.clone(),
        };
        FakeEndpoint {
            engine: FakeEngine::new(models),
            stuck_calls: 0,
            lists_models: !endpoint.models.is_empty(),
            endpoint,
            speed,
            faults: EndpointFaults::default(),
            leaving_since: None,
            busy_time: Duration::ZERO,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Whether no call is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Removes the waiting call to serve next: by priority, then in order of arrival.
    pub(crate) fn take_next(&mut self) -> Job {
        let best = (0..self.waiting.len()).min_by_key(|idx| self.waiting[*idx].call.priority);
        self.waiting.remove(best.unwrap_or(0))
    }

    pub(crate) fn load(&self) -> Option<Load> {
        if self.faults.omits_load {
            return None;
        }
        Some(Load {
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            age: Duration::ZERO,
            leaving: self.leaving_since.is_some(),
        })
    }

    /// Draws the service time of one call: half fixed, half exponential.
    pub(crate) fn draw_service_time(&self, rng: &mut Pcg64Mcg) -> Duration {
        let tail = -(1.0 - rng.random::<f64>()).ln();
        let factor = self.faults.straggle.unwrap_or(1.0) * (0.5 + 0.5 * tail);
        self.speed.service_time.mul_f64(factor)
    }

    pub(crate) fn token_time(&self) -> Duration {
        self.speed.token_time.mul_f64(self.faults.straggle.unwrap_or(1.0))
    }
}

/// Returns the output of a call for its input.
pub fn output_of(call: &StageCall) -> String {
    match call.kind {
        StageKind::Generate => format!("generate({})", call.input),
        StageKind::Encode | StageKind::Retrieve | StageKind::Rerank | StageKind::Service => {
            format!("{}({})", call.stage, call.input)
        }
    }
}

/// Returns the output of a generating call, split into tokens.
pub fn tokens_of(call: &StageCall) -> Vec<String> {
    let chars: Vec<char> = output_of(call).chars().collect();
    let n_tokens = (call.max_tokens.max(1) as usize).min(chars.len());
    let size = chars.len().div_ceil(n_tokens);
    chars.chunks(size).map(|it| it.iter().collect()).collect()
}
