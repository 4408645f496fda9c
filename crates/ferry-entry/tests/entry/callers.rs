//! Tests of the responses to callers, and of what happens when a caller disconnects.

use bytes::Bytes;
use eventsource_stream::Eventsource;
use ferry_entry::CallerLimits;
use ferry_entry::api::{
    AnswerBody, EVENT_END, EVENT_TOKEN, EndBody, InstancesBody, KeyBody, KeyStateName, ReadyBody,
    TokenBody,
};
use ferry_fakes::deployment::demo_token;
use futures_util::StreamExt;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::harness::{Harness, TIMEOUT, requests_path};

const DRAFT_OUTPUT: &str = "generate(rerank(retrieve(encode(hotel licence))))";

#[tokio::test]
async fn unstreamed_answer_lists_every_stage() {
    let harness = Harness::start(CallerLimits::default()).await;
    let answer = harness.post("draft", "whole", &json!({ "input": "hotel licence" })).await;
    assert_eq!(answer.status, StatusCode::OK);
    let body: AnswerBody = answer.json().unwrap();
    assert_eq!(body.output.as_deref(), Some(DRAFT_OUTPUT));
    let stages: Vec<&str> = body.stages.iter().map(|it| it.stage.as_str()).collect();
    assert_eq!(stages, ["encode", "retrieve", "rerank", "generate"]);
    assert_eq!(body.revision, 1);
}

struct StreamCase {
    pipeline: &'static str,
    output: &'static str,
    is_one_token: bool,
}

#[tokio::test]
async fn streamed_tokens_are_numbered_and_end_with_count_and_digest() {
    let harness = Harness::start(CallerLimits::default()).await;
    let cases = [
        StreamCase { pipeline: "draft", output: DRAFT_OUTPUT, is_one_token: false },
        StreamCase { pipeline: "calendar", output: "calendar(hotel licence)", is_one_token: true },
    ];
    for case in cases {
        let body = json!({ "input": "hotel licence", "stream": true });
        let answer = harness.post(case.pipeline, case.pipeline, &body).await;
        assert_eq!(answer.headers["content-type"], "text/event-stream");
        let mut events = Full::<Bytes>::from(answer.body).into_data_stream().eventsource();
        let mut text = String::new();
        let mut count = 0;
        let end: EndBody = loop {
            let event = events.next().await.unwrap().unwrap();
            match event.event.as_str() {
                EVENT_TOKEN => {
                    let token: TokenBody = serde_json::from_str(&event.data).unwrap();
                    assert_eq!(token.number, count);
                    assert_eq!(event.id, count.to_string());
                    text.push_str(&token.text);
                    count += 1;
                }
                EVENT_END => break serde_json::from_str(&event.data).unwrap(),
                other => panic!("unknown event {other}"),
            }
        };
        assert!(events.next().await.is_none(), "the terminal event is not the last");
        assert_eq!(text, case.output);
        assert_eq!(end.count, count);
        assert_eq!(count == 1, case.is_one_token);
        assert_eq!(end.digest, blake3::hash(text.as_bytes()).to_hex().to_string());
        assert_eq!(end.answer.outcome, "complete");
    }
}

#[tokio::test]
async fn refusal_of_a_streamed_request_has_an_error_status() {
    let harness = Harness::start(CallerLimits::default()).await;
    let body = json!({ "input": "x", "stream": true });
    let answer = harness.post("nothing", "refused", &body).await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    let body: AnswerBody = answer.json().unwrap();
    assert_eq!(body.outcome, "not_run");
}

#[tokio::test]
async fn temporary_refusals_have_a_retry_after_header() {
    let harness = Harness::start(CallerLimits::default()).await;
    harness.standins.platform.state.set_endpoints(Vec::new());
    let refused = async {
        for n_attempts in 0.. {
            let key = format!("empty-{n_attempts}");
            let answer = harness.post("file", &key, &json!({ "input": "x" })).await;
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                return answer;
            }
        }
        unreachable!("the attempts never end")
    };
    let answer = tokio::time::timeout(TIMEOUT, refused).await.unwrap();
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(answer.json::<AnswerBody>().unwrap().outcome, "not_run");
}

#[tokio::test]
async fn non_idempotent_requests_continue_after_the_caller_disconnects() {
    let harness = Harness::start(CallerLimits::default()).await;
    let stream = send_raw(&harness, "file", "left").await;
    harness.wait_run("left", "filing").await;
    drop(stream);
    harness.wait_run("left", "payments").await;
    harness.expect_complete("after").await;
    let stages: Vec<String> = harness.runs("left").into_iter().map(|it| it.stage).collect();
    assert_eq!(stages, ["encode", "filing", "payments"]);
}

#[tokio::test]
async fn idempotent_requests_end_after_the_caller_disconnects() {
    let harness = Harness::start(CallerLimits::default()).await;
    let stream = send_raw(&harness, "draft", "left").await;
    harness.wait_run("left", "retrieve").await;
    drop(stream);
    // A complete draft of another caller takes longer than the rest of the abandoned one would.
    harness.post("draft", "other", &json!({ "input": "x" })).await;
    harness.wait_run("other", "generate").await;
    let stages: Vec<String> = harness.runs("left").into_iter().map(|it| it.stage).collect();
    assert!(!stages.contains(&"generate".to_owned()), "{stages:?}");
}

