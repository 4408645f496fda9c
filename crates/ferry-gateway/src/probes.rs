//! Probes of endpoints whose calls broke off.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ferry_model::EndpointId;
use ferry_serve::Event;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::driver::Driver;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Opens a connection and closes it; an endpoint that has crashed accepts none.
pub fn start(driver: &Rc<Driver>, endpoint: EndpointId, started: u64, address: SocketAddr) {
    let driver = driver.clone();
    spawn_local(async move {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let is_alive = matches!(connected, Ok(Ok(_)));
        driver.dispatch(Event::Probed { endpoint, started, is_alive });
    });
}
