//! The desired state used by the soak, in the operator's format.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::endpoint::HEALTH_PATH;

pub const HOST: &str = "soak.example";
pub const API_KEY: &str = "key-of-soak";
pub const WORKSPACE: &str = "soak-workspace";
/// Deadline of each request, in milliseconds.
pub const DEADLINE_MS: u64 = 4_000;
/// Shortest time limit of any route in any version of the desired state.
pub const SHORTEST_LIMIT: Duration = Duration::from_millis(3_500);

/// Repeats that a pool allows for each request, and in addition, in each window.
pub const BUDGET_RATIO: f64 = 0.2;
pub const BUDGET_EXTRA: f64 = 52.0;
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Routes to which callers send requests; the name is the path prefix.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Route {
    Get,
    Post,
    Stream,
    /// A stream that must run at most once.
    Once,
    /// A route that only some versions of the desired state have.
    Extra,
}

impl Route {
    pub fn path(self) -> String {
        let name: &str = self.into();
        format!("/{name}/x?y=1")
    }

    /// Returns how many endpoints may run the same attempt.
    pub fn max_runs(self) -> usize {
        match self {
            Route::Get | Route::Stream | Route::Extra => 2,
            Route::Post | Route::Once => 1,
        }
    }

    /// Returns the pool that serves it in most versions of the desired state.
    pub fn pool(self) -> &'static str {
        if self.is_stream() { "engine" } else { "plain" }
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Route::Stream | Route::Once)
    }
}

/// Returns a version of the desired state, with or without the extra route.
pub fn desired_state(version: u64, has_extra: bool) -> Value {
    let mut routes = vec![
        plain("get", "idempotent", 2),
        plain("post", "non_idempotent", 1),
        stream("stream", true, 2),
        stream("once", false, 1),
    ];
    if has_extra {
        routes.push(plain("extra", "idempotent", 2));
    }
    json!({
        "Version": version,
        "Routes": routes,
        "Services": [
            { "Name": "plain", "MaxConnections": 100, "HealthPath": HEALTH_PATH },
            {
                "Name": "engine", "MaxConnections": 100, "HealthPath": HEALTH_PATH,
                "Engine": { "Slots": 16 },
            },
            batch("first"),
            batch("second"),
        ],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 1_000_000,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
        },
        "Tenants": [{ "Name": WORKSPACE, "ApiKeys": [API_KEY] }],
    })
}

/// What versions of the desired state differ in, apart from their routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Variation {
    limit_ms: u64,
    /// Part of the traffic of a plain route that goes to another pool, in percent.
    weight: u32,
    connections: u32,
    header_ms: u64,
    idle_ms: u64,
}

impl Variation {
    pub fn random(rng: &mut Pcg64Mcg) -> Variation {
        let shortest = SHORTEST_LIMIT.as_millis() as u64;
        Variation {
            limit_ms: [shortest, DEADLINE_MS, 2 * DEADLINE_MS][rng.random_range(0..3)],
            weight: [0, 10, 50][rng.random_range(0..3)],
            connections: [20, 100][rng.random_range(0..2)],
            header_ms: [1_000, 3_000][rng.random_range(0..2)],
            idle_ms: [1_000, 5_000, 15_000][rng.random_range(0..3)],
        }
    }

    /// Returns a version of the desired state that differs in this.
    pub fn desired_state(self, version: u64, has_extra: bool) -> Value {
        let mut state = desired_state(version, has_extra);
        for route in state["Routes"].as_array_mut().into_iter().flatten() {
            route["TimeoutMs"] = json!(self.limit_ms);
            if route["Name"] == "get" {
                route["Service"] = Value::Null;
                route["TrafficSplit"] = json!([
                    { "Service": "plain", "Weight": 100 - self.weight },
                    { "Service": "first", "Weight": self.weight },
                ]);
            }
        }
        for service in state["Services"].as_array_mut().into_iter().flatten() {
            service["MaxConnections"] = json!(self.connections);
        }
        state["Limits"]["HeaderTimeoutMs"] = json!(self.header_ms);
        state["Limits"]["IdleTimeoutMs"] = json!(self.idle_ms);
        state
    }
}

fn plain(name: &str, kind: &str, tries: u32) -> Value {
    json!({
        "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
        "TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 500, "Service": "plain", "MaxAttempts": tries,
    })
}

fn stream(name: &str, resumable: bool, tries: u32) -> Value {
    json!({
        "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": "streaming",
        "TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 1500, "Service": "engine",
        "MaxAttempts": tries, "Resumable": resumable, "Sticky": true, "GapAimMs": 300,
        "Stages": [
            { "Service": "first", "After": [], "Bytes": 1000 },
            { "Service": "second", "After": [0], "Bytes": 1000 },
        ],
    })
}

fn batch(name: &str) -> Value {
    json!({
        "Name": name, "MaxConnections": 100, "HealthPath": HEALTH_PATH,
        "Pieces": {
            "Slots": 1, "Queue": 2, "Batch": 16, "CallMs": 40.0, "ItemMs": 1.0,
            "HeadroomMb": 50.0, "HandleS": 4.0, "LinkMbps": 10000,
        },
    })
}
