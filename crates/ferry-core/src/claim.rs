//! Claims ensure that a request that must not be repeated runs at most once.
//!
//! A claim is written to a journal in the object API before the first byte of its request is
//! dispatched. Safety depends only on conditional updates; any instance may write a shard, and a
//! preferred writer only reduces conflicts. See docs/design/requests.md.

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

use crate::claim::queue::Finished;
use crate::claim::shard::Shard;
use crate::pass::Pass;
use crate::{CallId, Effect};

/// Number of journal shards. It determines the shard of a key, so it must be the same for every
/// instance and release.
pub const N_SHARDS: u32 = 4;
/// How long a peer that did not answer a claim in time is not used as a writer.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// Claims of this instance, and claims of peers that this instance writes for them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Claims {
    shards: Vec<Shard>,
    calls: SortedMap<CallId, u32>,
    instances: Vec<Instance>,
    /// Claims sent to a peer to be written.
    forwarded: SortedMap<RequestId, Forwarded>,
    avoided_until: SortedMap<InstanceId, Moment>,
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
            instances: Vec::new(),
            forwarded: SortedMap::new(),
            avoided_until: SortedMap::new(),
        }
    }

    /// Updates the instances from which the writer of each shard is chosen.
    pub fn set_instances(&mut self, instances: &[Instance]) {
        self.instances = instances
            .iter()
            .filter(|it| it.is_entry && it.state == EndpointState::Live)
            .cloned()
            .collect();
    }

    /// Returns the address at which peers reach an instance.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        self.instances.iter().find(|it| it.id == id).map(|it| it.peer)
    }

    pub fn is_idle(&self) -> bool {
        self.shards.iter().all(Shard::is_idle) && self.forwarded.is_empty()
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let shards = self.shards.iter().filter_map(Shard::next_wake);
        shards.chain(self.forwarded.values().map(|it| it.until)).min()
    }

    /// Claims a key. The result is returned here, or later by [`Claims::tick`] or an `on_` method.
    pub fn claim(
        &mut self,
        cx: &mut Pass<'_>,
        record: ClaimRecord,
        replaces: Vec<RequestId>,
    ) -> Vec<(RequestId, ClaimResult)> {
        let op = JournalOp::Claim { record, replaces };
        let Some((to, address)) = self.preferred_writer(cx, op.record().key) else {
            return self.push(cx, None, op);
        };
        let until = cx.now + cx.ctx.tuning.forward_timeout;
        let request = op.record().request;
        let message = Box::new(PeerMessage::Journal(vec![op.clone()]));
        cx.effects.push(Effect::Send { to: to.clone(), address, message });
        self.forwarded.insert(request, Forwarded { op, to, until });
        Vec::new()
    }

    /// Records in the journal that a claim was released or settled.
    pub fn record(&mut self, cx: &mut Pass<'_>, record: ClaimRecord) {
        self.withdraw(record.key, record.request);
        let op = JournalOp::Record(record);
        match self.preferred_writer(cx, op.record().key) {
            Some((to, address)) => {
                let message = Box::new(PeerMessage::Journal(vec![op]));
                cx.effects.push(Effect::Send { to, address, message });
            }
            None => {
                self.push(cx, None, op);
            }
        }
    }

    /// Queues the journal changes that a peer requested.
    pub fn on_journal(
        &mut self,
        cx: &mut Pass<'_>,
        from: &str,
        ops: Vec<JournalOp>,
    ) -> Vec<(RequestId, ClaimResult)> {
        let mut results = Vec::new();
        for op in ops {
            results.extend(self.push(cx, Some(from.to_owned()), op));
        }
        results
    }

    /// Returns a peer's results for claims that are still waiting for that peer.
    pub fn on_journal_reply(
        &mut self,
        results: Vec<(RequestId, ClaimResult)>,
    ) -> Vec<(RequestId, ClaimResult)> {
        results.into_iter().filter(|(id, _)| self.forwarded.remove(id).is_some()).collect()
    }

    pub fn on_store(
        &mut self,
        cx: &mut Pass<'_>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) -> Vec<(RequestId, ClaimResult)> {
        let Some(number) = self.calls.remove(&call) else { return Vec::new() };
        let finished = self.shards[number as usize].on_store(cx, result);
        let mut results = deliver_results(cx, finished, &self.instances);
        results.extend(self.advance(cx, number));
        results
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) -> Vec<(RequestId, ClaimResult)> {
        let now = cx.now;
        let mut late = Vec::new();
        self.forwarded.retain(|_, it| {
            let is_late = it.until <= now;
            if is_late {
                late.push((it.to.clone(), it.op.clone()));
            }
            !is_late
        });
        let mut results = Vec::new();
        for (to, op) in late {
            self.avoided_until.insert(to, now + AVOID_TIME);
            results.extend(self.push(cx, None, op));
        }
        for number in 0..N_SHARDS {
            results.extend(self.advance(cx, number));
        }
        results
    }

    fn withdraw(&mut self, key: ClaimKey, request: RequestId) {
        self.forwarded.remove(&request);
        self.shards[shard_of(key) as usize].withdraw(request);
    }

    fn push(
        &mut self,
        cx: &mut Pass<'_>,
        from: Option<InstanceId>,
        op: JournalOp,
    ) -> Vec<(RequestId, ClaimResult)> {
        let number = shard_of(op.record().key);
        let delay = cx.ctx.tuning.settle_delay;
        let shard = &mut self.shards[number as usize];
        if !shard.has_room() {
            let finished = vec![((from, op), ClaimResult::Unavailable)];
            return deliver_results(cx, finished, &self.instances);
        }
        shard.push(cx.now, (from, op), delay);
        self.advance(cx, number)
    }

    fn advance(&mut self, cx: &mut Pass<'_>, number: u32) -> Vec<(RequestId, ClaimResult)> {
        let clock = wall_clock(cx);
        let mut finished = Vec::new();
        let call = self.shards[number as usize].advance(cx, clock, &mut finished);
        if let Some(call) = call {
            self.calls.insert(call, number);
        }
        deliver_results(cx, finished, &self.instances)
    }

    /// Returns the preferred writer of a key's shard, or `None` if that is this instance.
    fn preferred_writer(&self, cx: &Pass<'_>, key: ClaimKey) -> Option<(InstanceId, SocketAddr)> {
        let shard = shard_of(key);
        let is_avoided = |id: &str| self.avoided_until.get(id).is_some_and(|until| cx.now < *until);
        let best = self
            .instances
            .iter()
            .filter(|it| !is_avoided(&it.id))
            .max_by_key(|it| rendezvous_weight(shard, &it.id))?;
        (best.id != cx.ctx.identity.instance).then(|| (best.id.clone(), best.peer))
    }
}

