//! What endpoints announce in their responses of their own leaving.
//!
//! An announcement holds for one start of an endpoint, whatever its entry says: the entry may be late, or
//! never say so. docs/design/platform.md weighs that.

use std::net::SocketAddr;

use ferry_model::{EndpointId, GatewayEndpoint};

use super::{EndpointView, Endpoints};

/// Leaving endpoints without an entry that are remembered, as an entry may come back.
const MAX_DEPARTED: usize = 512;

/// What a response says of whether its endpoint leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeavingReport {
    /// It leaves, and wants nothing new.
    Leaving,
    /// The header has another value.
    Invalid(String),
}

/// Leaving endpoints whose entries are gone, and which start of each it was.
#[derive(Debug, Clone, Default)]
pub(super) struct Departed(Vec<(EndpointId, u64)>);

impl Departed {
    fn add(&mut self, id: EndpointId, started: u64) {
        if self.contains(&id, started) {
            return;
        }
        if MAX_DEPARTED <= self.0.len() {
            self.0.remove(0);
        }
        self.0.push((id, started));
    }

    pub fn contains(&self, id: &str, started: u64) -> bool {
        self.0.iter().any(|it| it.0 == id && it.1 == started)
    }
}

impl Endpoints {
    /// Records that an endpoint has announced that it leaves; returns whether that is new.
    pub fn record_leaving(&mut self, id: &str, started: u64) -> bool {
        let Some(view) = self.get_mut(id).filter(|it| it.endpoint.started == started) else {
            return false;
        };
        !std::mem::replace(&mut view.has_announced, true)
    }

    /// Whether every endpoint with this address leaves; false if none is known.
    pub fn is_leaving_at(&self, address: SocketAddr) -> bool {
        let mut at = self.views.values().filter(|it| it.endpoint.address == address).peekable();
        at.peek().is_some() && at.all(|it| !it.accepts_work())
    }

    /// Adds the endpoint of an entry.
    pub(super) fn insert(&mut self, endpoint: GatewayEndpoint) -> &mut EndpointView {
        let has_announced = self.departed.contains(&endpoint.id, endpoint.started);
        let id = endpoint.id.clone();
        let view = EndpointView { has_announced, ..EndpointView::new(endpoint) };
        self.views.get_or_insert_with(id, || view)
    }

    /// Removes an endpoint; an announcement is kept for the case that its entry comes back.
    pub(super) fn forget(&mut self, id: &str) {
        let Some(view) = self.views.remove(id) else { return };
        if view.has_announced {
            self.departed.add(view.endpoint.id, view.endpoint.started);
        }
    }
}
