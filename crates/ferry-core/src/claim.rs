//! Claims: what makes a run that may not be repeated run at most once.
//!
//! A claim stands in a journal of the object API before the first byte of its request is
//! dispatched. Safety rests on conditional updates alone; which instance writes a shard is only a
//! matter of cost. See docs/design/requests.md.

pub mod chain;
pub mod queue;
pub mod segment;
pub mod shard;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{
    ClaimKey, ClaimRecord, ClaimResult, EndpointState, Instance, InstanceId, JournalOp, Moment,
    PeerMessage, RequestId, SortedMap, StoreError, StoreReply,
};
use serde::{Deserialize, Serialize};

use crate::claim::queue::Ended;
use crate::claim::shard::Shard;
use crate::turn::Turn;
use crate::{CallId, Effect};

/// Number of journals; the same for every instance and release, as a key's journal rests on it.
pub const N_SHARDS: u32 = 4;
/// How long a peer that left a claim unanswered is passed over.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// Claims of this instance, and those of peers that it writes along with its own.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Claims {
    shards: Vec<Shard>,
    calls: SortedMap<CallId, u32>,
    entries: Vec<Instance>,
    /// Claims that a peer was asked to write.
    forwarded: SortedMap<RequestId, Forwarded>,
    avoided: SortedMap<InstanceId, Moment>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Forwarded {
    op: JournalOp,
    to: InstanceId,
    until: Moment,
}

impl Default for Claims {
    fn default() -> Self {
        Claims::new()
    }
}

impl Claims {
    pub fn new() -> Claims {
        Claims {
            shards: (0..N_SHARDS).map(Shard::new).collect(),
            calls: SortedMap::new(),
            entries: Vec::new(),
            forwarded: SortedMap::new(),
            avoided: SortedMap::new(),
        }
    }

    /// Takes the instance list, to choose one writer for each shard.
    pub fn set_instances(&mut self, instances: &[Instance]) {
        self.entries = instances
            .iter()
            .filter(|it| it.is_entry && it.state == EndpointState::Live)
            .cloned()
            .collect();
    }

