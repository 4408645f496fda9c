//! The schedule of faults; the same seed always yields the same schedule.

mod processes;
mod statements;

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::cluster::{Cluster, N_ZONES, Signal};
use crate::config::{Variation, desired_state};
use crate::endpoint::Behaviour;
use crate::losses::Trouble;
use crate::malformed::MalformedObject;
use crate::proxy::{Answers, Link};
use crate::soak::Only;
use crate::store::StoreBehaviour;

pub use processes::{generate_copies, generate_evacuations, generate_herds, generate_upgrades};
pub use statements::{
    generate_leaving, generate_limits, generate_malformed_entries, generate_pause_requests,
};

/// Time from SIGTERM to the start of the next process.
const RESTART_TIME: Duration = Duration::from_millis(9_000);

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
    /// Lets a gateway run the other release, or the usual one, from its next start on.
    Release {
        node: usize,
        is_other: bool,
    },
    /// Discards the store's change history.
    Compact,
    /// The store takes a copy of its objects.
    CopyStore,
    /// The store comes back from its copy.
    RestoreStore,
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
    /// Removes the entry of an endpoint.
    Unregister {
        endpoint: usize,
    },
    /// Makes the entry of an endpoint unreadable.
    MalformEntry {
        endpoint: usize,
        kind: usize,
    },
    /// Writes an entry that cannot be read beside those of the endpoints, or removes it.
    MalformedEntry {
        number: usize,
        kind: Option<usize>,
    },
    Configure {
        has_extra: bool,
        variation: Option<Variation>,
    },
    /// Makes a sound endpoint answer at once again, not at all for a moment, or slowly.
    Answers {
        endpoint: usize,
        answers: Answers,
    },
    /// Makes an endpoint announce in its responses that it leaves, while its entry stays.
    Leave {
        endpoint: usize,
    },
    /// Starts an endpoint that left again.
    Return {
        endpoint: usize,
    },
    /// Makes an endpoint refuse requests and ask for a pause, which may be no valid one, or none any
    /// longer.
    AskPause {
        endpoint: usize,
        seconds: Option<f64>,
    },
    /// The operator evacuates a zone, or no longer does.
    Evacuate {
        zone: usize,
        is_evacuated: bool,
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
    while at < duration {
        let length = Duration::from_millis(rng.random_range(200..2_500));
        for (delay, step) in fault(rng, n_nodes, n_endpoints, length) {
            plan.push((at + delay, step));
        }
        at += Duration::from_millis(rng.random_range(100..900));
    }
    plan.sort_by_key(|it| it.0);
    plan
}

/// Generates moments in which endpoints are silent or slow but sound, series of configurations and
/// signals beside them; none but SIGHUP if the run has only a part of the faults.
pub fn generate_pauses(
    rng: &mut Pcg64Mcg,
    duration: Duration,
    n_nodes: usize,
    n_endpoints: usize,
    only: Option<Only>,
) -> Plan {
    let mut plan = Vec::new();
    let millis = |rng: &mut Pcg64Mcg, range| Duration::from_millis(rng.random_range(range));
    let gap = if only.is_some() { 800..5_000 } else { 2_000..12_000 };
    // Long enough that answers may be cut far from a configuration.
    let rest = if only == Some(Only::Configurations) { 6_000..9_000 } else { 500..3_000 };
    for endpoint in 0..n_endpoints {
        let mut at = millis(rng, 0..gap.end / 2);
        while at < duration {
            let answers = match rng.random_range(0..3) {
                0 => Answers::Pieces(millis(rng, 50..600)),
                _ => Answers::Paused,
            };
            plan.push((at, Step::Answers { endpoint, answers }));
            at += Duration::from_millis([500, 1_000, 2_000][rng.random_range(0..3)]);
            plan.push((at, Step::Answers { endpoint, answers: Answers::Prompt }));
            at += millis(rng, gap.clone());
        }
    }
    let mut at = millis(rng, 0..1_500);
    while at < duration {
        let end = at + millis(rng, 1_000..2_000);
        while at < end {
            let (has_extra, variation) = (rng.random_range(0..2) == 0, Variation::random(rng));
            plan.push((at, Step::Configure { has_extra, variation: Some(variation) }));
            let node = rng.random_range(0..n_nodes);
            plan.push((at + millis(rng, 0..400), Step::Signal { node, signal: Signal::HangUp }));
            at += millis(rng, 100..400);
        }
        let node = rng.random_range(0..n_nodes);
        if only.is_none() && rng.random_range(0..4) == 0 {
            plan.push((at, Step::Signal { node, signal: Signal::Terminate }));
            plan.push((at + RESTART_TIME, Step::Start { node }));
        }
        at += millis(rng, rest.clone());
    }
    plan.sort_by_key(|it| it.0);
    plan
}

