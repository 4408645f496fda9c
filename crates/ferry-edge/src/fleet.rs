//! Reads the platform's instance list at a fixed interval.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_core::Event;
use http::Method;
use slog::{Logger, warn};
use tokio::sync::mpsc::UnboundedSender;

use crate::HttpClient;
use crate::wire::FleetBody;

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

    /// Reads the list until nobody receives it any more.
    pub fn spawn(self, events: UnboundedSender<Event>) {
        tokio::spawn(async move {
            while !events.is_closed() {
                match self.read().await {
                    Ok(body) => {
                        let _ = events.send(Event::Fleet {
                            endpoints: body.endpoints,
                            instances: body.instances,
                        });
                    }
                    Err(error) => warn!(self.log, "could not read the instance list";
                        "error" => error),
                }
                tokio::time::sleep(self.interval).await;
            }
        });
    }

    async fn read(&self) -> Result<FleetBody, String> {
        let path = "/v1/endpoints";
        let answer = self
            .http
            .call::<()>(Method::GET, self.address, path, None, self.interval)
            .await
            .map_err(|it| it.to_string())?;
        answer.json().map_err(|it| format!("could not read {path}: {it}"))
    }
}
