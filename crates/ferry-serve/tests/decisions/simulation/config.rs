//! The configuration of the simulations, and requests for it.

use std::net::SocketAddr;

use ferry_model::{
    BatchLimits, ConnectionLimits, GatewayConfig, GatewayPool, KeyOwner, PoolKind, Route,
    RouteKind, RouteStage, Target,
};
use ferry_serve::{PromptPart, RequestHead};

use super::{ENGINE, FIRST, PLAIN, SECOND, ms};

/// Returns the address at which an instance accepts callers.
pub fn front(instance: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8_000 + instance as u16))
}

/// Returns the address at which an instance receives datagrams.
pub fn peer(instance: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + instance as u16))
}

/// Returns the address at which an instance takes requests of its peers.
pub fn relay(instance: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 6_000 + instance as u16))
}

pub fn limits() -> BatchLimits {
    BatchLimits {
        slots: 1,
        max_items: 16,
        call_time: ms(150),
        item_time: ms(4),
        result_capacity: 1_000_000_000,
        result_ttl: ms(4_000),
    }
}

/// Returns five routes: plain and idempotent, plain and not, and three streams behind two stages,
/// one of them more urgent.
pub fn config(version: u64) -> GatewayConfig {
    let pools = [
        (PLAIN, PoolKind::Plain),
        (ENGINE, PoolKind::Engine { slots: 64 }),
        (FIRST, PoolKind::Batch(limits())),
        (SECOND, PoolKind::Batch(limits())),
    ];
    let pool = |(name, kind): (&str, PoolKind)| {
        let health = Some("/health".to_owned());
        (name.to_owned(), GatewayPool { max_connections: 100, kind, health, cold: None })
    };
    let owner = KeyOwner { workspace: "workspace".to_owned(), priority: None };
    GatewayConfig {
        version,
        routes: vec![
            route("get", RouteKind::Idempotent, 2, false),
            route("post", RouteKind::NonIdempotent, 1, false),
            route("stream", RouteKind::Stream, 2, true),
            route("once", RouteKind::Stream, 1, false),
            Route { priority: 0, ..route("urgent", RouteKind::Stream, 1, false) },
        ],
        pools: pools.into_iter().map(pool).collect(),
        keys: Some([("key".to_owned(), owner)].into_iter().collect()),
        limits: ConnectionLimits {
            header: 16_384,
            body: 1_000_000,
            header_timeout: ms(3_000),
            idle_timeout: ms(15_000),
        },
    }
}

fn route(name: &str, kind: RouteKind, max_tries: u32, resumable: bool) -> Route {
    let is_stream = kind == RouteKind::Stream;
    let pool = if is_stream { ENGINE } else { PLAIN };
    let stage = |pool: &str, after: Vec<usize>| RouteStage {
        pool: pool.to_owned(),
        after,
        result_bytes: 1_000,
    };
    Route {
        name: name.to_owned(),
        host: "host".to_owned(),
        prefix: format!("/{name}/"),
        kind,
        time_limit: ms(4_000),
        objective: ms(1_500),
        priority: 1,
        targets: vec![Target { pool: pool.to_owned(), weight: 1 }],
        max_tries,
        stages: match is_stream {
            true => vec![stage(FIRST, Vec::new()), stage(SECOND, vec![0])],
            false => Vec::new(),
        },
        anonymous: false,
        affinity: is_stream,
        resumable,
        max_gap: None,
    }
}

/// Returns a request on a route, with four items in each stage if it has stages.
pub fn head(route: &str, attempt: &str) -> RequestHead {
    RequestHead {
        attempt: attempt.into(),
        host: "host".to_owned(),
        path: format!("/{route}/x"),
        key: Some("key".to_owned()),
        time_left: Some(ms(4_000)),
        prompt: vec![PromptPart { id: 7, tokens: 500 }, PromptPart { id: 8, tokens: 100 }],
        long_ids: Vec::new(),
        n_unreadable: 0,
        items: vec![4, 4],
        tokens: None,
        item_key: Some("input".to_owned()),
        resumed: None,
        relayed: None,
    }
}
