//! Case: the store forgets the registration of a gateway, and another gateway starts.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Gateway, Net, Record, start_gateways};
use crate::plain::{Arrival, Clients, Runner, config};
use crate::store::Store;

/// Gateways at first; two more are added.
const N_FIRST: u8 = 3;
const N_LIMITED: u8 = 6;
const N_FREE: u8 = 2;
const WORK: Duration = Duration::from_millis(100);
/// `Server-Limit` of the limited runners.
const PER_SECOND: u64 = 20;
/// Pause between the requests of all clients together.
const GAP: Duration = Duration::from_millis(2);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(1_000);
/// StableWindowMs.
const STABLE: Duration = Duration::from_millis(3_000);
/// Time after which a machine that has passed on an answer knows the limit.
const KNOWN: Duration = Duration::from_millis(500);
/// The span of the rule.
const SPAN: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(20);

/// Starts another gateway; none if it is not ready in time.
fn add(net: Net, number: u8, root: &Path, temporary: &Path) -> Option<Gateway> {
    let mut gateway = Gateway::new(net, number, root, temporary);
    gateway.start();
    gateway.wait_ready().then_some(gateway)
}

/// Returns the most requests that a runner got in a span of the rule that begins at `from` or later. Only
/// those count whose machine had passed on an answer with the limit, named at `named`, `KNOWN` before.
fn most(runner: &Arc<Runner>, clients: &Clients, named: Duration, from: Duration) -> usize {
    let answers = clients.answers.lock().unwrap();
    let has_limit = |it: &&(Duration, String, String)| {
        named + WORK * 2 < it.0 && it.2.ends_with(&format!(" {}", runner.id))
    };
    let mut known: BTreeMap<&str, Duration> = BTreeMap::new();
    for (at, machine, _) in answers.iter().filter(has_limit) {
        let first = known.entry(machine).or_insert(*at);
        *first = (*first).min(*at);
    }
    let arrivals = runner.arrivals.lock().unwrap();
    let counts = |it: &&Arrival| {
        let machine = clients.front(&it.attempt).unwrap_or_default();
        from <= it.at && known.get(machine.as_str()).is_some_and(|at| *at + KNOWN <= it.at)
    };
    let mut times: Vec<Duration> = arrivals.iter().filter(counts).map(|it| it.at).collect();
    times.sort();
    let within =
        |first: &Duration| times.iter().filter(|it| first <= it && **it < *first + SPAN).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// Returns the exit code.
pub fn run(root: &Path, folder: &Path, temporary: &Path, has_trouble: bool) -> i32 {
    let record = Record::new(folder);
    let net = Net::free();
    let store = Store::start(net.store());
    let start = |number: u8, name: &str| {
        Runner::start(net, 100 + number, &format!("i-{name}{number}"), &store, &record, WORK)
    };
    let limited: Vec<_> = (0..N_LIMITED).map(|it| start(it, "need")).collect();
    let free: Vec<_> = (0..N_FREE).map(|it| start(N_LIMITED + it, "free")).collect();
    store.put("config", "main", &config(1));
    let none = "a gateway is not ready".to_owned();
    let Some(mut gateways) = start_gateways(net, N_FIRST, root, temporary) else {
        record.finish(&[none]);
        return 2;
    };
    thread::sleep(Duration::from_secs(2));

    let copy = store.copy();
    record.add("a machine is added");
    let Some(fourth) = add(net, N_FIRST, root, temporary) else {
        record.finish(&[none]);
        return 2;
    };
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.add(format!("the store goes away at revision {}", store.revision()));
        store.set_down(true);
        thread::sleep(AWAY);
        store.restore(copy);
        // What the operator and the runners wrote is written again.
        store.put("config", "main", &config(1));
        limited.iter().chain(&free).for_each(|it| it.register("ready"));
        store.set_down(false);
        record.add(format!("the store is back from its copy, at revision {}", store.revision()));
    }
    thread::sleep(STABLE * 2);
    record.add("another machine is added");
    let Some(fifth) = add(net, N_FIRST + 1, root, temporary) else {
        record.finish(&[none]);
        return 2;
    };
    gateways.extend([fourth, fifth]);
    thread::sleep(STABLE * 2);

    let fronts = gateways.iter().map(|it| it.front()).collect();
    let clients = Clients::start(fronts, GAP, &record);
    thread::sleep(Duration::from_secs(2));
    limited.iter().for_each(|it| it.name_limit(PER_SECOND));
    let named = record.now();
    let from = named + STABLE;
    thread::sleep(STABLE + MEASURED);
    clients.end();

    let allowed = 1.5 * PER_SECOND as f64 * SPAN.as_secs_f64() + 5.0;
    let counts: Vec<usize> = limited.iter().map(|it| most(it, &clients, named, from)).collect();
    let n_over = counts.iter().filter(|it| allowed < **it as f64).count();
    let ended = clients.ended.lock().unwrap().clone();
    let n_unserved = ended.iter().filter(|it| it.1 != 200).count();
    let has_crashed = gateways.iter_mut().any(|it| !it.is_running());
    record.finish(&[
        format!("LIMIT: the limited runners got at most {counts:?} requests in 4 s, allowed are {allowed}"),
        format!("runners above that: {n_over}"),
        format!("requests of {} not served: {n_unserved}", ended.len()),
    ]);
    drop(gateways);
    i32::from(0 < n_over || has_crashed)
}