    /// Returns where peers reach an instance.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        self.entries.iter().find(|it| it.id == id).map(|it| it.peer)
    }

    pub fn is_idle(&self) -> bool {
        self.shards.iter().all(Shard::is_idle) && self.forwarded.is_empty()
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let shards = self.shards.iter().filter_map(Shard::next_wake);
        shards.chain(self.forwarded.values().map(|it| it.until)).min()
    }

    /// Claims a key; the verdict comes from [`Claims::tick`] or one of the `on_` functions.
    pub fn claim(
        &mut self,
        cx: &mut Turn<'_>,
        record: ClaimRecord,
        replaces: Vec<RequestId>,
    ) -> Vec<(RequestId, ClaimResult)> {
        let op = JournalOp::Claim { record, replaces };
        let Some((to, address)) = self.writer_of(cx, op.record().key) else {
            return self.push(cx, None, op);
        };
        let until = cx.now + cx.ctx.tuning.forward_timeout;
        let request = op.record().request;
        let message = Box::new(PeerMessage::Journal(vec![op.clone()]));
        cx.out.push(Effect::Send { to: to.clone(), address, message });
        self.forwarded.insert(request, Forwarded { op, to, until });
        Vec::new()
    }

    /// Records that a claim was released or settled.
    pub fn record(&mut self, cx: &mut Turn<'_>, record: ClaimRecord) {
        self.withdraw(record.key, record.request);
        let op = JournalOp::Record(record);
        match self.writer_of(cx, op.record().key) {
            Some((to, address)) => {
                let message = Box::new(PeerMessage::Journal(vec![op]));
                cx.out.push(Effect::Send { to, address, message });
            }
            None => {
                self.push(cx, None, op);
            }
        }
    }

    /// Journals what a peer asked for.
    pub fn on_journal(
        &mut self,
        cx: &mut Turn<'_>,
        from: &str,
        ops: Vec<JournalOp>,
    ) -> Vec<(RequestId, ClaimResult)> {
        let mut verdicts = Vec::new();
        for op in ops {
            verdicts.extend(self.push(cx, Some(from.to_owned()), op));
        }
        verdicts
    }

    /// Takes a peer's verdicts on claims that were forwarded to it.
    pub fn on_journalled(
        &mut self,
        results: Vec<(RequestId, ClaimResult)>,
    ) -> Vec<(RequestId, ClaimResult)> {
        results.into_iter().filter(|(id, _)| self.forwarded.remove(id).is_some()).collect()
    }

    pub fn on_store(
        &mut self,
        cx: &mut Turn<'_>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) -> Vec<(RequestId, ClaimResult)> {
        let Some(number) = self.calls.remove(&call) else { return Vec::new() };
        let ended = self.shards[number as usize].on_store(cx, result);
        let mut verdicts = hand_out(cx, ended, &self.entries);
        verdicts.extend(self.advance(cx, number));
        verdicts
    }

    pub fn tick(&mut self, cx: &mut Turn<'_>) -> Vec<(RequestId, ClaimResult)> {
        let now = cx.now;
        let mut late = Vec::new();
        self.forwarded.retain(|_, it| {
            let is_late = it.until <= now;
            if is_late {
                late.push((it.to.clone(), it.op.clone()));
            }
            !is_late
        });
        let mut verdicts = Vec::new();
        for (to, op) in late {
            self.avoided.insert(to, now + AVOID_TIME);
            verdicts.extend(self.push(cx, None, op));
        }
        for number in 0..N_SHARDS {
            verdicts.extend(self.advance(cx, number));
        }
        verdicts
    }

    fn withdraw(&mut self, key: ClaimKey, request: RequestId) {
        self.forwarded.remove(&request);
        self.shards[shard_of(key) as usize].withdraw(request);
    }

    fn push(
        &mut self,
        cx: &mut Turn<'_>,
        from: Option<InstanceId>,
        op: JournalOp,
    ) -> Vec<(RequestId, ClaimResult)> {
        let number = shard_of(op.record().key);
        let delay = cx.ctx.tuning.settle_delay;
        let shard = &mut self.shards[number as usize];
        if !shard.has_room() {
            let ended = vec![((from, op), ClaimResult::Unavailable)];
            return hand_out(cx, ended, &self.entries);
        }
        shard.push(cx.now, (from, op), delay);
        self.advance(cx, number)
    }

    fn advance(&mut self, cx: &mut Turn<'_>, number: u32) -> Vec<(RequestId, ClaimResult)> {
        let clock = wall_clock(cx);
        let mut ended = Vec::new();
        let call = self.shards[number as usize].advance(cx, clock, &mut ended);
        if let Some(call) = call {
            self.calls.insert(call, number);
        }
        hand_out(cx, ended, &self.entries)
    }

    /// Returns the preferred writer of a key's shard, unless it is this instance.
    fn writer_of(&self, cx: &Turn<'_>, key: ClaimKey) -> Option<(InstanceId, SocketAddr)> {
        let shard = shard_of(key);
        let is_avoided = |id: &str| self.avoided.get(id).is_some_and(|until| cx.now < *until);
        let best = self
            .entries
            .iter()
            .filter(|it| !is_avoided(&it.id))
            .max_by_key(|it| rendezvous_weight(shard, &it.id))?;
        (best.id != cx.ctx.identity.instance).then(|| (best.id.clone(), best.peer))
    }
}

/// Returns milliseconds since the Unix epoch; they only decide when segments roll and expire.
fn wall_clock(cx: &Turn<'_>) -> u64 {
    cx.ctx.tuning.place.started_at + u64::try_from(cx.now.as_millis()).unwrap_or(0)
}

/// Returns the verdicts on our own claims and sends peers theirs.
fn hand_out(
    cx: &mut Turn<'_>,
    ended: Vec<Ended>,
    entries: &[Instance],
) -> Vec<(RequestId, ClaimResult)> {
    let mut own = Vec::new();
    let mut peers: SortedMap<InstanceId, Vec<(RequestId, ClaimResult)>> = SortedMap::new();
    for ((from, op), verdict) in ended {
        let JournalOp::Claim { record, .. } = op else { continue };
        match from {
            Some(from) => peers.get_or_insert_with(from, Vec::new).push((record.request, verdict)),
            None => own.push((record.request, verdict)),
        }
    }
    for (to, results) in peers.iter() {
        let Some(peer) = entries.iter().find(|it| it.id == *to) else { continue };
        let message = Box::new(PeerMessage::JournalReply(results.clone()));
        cx.out.push(Effect::Send { to: to.clone(), address: peer.peer, message });
    }
    own
}

/// Returns the hash under which a workspace's key is claimed.
pub fn claim_key(workspace: &str, key: &str) -> ClaimKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(workspace.len() as u64).to_be_bytes());
    hasher.update(workspace.as_bytes());
    hasher.update(key.as_bytes());
    hasher.finalize().as_bytes().iter().take(16).fold(0, |sum, it| sum << 8 | u128::from(*it))
}

fn shard_of(key: ClaimKey) -> u32 {
    (key % u128::from(N_SHARDS)) as u32
}

fn rendezvous_weight(shard: u32, id: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&shard.to_be_bytes());
    hasher.update(id.as_bytes());
    hasher.finalize().as_bytes().iter().take(8).fold(0, |sum, it| sum << 8 | u64::from(*it))
}
