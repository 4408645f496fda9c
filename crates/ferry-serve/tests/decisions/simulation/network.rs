//! Datagrams between instances, and what they read from each other.

use std::net::SocketAddr;

use ferry_serve::{Event, PeerMessage, StoreUpdate};

use super::{NETWORK_DELAY, Simulation, peer};

impl Simulation {
    pub(super) fn send(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        self.count_bytes(from, &message);
        let is_about_builds =
            matches!(message, PeerMessage::Began { .. } | PeerMessage::OriginRequest(_));
        self.records.n_messages += usize::from(is_about_builds);
        let is_lost = self.drop_one_in.is_some_and(|it| self.next_random().is_multiple_of(it));
        let is_lost =
            is_lost || (self.loses_notices && matches!(message, PeerMessage::Notices { .. }));
        let to = usize::from(to.port()) - 7_000;
        if is_lost || self.is_cut(from, to) {
            return;
        }
        self.schedule(to, NETWORK_DELAY, Event::Peer { from: peer(from), message });
    }

    /// Whether two instances do not reach each other.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        is_isolated || self.island.contains(&from) != self.island.contains(&to)
    }

    /// Returns the next number of a fixed pseudo-random sequence.
    pub(super) fn next_random(&mut self) -> u64 {
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.rng >> 33
    }

    pub(super) fn pull(&mut self, instance: usize, from: SocketAddr, version: u64, since: u64) {
        let from = usize::from(from.port()) - 7_000;
        let peer = self.instances[from].as_ref().filter(|_| !self.loses_reads);
        let Some(peer) = peer else { return };
        let snapshot = peer.snapshot(version, since);
        let endpoints = &snapshot.endpoints;
        self.n_entries_sent += endpoints.endpoints.len() + endpoints.removed.len();
        if let Some(config) = snapshot.config {
            self.schedule(instance, NETWORK_DELAY, Event::Config(config));
        }
        self.schedule(instance, NETWORK_DELAY, Event::Store(StoreUpdate::Peer(snapshot.endpoints)));
    }
}
