//! Listens for connections, and serves each until it or the process ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::driver::{Driver, Phase};
use crate::inspector::{InspectedStream, Inspector};
use crate::{auxiliary, front};

/// Idle timeout of callers' connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the idle timeout, so that a request sent just before it expires still arrives.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Maximum size of a request head in bytes before a configuration is known.
const DEFAULT_MAX_HEAD: usize = 16 * 1024;
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
    /// Directory, readiness check, state for peers and metrics.
    Auxiliary,
    /// These, and the operator's interface.
    Operator,
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
            _ = phase.wait_for(|it| is_closing(*it)), if interface == Interface::Front => return,
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
        Interface::Front => caller(driver, stream).await,
        Interface::Auxiliary | Interface::Operator => {
            let service = service_fn(move |it| auxiliary::serve(driver.clone(), interface, it));
            let served = Builder::new().serve_connection(TokioIo::new(stream), service).await;
            // Clients may disconnect at any time.
            drop(served);
        }
    }
}

async fn caller(driver: Rc<Driver>, stream: TcpStream) {
    let limits = driver.query(|it| it.config().map(|it| it.limits.clone()));
    let (head, idle) = match limits {
        Some(limits) => (limits.header, limits.idle_timeout),
        None => (DEFAULT_MAX_HEAD, DEFAULT_IDLE_TIMEOUT),
    };
    let max_head = head.max(DEFAULT_MAX_HEAD);
    let mut builder = Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle + IDLE_SLACK).max_buf_size(max_head);
    let mut phase = driver.phase.subscribe();
    let inspector = Inspector::new(max_head);
    let inspected = InspectedStream { stream, inspector: inspector.clone() };
    let service = service_fn(move |it| front::serve(driver.clone(), inspector.clone(), it));
    let connection = builder.serve_connection(TokioIo::new(inspected), service);
    let mut connection = std::pin::pin!(connection);
    // Errors are caused by the caller, which disconnected or sent an invalid request and got an error
    // response.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|it| is_closing(*it)) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

fn is_closing(phase: Phase) -> bool {
    matches!(phase, Phase::Closing | Phase::Stopped)
}