/// Generates a fault and the step that ends it, with their delays.
fn fault(
    rng: &mut Pcg64Mcg,
    n_nodes: usize,
    n_endpoints: usize,
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
            vec![(now, signal(Signal::Terminate)), (RESTART_TIME, Step::Start { node })]
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
        15 => behaviour([Behaviour::Failing, Behaviour::Unavailable][endpoint % 2]),
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
        _ => {
            vec![(now, Step::Configure { has_extra: rng.random_range(0..2) == 0, variation: None })]
        }
    }
}

fn healthy(endpoint: usize) -> Step {
    Step::Behaviour { endpoint, behaviour: Behaviour::Healthy }
}

/// Executes a step.
pub fn apply(cluster: &mut Cluster, step: Step) -> std::io::Result<()> {
    match step {
        Step::Signal { node, signal } => {
            let subject = cluster.nodes[node].subject();
            match signal {
                Signal::Kill => cluster.checker.set_trouble(&subject, Trouble::Killed, true),
                Signal::Terminate => {
                    cluster.checker.set_trouble(&subject, Trouble::Terminated, true);
                }
                Signal::Stop | Signal::Continue | Signal::HangUp => (),
            }
            if signal != Signal::HangUp {
                cluster.checker.forget_leaving(&subject);
                cluster.checker.forget_pauses(&subject);
            }
            cluster.nodes[node].signal(signal);
        }
        Step::Start { node } => start(cluster, node)?,
        Step::Store(behaviour) => cluster.store.set_behaviour(behaviour),
        Step::StoreLink(link) => cluster.store_proxy.set(link),
        Step::StoreReset => cluster.store_proxy.reset(),
        Step::Release { node, is_other } => cluster.set_release(node, is_other),
        Step::Compact => cluster.store.compact(),
        Step::CopyStore => cluster.store.take_copy(),
        Step::RestoreStore => cluster.store.restore(),
        Step::Behaviour { endpoint, behaviour } => {
            cluster.endpoints[endpoint].behaviour.set(behaviour);
            note(cluster, endpoint);
        }
        Step::Link { endpoint, link } => {
            cluster.proxies[endpoint].set(link);
            note(cluster, endpoint);
        }
        Step::Reset { endpoint } => {
            cluster.checker.set_trouble(&cluster.endpoints[endpoint].id, Trouble::Broken, true);
            cluster.proxies[endpoint].reset();
            note(cluster, endpoint);
        }
        Step::DropResults { endpoint } => cluster.endpoints[endpoint].drop_results(),
        Step::Drain { endpoint } => register(cluster, endpoint, "draining"),
        Step::Unregister { endpoint } => {
            let id = &cluster.endpoints[endpoint].id;
            cluster.store.remove("servers", id);
            cluster.checker.record_entry(id, false);
        }
        Step::MalformEntry { endpoint, kind } => {
            let id = &cluster.endpoints[endpoint].id;
            cluster.store.put_text("servers", id, malformed_text(id, kind));
            cluster.checker.record_entry(id, false);
        }
        Step::MalformedEntry { number, kind } => {
            let name = format!("malformed-{number}");
            match kind {
                Some(kind) => cluster.store.put_text("servers", &name, malformed_text(&name, kind)),
                None => cluster.store.remove("servers", &name),
            }
        }
        Step::Undrain { endpoint } => register(cluster, endpoint, "ready"),
        Step::Configure { has_extra, variation } => {
            cluster.version += 1;
            cluster.checker.record_configured();
            let state = match variation {
                Some(it) => it.desired_state(cluster.version, has_extra),
                None => desired_state(cluster.version, has_extra),
            };
            cluster.store.put("config", "main", state);
        }
        Step::Answers { endpoint, answers } => {
            cluster.proxies[endpoint].set_answers(answers);
            let is_on = answers != Answers::Prompt;
            cluster.checker.set_trouble(&cluster.endpoints[endpoint].id, Trouble::Silent, is_on);
        }
        Step::Leave { endpoint } => cluster.endpoints[endpoint].is_leaving.set(true),
        Step::Return { endpoint } => {
            let it = &cluster.endpoints[endpoint];
            if it.is_leaving.replace(false) {
                it.restart();
                register(cluster, endpoint, "ready");
            }
        }
        Step::Evacuate { zone, is_evacuated } => {
            let name = format!("zone-{zone}");
            match is_evacuated {
                true => drop(cluster.store.put("evacuations", &name, json!({}))),
                false => cluster.store.remove("evacuations", &name),
            }
            cluster.checker.record_evacuation(zone, is_evacuated);
        }
        Step::AskPause { endpoint, seconds } => cluster.endpoints[endpoint].pause.set(seconds),
        Step::RateLimit { endpoint, per_second } => {
            cluster.endpoints[endpoint].rate_limit.set(per_second);
        }
    }
    Ok(())
}

