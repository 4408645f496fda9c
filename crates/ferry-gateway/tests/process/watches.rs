//! Watches of the store that are cut off while they wait, and absences of the store, around removals.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ferry_soak::cluster::Cluster;
use ferry_soak::config::{Route, desired_state};
use ferry_soak::endpoint::Pool;
use ferry_soak::store::StoreBehaviour;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::harness::{exchange, head, with_cluster};

/// More gateways than follow the store closely.
const N_NODES: usize = 6;
const N_REMOVED: usize = 2;
/// Time between two requests to each gateway.
const GAP: Duration = Duration::from_millis(40);
/// Time for which it is looked whether requests still reach an endpoint.
const LATE_TIME: Duration = Duration::from_millis(3_200);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What happens around each removal, at these milliseconds from it.
struct Case {
    name: &'static str,
    cuts: &'static [i64],
    /// Absences of the store, with their length.
    absences: &'static [(i64, u64)],
}

const fn cuts(name: &'static str, cuts: &'static [i64]) -> Case {
    Case { name, cuts, absences: &[] }
}

const fn absences(name: &'static str, absences: &'static [(i64, u64)]) -> Case {
    Case { name, cuts: &[], absences }
}

const CUTS: [Case; 4] = [
    cuts("cut before and behind", &[-150, 1_400]),
    cuts("cut at the removal", &[-300, -20, 20, 300, 700, 1_100]),
    cuts("cut behind", &[50, 500, 1_000, 1_500]),
    cuts("cut all the time", &[-900, -600, -300, 0, 300, 600, 900, 1_200, 1_500, 1_800, 2_100]),
];

const ABSENCES: [Case; 4] = [
    absences("away for a moment before it", &[(-200, 100)]),
    absences("away for a moment behind it", &[(100, 100), (900, 100), (1_700, 100)]),
    absences("away for 0.6 s around it", &[(-300, 600)]),
    absences("away for 0.6 s just behind it", &[(20, 600), (1_300, 600)]),
];

/// Sends requests to a gateway until it is told to stop; returns how many were not served.
async fn send_all(
    cluster: Rc<Cluster>,
    node: usize,
    name: String,
    is_over: Rc<Cell<bool>>,
) -> usize {
    let mut n_failed = 0;
    for number in 0.. {
        if is_over.get() {
            break;
        }
        let attempt = format!("{name}-{node}-{number}");
        cluster.checker.record_sent(&attempt, Route::Get, b"body");
        let head = head("POST", &Route::Get.path(), &attempt);
        let text = format!("{head}Connection: close\r\nContent-Length: 4\r\n\r\nbody");
        let response = exchange(cluster.nodes[node].front(), text.as_bytes()).await;
        n_failed += usize::from(!response.starts_with("HTTP/1.1 200"));
        sleep(GAP).await;
    }
    n_failed
}

/// Plays what happens around a removal at `at`.
async fn disturb(cluster: Rc<Cluster>, case: &'static Case, at: Instant) {
    let moment = |offset: i64| match offset {
        0.. => at + ms(offset as u64),
        _ => at - ms(offset.unsigned_abs()),
    };
    for offset in case.cuts {
        sleep_until(moment(*offset)).await;
        cluster.store.cut_watches();
    }
    for (offset, length) in case.absences {
        sleep_until(moment(*offset)).await;
        cluster.store.set_behaviour(StoreBehaviour::Disconnects);
        // Waiting watches end with their connections.
        cluster.store.cut_watches();
        sleep(ms(*length)).await;
        cluster.store.set_behaviour(StoreBehaviour::Healthy);
    }
}

/// Guards against an endpoint that gets requests for too long after its entry was removed, because a watch
/// was cut off around that.
#[test]
fn removal_beside_cut_watches_is_followed_in_time() {
    play("watches-cut", &CUTS);
}

/// The same for a store that was away for a moment, in which no entry lapses.
#[test]
fn removal_beside_short_absences_of_the_store_is_followed_in_time() {
    play("watches-away", &ABSENCES);
}

