//! Listens for connections, and serves each until it or the process ends.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ferry_serve::Metric;
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::caller_limits::{CountedBody, IdleWatch};
use crate::driver::{Driver, Phase};
use crate::inspector::{InspectedStream, Inspector};
use crate::progress::{Progress, TrackedBody};
use crate::{auxiliary, front};

/// Maximum size of a request head in bytes that a connection can take, unless the configuration
/// allowed more when it was accepted.
const HEAD_CAPACITY: usize = 64 * 1024;
/// Pause after an accept error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug, Error)]
#[error("could not listen on {address}: {error}")]
pub struct ListenError {
    address: SocketAddr,
    error: std::io::Error,
}

/// The interface that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// Callers' requests.
    Front,
    /// Requests that peers pass on.
    Relay,
    /// Directory, readiness check, state for peers and metrics.
    Auxiliary,
    /// These, and the operator's interface.
    Operator,
}

impl Interface {
    fn takes_requests(self) -> bool {
        matches!(self, Interface::Front | Interface::Relay)
    }
}

/// Binds to an address and serves its connections in the background.
pub async fn listen(
    driver: &Rc<Driver>,
    address: SocketAddr,
    interface: Interface,
) -> Result<(), ListenError> {
    let listener =
        TcpListener::bind(address).await.map_err(|error| ListenError { address, error })?;
    let driver = driver.clone();
    spawn_local(async move { accept(driver, listener, interface).await });
    Ok(())
}

async fn accept(driver: Rc<Driver>, listener: TcpListener, interface: Interface) {
    let mut phase = driver.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|it| is_closing(*it)), if interface.takes_requests() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let driver = driver.clone();
                spawn_local(async move { connection(driver, stream, interface).await });
            }
            Err(error) => {
                driver.warn("could not accept a connection", &error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(driver: Rc<Driver>, stream: TcpStream, interface: Interface) {
    if let Err(error) = stream.set_nodelay(true) {
        driver.warn("could not set up a connection", &error);
    }
    match interface {
        Interface::Front | Interface::Relay => caller(driver, stream, interface).await,
        Interface::Auxiliary | Interface::Operator => {
            let service = service_fn(move |it| auxiliary::serve(driver.clone(), interface, it));
            let served = Builder::new().serve_connection(TokioIo::new(stream), service).await;
            // Clients may disconnect at any time.
            drop(served);
        }
    }
}

async fn caller(driver: Rc<Driver>, stream: TcpStream, interface: Interface) {
    let mut limits = driver.limits.subscribe();
    let max_head = limits.borrow().max_head;
    let capacity = max_head.max(HEAD_CAPACITY);
    let mut phase = driver.phase.subscribe();
    let inspector = Inspector::new(max_head);
    let progress = Progress::new(capacity);
    let idle = IdleWatch::new(Instant::now(), driver.n_open.clone());
    let inspected = InspectedStream {
        stream,
        inspector: inspector.clone(),
        progress: progress.clone(),
        idle: idle.clone(),
        limits: limits.clone(),
        phase: phase.clone(),
        linger: None,
    };
    let service = {
        let (driver, inspector, idle) = (driver.clone(), inspector.clone(), idle.clone());
        service_fn(move |it: Request<Incoming>| {
            let (request, version) = (idle.start_request(), it.version());
            let it = it.map(|body| TrackedBody::new(body, progress.clone()));
            let response = front::serve(driver.clone(), inspector.clone(), interface, it);
            let (driver, idle) = (driver.clone(), idle.clone());
            async move {
                let mut response = response.await?;
                if *driver.phase.borrow() != Phase::Serving {
                    idle.await_close();
                }
                // A larger head would be refused here, and is taken on a new connection.
                if capacity < driver.limits.borrow().max_head {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, request, version)))
            }
        })
    };
    let mut builder = Builder::new();
    // The library would keep the time that was in force when the connection was accepted.
    builder.header_read_timeout(None).max_buf_size(capacity);
    let connection = builder.serve_connection(TokioIo::new(inspected), service);
    let mut connection = std::pin::pin!(connection);
    // The connection comes first, so that a request that has arrived is seen before a late timer.
    // Its errors are caused by the caller, which disconnected or sent an invalid request and got an
    // error response.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|it| is_closing(*it)) => connection.as_mut().graceful_shutdown(),
        () = idle.expired(&mut limits) => return close_idle(&driver, &inspector),
    }
    if idle.is_open() {
        idle.await_close();
    }
    // A head that has begun may still end; its request is served, or refused once the process exits.
    let _ = connection.await;
}

/// Records why a connection is closed that had no request in progress for too long.
fn close_idle(driver: &Driver, inspector: &Inspector) {
    driver.metrics.count(Metric::ConnectionsTimedOut);
    let n_kept = inspector.n_kept();
    if 0 < n_kept {
        let error = format!("its head did not arrive in time; {n_kept} bytes did");
        driver.warn("a caller's connection was closed inside a request", &error);
    }
}

fn is_closing(phase: Phase) -> bool {
    matches!(phase, Phase::Closing | Phase::Stopped)
}