#[tokio::test]
async fn health_needs_no_token() {
    let harness = Harness::start(CallerLimits::default()).await;
    for (path, status) in [("/v1/live", 204), ("/v1/ready", 200), ("/v1/nothing", 404)] {
        let mut request = harness.request(Method::GET, path);
        request.headers_mut().unwrap().remove("authorization");
        let answer = harness.send(request.body(Full::default()).unwrap()).await;
        assert_eq!(answer.status.as_u16(), status, "{path}");
    }
    harness.entry.handle().send(ferry_core::Event::Shutdown);
    let left = async {
        loop {
            let request = harness.request(Method::GET, "/v1/ready");
            let answer = harness.send(request.body(Full::default()).unwrap()).await;
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                return answer.json::<ReadyBody>().unwrap();
            }
        }
    };
    assert!(!tokio::time::timeout(TIMEOUT, left).await.unwrap().ready);
}

#[tokio::test]
async fn tokens_of_stored_workspaces_change_with_each_revision() {
    let harness = Harness::start(CallerLimits::default()).await;
    let status = async |token: &str| {
        let mut request = harness.request(Method::GET, "/v1/instances");
        let headers = request.headers_mut().unwrap();
        headers.insert("authorization", format!("Bearer {token}").parse().unwrap());
        harness.send(request.body(Full::default()).unwrap()).await.status
    };
    let wait_status = async |token: &str, expected: StatusCode| {
        let seen = async { while status(token).await != expected {} };
        let seen = tokio::time::timeout(TIMEOUT, seen).await;
        assert!(seen.is_ok(), "{token} does not get {expected}");
    };
    assert_eq!(status("new").await, StatusCode::UNAUTHORIZED);
    harness.store_workspace(1, Some("new"));
    wait_status("new", StatusCode::OK).await;
    harness.store_workspace(2, Some("newer"));
    wait_status("newer", StatusCode::OK).await;
    assert_eq!(status("new").await, StatusCode::UNAUTHORIZED);
    harness.store_workspace(3, None);
    wait_status("newer", StatusCode::UNAUTHORIZED).await;
    assert_eq!(status(&demo_token("agents")).await, StatusCode::OK);
}

#[tokio::test]
async fn key_lookup_returns_the_answer_only_to_its_workspace() {
    let harness = Harness::start(CallerLimits::default()).await;
    harness.post("file", "known", &json!({ "input": "x" })).await;
    let ask = async |key: &str, workspace: &str| {
        let mut request = harness.request(Method::GET, &format!("/v1/requests/{key}"));
        let headers = request.headers_mut().unwrap();
        let token = format!("Bearer {}", demo_token(workspace));
        headers.insert("authorization", token.parse().unwrap());
        harness.send(request.body(Full::default()).unwrap()).await
    };
    let known = ask("known", "agents").await;
    assert_eq!(known.status, StatusCode::OK);
    let body: KeyBody = known.json().unwrap();
    assert_eq!(body.state, KeyStateName::Settled);
    assert_eq!(body.answer.unwrap().outcome, "complete");
    for (key, workspace) in [("known", "bars"), ("unknown", "agents")] {
        let answer = ask(key, workspace).await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND, "{key} of {workspace}");
    }
}

#[tokio::test]
async fn same_key_with_another_body_is_a_conflict() {
    let harness = Harness::start(CallerLimits::default()).await;
    let first = harness.post("file", "twice", &json!({ "input": "x" })).await;
    let again = harness.post("file", "twice", &json!({ "input": "x" })).await;
    let other = harness.post("file", "twice", &json!({ "input": "y" })).await;
    assert_eq!((first.status, again.status), (StatusCode::OK, StatusCode::OK));
    assert_eq!(other.status, StatusCode::CONFLICT);
    let body: AnswerBody = other.json().unwrap();
    assert_eq!(body.outcome, "not_run");
    assert_eq!(body.field.as_deref(), Some("Idempotency-Key"));
    let n_filings = harness.runs("twice").iter().filter(|it| it.stage == "filing").count();
    assert_eq!(n_filings, 1);
}

#[tokio::test]
async fn instances_are_listed_with_addresses_and_weights() {
    let harness = Harness::start(CallerLimits::default()).await;
    harness.list_entry();
    let listed = async {
        loop {
            let request = harness.request(Method::GET, "/v1/instances?zone=lagos-1");
            let answer = harness.send(request.body(Full::default()).unwrap()).await;
            let body: InstancesBody = answer.json().unwrap();
            if !body.instances.is_empty() {
                return body;
            }
        }
    };
    let body = tokio::time::timeout(TIMEOUT, listed).await.unwrap();
    assert_eq!(body.instances[0].address, harness.address());
    assert!(0 < body.ttl_ms && 0 < body.instances[0].weight);
}

/// Sends a request without reading the response.
async fn send_raw(harness: &Harness, pipeline: &str, key: &str) -> TcpStream {
    let mut stream = TcpStream::connect(harness.address()).await.unwrap();
    let text = format!(
        "POST {} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer demo-token-agents\r\n\
         idempotency-key: {key}\r\ncontent-length: 13\r\n\r\n{{\"input\":\"x\"}}",
        requests_path(pipeline)
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}