fn play(name: &str, cases: &'static [Case]) {
    with_cluster(name, N_NODES, async |cluster| {
        let cluster = Rc::new(cluster);
        cluster.checker.check_entries();
        let plain = cluster.endpoints.iter().filter(|it| it.pool == Pool::Plain);
        let plain: Vec<String> = plain.map(|it| it.id.clone()).collect();
        let mut failed = Vec::new();
        for case in cases {
            let n_before = cluster.checker.violations().len();
            let is_over = Rc::new(Cell::new(false));
            let callers: Vec<_> = (0..N_NODES)
                .map(|node| {
                    let name = format!("{}, {node}", case.name);
                    spawn_local(send_all(cluster.clone(), node, name, is_over.clone()))
                })
                .collect();
            for id in &plain[..N_REMOVED] {
                // Gateways learn that it is there again, and look at nothing else.
                sleep(ms(2_000)).await;
                let at = Instant::now() + ms(1_000);
                let disturbance = spawn_local(disturb(cluster.clone(), case, at));
                sleep_until(at).await;
                cluster.store.remove("servers", id);
                cluster.checker.record_entry(id, false);
                sleep(LATE_TIME).await;
                disturbance.await.expect("the disturbance ends");
                let endpoint = cluster.endpoints.iter().find(|it| it.id == *id);
                let entry = endpoint.expect("it exists").entry("zone-0", "ready");
                cluster.checker.record_entry(id, true);
                cluster.store.put("servers", id, entry);
            }
            is_over.set(true);
            let mut n_failed = 0;
            for caller in callers {
                n_failed += caller.await.expect("the caller ends");
            }
            let late: Vec<String> = cluster.checker.violations().split_off(n_before);
            println!("{}: {} late, {n_failed} requests failed", case.name, late.len());
            if !late.is_empty() || 0 < n_failed {
                failed.push(format!("{}: {late:?}, {n_failed} failed", case.name));
            }
        }
        assert!(failed.is_empty(), "{failed:#?}");
    });
}

/// Guards against configurations that come late, and calls without end, where watches are cut off again and
/// again.
#[test]
fn cut_watches_delay_no_configuration_and_cost_few_calls() {
    const CUT_GAP: Duration = ms(300);
    const APPLY_TIME: Duration = ms(2_000);
    const N_CHANGES: usize = 3;
    /// A quarter of what the store takes from each instance of the largest deployments.
    const MAX_CALLS: f64 = 20.0;
    with_cluster("watches-config", N_NODES, async |mut cluster| {
        let store = cluster.store.clone();
        let cutter = spawn_local(async move {
            loop {
                store.cut_watches();
                sleep(CUT_GAP).await;
            }
        });
        sleep(ms(2_000)).await;
        let start = Instant::now();
        let before = n_store_calls(&cluster).await;
        for number in 0..N_CHANGES {
            let has_extra = number % 2 == 1;
            cluster.version += 1;
            cluster.store.put("config", "main", desired_state(cluster.version, has_extra));
            sleep(APPLY_TIME).await;
            for (node, it) in cluster.nodes.iter().enumerate() {
                let attempt = format!("{number}-{node}");
                cluster.checker.record_sent(&attempt, Route::Extra, b"body");
                let head = head("POST", &Route::Extra.path(), &attempt);
                let text = format!("{head}Connection: close\r\nContent-Length: 4\r\n\r\nbody");
                let response = exchange(it.front(), text.as_bytes()).await;
                let status = if has_extra { "HTTP/1.1 200" } else { "HTTP/1.1 404" };
                assert!(response.starts_with(status), "change {number}, {node}: {response}");
            }
        }
        let n_calls = n_store_calls(&cluster).await - before;
        let rate = n_calls / N_NODES as f64 / start.elapsed().as_secs_f64();
        println!("{rate:.1} calls a second at each gateway");
        assert!(rate <= MAX_CALLS, "{rate} calls a second");
        cutter.abort();
    });
}

/// Returns how many calls the gateways have made to the store.
async fn n_store_calls(cluster: &Cluster) -> f64 {
    let mut n_calls = 0.0;
    for node in &cluster.nodes {
        let text = exchange(node.ready(), b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").await;
        let line = text.lines().find_map(|it| it.strip_prefix("ferry_store_calls_total "));
        let count: Option<f64> = line.and_then(|it| it.trim().parse().ok());
        n_calls += count.expect("the calls are counted");
    }
    n_calls
}
