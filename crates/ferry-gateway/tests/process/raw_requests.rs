//! Requests written byte by byte: which are accepted, and what must never reach an endpoint.

use ferry_soak::config::Route;

use crate::harness::{exchange, head, with_cluster};

/// A request and its expected result.
struct Case {
    name: &'static str,
    bytes: fn() -> String,
    /// Start of the response.
    response: &'static str,
    /// Whether the attempt `probe` must run.
    runs: bool,
}

#[test]
fn valid_requests_run_and_malformed_requests_are_rejected() {
    let cases = [
        Case {
            name: "a body with a length",
            bytes: || {
                format!("{}Content-Length: 4\r\n\r\nbody", head("POST", "/post/x?y=1", "probe"))
            },
            response: "HTTP/1.1 200",
            runs: true,
        },
        Case {
            name: "a chunked body",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")
            },
            response: "HTTP/1.1 200",
            runs: true,
        },
        Case {
            name: "an unknown key",
            bytes: || {
                head("POST", "/post/x?y=1", "probe").replace("Api-Key: ", "Api-Key: no")
                    + "Content-Length: 4\r\n\r\nbody"
            },
            response: "HTTP/1.1 401",
            runs: false,
        },
        Case {
            name: "an unknown route",
            bytes: || {
                format!("{}Content-Length: 4\r\n\r\nbody", head("POST", "/nowhere/x", "probe"))
            },
            response: "HTTP/1.1 404",
            runs: false,
        },
        Case {
            name: "no attempt id",
            bytes: || {
                head("POST", "/post/x?y=1", "probe")
                    .replace("Tarragonferry-Attempt-Id: probe\r\n", "")
                    + "Content-Length: 4\r\n\r\nbody"
            },
            response: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "two different lengths",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!")
            },
            response: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a length and a chunked encoding",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
            },
            response: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a chunked encoding and a length",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n")
            },
            response: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "an encoding that is not chunked",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Transfer-Encoding: xchunked\r\n\r\nbody")
            },
            response: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a folded header",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}X-Folded: a\r\n b\r\nContent-Length: 4\r\n\r\nbody")
            },
            response: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a space before the colon",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Content-Length : 4\r\n\r\nbody")
            },
            response: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "an invalid chunk size",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n")
            },
            response: "HTTP/1.1 400",
            runs: false,
        },
        Case {
            name: "a body that is too large",
            bytes: || {
                let head = head("POST", "/post/x?y=1", "probe");
                format!("{head}Content-Length: 2000000\r\n\r\n{}", "x".repeat(1_100_000))
            },
            response: "HTTP/1.1 413",
            runs: false,
        },
    ];
    with_cluster("bytes", 1, async |cluster| {
        for case in cases {
            cluster.checker.record_sent("probe", Route::Post, b"body");
            let response = exchange(cluster.nodes[0].front(), (case.bytes)().as_bytes()).await;
            let start: String = response.lines().take(1).collect();
            assert!(response.starts_with(case.response), "{}: {start}", case.name);
            let runs = cluster.checker.runs("probe");
            assert_eq!(runs.len(), usize::from(case.runs), "{}: {runs:?}", case.name);
        }
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

#[test]
fn request_behind_an_ambiguous_body_is_not_run() {
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
fn ambiguous_request_behind_a_long_body_is_rejected() {
    let ambiguous = format!(
        "{}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        head("POST", "/post/x?y=1", "second")
    );
    with_cluster("behind", 1, async |cluster| {
        for len in [4, 70_000, 200_000, 900_000] {
            let body = "x".repeat(len);
            let attempt = format!("first-{len}");
            cluster.checker.record_sent(&attempt, Route::Post, body.as_bytes());
            cluster.checker.record_sent("second", Route::Post, b"body");
            let first = head("POST", "/post/x?y=1", &attempt);
            let bytes = format!("{first}Content-Length: {len}\r\n\r\n{body}{ambiguous}");
            let response = exchange(cluster.nodes[0].front(), bytes.as_bytes()).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{len}");
            assert!(response.contains("HTTP/1.1 400"), "{len}");
            assert_eq!(cluster.checker.runs("second"), Vec::<String>::new(), "{len}");
        }
    });
}

#[test]
fn reserved_headers_of_callers_are_removed() {
    let forged = "Tarragonferry-Tenant: other\r\nTarragonferry-Expect-Instance: nobody\r\n\
                  Tarragonferry-Inputs: 127.0.0.1:1/x\r\nTarragonferry-Hold: 1\r\nKv-From: a/b\r\n\
                  Connection: close, X-Hop\r\nX-Hop: 1\r\n";
    with_cluster("forged", 1, async |cluster| {
        cluster.checker.record_sent("probe", Route::Post, b"body");
        let head = head("POST", "/post/x?y=1", "probe");
        let bytes = format!("{head}{forged}Content-Length: 4\r\n\r\nbody");
        let response = exchange(cluster.nodes[0].front(), bytes.as_bytes()).await;
        // The endpoint responds with 421 to a wrong endpoint id and reports a wrong workspace.
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("probe:body"), "{response}");
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}
