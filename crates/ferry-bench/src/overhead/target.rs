//! Where a measured call goes.

use std::net::SocketAddr;
use std::sync::Arc;

use ferry_edge::HttpClient;
use ferry_edge::http::{json_request, read_response};
use ferry_edge::wire::{StageBody, WireEcho};
use ferry_entry::api::RequestBody;
use ferry_fakes::deployment::demo_token;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, StatusCode};

use super::NAME;
use super::child::WORKSPACE;

const INPUT: &str = "a licence application of a hotel in Lagos";
const BUDGET_MS: u64 = 8000;

/// Endpoints or an entry, with connections that are kept open.
#[derive(Debug, Clone)]
pub struct Target {
    http: HttpClient,
    addresses: Arc<Vec<SocketAddr>>,
    kind: Kind,
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Endpoint,
    Entry,
}

impl Target {
    pub fn endpoints(addresses: Vec<SocketAddr>) -> Target {
        Target { http: HttpClient::new(), addresses: Arc::new(addresses), kind: Kind::Endpoint }
    }

    pub fn entry(address: SocketAddr) -> Target {
        let addresses = Arc::new(vec![address]);
        Target { http: HttpClient::new(), addresses, kind: Kind::Entry }
    }

    /// Makes one call and checks that it was served.
    pub async fn call(&self, idx: usize) -> Result<(), String> {
        let address = self.addresses[idx % self.addresses.len()];
        let request = match self.kind {
            Kind::Endpoint => {
                let path = format!("/v1/stages/{NAME}");
                json_request(Method::POST, address, &path, Some(&stage_body(idx)))
            }
            Kind::Entry => {
                let path = format!("/v1/pipelines/{NAME}/requests");
                let body =
                    RequestBody { input: INPUT.to_owned(), deadline_ms: None, stream: false };
                json_request(Method::POST, address, &path, Some(&body))
            }
        };
        let mut request = request.map_err(|it| it.to_string())?;
        let token = format!("Bearer {}", demo_token(WORKSPACE));
        let token = HeaderValue::from_str(&token).map_err(|it| it.to_string())?;
        request.headers_mut().insert(AUTHORIZATION, token);
        let response =
            self.http.send_pooled(address, request).await.map_err(|it| it.to_string())?;
        let answer = read_response(address, response).await.map_err(|it| it.to_string())?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(format!("{status}: {}", String::from_utf8_lossy(&answer.body))),
        }
    }
}

fn stage_body(idx: usize) -> StageBody {
    StageBody {
        ferry: WireEcho::new(idx as u128, NAME, idx as u64),
        key: format!("{idx:032x}"),
        input: INPUT.to_owned(),
        budget_ms: BUDGET_MS,
        priority: 0,
    }
}
