//! Streams that endpoints end in unusual ways.

use ferry_soak::config::Route;
use ferry_soak::endpoint::{Behaviour, N_EVENTS, Pool};

use crate::harness::{exchange, head, with_cluster};

/// Last chunk of a complete body.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

struct Case {
    attempt: &'static str,
    route: Route,
    /// What the first engine that gets the stream does, and what the others do.
    behaviours: [Behaviour; 2],
    /// Whether the caller gets all events.
    is_complete: bool,
}

fn stream(route: Route, attempt: &str) -> String {
    let head = head("POST", &route.path(), attempt);
    format!(
        "{head}Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\nContent-Length: 4\r\n\r\n\
         body"
    )
}

fn has_event(response: &str, attempt: &str, number: u64) -> bool {
    response.contains(&format!("id: {number}\ndata: {attempt} {number}\n\n"))
}

#[test]
fn stream_that_ends_inside_an_event_does_not_look_complete() {
    let chunked = Behaviour::EndsInEvent { is_chunked: true };
    let unframed = Behaviour::EndsInEvent { is_chunked: false };
    let cases = [
        Case {
            attempt: "whole",
            route: Route::Once,
            behaviours: [Behaviour::Unframed; 2],
            is_complete: true,
        },
        Case {
            attempt: "once-unframed",
            route: Route::Once,
            behaviours: [unframed; 2],
            is_complete: false,
        },
        Case {
            attempt: "once-chunked",
            route: Route::Once,
            behaviours: [chunked; 2],
            is_complete: false,
        },
        Case {
            attempt: "twice-unframed",
            route: Route::Stream,
            behaviours: [unframed; 2],
            is_complete: false,
        },
        Case {
            attempt: "resumed-unframed",
            route: Route::Stream,
            behaviours: [unframed, Behaviour::Unframed],
            is_complete: true,
        },
        Case {
            attempt: "resumed-chunked",
            route: Route::Stream,
            behaviours: [chunked, Behaviour::Healthy],
            is_complete: true,
        },
    ];
    for case in cases {
        with_cluster(&format!("ends-{}", case.attempt), 1, async |cluster| {
            let engines = || cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
            engines().for_each(|it| it.behaviour.set(case.behaviours[0]));
            cluster.checker.record_sent(case.attempt, case.route, b"body");
            let request = stream(case.route, case.attempt);
            let (response, ()) =
                tokio::join!(exchange(cluster.nodes[0].front(), request.as_bytes()), async {
                    while cluster.checker.runs(case.attempt).is_empty() {
                        tokio::task::yield_now().await;
                    }
                    let first = cluster.checker.runs(case.attempt)[0].clone();
                    let others = engines().filter(|it| it.id != first);
                    others.for_each(|it| it.behaviour.set(case.behaviours[1]));
                });
            assert!(response.starts_with("HTTP/1.1 200"), "{}: {response}", case.attempt);
            let is_complete = response.ends_with(LAST_CHUNK);
            assert_eq!(is_complete, case.is_complete, "{}: {response}", case.attempt);
            let n_events =
                (1..=N_EVENTS).filter(|it| has_event(&response, case.attempt, *it)).count();
            let has_all = n_events as u64 == N_EVENTS;
            assert_eq!(has_all, case.is_complete, "{}: {response}", case.attempt);
            assert_eq!(cluster.checker.violations(), Vec::<String>::new(), "{}", case.attempt);
        });
    }
}

#[test]
fn stream_without_a_content_type_is_forwarded_whole() {
    with_cluster("untyped", 1, async |cluster| {
        cluster.endpoints.iter().for_each(|it| it.behaviour.set(Behaviour::Untyped));
        cluster.checker.record_sent("untyped", Route::Once, b"body");
        let request = stream(Route::Once, "untyped");
        let response = exchange(cluster.nodes[0].front(), request.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with(LAST_CHUNK), "{response}");
        assert!((1..=N_EVENTS).all(|it| has_event(&response, "untyped", it)), "{response}");
    });
}
