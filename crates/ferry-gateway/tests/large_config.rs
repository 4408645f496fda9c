//! A configuration of thousands of routes and keys is applied; prints for how long it holds the process.
//! `cargo test --release -p ferry-gateway --test large_config -- --nocapture` measures it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ferry_platform::{desired, store};
use ferry_serve::{Effect, Event, Gateway, Identity, Tuning};
use serde_json::{Value, json};

const N_ROUTES: usize = 2_000;
const N_WORKSPACES: usize = 20_000;

/// A configuration whose keys are in no order.
fn state(has_priorities: bool) -> Value {
    let routes: Vec<Value> = (0..N_ROUTES)
        .map(|it| {
            json!({
                "Name": format!("route-{it}"), "Host": format!("host-{}.example", it % 97),
                "PathPrefix": format!("/route-{it}/"), "Kind": "streaming", "TimeoutMs": 4_000,
                "TargetLatencyMs": 1_500, "Service": "engine", "MaxAttempts": 2,
                "Resumable": true, "Priority": it % 3,
                "Stages": [{ "Service": "first", "Bytes": 1_000 }],
            })
        })
        .collect();
    let workspaces: Vec<Value> = (0..N_WORKSPACES)
        .map(|it| {
            let key = format!("{:016x}", (it as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let priority = has_priorities.then_some(it % 3);
            json!({ "Name": format!("workspace-{it}"), "ApiKeys": [key], "Priority": priority })
        })
        .collect();
    json!({
        "Version": 1, "Routes": routes, "Tenants": workspaces,
        "Services": [{ "Name": "engine", "Engine": { "Slots": 16 } }, { "Name": "first" }],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 1_000_000, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
    })
}

fn gateway() -> Gateway {
    let identity = Identity {
        instance: "edge-0".to_owned(),
        incarnation: 1,
        zone: "zone-0".to_owned(),
        weight: 1.0,
        is_first_start: true,
        front: "127.0.0.1:1".parse().expect("an address"),
        peer: "127.0.0.1:2".parse().expect("an address"),
        relay: "127.0.0.1:3".parse().expect("an address"),
    };
    Gateway::new(identity, Tuning::default())
}

fn timed<T>(what: &str, run: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let made = run();
    println!("{what}: {:.1} ms", start.elapsed().as_secs_f64() * 1e3);
    made
}

#[test]
fn large_configuration_is_applied() {
    for has_priorities in [false, true] {
        let spec = state(has_priorities);
        let object = json!({ "Metadata": { "Name": "main", "Revision": 1 }, "Spec": spec });
        let page = json!({ "Items": [object], "Truncated": false, "StoreRevision": 1 });
        let page = Bytes::from(page.to_string());
        println!("priorities of workspaces: {has_priorities}, {} bytes", page.len());
        let page = timed("page", || store::read_page(&page)).expect("the page is valid");
        let object = page.objects.first().expect("an object");
        let config = timed("decode", || desired::read(&object.spec)).expect("it is valid");
        let mut gateway = gateway();
        let event = Event::Config(Arc::new(config));
        let effects = timed("apply", || gateway.reduce(Duration::from_secs(1), event));
        assert!(effects.iter().any(|it| matches!(it, Effect::Log(_))));
        let config = gateway.config().expect("it is in force");
        assert_eq!(config.routes.len(), N_ROUTES);
        assert_eq!(config.keys.as_ref().map(|it| it.len()), Some(N_WORKSPACES));
        let body = timed("write state for a peer", || {
            serde_json::to_vec(&gateway.snapshot(0, 0)).expect("it is written")
        });
        println!("state for a peer: {} bytes", body.len());
    }
}
