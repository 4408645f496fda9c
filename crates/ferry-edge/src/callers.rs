//! Registry of the callers and operators that wait for a reply of this process's node.
//!
//! Every request that the node answers asynchronously gets its ticket here, regardless
//! of the interface that it arrived on.

use std::sync::Mutex;

use ferry_core::{Event, InstancesAnswer};
use ferry_model::{AdminReply, Answer, KeyState, SortedMap, Ticket};
use tokio::sync::mpsc;

use crate::Handle;

/// An event for a waiting caller; events are delivered in order, the final reply last.
#[derive(Debug, Clone)]
pub enum CallerEvent {
    Token { number: u32, text: String },
    Answer(Box<Answer>),
    Instances(Box<InstancesAnswer>),
    Key(KeyState),
    Admin(Box<AdminReply>),
}

impl CallerEvent {
    /// Whether this is the last event of its ticket.
    pub fn is_last(&self) -> bool {
        match self {
            CallerEvent::Token { .. } => false,
            CallerEvent::Answer(_)
            | CallerEvent::Instances(_)
            | CallerEvent::Key(_)
            | CallerEvent::Admin(_) => true,
        }
    }
}

#[derive(Debug, Default)]
pub struct Callers {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    next: Ticket,
    waiting: SortedMap<Ticket, mpsc::UnboundedSender<CallerEvent>>,
}

impl Callers {
    pub fn new() -> Callers {
        Callers::default()
    }

    /// Registers a caller and returns its ticket with the receiver of its events.
    pub fn register(&self) -> (Ticket, mpsc::UnboundedReceiver<CallerEvent>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut inner = self.lock();
        inner.next += 1;
        let ticket = inner.next;
        inner.waiting.insert(ticket, tx);
        (ticket, rx)
    }

    /// Delivers an event to a caller; does nothing if the caller has disconnected.
    pub fn deliver(&self, ticket: Ticket, event: CallerEvent) {
        let mut inner = self.lock();
        let tx = match event.is_last() {
            true => inner.waiting.remove(&ticket),
            false => inner.waiting.get(&ticket).cloned(),
        };
        drop(inner);
        if let Some(tx) = tx {
            let _ = tx.send(event);
        }
    }

    /// Returns the number of waiting callers.
    pub fn len(&self) -> usize {
        self.lock().waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes a caller that disconnected.
    pub fn unregister(&self, ticket: Ticket) {
        self.lock().waiting.remove(&ticket);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// The events of one ticket, as received by the waiting caller.
///
/// Dropping it before the last event notifies the node that the caller has disconnected;
/// the node decides whether work already started continues.
#[derive(Debug)]
pub struct ReplyStream {
    ticket: Ticket,
    handle: Handle,
    events: mpsc::UnboundedReceiver<CallerEvent>,
    is_finished: bool,
}

impl ReplyStream {
    pub(crate) fn new(handle: Handle) -> ReplyStream {
        let (ticket, events) = handle.callers().register();
        ReplyStream { ticket, handle, events, is_finished: false }
    }

    pub fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Returns the next event, or `None` after the last one or once the node has stopped.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        if self.is_finished {
            return None;
        }
        let event = self.events.recv().await;
        self.is_finished = event.as_ref().is_none_or(CallerEvent::is_last);
        event
    }
}

impl Drop for ReplyStream {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.handle.callers().unregister(self.ticket);
        self.handle.send(Event::CallerGone { ticket: self.ticket });
    }
}
