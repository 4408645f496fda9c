//! Starts an entry and sends requests to it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_edge::http::{BufferedResponse, read_response};
use ferry_edge::{ClientOptions, HttpClient, logs};
use ferry_entry::{CallerLimits, EntryOptions, EntryServer};
use ferry_fakes::deployment::demo_token;
use ferry_fakes::{Deployment, DeploymentName};
use ferry_model::workspace::{shard_name, shard_of};
use ferry_model::{
    EndpointState, Instance, ObjectKind, Revision, Shard, Workspace, WorkspaceEntry,
};
use ferry_standin::{DeploymentStandins, Run};
use http::request::Builder;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;

/// Generous limit that only a hang reaches.
pub const TIMEOUT: Duration = Duration::from_secs(30);
const FLEET_INTERVAL: Duration = Duration::from_millis(100);
/// Short enough for an instance to leave quickly.
const SHORT: Duration = Duration::from_millis(50);
const POLL: Duration = Duration::from_millis(5);
const WORKSPACE: &str = "agents";

pub struct Harness {
    pub standins: DeploymentStandins,
    pub entry: EntryServer,
    http: HttpClient,
}

impl Harness {
    pub async fn start(limits: CallerLimits) -> Harness {
        let bind = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = logs::silent_logger();
        let deployment = Deployment::new(DeploymentName::Ikenna);
        let standins = DeploymentStandins::start(&deployment, bind, &log).unwrap();
        let platform = standins.platform.address();
        let options = EntryOptions {
            identity: Identity {
                instance: "entry-0".to_owned(),
                incarnation: 1,
                zone: deployment.zones[0].to_owned(),
                region: deployment.region.to_owned(),
                role: InstanceRole::Entry,
            },
            tuning: Tuning { answer_ttl: SHORT, leave_margin: SHORT, ..Tuning::default() },
            seed: 1,
            listen: bind,
            clients: ClientOptions::new("entry-0", platform).with_fleet_interval(FLEET_INTERVAL),
            limits,
            workspaces: deployment.workspaces.clone(),
        };
        let entry = EntryServer::start(options, &log).unwrap();
        let mut status = entry.handle().watch_status();
        tokio::time::timeout(TIMEOUT, status.wait_for(|it| it.ready)).await.unwrap().unwrap();
        drop(status);
        Harness { standins, entry, http: HttpClient::new() }
    }

    pub fn address(&self) -> SocketAddr {
        self.entry.address()
    }

    pub async fn send(&self, request: Request<Full<Bytes>>) -> BufferedResponse {
        let address = self.address();
        let answer = async {
            let response = self.http.send_fresh(address, request).await.unwrap();
            read_response(address, response).await.unwrap()
        };
        tokio::time::timeout(TIMEOUT, answer).await.unwrap()
    }

    pub async fn post(&self, pipeline: &str, key: &str, body: &Value) -> BufferedResponse {
        let request = self.request(Method::POST, &requests_path(pipeline));
        let request = request.header("idempotency-key", key);
        self.send(request.body(Full::from(body.to_string())).unwrap()).await
    }

    /// Returns the builder of a request with the token of a workspace.
    pub fn request(&self, method: Method, path: &str) -> Builder {
        let address = self.address();
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", demo_token(WORKSPACE)))
    }

    /// Sends a valid request and checks that it completes.
    pub async fn expect_complete(&self, key: &str) {
        let answer = self.post("calendar", key, &serde_json::json!({ "input": "x" })).await;
        let body: Value = answer.json().unwrap();
        assert_eq!(body["outcome"], "complete", "{body}");
        assert_eq!(body["output"], "calendar(x)");
    }

    /// Stores a revision of a shard that has a workspace with `token`, or none without a token.
    pub fn store_workspace(&self, revision: Revision, token: Option<&str>) {
        let workspace = |token: &str| Workspace {
            name: "stored".to_owned(),
            weight: 1,
            concurrent: 0,
            tokens: vec![blake3::hash(token.as_bytes()).to_hex().to_string()],
        };
        let entries = token.map(|it| WorkspaceEntry { revision, workspace: workspace(it) });
        let shard = Shard { revision, entries: Vec::from_iter(entries), history: Vec::new() };
        let name = shard_name(shard_of("stored"));
        let value = serde_json::to_value(&shard).unwrap();
        self.standins.platform.state.seed(ObjectKind::Workspaces.into(), &name, value);
    }

    /// Adds the entry to the instance list.
    pub fn list_entry(&self) {
        self.standins.platform.state.set_instances(vec![Instance {
            id: "entry-0".to_owned(),
            zone: "lagos-1".to_owned(),
            region: "lagos".to_owned(),
            address: self.address(),
            peer: self.address(),
            state: EndpointState::Live,
            is_entry: true,
        }]);
    }

    pub fn runs(&self, key: &str) -> Vec<Run> {
        self.standins.run_log.runs().into_iter().filter(|it| it.key == key).collect()
    }

    /// Waits until a stage of the request with `key` has run.
    pub async fn wait_run(&self, key: &str, stage: &str) {
        let ran = async {
            while !self.runs(key).iter().any(|it| it.stage == stage) {
                tokio::time::sleep(POLL).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, ran).await;
        assert!(waited.is_ok(), "{stage} did not run: {:?}", self.runs(key));
    }
}

pub fn requests_path(pipeline: &str) -> String {
    format!("/v1/pipelines/{pipeline}/requests")
}
