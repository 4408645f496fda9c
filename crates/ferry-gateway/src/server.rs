//! Listens, and serves each connection until it or the process ends.

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

/// Idle time after which a caller's connection is closed while no configuration tells another.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// Added to the idle time, so that a request sent at its very end still arrives.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Bytes of a head while no configuration tells a limit.
const HEAD_LIMIT: usize = 16 * 1024;
/// Pause after an error of the listener, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug, Error)]
#[error("could not listen on {address}: {error}")]
pub struct ListenError {
    address: SocketAddr,
    error: std::io::Error,
}

/// Which interface a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    Front,
    Auxiliary,
}

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
            _ = phase.wait_for(|it| closes(*it)), if interface == Interface::Front => return,
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
        Interface::Auxiliary => {
            let service = service_fn(move |it| auxiliary::serve(driver.clone(), it));
            let served = Builder::new().serve_connection(TokioIo::new(stream), service).await;
            // Whoever asks may leave at any time.
            drop(served);
        }
    }
}

async fn caller(driver: Rc<Driver>, stream: TcpStream) {
    let limits = driver.query(|it| it.config().map(|it| it.limits.clone()));
    let (head, idle) = match limits {
        Some(limits) => (limits.header, limits.idle_timeout),
        None => (HEAD_LIMIT, IDLE_TIME),
    };
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_SLACK)
        .max_buf_size(head.max(HEAD_LIMIT));
    let mut phase = driver.phase.subscribe();
    let inspector = Inspector::new();
    let inspected = InspectedStream { stream, inspector: inspector.clone() };
    let service = service_fn(move |it| front::serve(driver.clone(), inspector.clone(), it));
    let connection = builder.serve_connection(TokioIo::new(inspected), service);
    let mut connection = std::pin::pin!(connection);
    // Errors are the caller's: it left, or sent what is no request and got its answer.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|it| closes(*it)) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

fn closes(phase: Phase) -> bool {
    matches!(phase, Phase::Closing | Phase::Stopped)
}
