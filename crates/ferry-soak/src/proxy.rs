//! A proxy that forwards loopback connections and injects faults into them.

use std::cell::{Cell, RefCell};
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
    target: SocketAddr,
    link: Rc<Cell<Link>>,
    pub reset: Rc<Notify>,
    task: RefCell<Option<AbortHandle>>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Proxy {
    pub async fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Proxy> {
        let link = Rc::new(Cell::new(Link::Open));
        let proxy = Proxy { address, target, link, reset: Rc::default(), task: RefCell::default() };
        proxy.listen().await?;
        Ok(proxy)
    }

    /// Listens, also again after a stop.
    pub async fn listen(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let (target, link, reset) = (self.target, self.link.clone(), self.reset.clone());
        let task = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if link.get() != Link::Refusing {
                    spawn_local(forward(stream, target, link.clone(), reset.clone()));
                }
            }
        });
        self.task.replace(Some(task.abort_handle()));
        Ok(())
    }

    /// Closes every open connection and refuses new ones.
    pub fn stop(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.reset();
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