/// Returns milliseconds since the Unix epoch, used only to decide when segments are sealed or
/// expire.
fn wall_clock(cx: &Pass<'_>) -> u64 {
    cx.ctx.tuning.place.started_at + u64::try_from(cx.now.as_millis()).unwrap_or(0)
}

/// Returns the results of this instance's claims and sends peers the results of theirs.
fn deliver_results(
    cx: &mut Pass<'_>,
    finished: Vec<Finished>,
    instances: &[Instance],
) -> Vec<(RequestId, ClaimResult)> {
    let mut own = Vec::new();
    let mut peers: SortedMap<InstanceId, Vec<(RequestId, ClaimResult)>> = SortedMap::new();
    for ((from, op), result) in finished {
        let JournalOp::Claim { record, .. } = op else { continue };
        match from {
            Some(from) => peers.get_or_insert_with(from, Vec::new).push((record.request, result)),
            None => own.push((record.request, result)),
        }
    }
    for (to, results) in peers.iter() {
        let Some(peer) = instances.iter().find(|it| it.id == *to) else { continue };
        let message = Box::new(PeerMessage::JournalReply(results.clone()));
        cx.effects.push(Effect::Send { to: to.clone(), address: peer.peer, message });
    }
    own
}

/// Returns the hash of a workspace and an idempotency key, under which the key is claimed.
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
