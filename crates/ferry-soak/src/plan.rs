//! The schedule of faults; the same seed always yields the same schedule.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::cluster::{Cluster, N_ENDPOINTS, Signal};
use crate::config::desired_state;
use crate::endpoint::Behaviour;
use crate::proxy::Link;
use crate::store::StoreBehaviour;

/// A fault, or the end of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    Signal {
        node: usize,
        signal: Signal,
    },
    Start {
        node: usize,
    },
    Store(StoreBehaviour),
    StoreLink(Link),
    /// Resets all connections to the store.
    StoreReset,
    /// Discards the store's change history.
    Compact,
    Behaviour {
        endpoint: usize,
        behaviour: Behaviour,
    },
    Link {
        endpoint: usize,
        link: Link,
    },
    Reset {
        endpoint: usize,
    },
    /// Makes an endpoint lose its stage results.
    DropResults {
        endpoint: usize,
    },
    Drain {
        endpoint: usize,
    },
    Undrain {
        endpoint: usize,
    },
    Configure {
        version: u64,
        has_extra: bool,
    },
    /// Makes an endpoint name a rate limit, which may be no valid one, or none any longer.
    RateLimit {
        endpoint: usize,
        per_second: Option<f64>,
    },
}

/// Steps in order, each with its time since the start.
pub type Plan = Vec<(Duration, Step)>;

/// Generates faults at random times, which may overlap.
pub fn generate(
    rng: &mut Pcg64Mcg,
    duration: Duration,
    n_nodes: usize,
    n_endpoints: usize,
) -> Plan {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(500);
    let mut version = 1;
    while at < duration {
        version += 1;
        let length = Duration::from_millis(rng.random_range(200..2_500));
        for (delay, step) in fault(rng, n_nodes, n_endpoints, version, length) {
            plan.push((at + delay, step));
        }
        at += Duration::from_millis(rng.random_range(100..900));
    }
    plan.sort_by_key(|it| it.0);
    plan
}

/// Generates rate limits of endpoints, or of whole pools, at random times.
pub fn generate_limits(rng: &mut Pcg64Mcg, duration: Duration, n_pools: usize) -> Plan {
    let rates = [0.5, 1.2, 2.0, 5.0, 10.0, 0.0, -1.0, f64::NAN, f64::INFINITY];
    let mut plan = Vec::new();
    for pool in 0..n_pools {
        let mut at = Duration::from_millis(rng.random_range(0..800));
        while at < duration {
            let endpoints = pool * N_ENDPOINTS..(pool + 1) * N_ENDPOINTS;
            let is_whole = rng.random_range(0..4) == 0;
            let only = rng.random_range(endpoints.clone());
            let end = at + Duration::from_millis(rng.random_range(4_500..9_000));
            for endpoint in endpoints.filter(|it| is_whole || *it == only) {
                let per_second = Some(rates[rng.random_range(0..rates.len())]);
                plan.push((at, Step::RateLimit { endpoint, per_second }));
                plan.push((end, Step::RateLimit { endpoint, per_second: None }));
            }
            at = end + Duration::from_millis(rng.random_range(0..2_000));
        }
    }
    plan.sort_by_key(|it| it.0);
    plan
}