fn start(cluster: &mut Cluster, node: usize) -> std::io::Result<()> {
    cluster.nodes[node].start()?;
    let subject = cluster.nodes[node].subject();
    cluster.checker.forget_leaving(&subject);
    cluster.checker.forget_pauses(&subject);
    for trouble in [Trouble::Killed, Trouble::Terminated] {
        cluster.checker.set_trouble(&subject, trouble, false);
    }
    Ok(())
}

/// Records whether an endpoint and its link are sound.
fn note(cluster: &Cluster, endpoint: usize) {
    let (it, link) = (&cluster.endpoints[endpoint], cluster.proxies[endpoint].link());
    let is_sound = it.behaviour.get().is_sound() && link.is_sound();
    cluster.checker.set_trouble(&it.id, Trouble::Broken, !is_sound);
}

fn register(cluster: &Cluster, endpoint: usize, state: &str) {
    let endpoint = &cluster.endpoints[endpoint];
    if !endpoint.crashes.is_down.get() {
        cluster.store.put("servers", &endpoint.id, endpoint.entry("zone-0", state));
        cluster.checker.record_entry(&endpoint.id, state == "ready");
    }
}

fn malformed_text(name: &str, kind: usize) -> Vec<u8> {
    let mut all = MalformedObject::all(name);
    all.swap_remove(kind % all.len()).text
}

/// Ends all faults, so that the system can recover.
pub fn restore(cluster: &mut Cluster) -> std::io::Result<()> {
    cluster.store.set_behaviour(StoreBehaviour::Healthy);
    cluster.store_proxy.set(Link::Open);
    for zone in 0..N_ZONES {
        apply(cluster, Step::Evacuate { zone, is_evacuated: false })?;
    }
    for idx in 0..cluster.endpoints.len() {
        cluster.endpoints[idx].behaviour.set(Behaviour::Healthy);
        cluster.endpoints[idx].rate_limit.set(None);
        cluster.endpoints[idx].pause.set(None);
        cluster.proxies[idx].set(Link::Open);
        note(cluster, idx);
        apply(cluster, Step::Answers { endpoint: idx, answers: Answers::Prompt })?;
        apply(cluster, Step::Return { endpoint: idx })?;
        register(cluster, idx, "ready");
    }
    for idx in 0..cluster.nodes.len() {
        cluster.nodes[idx].signal(Signal::Continue);
        start(cluster, idx)?;
    }
    Ok(())
}
