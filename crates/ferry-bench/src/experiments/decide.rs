//! Processor time of one routing decision, by number of endpoints.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use ferry_core::route::{Pick, Query, RoundRobin, choose};
use ferry_core::{Identity, InstanceRole, Node, Tuning};
use ferry_model::{Endpoint, EndpointState, Load, Role, Stage, StageKind};
use serde::Serialize;

/// Endpoint counts from one pool of today to the whole fleet planned for.
pub const SIZES: [usize; 6] = [64, 256, 1_024, 2_048, 4_096, 5_400];
/// Decisions before the first one that counts.
const WARM_UP: usize = 1_000;
const ZONES: [&str; 4] = ["a-1", "a-2", "a-3", "a-4"];

#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    pub endpoints: usize,
    /// Mean time of a decision, in microseconds.
    pub mean_us: f64,
    pub p99_us: f64,
}

/// Times `n_decisions` decisions for a generating stage with one pool of `n_endpoints`.
pub fn perform(n_endpoints: usize, n_decisions: usize) -> Figures {
    let identity = Identity {
        instance: "entry-0".to_owned(),
        incarnation: 1,
        zone: ZONES[0].to_owned(),
        region: "a".to_owned(),
        role: InstanceRole::Entry,
    };
    let mut ctx = Node::new(identity, Tuning::default(), 1).into_context();
    let zone = ctx.identity.zone.clone();
    let tuning = ctx.tuning.clone();
    ctx.fleet.update((0..n_endpoints).map(endpoint).collect(), &zone, &tuning);
    for idx in 0..n_endpoints {
        let load = Load { running: (idx % 7) as u32, ..Load::default() };
        ctx.fleet.record_load(Duration::from_secs(1), &id_of(idx), load);
    }
    let stage = Stage {
        name: "generate".to_owned(),
        kind: StageKind::Generate,
        pool: "language".to_owned(),
        repeatable: true,
        model: Some("report-large".to_owned()),
        max_tokens: 32,
    };
    let input = "a prompt of some length that has a prefix worth a few blocks ".repeat(16);
    let mut round_robin = RoundRobin::default();
    let mut times = Vec::with_capacity(n_decisions);
    for idx in 0..n_decisions + WARM_UP {
        let query = Query {
            stage: &stage,
            input: &input,
            tried: &[],
            median: Duration::from_millis(50),
            hint: None,
            is_resumed: false,
        };
        let now = Duration::from_secs(1) + Duration::from_micros(idx as u64);
        let started = Instant::now();
        let pick = choose(now, &mut ctx, &mut round_robin, query);
        times.push(started.elapsed());
        if let Pick::Chosen(choice) = pick {
            ctx.fleet.call_started(&choice.endpoint);
            ctx.fleet.call_ended(&choice.endpoint);
        }
    }
    times.drain(..WARM_UP);
    times.sort();
    let sum: Duration = times.iter().sum();
    Figures {
        endpoints: n_endpoints,
        mean_us: sum.as_secs_f64() * 1e6 / n_decisions as f64,
        p99_us: times[n_decisions * 99 / 100].as_secs_f64() * 1e6,
    }
}

/// Returns the exponent of the growth from the first to the last size: one is linear.
pub fn slope(figures: &[Figures]) -> f64 {
    let (Some(first), Some(last)) = (figures.first(), figures.last()) else { return 0.0 };
    (last.mean_us / first.mean_us).ln() / (last.endpoints as f64 / first.endpoints as f64).ln()
}

fn endpoint(idx: usize) -> Endpoint {
    Endpoint {
        id: id_of(idx),
        pool: "language".to_owned(),
        zone: ZONES[idx % ZONES.len()].to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        state: EndpointState::Live,
        models: vec!["report-large".to_owned()],
        role: Role::Both,
    }
}

fn id_of(idx: usize) -> String {
    format!("language-{idx:04}")
}
