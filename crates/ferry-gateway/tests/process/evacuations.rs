//! Zones that the operator evacuates in the store.

use std::time::Duration;

use ferry_soak::callers::Caller;
use ferry_soak::cluster::{Cluster, Signal};
use ferry_soak::config::Route;
use ferry_soak::crash::Prompts;
use ferry_soak::store::StoreBehaviour;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::harness::{TIMEOUT, wait_ready, with_cluster};

const ZONE: &str = "zone-0";
const ENTRY: &str = r#"{"Metadata":{"Name":"zone-0","Revision":9},"Spec":{},"Status":null}"#;
/// Time after the entry was written from which on nothing may reach the zone; less than the bound in
/// the settings.
const BOUND: Duration = Duration::from_secs(3);
const N_CALLERS: u64 = 10;
const ROUTES: [Route; 2] = [Route::Get, Route::Stream];

/// Counts what has reached the endpoints of the zone.
fn n_in_zone(cluster: &Cluster) -> usize {
    let checker = &cluster.checker;
    let ids = cluster.endpoints.iter().map(|it| &it.id);
    let inside = ids.filter(|it| it.ends_with("-0") || it.ends_with("-2"));
    inside.map(|it| checker.n_items(it) + checker.n_runs(it)).sum()
}

/// Starts callers that send requests until the test ends, enough for all endpoints to be used.
fn start_callers(cluster: &Cluster) {
    for number in 0..N_CALLERS {
        let prompts = Prompts::new(number, &cluster.has_crashes);
        let rng = Pcg64Mcg::seed_from_u64(number);
        let (checker, directories) = (cluster.checker.clone(), cluster.directories());
        let name = format!("caller-{number}");
        let mut caller = Caller::new(name, directories, checker, rng, prompts);
        spawn_local(async move {
            loop {
                for route in ROUTES {
                    caller.send(route).await;
                    sleep(Duration::from_millis(5)).await;
                }
            }
        });
    }
}

#[test]
fn evacuated_zone_gets_nothing_whatever_happens_to_gateways_and_store() {
    struct Case {
        name: &'static str,
        /// The whole entry; only its name says something.
        entry: &'static str,
        kills: bool,
        then: StoreBehaviour,
    }
    let cases = [
        Case { name: "calm", entry: ENTRY, kills: false, then: StoreBehaviour::Healthy },
        Case {
            name: "an entry that cannot be read",
            entry: r#"{"Metadata":{"Name":"zone-0","Revision":"-"},"Spec":[7,{"x":"\ud800"}]}"#,
            kills: false,
            then: StoreBehaviour::Healthy,
        },
        Case { name: "kills", entry: ENTRY, kills: true, then: StoreBehaviour::Healthy },
        Case { name: "an outage", entry: ENTRY, kills: false, then: StoreBehaviour::Unavailable },
    ];
    with_cluster("evacuations", 3, async |mut cluster| {
        start_callers(&cluster);
        for Case { name, entry, kills, then } in cases {
            let before = n_in_zone(&cluster);
            let latest = Instant::now() + TIMEOUT;
            while n_in_zone(&cluster) == before {
                assert!(Instant::now() < latest, "{name}: the zone was never used");
                sleep(Duration::from_millis(100)).await;
            }
            cluster.store.put_text("evacuations", ZONE, entry);
            sleep(BOUND).await;
            cluster.store.set_behaviour(then);
            let before = n_in_zone(&cluster);
            if kills {
                for node in &mut cluster.nodes {
                    node.signal(Signal::Kill);
                    while node.exit_status().is_none() {
                        sleep(Duration::from_millis(10)).await;
                    }
                    node.start().expect("the process starts");
                    wait_ready(node.ready()).await;
                }
            }
            sleep(BOUND).await;
            assert_eq!(n_in_zone(&cluster), before, "{name}: the zone got requests or items");
            cluster.store.set_behaviour(StoreBehaviour::Healthy);
            cluster.store.remove("evacuations", ZONE);
            sleep(BOUND).await;
        }
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}
