//! Tests that invalid requests get a clear error, run nothing and do not affect other callers.

use std::time::Duration;

use ferry_entry::CallerLimits;
use ferry_entry::api::Problem;
use http::{Method, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::{Harness, TIMEOUT, requests_path};

struct Case {
    name: &'static str,
    pipeline: &'static str,
    /// Replaces or adds a header.
    header: Option<(&'static str, &'static str)>,
    body: &'static str,
    status: StatusCode,
    field: &'static str,
}

impl Case {
    const fn body(name: &'static str, body: &'static str, field: &'static str) -> Case {
        let status = StatusCode::BAD_REQUEST;
        Case { name, pipeline: "file", header: None, body, status, field }
    }

    const fn header(
        name: &'static str,
        header: (&'static str, &'static str),
        status: StatusCode,
        field: &'static str,
    ) -> Case {
        Case { name, pipeline: "file", header: Some(header), body: VALID_BODY, status, field }
    }
}

const VALID_BODY: &str = r#"{"input":"x"}"#;

fn cases() -> Vec<Case> {
    vec![
        Case::body("no body", "", "body"),
        Case::body("truncated JSON", r#"{"input":"#, "input"),
        Case::body("trailing text", r#"{"input":"x"} y"#, "body"),
        Case::body("no input", "{}", "body"),
        Case::body("input is a number", r#"{"input":1}"#, "input"),
        Case::body("unknown field", r#"{"input":"x","deadline":1}"#, "deadline"),
        Case::body("deadline 0", r#"{"input":"x","deadline_ms":0}"#, "deadline_ms"),
        Case::body("negative deadline", r#"{"input":"x","deadline_ms":-5}"#, "deadline_ms"),
        Case::body(
            "huge deadline",
            r#"{"input":"x","deadline_ms":18446744073709551615}"#,
            "deadline_ms",
        ),
        Case::body("stream is a string", r#"{"input":"x","stream":"yes"}"#, "stream"),
        Case {
            name: "unknown pipeline",
            pipeline: "nothing",
            header: None,
            body: VALID_BODY,
            status: StatusCode::NOT_FOUND,
            field: "pipeline",
        },
        Case::header(
            "wrong token",
            ("authorization", "Bearer wrong"),
            StatusCode::UNAUTHORIZED,
            "Authorization",
        ),
        Case::header(
            "no scheme",
            ("authorization", "demo-token-agents"),
            StatusCode::UNAUTHORIZED,
            "Authorization",
        ),
        Case::header(
            "form body",
            ("content-type", "application/x-www-form-urlencoded"),
            StatusCode::UNSUPPORTED_MEDIA_TYPE,
            "Content-Type",
        ),
        Case::header(
            "empty key",
            ("idempotency-key", ""),
            StatusCode::BAD_REQUEST,
            "Idempotency-Key",
        ),
        Case::header(
            "key with a space",
            ("idempotency-key", "a b"),
            StatusCode::BAD_REQUEST,
            "Idempotency-Key",
        ),
    ]
}

#[tokio::test]
async fn each_invalid_request_names_its_field_and_runs_nothing() {
    let harness = Harness::start(CallerLimits::default()).await;
    for case in cases() {
        let mut request = harness.request(Method::POST, &requests_path(case.pipeline));
        if let Some((name, value)) = case.header {
            let headers = request.headers_mut().unwrap();
            headers.insert(name, value.parse().unwrap());
        }
        let answer = harness.send(request.body(Full::from(case.body)).unwrap()).await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status, case.status, "{}: {text}", case.name);
        let body: serde_json::Value = answer.json().unwrap();
        assert_eq!(body["field"], case.field, "{}: {text}", case.name);
    }
    assert_eq!(harness.standins.run_log.runs(), []);
    harness.expect_complete("after").await;
}

#[tokio::test]
async fn a_large_body_is_refused_with_and_without_its_length() {
    let limits = CallerLimits { body_bytes: 4096, ..CallerLimits::default() };
    let harness = Harness::start(limits).await;
    let body = serde_json::json!({ "input": "x".repeat(5000) });
    let answer = harness.post("file", "large", &body).await;
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(answer.json::<Problem>().unwrap().field.as_deref(), Some("body"));

    let mut stream = TcpStream::connect(harness.address()).await.unwrap();
    stream.write_all(head("transfer-encoding: chunked\r\n").as_bytes()).await.unwrap();
    let chunk = format!("{:x}\r\n{}\r\n", 5000, "x".repeat(5000));
    stream.write_all(chunk.as_bytes()).await.unwrap();
    assert!(first_line(&mut stream).await.contains("413"));
    assert_eq!(harness.standins.run_log.runs(), []);
    harness.expect_complete("after").await;
}

#[tokio::test]
async fn large_headers_are_refused() {
    let harness = Harness::start(CallerLimits::default()).await;
    let cases = [
        ("one large header", format!("x-flood: {}\r\n", "x".repeat(20_000))),
        ("many headers", (0..500).map(|idx| format!("x-{idx}: y\r\n")).collect()),
    ];
    for (name, headers) in cases {
        let mut stream = TcpStream::connect(harness.address()).await.unwrap();
        let text = head(&format!("{headers}content-length: 13\r\n")) + VALID_BODY;
        stream.write_all(text.as_bytes()).await.unwrap();
        let line = first_line(&mut stream).await;
        assert!(line.contains("431"), "{name}: {line}");
    }
    assert_eq!(harness.standins.run_log.runs(), []);
    harness.expect_complete("after").await;
}

#[tokio::test]
async fn slow_bodies_time_out_and_delay_no_other_request() {
    let limits =
        CallerLimits { body_timeout: Duration::from_millis(300), ..CallerLimits::default() };
    let harness = Harness::start(limits).await;
    let mut slow = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(harness.address()).await.unwrap();
        stream.write_all(head("content-length: 1000\r\n").as_bytes()).await.unwrap();
        stream.write_all(b"{\"input\":").await.unwrap();
        slow.push(stream);
    }
    harness.expect_complete("meanwhile").await;
    for mut stream in slow {
        assert!(first_line(&mut stream).await.contains("408"));
    }
    assert_eq!(harness.runs("slow"), []);
}

#[tokio::test]
async fn open_requests_are_limited_and_the_refusal_names_the_limit() {
    let limits = CallerLimits { requests: 1, ..CallerLimits::default() };
    let harness = Harness::start(limits).await;
    let mut held = TcpStream::connect(harness.address()).await.unwrap();
    held.write_all(head("content-length: 1000\r\n").as_bytes()).await.unwrap();
    let refused = async {
        loop {
            let body = serde_json::json!({ "input": "x" });
            let answer = harness.post("calendar", "held-out", &body).await;
            if answer.status == StatusCode::TOO_MANY_REQUESTS {
                return answer.json::<Problem>().unwrap();
            }
        }
    };
    let problem = tokio::time::timeout(TIMEOUT, refused).await.unwrap();
    assert_eq!(problem.field.as_deref(), Some("requests"));

    drop(held);
    let admitted = async {
        let body = serde_json::json!({ "input": "x" });
        while harness.post("calendar", "let-in", &body).await.status != StatusCode::OK {}
    };
    tokio::time::timeout(TIMEOUT, admitted).await.unwrap();
}

/// Returns the raw head of a request with the token of a workspace.
fn head(headers: &str) -> String {
    format!(
        "POST {} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer demo-token-agents\r\n\
         idempotency-key: slow\r\ncontent-type: application/json\r\n{headers}\r\n",
        requests_path("calendar")
    )
}

async fn first_line(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4096];
    let len = tokio::time::timeout(TIMEOUT, stream.read(&mut bytes)).await.unwrap().unwrap();
    let text = String::from_utf8_lossy(&bytes[..len]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}
