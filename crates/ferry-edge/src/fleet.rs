//! Polls the platform's instance list; its body is transferred only when it has changed.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_core::Event;
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, StatusCode};
use rand::RngExt;
use slog::{Logger, warn};
use tokio::sync::mpsc::UnboundedSender;

use crate::HttpClient;
use crate::http::{json_request, read_response};
use crate::wire::FleetBody;

/// Path of the instance list.
const PATH: &str = "/v1/endpoints";

#[derive(Debug, Clone)]
pub struct FleetClient {
    http: HttpClient,
    address: SocketAddr,
    interval: Duration,
    log: Logger,
}

impl FleetClient {
    pub fn new(address: SocketAddr, interval: Duration, log: Logger) -> FleetClient {
        FleetClient { http: HttpClient::new(), address, interval, log }
    }

    /// Polls the list until the receiver of the events is closed.
    pub fn spawn(self, events: UnboundedSender<Event>) {
        tokio::spawn(async move {
            let mut known = None;
            while !events.is_closed() {
                match self.read(known.as_ref()).await {
                    Ok(Some(list)) => known = Some(list),
                    Ok(None) => (),
                    Err(error) => warn!(self.log, "could not read the instance list";
                        "error" => error),
                }
                if let Some(List { body, .. }) = known.clone() {
                    let FleetBody { endpoints, instances } = body;
                    let _ = events.send(Event::Fleet { endpoints, instances });
                }
                tokio::time::sleep(self.interval.mul_f64(jitter())).await;
            }
        });
    }

    /// Reads the list; returns `None` if it is unchanged.
    async fn read(&self, known: Option<&List>) -> Result<Option<List>, String> {
        let mut request = json_request::<()>(Method::GET, self.address, PATH, None)
            .map_err(|it| it.to_string())?;
        if let Some(tag) = known.and_then(|it| it.tag.clone()) {
            request.headers_mut().insert(IF_NONE_MATCH, tag);
        }
        let exchange = async {
            let response = self.http.send_pooled(self.address, request).await?;
            read_response(self.address, response).await
        };
        let response = tokio::time::timeout(self.interval, exchange)
            .await
            .map_err(|_| "no response in time".to_owned())?
            .map_err(|it| it.to_string())?;
        if response.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let body = response.json().map_err(|it| format!("could not read {PATH}: {it}"))?;
        Ok(Some(List { tag: response.headers.get(ETAG).cloned(), body }))
    }
}

/// The list as last read, with its entity tag.
#[derive(Debug, Clone)]
struct List {
    tag: Option<HeaderValue>,
    body: FleetBody,
}

/// Returns a random factor that spreads the reads of instances that started together.
fn jitter() -> f64 {
    rand::rng().random_range(0.9..1.1)
}
