//! The administration interface over HTTP, against the stand-in of the object API.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_control::{ControlOptions, ControlServer, Operator, OperatorRole};
use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_edge::http::read_response;
use ferry_edge::{ClientOptions, HttpClient, logs};
use ferry_fakes::{Deployment, DeploymentName};
use ferry_standin::DeploymentStandins;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

const WAIT: Duration = Duration::from_secs(20);

struct Bench {
    standins: DeploymentStandins,
    control: ControlServer,
    http: HttpClient,
}

struct Call {
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Option<Value>,
}

impl Call {
    fn new(method: Method, path: &'static str) -> Call {
        let headers = vec![("authorization", "Bearer amaka-token".to_owned())];
        Call { method, path, headers, body: None }
    }

    /// Asks with another operator's token.
    fn by(mut self, operator: &str) -> Call {
        self.headers[0].1 = format!("Bearer {operator}-token");
        self
    }

    fn with(mut self, name: &'static str, value: impl ToString) -> Call {
        self.headers.push((name, value.to_string()));
        self
    }

    fn with_body(mut self, body: Value) -> Call {
        self.body = Some(body);
        self
    }
}

struct Told {
    status: StatusCode,
    etag: Option<String>,
    body: Value,
}

impl Bench {
    async fn start() -> Bench {
        let log = logs::silent_logger();
        let bind = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let deployment = Deployment::new(DeploymentName::Ikenna);
        let standins = DeploymentStandins::start(&deployment, bind, &log).expect("stand-ins");
        let operator = |name: &str, role: OperatorRole| Operator {
            name: name.to_owned(),
            role,
            tokens: vec![blake3::hash(format!("{name}-token").as_bytes()).to_hex().to_string()],
        };
        let mut tuning = Tuning::default();
        tuning.place.enabled = false;
        let mut ports = ClientOptions::new("control-0", standins.platform.address())
            .with_fleet_interval(Duration::from_millis(200));
        ports.store.timeout = Duration::from_millis(500);
        let options = ControlOptions {
            identity: Identity {
                instance: "control-0".to_owned(),
                incarnation: 7,
                zone: "lagos-1".to_owned(),
                region: "lagos".to_owned(),
                role: InstanceRole::Control,
            },
            tuning,
            seed: 7,
            listen: bind,
            ports,
            body: 64 * 1024,
            close_time: Duration::from_secs(1),
            operators: vec![
                operator("amaka", OperatorRole::Admin),
                operator("farid", OperatorRole::Admin),
                operator("ngozi", OperatorRole::Operator),
                operator("suria", OperatorRole::Viewer),
            ],
        };
        let control = ControlServer::start(options, &log).expect("a control process");
        let mut status = control.handle().watch_status();
        let ready = status.wait_for(|it| it.ready);
        tokio::time::timeout(WAIT, ready).await.expect("in time").expect("a configuration");
        Bench { standins, control, http: HttpClient::new() }
    }

    async fn call(&self, call: Call) -> Told {
        let address = self.control.address();
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path))
            .header("content-type", "application/json");
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let body = call.body.map_or_else(Vec::new, |it| it.to_string().into_bytes());
        let request = request.body(Full::new(body.into())).expect("a request");
        let response = self.http.send_pooled(address, request).await.expect("a response");
        let answer = tokio::time::timeout(WAIT, read_response(address, response))
            .await
            .expect("in time")
            .expect("a body");
        let etag = answer.headers.get("etag").and_then(|it| it.to_str().ok());
        Told {
            status: answer.status,
            etag: etag.map(str::to_owned),
            body: serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
        }
    }
}

#[tokio::test]
async fn writes_need_the_revision_that_was_read() {
    let bench = Bench::start().await;
    let read = bench.call(Call::new(Method::GET, "/v1/chosen")).await;
    assert_eq!((read.status, read.body), (StatusCode::OK, json!({"preset": "ordinary"})));
    assert_eq!(read.etag.as_deref(), Some("\"1\""));

    let body = json!({"preset": "peak"});
    let bare = Call::new(Method::PUT, "/v1/chosen").with_body(body.clone());
    assert_eq!(bench.call(bare).await.status, StatusCode::PRECONDITION_REQUIRED);

    let put = Call::new(Method::PUT, "/v1/chosen")
        .with("if-match", "\"1\"")
        .with("change-id", "monday")
        .with_body(body.clone());
    let told = bench.call(put).await;
    assert_eq!(told.status, StatusCode::OK);
    assert_eq!(told.body, json!({"revision": 2, "id": "monday"}));

    let late = Call::new(Method::PUT, "/v1/chosen").with("if-match", "\"1\"").with_body(body);
    let told = bench.call(late).await;
    assert_eq!(told.status, StatusCode::PRECONDITION_FAILED);
    assert_eq!(told.body["revision"], 2);
    assert_eq!(told.body["changes"][0]["author"], "amaka");
    assert_eq!(told.body["changes"][0]["place"], "/chosen");

    let history = bench.call(Call::new(Method::GET, "/v1/history")).await;
    assert_eq!(history.body["changes"][1]["id"], "monday");
}

