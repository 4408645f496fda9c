//! What the status of an endpoint says of a call, by its body.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_core::{CallEvent, Connection, Event, StageCall};
use ferry_edge::EndpointClient;
use ferry_model::{AttemptId, RequestId, StageKind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

struct Case {
    name: &'static str,
    body: &'static str,
    is_refused: bool,
}

fn call(address: SocketAddr, kind: StageKind) -> StageCall {
    StageCall {
        attempt: AttemptId::default(),
        request: RequestId::default(),
        stage: "stage".to_owned(),
        kind,
        endpoint: "endpoint-0".to_owned(),
        address,
        key: "key".to_owned(),
        input: "input".to_owned(),
        model: None,
        max_tokens: 1,
        offset: 0,
        emitted: String::new(),
        priority: 0,
        budget: Duration::from_secs(20),
        repeatable: true,
        connection: Connection::Fresh,
    }
}

async fn answer(listener: TcpListener, status: u16, body: &str) {
    let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
    let mut buffer = [0; 4096];
    assert!(matches!(stream.read(&mut buffer).await, Ok(1..)), "the call arrives");
    let len = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\nRetry-After: 1\r\nContent-Type: application/json\r\n\
         Content-Length: {len}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.expect("the answer is written");
}

/// Guards against calls that are taken as refused, and so as not run, when something other than the
/// endpoint's own refusal has the status of one.
#[tokio::test]
async fn status_alone_is_no_refusal() {
    let cases = [
        Case { name: "a refusal", body: r#"{"message":"full"}"#, is_refused: true },
        Case {
            name: "one that leaves",
            body: r#"{"message":"x","leaving":true}"#,
            is_refused: true,
        },
        Case { name: "nothing", body: "", is_refused: false },
        Case { name: "text", body: "upstream error", is_refused: false },
        Case { name: "another object", body: r#"{"error":"x"}"#, is_refused: false },
        Case { name: "a part of a refusal", body: r#"{"message":"#, is_refused: false },
    ];
    for Case { name, body, is_refused } in cases {
        for status in [429, 503] {
            for kind in [StageKind::Encode, StageKind::Generate, StageKind::Service] {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let address = listener.local_addr().expect("the listener has an address");
                let (events, mut received) = mpsc::unbounded_channel();
                let client = EndpointClient::new();
                tokio::join!(
                    client.run(call(address, kind), events),
                    answer(listener, status, body)
                );
                let Some(Event::Call { event, .. }) = received.recv().await else {
                    panic!("{name}, {status}, {kind:?}: the call has no event");
                };
                let is_right = match event {
                    CallEvent::Refused { .. } => is_refused,
                    CallEvent::Broken { .. } => !is_refused,
                    _ => false,
                };
                assert!(is_right, "{name}, {status}, {kind:?}: {event:?}");
            }
        }
    }
}
