//! The endpoint stand-in: orders with and without fencing, the weight store, faults and runs.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_core::Event;
use ferry_edge::{HttpClient, OrderClient, logs};
use ferry_model::{EndpointReport, Order, OrderResult, Role};
use ferry_standin::{EndpointFaults, EndpointSpec, EndpointStandin, Run, RunLog, WeightStore};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(20);
const MODEL: &str = "draft-large";

fn start(checks_fence: bool, weights: &WeightStore) -> EndpointStandin {
    let spec = EndpointSpec {
        id: "engine-0".to_owned(),
        service_time: Duration::from_millis(1),
        token_time: Duration::from_millis(1),
        slots: 4,
        models: vec![MODEL.to_owned()],
        checks_fence,
    };
    let bind = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = logs::silent_logger();
    EndpointStandin::start(bind, spec, RunLog::new(), weights.clone(), &log).expect("it starts")
}

fn weights() -> WeightStore {
    WeightStore::new(1, Duration::from_millis(50))
}

fn order(fence: u64, models: &[&str]) -> Order {
    Order {
        endpoint: "engine-0".to_owned(),
        fence,
        models: models.iter().map(|it| (*it).to_owned()).collect(),
        role: Role::Both,
        ttl: TIMEOUT,
    }
}

async fn send_order(address: SocketAddr, order: Order, received: Instant) -> OrderResult {
    let (tx, mut rx) = mpsc::unbounded_channel();
    OrderClient::new().send(address, order, received, tx).await;
    match rx.recv().await {
        Some(Event::Ordered { result, .. }) => result,
        other => panic!("expected the result of an order, got {other:?}"),
    }
}

async fn inspect(address: SocketAddr) -> EndpointReport {
    let (tx, mut rx) = mpsc::unbounded_channel();
    OrderClient::new().inspect(address, "engine-0".to_owned(), tx).await;
    match rx.recv().await {
        Some(Event::Report { report: Some(report), .. }) => report,
        other => panic!("expected a report, got {other:?}"),
    }
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> (StatusCode, Value) {
    let http = HttpClient::new();
    let answer = http.call(method, address, path, Some(body), TIMEOUT).await.expect("an answer");
    (answer.status, answer.json().unwrap_or(Value::Null))
}

fn stage_body(attempt: u64) -> Value {
    let ferry = json!({ "request": "0a", "stage": "encode", "attempt": attempt });
    json!({ "ferry": ferry, "key": "k", "input": "x", "budget_ms": 1000 })
}

struct Case {
    name: &'static str,
    checks_fence: bool,
    fences: [u64; 2],
    result: OrderResult,
    models: &'static [&'static str],
}

#[tokio::test]
async fn outdated_fencing_numbers_are_refused_where_they_are_checked() {
    let cases = [
        Case {
            name: "newer fencing number",
            checks_fence: true,
            fences: [5, 6],
            result: OrderResult::Applied,
            models: &[],
        },
        Case {
            name: "outdated fencing number",
            checks_fence: true,
            fences: [5, 4],
            result: OrderResult::Fenced { seen: 5 },
            models: &[MODEL],
        },
        Case {
            name: "outdated fencing number, not checked",
            checks_fence: false,
            fences: [5, 4],
            result: OrderResult::Applied,
            models: &[],
        },
    ];
    for case in cases {
        let standin = start(case.checks_fence, &weights());
        let address = standin.address();
        let first = send_order(address, order(case.fences[0], &[MODEL]), Instant::now()).await;
        assert_eq!(first, OrderResult::Applied, "{}", case.name);
        let second = send_order(address, order(case.fences[1], &[]), Instant::now()).await;
        assert_eq!(second, case.result, "{}", case.name);
        assert_eq!(inspect(address).await.models, case.models, "{}", case.name);
    }
}

#[tokio::test]
async fn expired_order_is_not_sent() {
    let standin = start(true, &weights());
    let received = Instant::now();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let late = Order { ttl: Duration::from_millis(10), ..order(9, &[]) };
    let result = send_order(standin.address(), late, received).await;
    assert!(matches!(result, OrderResult::NotSent { .. }), "{result:?}");
    let report = inspect(standin.address()).await;
    assert_eq!((report.models.len(), report.fence), (1, Some(0)), "it never received the order");
}

#[tokio::test]
async fn weight_store_refuses_loads_while_busy() {
    let weights = weights();
    let (left, right) = (start(true, &weights), start(true, &weights));
    for it in [&left, &right] {
        let result = send_order(it.address(), order(1, &[]), Instant::now()).await;
        assert_eq!(result, OrderResult::Applied);
    }
    let first = send_order(left.address(), order(2, &[MODEL]), Instant::now()).await;
    assert_eq!(first, OrderResult::Applied);
    assert_eq!(inspect(left.address()).await.loading, [MODEL]);
    let second = send_order(right.address(), order(2, &[MODEL]), Instant::now()).await;
    assert!(matches!(second, OrderResult::Refused { .. }), "{second:?}");
    let loaded = async {
        while inspect(left.address()).await.models.is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, loaded).await.expect("it loads");
    let again = send_order(right.address(), order(2, &[MODEL]), Instant::now()).await;
    assert_eq!(again, OrderResult::Applied);
}

#[tokio::test]
async fn unloaded_endpoint_refuses_calls_without_running_them() {
    let standin = start(true, &weights());
    let address = standin.address();
    let (status, _) = call(address, Method::POST, "/v1/stages/encode", &stage_body(1)).await;
    assert_eq!(status, StatusCode::OK);
    send_order(address, order(1, &[]), Instant::now()).await;
    let (status, body) = call(address, Method::POST, "/v1/stages/encode", &stage_body(2)).await;
    assert_eq!((status, &body["leaving"]), (StatusCode::SERVICE_UNAVAILABLE, &json!(false)));
    let (_, runs) = call(address, Method::GET, "/witness", &Value::Null).await;
    let runs: Vec<Run> = serde_json::from_value(runs).expect("runs");
    let attempts: Vec<u64> = runs.iter().map(|it| it.attempt).collect();
    assert_eq!(attempts, [1], "only the accepted call");
}

#[tokio::test]
async fn faults_are_set_over_http() {
    let standin = start(true, &weights());
    let address = standin.address();
    let cases = [
        (json!({ "leaving": true }), StatusCode::SERVICE_UNAVAILABLE),
        (json!({ "fail": true }), StatusCode::INTERNAL_SERVER_ERROR),
        (json!({}), StatusCode::OK),
    ];
    for (faults, expected) in cases {
        let (status, body) = call(address, Method::PUT, "/control/faults", &faults).await;
        assert_eq!(status, StatusCode::OK);
        let set: EndpointFaults = serde_json::from_value(body).expect("faults");
        assert_eq!(set, serde_json::from_value(faults.clone()).expect("faults"));
        let (status, _) = call(address, Method::POST, "/v1/stages/encode", &stage_body(1)).await;
        assert_eq!(status, expected, "{faults}");
    }
    let misaddress = json!({ "misaddress": true });
    call(address, Method::PUT, "/control/faults", &misaddress).await;
    let (_, body) = call(address, Method::POST, "/v1/stages/encode", &stage_body(6)).await;
    assert_eq!(body["ferry"]["attempt"], json!(7), "echo of another call");
    let unknown = json!({ "no_such_fault": true });
    let (status, _) = call(address, Method::PUT, "/control/faults", &unknown).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
}
