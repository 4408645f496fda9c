//! A proxy that forwards loopback connections and injects faults into them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};

/// Interval at which a blocked direction checks the state of the link.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State of the link between the two sides of a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Open,
    /// Forwards nothing in either direction, so that new connections hang.
    Silent,
    /// Forwards bytes to the target but not its responses.
    OneWay,
    /// Delays each chunk that is forwarded.
    Slow(Duration),
    /// Closes open and new connections at once.
    Refusing,
}

#[derive(Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    link: Rc<Cell<Link>>,
    reset: Rc<Notify>,
    task: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    pub async fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let link = Rc::new(Cell::new(Link::Open));
        let reset = Rc::new(Notify::new());
        let (state, resets) = (link.clone(), reset.clone());
        let task = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if state.get() != Link::Refusing {
                    spawn_local(forward(stream, target, state.clone(), resets.clone()));
                }
            }
        });
        Ok(Proxy { address, link, reset, task: task.abort_handle() })
    }

    pub fn set(&self, link: Link) {
        self.link.set(link);
        if link == Link::Refusing {
            self.reset();
        }
    }

    /// Closes every open connection.
    pub fn reset(&self) {
        self.reset.notify_waiters();
    }
}

async fn forward(caller: TcpStream, target: SocketAddr, link: Rc<Cell<Link>>, reset: Rc<Notify>) {
    let reset = reset.notified();
    let Ok(callee) = TcpStream::connect(target).await else { return };
    let (mut caller_in, mut caller_out) = caller.into_split();
    let (mut callee_in, mut callee_out) = callee.into_split();
    let forward = copy(&mut caller_in, &mut callee_out, &link, Link::Silent);
    let backward = copy(&mut callee_in, &mut caller_out, &link, Link::OneWay);
    tokio::select! {
        () = forward => (),
        () = backward => (),
        () = reset => (),
    }
}

/// Copies bytes; waits while the link is silent or in the state `blocked`.
async fn copy(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    link: &Cell<Link>,
    blocked: Link,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(len @ 1..) = from.read(&mut buffer).await else { return };
        while link.get() == Link::Silent || link.get() == blocked {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if let Link::Slow(time) = link.get() {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
