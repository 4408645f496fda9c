//! What is known of a key, for callers and peers.

use ferry_model::{InstanceId, KeyState, PeerMessage, Ticket, WorkspaceId};

use crate::Effect;
use crate::claim::claim_key;
use crate::request::Requests;
use crate::request::state::Phase;
use crate::turn::Turn;

impl Requests {
    /// Tells a caller what became of a key.
    pub fn on_ask_key(&self, cx: &mut Turn<'_>, ticket: Ticket, workspace: &str, key: &str) {
        let state = self.key_state(workspace, key);
        cx.out.push(Effect::Key { ticket, state });
    }

    /// Takes a peer's message about claims; others are not for requests.
    pub fn on_peer(&mut self, cx: &mut Turn<'_>, from: &InstanceId, message: PeerMessage) {
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

    fn send_outcome(&self, cx: &mut Turn<'_>, to: &str, workspace: WorkspaceId, key: String) {
        let Some(address) = self.claims.address_of(to) else { return };
        let state = self.key_state(&workspace, &key);
        let message = Box::new(PeerMessage::OutcomeReply { workspace, key, state });
        cx.out.push(Effect::Send { to: to.to_owned(), address, message });
    }

    fn key_state(&self, workspace: &str, key: &str) -> KeyState {
        let claim = claim_key(workspace, key);
        let running = self.keys.get(&claim).and_then(|id| self.in_flight.get(id));
        if running.is_some_and(|it| !matches!(it.phase, Phase::AwaitingHolder { .. })) {
            return KeyState::Running;
        }
        match self.recent.get(claim) {
            Some(kept) => KeyState::Settled {
                outcome: kept.answer.outcome,
                answer: Box::new(kept.answer.clone()),
            },
            None => KeyState::Unknown,
        }
    }
}