/// Generates a fault and the step that ends it, with their delays.
fn fault(
    rng: &mut Pcg64Mcg,
    n_nodes: usize,
    n_endpoints: usize,
    version: u64,
    duration: Duration,
) -> Vec<(Duration, Step)> {
    let now = Duration::ZERO;
    let node = rng.random_range(0..n_nodes);
    let endpoint = rng.random_range(0..n_endpoints);
    let signal = |signal| Step::Signal { node, signal };
    let behaviour = |behaviour| {
        vec![(now, Step::Behaviour { endpoint, behaviour }), (duration, healthy(endpoint))]
    };
    let link = |link| {
        let open = Step::Link { endpoint, link: Link::Open };
        vec![(now, Step::Link { endpoint, link }), (duration, open)]
    };
    let store = |behaviour| {
        vec![(now, Step::Store(behaviour)), (duration, Step::Store(StoreBehaviour::Healthy))]
    };
    let store_link =
        |link| vec![(now, Step::StoreLink(link)), (duration, Step::StoreLink(Link::Open))];
    match rng.random_range(0..29) {
        0 => vec![(now, signal(Signal::Kill)), (duration, Step::Start { node })],
        1 => vec![(now, signal(Signal::Stop)), (duration, signal(Signal::Continue))],
        2 => {
            let restart = Duration::from_millis(9_000);
            vec![(now, signal(Signal::Terminate)), (restart, Step::Start { node })]
        }
        3 => vec![(now, signal(Signal::HangUp))],
        4 => store(StoreBehaviour::Unavailable),
        5 => store(StoreBehaviour::Disconnects),
        6 => store(StoreBehaviour::LosesResponses),
        7 => store(StoreBehaviour::Slow(Duration::from_millis(300))),
        8 => store_link(Link::Silent),
        9 => store_link(Link::OneWay),
        10 => vec![(now, Step::StoreReset)],
        11 => vec![(now, Step::Compact)],
        12 => behaviour(Behaviour::NeverResponds),
        13 => behaviour(Behaviour::Disconnects),
        14 => behaviour(Behaviour::Full),
        15 => behaviour(Behaviour::Failing),
        16 => behaviour(Behaviour::Truncates),
        17 => behaviour(Behaviour::WrongAttempt),
        18 => behaviour(Behaviour::Slow(6)),
        19 => link(Link::Silent),
        20 => link(Link::Slow(Duration::from_millis(80))),
        21 => link(Link::Refusing),
        22 => vec![(now, Step::Reset { endpoint }), (now, Step::DropResults { endpoint })],
        23 => vec![(now, Step::Drain { endpoint }), (duration, Step::Undrain { endpoint })],
        24 => store(StoreBehaviour::MissesChanges),
        25 => behaviour(Behaviour::EndsInEvent { is_chunked: false }),
        26 => behaviour(Behaviour::EndsInEvent { is_chunked: true }),
        27 => behaviour(Behaviour::Unframed),
        _ => vec![(now, Step::Configure { version, has_extra: rng.random_range(0..2) == 0 })],
    }
}

fn healthy(endpoint: usize) -> Step {
    Step::Behaviour { endpoint, behaviour: Behaviour::Healthy }
}

/// Executes a step.
pub fn apply(cluster: &mut Cluster, step: Step) -> std::io::Result<()> {
    match step {
        Step::Signal { node, signal } => cluster.nodes[node].signal(signal),
        Step::Start { node } => cluster.nodes[node].start()?,
        Step::Store(behaviour) => cluster.store.set_behaviour(behaviour),
        Step::StoreLink(link) => cluster.store_proxy.set(link),
        Step::StoreReset => cluster.store_proxy.reset(),
        Step::Compact => cluster.store.compact(),
        Step::Behaviour { endpoint, behaviour } => {
            cluster.endpoints[endpoint].behaviour.set(behaviour)
        }
        Step::Link { endpoint, link } => cluster.proxies[endpoint].set(link),
        Step::Reset { endpoint } => cluster.proxies[endpoint].reset(),
        Step::DropResults { endpoint } => cluster.endpoints[endpoint].drop_results(),
        Step::Drain { endpoint } => register(cluster, endpoint, "draining"),
        Step::Undrain { endpoint } => register(cluster, endpoint, "ready"),
        Step::Configure { version, has_extra } => {
            cluster.store.put("config", "main", desired_state(version, has_extra));
        }
        Step::RateLimit { endpoint, per_second } => {
            cluster.endpoints[endpoint].rate_limit.set(per_second);
        }
    }
    Ok(())
}

fn register(cluster: &Cluster, endpoint: usize, state: &str) {
    let endpoint = &cluster.endpoints[endpoint];
    if !endpoint.crashes.is_down.get() {
        cluster.store.put("servers", &endpoint.id, endpoint.entry("zone-0", state));
    }
}

/// Ends all faults, so that the system can recover.
pub fn restore(cluster: &mut Cluster) -> std::io::Result<()> {
    cluster.store.set_behaviour(StoreBehaviour::Healthy);
    cluster.store_proxy.set(Link::Open);
    for idx in 0..cluster.endpoints.len() {
        cluster.endpoints[idx].behaviour.set(Behaviour::Healthy);
        cluster.endpoints[idx].rate_limit.set(None);
        cluster.proxies[idx].set(Link::Open);
        register(cluster, idx, "ready");
    }
    for node in &mut cluster.nodes {
        node.signal(Signal::Continue);
        node.start()?;
    }
    Ok(())
}
