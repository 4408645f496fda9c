//! Which peers answer a limiter.
//!
//! Heartbeats reach each peer of a large fleet once in several seconds. A limiter has to know sooner
//! whether it is cut off with few others, as those elsewhere have a limiter of their own then.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::Moment;

use crate::rendezvous_hash;

/// Interval at which peers are asked.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time to wait for an answer: several round trips between instances with little CPU time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Pings that may get lost before a peer counts as silent.
const MAX_TRIES: u8 = 3;
/// Peers that are asked in a round.
const N_ASKED: usize = 16;
/// Rounds whose answers are counted.
const N_ROUNDS: usize = 2;
/// Share of the peers that answer from which on this side is the larger one, also if the others
/// that were asked differ.
const MAJORITY: f64 = 0.75;

#[derive(Debug, Clone, Copy)]
struct Ping {
    peer: SocketAddr,
    id: u64,
    /// When it was last sent.
    at: Moment,
    n_tries: u8,
    /// Whether it belongs to the current round.
    is_counted: bool,
}

#[derive(Debug, Clone, Copy)]
struct Round {
    n_asked: usize,
    n_answers: usize,
    /// Whether all peers were asked, so that this instance counts as one of them.
    is_whole: bool,
    /// Instances that were alive lately, as far as known here.
    n_known: usize,
    /// The same as far as known to any peer that answers. An instance that has just started knows
    /// few.
    n_reported: usize,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Reach {
    /// Pings that have not been answered.
    pending: Vec<Ping>,
    rounds: Vec<Round>,
    /// When the next round is due; none while nothing is limited.
    next_round: Option<Moment>,
    last_id: u64,
}

impl Reach {
    /// Begins to ask peers, if that is not done already.
    pub(super) fn activate(&mut self, now: Moment) {
        if self.next_round.is_none() {
            self.rounds.clear();
            self.next_round = Some(now);
        }
    }

    pub(super) fn deactivate(&mut self) {
        self.next_round = None;
    }

    pub(super) fn is_due(&self, now: Moment) -> bool {
        self.next_round.is_some_and(|it| it <= now)
    }

    pub(super) fn next_wake(&self) -> Option<Moment> {
        let answers = self.pending.iter().map(|it| it.at + ANSWER_TIMEOUT);
        answers.chain(self.next_round).min()
    }

    /// Starts a round, and returns the pings to send; `n_expected` instances are assumed if no peer
    /// answers.
    pub(super) fn start_round(
        &mut self,
        now: Moment,
        mut peers: Vec<SocketAddr>,
        n_expected: usize,
    ) -> Vec<(SocketAddr, u64)> {
        let is_whole = peers.len() <= N_ASKED;
        let n_known = peers.len() + 1;
        let n_reported = if peers.is_empty() { n_expected } else { n_known };
        let round = self.last_id;
        peers.sort_by_cached_key(|it| rendezvous_hash(round, &it.to_string()));
        peers.truncate(N_ASKED);
        self.next_round = Some(now + INTERVAL);
        let n_asked = peers.len();
        self.rounds.push(Round { n_asked, n_answers: 0, is_whole, n_known, n_reported });
        if N_ROUNDS < self.rounds.len() {
            self.rounds.remove(0);
        }
        self.pending.iter_mut().for_each(|it| it.is_counted = false);
        peers.into_iter().map(|it| (it, self.add_ping(now, it, true))).collect()
    }

    /// Returns the id of a ping to a peer, unless one is open already.
    pub(super) fn ping(&mut self, now: Moment, peer: SocketAddr) -> Option<u64> {
        let is_open = self.pending.iter().any(|it| it.peer == peer);
        (!is_open).then(|| self.add_ping(now, peer, false))
    }

    fn add_ping(&mut self, now: Moment, peer: SocketAddr, is_counted: bool) -> u64 {
        self.last_id += 1;
        self.pending.push(Ping { peer, id: self.last_id, at: now, n_tries: 1, is_counted });
        self.last_id
    }

    /// Records the answer of a peer that knows of `n_instances` which were alive lately.
    pub(super) fn on_pong(&mut self, peer: SocketAddr, id: u64, n_instances: usize) {
        let Some(idx) = self.pending.iter().position(|it| (it.peer, it.id) == (peer, id)) else {
            return;
        };
        let is_counted = self.pending.remove(idx).is_counted;
        if let Some(round) = self.rounds.last_mut().filter(|_| is_counted) {
            round.n_answers += 1;
            round.n_reported = round.n_reported.max(n_instances);
        }
    }

    /// Returns the pings to send once more, and the peers that have answered none.
    pub(super) fn retry(&mut self, now: Moment) -> (Vec<(SocketAddr, u64)>, Vec<SocketAddr>) {
        let is_late = |it: &Ping| it.at + ANSWER_TIMEOUT <= now;
        let is_silent = |it: &mut Ping| is_late(it) && MAX_TRIES <= it.n_tries;
        let silent = self.pending.extract_if(.., is_silent).map(|it| it.peer).collect();
        let mut pings = Vec::new();
        for ping in self.pending.iter_mut().filter(|it| is_late(it)) {
            (ping.at, ping.n_tries) = (now, ping.n_tries + 1);
            pings.push((ping.peer, ping.id));
        }
        (pings, silent)
    }

    /// Returns the share of a limit that this side may grant. It is the share of the instances that
    /// answer, or all of it on a side that is clearly the larger one.
    pub(super) fn share(&self) -> f64 {
        let n_open = usize::from(self.pending.iter().any(|it| it.is_counted));
        let counted = &self.rounds[..self.rounds.len().saturating_sub(n_open)];
        let n_own = counted.iter().filter(|it| it.is_whole).count();
        let n_asked: usize = counted.iter().map(|it| it.n_asked).sum();
        let n_answers: usize = counted.iter().map(|it| it.n_answers).sum();
        let Some(last) = counted.last() else { return 1.0 };
        let n_reported = counted.iter().map(|it| it.n_reported).max().unwrap_or(1);
        let known = last.n_known as f64 / n_reported.max(last.n_known) as f64;
        match known * (n_answers + n_own) as f64 / (n_asked + n_own).max(1) as f64 {
            share if MAJORITY <= share => 1.0,
            share => share,
        }
    }
}
