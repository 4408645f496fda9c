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

impl Link {
    /// Whether everything arrives in the end, on the same connection.
    pub fn is_sound(self) -> bool {
        match self {
            Link::Open | Link::Slow(_) => true,
            Link::Silent | Link::OneWay | Link::Refusing => false,
        }
    }
}

/// How the answers of a target that stays sound arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answers {
    Prompt,
    /// They wait, and so does the rest of answers that have begun.
    Paused,
    /// They come in pieces with pauses, so that events are not whole at once.
    Pieces(Duration),
}

/// Number of pieces of what would arrive at once.
const N_PIECES: usize = 3;

#[derive(Debug, Clone)]
struct State {
    link: Rc<Cell<Link>>,
    answers: Rc<Cell<Answers>>,
}

#[derive(Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    target: SocketAddr,
    state: State,
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
        let state = State {
            link: Rc::new(Cell::new(Link::Open)),
            answers: Rc::new(Cell::new(Answers::Prompt)),
        };
        let (reset, task) = (Rc::default(), RefCell::default());
        let proxy = Proxy { address, target, state, reset, task };
        proxy.listen().await?;
        Ok(proxy)
    }

    /// Listens, also again after a stop.
    pub async fn listen(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let (target, state, reset) = (self.target, self.state.clone(), self.reset.clone());
        let task = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if state.link.get() != Link::Refusing {
                    spawn_local(forward(stream, target, state.clone(), reset.clone()));
                }
            }
        });
        self.task.replace(Some(task.abort_handle()));
        Ok(())
    }

    /// Closes every open connection and refuses new ones.
    pub fn stop(&self) {
        self.stop_listening();
        self.reset();
    }

    /// Refuses new connections, while open ones live on.
    pub fn stop_listening(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    pub fn set(&self, link: Link) {
        self.state.link.set(link);
        if link == Link::Refusing {
            self.reset();
        }
    }

    pub fn link(&self) -> Link {
        self.state.link.get()
    }

    /// Sets how answers arrive, whatever the link does.
    pub fn set_answers(&self, answers: Answers) {
        self.state.answers.set(answers);
    }

    /// Closes every open connection.
    pub fn reset(&self) {
        self.reset.notify_waiters();
    }
}

async fn forward(caller: TcpStream, target: SocketAddr, state: State, reset: Rc<Notify>) {
    let reset = reset.notified();
    let Ok(callee) = TcpStream::connect(target).await else { return };
    let (mut caller_in, mut caller_out) = caller.into_split();
    let (mut callee_in, mut callee_out) = callee.into_split();
    let forward = copy(&mut caller_in, &mut callee_out, &state.link, Link::Silent, None);
    let backward =
        copy(&mut callee_in, &mut caller_out, &state.link, Link::OneWay, Some(&state.answers));
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
    answers: Option<&Cell<Answers>>,
) {
    let answers = || answers.map_or(Answers::Prompt, Cell::get);
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(len @ 1..) = from.read(&mut buffer).await else { return };
        let is_blocked = || link.get() == Link::Silent || link.get() == blocked;
        while is_blocked() || answers() == Answers::Paused {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if let Link::Slow(time) = link.get() {
            tokio::time::sleep(time).await;
        }
        let (size, pause) = match answers() {
            Answers::Pieces(pause) => (len.div_ceil(N_PIECES), pause),
            Answers::Prompt | Answers::Paused => (len, Duration::ZERO),
        };
        for (number, piece) in buffer[..len].chunks(size).enumerate() {
            if number != 0 {
                tokio::time::sleep(pause).await;
            }
            if to.write_all(piece).await.is_err() {
                return;
            }
        }
    }
}
