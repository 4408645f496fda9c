//! Lookups of the state of an idempotency key, by callers and peers.

use ferry_model::{InstanceId, KeyState, PeerMessage, Ticket, WorkspaceId};

use crate::Effect;
use crate::claim::claim_key;
use crate::pass::Pass;
use crate::request::Requests;
use crate::request::state::Phase;

impl Requests {
    /// Returns the state of a key to a caller.
    pub fn on_ask_key(&self, cx: &mut Pass<'_>, ticket: Ticket, workspace: &str, key: &str) {
        let state = self.key_state(workspace, key);
        cx.effects.push(Effect::Key { ticket, state });
    }

    /// Handles a peer's message about claims and ignores all others.
    pub fn on_peer(&mut self, cx: &mut Pass<'_>, from: &InstanceId, message: PeerMessage) {
        match message {
            PeerMessage::PullOutcome { workspace, key } => {
                self.send_outcome(cx, from, workspace, key);
            }
            PeerMessage::OutcomeReply { workspace, key, state } => {
                let claim = claim_key(&workspace, &key);
                if let Some(id) = self.keys.get(&claim).copied() {
                    self.on_outcome(cx, from, id, state);
                }
            }
            PeerMessage::Journal(ops) => {
                let results = self.claims.on_journal(cx, from, ops);
                self.on_claim_results(cx, results);
            }
            PeerMessage::JournalReply(results) => {
                let results = self.claims.on_journal_reply(results);
                self.on_claim_results(cx, results);
            }
            PeerMessage::Heartbeat(_)
            | PeerMessage::PullHeartbeat
            | PeerMessage::PullConfig { .. }
            | PeerMessage::Config(_)
            | PeerMessage::PullWorkspaces { .. }
            | PeerMessage::Workspaces(_) => (),
        }
    }

    fn send_outcome(&self, cx: &mut Pass<'_>, to: &str, workspace: WorkspaceId, key: String) {
        let Some(address) = self.claims.address_of(to) else { return };
        let state = self.key_state(&workspace, &key);
        let message = Box::new(PeerMessage::OutcomeReply { workspace, key, state });
        cx.effects.push(Effect::Send { to: to.to_owned(), address, message });
    }

    fn key_state(&self, workspace: &str, key: &str) -> KeyState {
        let claim = claim_key(workspace, key);
        let running = self.keys.get(&claim).and_then(|id| self.in_flight.get(id));
        if running.is_some_and(|it| !matches!(it.phase, Phase::AwaitingHolder { .. })) {
            return KeyState::Running;
        }
        match self.recent.get(claim) {
            Some(recent) => KeyState::Settled {
                outcome: recent.answer.outcome,
                answer: Box::new(recent.answer.clone()),
            },
            None => KeyState::Unknown,
        }
    }
}
