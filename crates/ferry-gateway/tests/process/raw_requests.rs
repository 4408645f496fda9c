//! What callers may write on a connection, and what must never reach an endpoint.

use ferry_soak::config::Route;

use crate::harness::{exchange, head, with_cluster};

/// Bytes that a caller writes.
struct Case {
    name: &'static str,
    bytes: fn() -> String,
    /// Start of the answer.
    answer: &'static str,
    /// Whether the attempt `probe` may run.
    runs: bool,
}

#[test]
fn proper_and_improper_requests() {
    let cases = [
        Case {
            name: "a body with a length",
            bytes: || {
                format!("{}Content-Length: 4\r\n\r\nbody", head("POST", "/post/x?y=1", "probe"))
            },
            answer: "HTTP/1.1 200",
            runs: true,
        },
        Case {
            name: "a body in chunks",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")
            },
            answer: "HTTP/1.1 200",
            runs: true,
        },
        Case {
            name: "an unknown key",
            bytes: || {
                head("POST", "/post/x?y=1", "probe").replace("Api-Key: ", "Api-Key: no")
                    + "Content-Length: 4\r\n\r\nbody"
            },
            answer: "HTTP/1.1 401",
            runs: false,
        },
        Case {
            name: "an unknown route",
            bytes: || {
                format!("{}Content-Length: 4\r\n\r\nbody", head("POST", "/nowhere/x", "probe"))
            },
            answer: "HTTP/1.1 404",
            runs: false,
        },
        Case {
            name: "no id of the attempt",
            bytes: || {
                head("POST", "/post/x?y=1", "probe")
                    .replace("Tarragonferry-Attempt-Id: probe\r\n", "")
                    + "Content-Length: 4\r\n\r\nbody"
            },
            answer: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "two different lengths",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!")
            },
            answer: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a length and chunks",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
            },
            answer: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "chunks and a length",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n")
            },
            answer: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "an encoding that is not chunked",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Transfer-Encoding: xchunked\r\n\r\nbody")
            },
            answer: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a header that goes on in the next line",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}X-Folded: a\r\n b\r\nContent-Length: 4\r\n\r\nbody")
            },
            answer: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a space before the colon",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Content-Length : 4\r\n\r\nbody")
            },
            answer: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a chunk's length that is no number",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n")
            },
            answer: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a body that is too large",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Content-Length: 2000000\r\n\r\n{}", "x".repeat(1_100_000))
            },
            answer: "HTTP/1.1 413",
            runs: false,
        },
    ];
    with_cluster("bytes", 1, async |cluster| {
        for case in cases {
            cluster.checker.record_sent("probe", Route::Post, b"body");
            let answer = exchange(cluster.nodes[0].front(), (case.bytes)().as_bytes()).await;
            let start: String = answer.lines().take(1).collect();
            assert!(answer.starts_with(case.answer), "{}: {start}", case.name);
            let runs = cluster.checker.runs("probe");
            assert_eq!(runs.len(), usize::from(case.runs), "{}: {runs:?}", case.name);
        }
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

#[test]
fn nothing_behind_an_ambiguous_body_is_run() {
    let hidden =
        || format!("{}Content-Length: 4\r\n\r\nbody", head("POST", "/post/x?y=1", "hidden"));
    let outer = |fields: &str| {
        format!("{}{fields}\r\n\r\n0\r\n\r\n{}", head("POST", "/post/x?y=1", "probe"), hidden())
    };
    let cases = [
        outer("Transfer-Encoding: chunked"),
        outer("Transfer-Encoding: chunked\r\nContent-Length: 5"),
        outer("Content-Length: 5\r\nTransfer-Encoding: chunked"),
        outer("Transfer-Encoding: chunked, identity"),
        outer("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked"),
    ];
    with_cluster("hidden", 1, async |cluster| {
        for bytes in cases {
            cluster.checker.record_sent("probe", Route::Post, b"");
            cluster.checker.record_sent("hidden", Route::Post, b"body");
            exchange(cluster.nodes[0].front(), bytes.as_bytes()).await;
            assert_eq!(cluster.checker.runs("hidden"), Vec::<String>::new(), "{bytes}");
        }
    });
}

#[test]
fn headers_that_only_the_system_sets_are_dropped() {
    let forged = "Tarragonferry-Tenant: other\r\nTarragonferry-Expect-Instance: nobody\r\n\
                  Tarragonferry-Inputs: 127.0.0.1:1/x\r\nTarragonferry-Hold: 1\r\nKv-From: a/b\r\n\
                  Connection: close, X-Hop\r\nX-Hop: 1\r\n";
    with_cluster("forged", 1, async |cluster| {
        cluster.checker.record_sent("probe", Route::Post, b"body");
        let head = head("POST", "/post/x?y=1", "probe");
        let bytes = format!("{head}{forged}Content-Length: 4\r\n\r\nbody");
        let answer = exchange(cluster.nodes[0].front(), bytes.as_bytes()).await;
        // The endpoint answers 421 to another expected id, and notes another workspace.
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with("probe:body"), "{answer}");
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}
