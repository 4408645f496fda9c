//! Datagrams between instances, and what they read from each other.

use std::net::SocketAddr;

use ferry_serve::{Event, PeerMessage, StoreUpdate};

use super::{HOP, World, peer};

impl World {
    pub(super) fn send(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        let is_lost = self.lose_each.is_some_and(|it| self.draw().is_multiple_of(it));
        let to = usize::from(to.port()) - 7_000;
        if is_lost || self.cut.contains(&from) || self.cut.contains(&to) {
            return;
        }
        self.later(to, HOP, Event::Peer { from: peer(from), message });
    }

    /// Draws the next number of a fixed series.
    fn draw(&mut self) -> u64 {
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.rng >> 33
    }

    pub(super) fn pull(&mut self, instance: usize, from: SocketAddr, version: u64, since: u64) {
        let from = usize::from(from.port()) - 7_000;
        let Some(peer) = &self.instances[from] else { return };
        let snapshot = peer.snapshot(version, since);
        let endpoints = &snapshot.endpoints;
        self.n_told += endpoints.endpoints.len() + endpoints.removed.len();
        if let Some(config) = snapshot.config {
            self.later(instance, HOP, Event::Config(config));
        }
        self.later(instance, HOP, Event::Store(StoreUpdate::Peer(snapshot.endpoints)));
    }
}
