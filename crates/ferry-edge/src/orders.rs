//! Sends orders to endpoints and reads their state.
//!
//! Each order has its own connection, which is closed when the order expires, so that no
//! queue on the way to the endpoint can deliver it later. See docs/design/placement.md.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ferry_core::Event;
use ferry_model::{EndpointId, EndpointReport, Fence, Order, OrderResult};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::HttpClient;
use crate::http::{BufferedResponse, json_request, read_response};

/// Path of an endpoint's state: `PUT` sends an order, `GET` reads the state.
pub const STATE_PATH: &str = "/v1/state";

/// Time limit for reading an endpoint's state.
const INSPECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of the response to an order with an outdated fencing number, with status 409.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FencedBody {
    /// Highest fencing number that the endpoint has seen.
    pub seen: Fence,
}

#[derive(Debug, Clone, Default)]
pub struct OrderClient {
    http: HttpClient,
}

impl OrderClient {
    pub fn new() -> OrderClient {
        OrderClient { http: HttpClient::new() }
    }

    /// Sends one order; its time to live starts at `received`, when the reducer decided on it.
    pub async fn send(
        self,
        address: SocketAddr,
        order: Order,
        received: Instant,
        events: UnboundedSender<Event>,
    ) {
        let (endpoint, fence) = (order.endpoint.clone(), order.fence);
        let deadline = received + order.ttl;
        let result = match connect(address, deadline).await {
            Ok(connection) => connection.send(address, &order, deadline).await,
            Err(error) => OrderResult::NotSent { error },
        };
        let _ = events.send(Event::Ordered { endpoint, fence, result });
    }

    /// Reads the state of one endpoint.
    pub async fn inspect(
        self,
        address: SocketAddr,
        endpoint: EndpointId,
        events: UnboundedSender<Event>,
    ) {
        let response =
            self.http.call::<()>(Method::GET, address, STATE_PATH, None, INSPECT_TIMEOUT).await;
        let report = response
            .ok()
            .filter(|it| it.status == StatusCode::OK)
            .and_then(|it| it.json::<EndpointReport>().ok())
            .filter(|it| it.endpoint == endpoint);
        let _ = events.send(Event::Report { endpoint, report });
    }
}

/// The connection of one order; dropping it closes the socket.
struct OrderConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for OrderConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl OrderConnection {
    async fn send(mut self, address: SocketAddr, order: &Order, deadline: Instant) -> OrderResult {
        let request = match json_request(Method::PUT, address, STATE_PATH, Some(order)) {
            Ok(request) => request,
            Err(error) => return OrderResult::NotSent { error: error.to_string() },
        };
        // Checks the deadline right before the first byte, as this process may have been paused.
        if deadline <= Instant::now() {
            return OrderResult::NotSent { error: "the order has expired".to_owned() };
        }
        match tokio::time::timeout_at(deadline, self.send_and_read(address, request)).await {
            Ok(Ok(response)) => read(&response),
            Ok(Err(error)) => OrderResult::Unknown { error },
            Err(_) => {
                OrderResult::Unknown { error: "no response before the order expired".to_owned() }
            }
        }
    }

    async fn send_and_read(
        &mut self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, String> {
        let response = self.sender.send_request(request).await.map_err(|it| it.to_string())?;
        read_response(address, response).await.map_err(|it| it.to_string())
    }
}

async fn connect(address: SocketAddr, deadline: Instant) -> Result<OrderConnection, String> {
    let stream = tokio::time::timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| format!("could not connect to {address} before the order expired"))?
        .map_err(|it| format!("could not connect to {address}: {it}"))?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|it| it.to_string())?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(OrderConnection { sender, task: task.abort_handle() })
}

fn read(response: &BufferedResponse) -> OrderResult {
    match response.status {
        StatusCode::OK | StatusCode::ACCEPTED => OrderResult::Applied,
        StatusCode::CONFLICT => match response.json::<FencedBody>() {
            Ok(body) => OrderResult::Fenced { seen: body.seen },
            Err(error) => OrderResult::Unknown { error: error.to_string() },
        },
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            let text = String::from_utf8_lossy(&response.body);
            OrderResult::Refused { error: format!("status {status}: {text}") }
        }
        status => OrderResult::Unknown { error: format!("status {status}") },
    }
}
