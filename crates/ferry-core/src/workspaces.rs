//! The workspaces in force, in shards with revisions, and the tokens that map to them.

use std::sync::Arc;

use ferry_model::workspace::parse_shard;
use ferry_model::{
    InstanceId, Moment, N_SHARDS, ObjectKind, PeerMessage, Revision, Shard, SortedMap, StoreError,
    StoreReply, StoredObject, Workspace,
};
use serde::{Deserialize, Serialize};

use crate::config::feed::{Feed, Scope};
use crate::pass::Pass;
use crate::{CallId, Decision, DecisionKind, Effect, Owner};

/// How long a peer's digest may differ before its newer shards are pulled.
const PULL_GRACE: Moment = Moment::from_secs(1);
/// Approximate limit of the entries in one reply to a peer, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Assumed size of an entry in a reply, in bytes.
const ENTRY_BYTES: usize = 200;

/// All workspaces of the deployment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Workspaces {
    shards: Vec<Arc<IndexedShard>>,
}

/// One shard with an index of its tokens.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct IndexedShard {
    shard: Shard,
    /// Position of the entry by token hash.
    tokens: SortedMap<String, u32>,
}

impl Default for Workspaces {
    fn default() -> Self {
        Workspaces::new()
    }
}

impl Workspaces {
    pub fn new() -> Workspaces {
        Workspaces { shards: vec![Arc::default(); N_SHARDS] }
    }

    pub fn get(&self, name: &str) -> Option<&Workspace> {
        let index = &self.shards[ferry_model::workspace::shard_of(name)];
        index.shard.get(name).map(|it| &it.workspace)
    }

    /// Finds the workspace of a bearer token by the token's BLAKE3 hash in hex.
    pub fn by_token(&self, hash: &str) -> Option<&Workspace> {
        self.shards.iter().find_map(|it| {
            let idx = it.tokens.get(hash)?;
            it.shard.entries.get(*idx as usize).map(|it| &it.workspace)
        })
    }

    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.shards.iter().flat_map(|it| it.shard.entries.iter()).map(|it| &it.workspace)
    }

    /// Whether any shard has been read.
    pub fn is_loaded(&self) -> bool {
        self.shards.iter().any(|it| it.shard.revision != 0)
    }

    pub fn revision(&self, shard: usize) -> Revision {
        self.shards.get(shard).map_or(0, |it| it.shard.revision)
    }

    pub fn revisions(&self) -> Vec<Revision> {
        self.shards.iter().map(|it| it.shard.revision).collect()
    }

    /// Returns the FNV-1a hash of all revisions; equal hashes mean the same workspaces.
    pub fn digest(&self) -> u32 {
        self.shards.iter().fold(0x811c_9dc5, |digest, it| {
            (digest ^ it.shard.revision as u32).wrapping_mul(0x0100_0193)
        })
    }

    fn replace(&mut self, number: usize, shard: Shard) {
        let tokens = (0..).zip(&shard.entries).flat_map(|(idx, it)| {
            it.workspace.tokens.iter().map(move |token| (token.clone(), idx))
        });
        let tokens = tokens.collect();
        self.shards[number] = Arc::new(IndexedShard { shard, tokens });
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkspacesState {
    feed: Feed,
    /// A peer whose digest differs, and when to pull its newer shards.
    pull: Option<(InstanceId, Moment)>,
}

impl Default for WorkspacesState {
    fn default() -> Self {
        WorkspacesState::new()
    }
}

impl WorkspacesState {
    pub fn new() -> WorkspacesState {
        let feed = Feed::new(Owner::Workspaces, ObjectKind::Workspaces, Scope::Kind);
        WorkspacesState { feed, pull: None }
    }

    pub fn next_wake(&self) -> Option<Moment> {
        let pull = self.pull.as_ref().map(|(_, at)| *at);
        [self.feed.next_wake(), pull].into_iter().flatten().min()
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        self.feed.tick(cx);
        if let Some((peer, at)) = &self.pull
            && *at <= cx.now
        {
            let above = cx.ctx.workspaces.revisions();
            cx.send(&peer.clone(), PeerMessage::PullWorkspaces { above });
            self.pull = None;
        }
    }

    pub fn on_store(
        &mut self,
        cx: &mut Pass<'_>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        for object in self.feed.on_store(cx, call, result) {
            read_object(cx, &object);
        }
    }

    /// Compares a peer's digest with the own one; a lasting difference is resolved by pulling the
    /// peer's newer shards.
    pub fn on_digest(&mut self, cx: &Pass<'_>, from: &InstanceId, digest: u32) {
        let is_equal = digest == cx.ctx.workspaces.digest();
        match &self.pull {
            Some((peer, _)) if peer == from && is_equal => self.pull = None,
            None if !is_equal => self.pull = Some((from.clone(), cx.now + PULL_GRACE)),
            Some(_) | None => (),
        }
    }
}

/// Sends a peer the shards newer than its own, up to a bounded size; the peer asks again for the
/// rest.
pub fn on_pull(cx: &mut Pass<'_>, from: &str, above: &[Revision]) {
    let mut shards = Vec::new();
    let mut size = 0;
    for (number, index) in (0..).zip(&cx.ctx.workspaces.shards) {
        let known = above.get(usize::from(number)).copied().unwrap_or(0);
        if known < index.shard.revision && size < MAX_REPLY_BYTES {
            size += index.shard.entries.len() * ENTRY_BYTES;
            shards.push((number, index.shard.clone()));
        }
    }
    if !shards.is_empty() {
        cx.send(from, PeerMessage::Workspaces(shards));
    }
}

/// Applies a shard if its revision is higher than the one in force.
pub fn apply_newer(cx: &mut Pass<'_>, number: usize, shard: Shard) {
    let Some(index) = cx.ctx.workspaces.shards.get(number) else { return };
    if shard.revision <= index.shard.revision {
        return;
    }
    let reason = format!("workspaces of shard {number}: revision {}", shard.revision);
    let decision = Decision::new(DecisionKind::Configure, reason, cx.ctx.revision());
    cx.effects.push(Effect::Log(decision));
    Arc::make_mut(&mut cx.ctx.workspaces).replace(number, shard);
}

fn read_object(cx: &mut Pass<'_>, object: &StoredObject) {
    let Some(number) = parse_shard(&object.name) else { return };
    match serde_json::from_str::<Shard>(&object.value) {
        Ok(shard) => apply_newer(cx, number, shard),
        Err(error) => {
            let reason = format!("could not read workspaces {}: {error}", object.name);
            let decision = Decision::new(DecisionKind::Configure, reason, cx.ctx.revision());
            cx.effects.push(Effect::Log(decision));
        }
    }
}