#[tokio::test]
async fn each_role_does_what_it_may_and_no_more() {
    let bench = Bench::start().await;
    let pipeline = bench.call(Call::new(Method::GET, "/v1/pipelines/calendar")).await.body;
    let calls = [
        (Method::GET, "/v1/config", None),
        (Method::PUT, "/v1/chosen", Some(json!({"preset": "peak"}))),
        (Method::PUT, "/v1/pipelines/calendar", Some(pipeline)),
        (Method::DELETE, "/v1/pipelines/calendar", None),
        (
            Method::PUT,
            "/v1/workspaces/cafes",
            Some(json!({"name": "cafes", "weight": 1,
            "concurrent": 0, "tokens": []})),
        ),
    ];
    // A stale revision keeps the allowed writes from changing anything.
    let (ok, stale, no) = (StatusCode::OK, StatusCode::PRECONDITION_FAILED, StatusCode::FORBIDDEN);
    let cases = [
        ("suria", [ok, no, no, no, no]),
        ("ngozi", [ok, stale, no, no, no]),
        ("amaka", [ok, stale, stale, stale, stale]),
        ("nobody", [StatusCode::UNAUTHORIZED; 5]),
    ];
    for (operator, expected) in cases {
        for ((method, path, body), status) in calls.iter().zip(expected) {
            let mut call = Call::new(method.clone(), path).by(operator).with("if-match", "\"99\"");
            call.body.clone_from(body);
            let told = bench.call(call).await;
            assert_eq!(told.status, status, "{operator}: {method} {path}: {}", told.body);
        }
    }
}

#[tokio::test]
async fn each_kind_of_value_can_be_read_put_and_deleted() {
    let bench = Bench::start().await;
    let pipeline = bench.call(Call::new(Method::GET, "/v1/pipelines/calendar")).await;
    assert_eq!(pipeline.status, StatusCode::OK);
    let mut copy = pipeline.body.clone();
    copy["name"] = json!("diary");
    let put = |tag: u64, path, body| {
        Call::new(Method::PUT, path).with("if-match", format!("\"{tag}\"")).with_body(body)
    };
    let told = bench.call(put(1, "/v1/pipelines/diary", copy.clone())).await;
    assert_eq!(told.status, StatusCode::OK, "{}", told.body);
    let told = bench.call(put(2, "/v1/pipelines/other", copy)).await;
    assert_eq!(told.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(told.body["findings"][0]["place"], "/name");
    let delete = Call::new(Method::DELETE, "/v1/pipelines/diary").with("if-match", "\"2\"");
    assert_eq!(bench.call(delete).await.status, StatusCode::OK);
    let missing = bench.call(Call::new(Method::GET, "/v1/pipelines/diary")).await;
    assert_eq!(missing.status, StatusCode::NOT_FOUND);

    let preset = bench.call(Call::new(Method::GET, "/v1/presets/peak")).await;
    let told = bench.call(put(3, "/v1/presets/maintenance", preset.body)).await;
    assert_eq!(told.status, StatusCode::OK, "{}", told.body);
    let bad = json!({"floors": [{"pool": "nowhere", "endpoints": 1}], "limits": []});
    let told = bench.call(put(4, "/v1/presets/peak", bad)).await;
    assert_eq!(told.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(told.body["findings"][0]["place"], "/floors/0/pool");

    let pool = json!({"name": "archive", "kind": "service", "checks_fence": false});
    assert_eq!(bench.call(put(4, "/v1/pools/archive", pool)).await.status, StatusCode::OK);
    let used = Call::new(Method::DELETE, "/v1/pools/filing").with("if-match", "\"5\"");
    let told = bench.call(used).await;
    assert_eq!(told.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(told.body["findings"][0]["place"], "/pipelines/file/stages/1/pool");

    let workspace = json!({"name": "cafes", "weight": 2, "concurrent": 5, "tokens": []});
    let create = || {
        let call = Call::new(Method::PUT, "/v1/workspaces/cafes").with("if-none-match", "*");
        call.with_body(workspace.clone())
    };
    let told = bench.call(create()).await;
    assert_eq!(told.status, StatusCode::OK, "{}", told.body);
    assert_eq!(bench.call(create()).await.status, StatusCode::PRECONDITION_FAILED);
    let read = bench.call(Call::new(Method::GET, "/v1/workspaces/cafes")).await;
    assert_eq!(read.body, workspace);
    let list = bench.call(Call::new(Method::GET, "/v1/workspaces")).await;
    assert_eq!(list.body["items"].as_array().map(Vec::len), Some(6));
    let etag = read.etag.expect("a revision");
    let delete = Call::new(Method::DELETE, "/v1/workspaces/cafes").with("if-match", etag);
    assert_eq!(bench.call(delete).await.status, StatusCode::OK);
}

#[tokio::test]
async fn strangers_are_turned_away() {
    let bench = Bench::start().await;
    for token in ["Bearer nobody", "Basic amaka-token", "amaka-token"] {
        let mut call = Call::new(Method::GET, "/v1/config");
        call.headers = vec![("authorization", token.to_owned())];
        assert_eq!(bench.call(call).await.status, StatusCode::UNAUTHORIZED, "{token}");
    }
    let mut ready = Call::new(Method::GET, "/v1/ready");
    ready.headers.clear();
    assert_eq!(bench.call(ready).await.body, json!({"ready": true, "revision": 1}));
}

#[tokio::test]
async fn racing_operators_have_one_winner() {
    let bench = Bench::start().await;
    let put = |author: &str, preset: &str| {
        let mut call = Call::new(Method::PUT, "/v1/chosen").with("if-match", "\"1\"");
        call.headers[0].1 = format!("Bearer {author}-token");
        bench.call(call.with_body(json!({"preset": preset})))
    };
    let (left, right) = tokio::join!(put("amaka", "peak"), put("farid", "maintenance"));
    let mut statuses = [left.status, right.status];
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::PRECONDITION_FAILED]);
    let (winner, loser) = match left.status {
        StatusCode::OK => ("amaka", right.body),
        _ => ("farid", left.body),
    };
    assert_eq!(loser["changes"][0]["author"], winner);
    assert_eq!(bench.standins.platform.address().ip(), Ipv4Addr::LOCALHOST);
}
