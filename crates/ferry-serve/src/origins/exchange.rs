//! Writes and reads the records of builds and streams, in the store and at peers.

use std::time::Duration;

use ferry_model::{BuildId, Moment, PoolId};

use super::{
    N_HOLDERS, PoolBuilds, ReadId, RecordReply, StoredRecords, StreamRecord, StreamSlot,
    WriteFailure,
};
use crate::pass::{Context, Pass};
use crate::quarantine;
use crate::{CallerAttempt, Decision, DecisionKind, Effect, PeerMessage, RecordCall};

/// Share of the calls that the store takes which may be used for records of streams.
const WRITE_SHARE: f64 = 0.5;
/// Hash key that separates the turns to write builds from other roles.
const TURN_KEY: &str = "builds";

/// Hash key that separates the choice of the instance that deletes records from other roles.
const CLEANER_KEY: &str = "records";
/// Uptime from which a silent instance counts as gone for good; longer than records are needed.
const ABSENCE: Duration = Duration::from_secs(90);
/// Records of gone instances that are deleted after one read.
const MAX_DELETED: usize = 20;

/// Does what is due; returns the pools whose streams have to be recorded from now on.
pub fn update(cx: &mut Pass<'_>) -> Vec<PoolId> {
    let added = review(cx);
    let Pass { now, ctx, effects, .. } = cx;
    let now = *now;
    let interval = match ctx.origins.writer.is_empty() {
        true => Duration::ZERO,
        false => write_interval(ctx, now),
    };
    let Context { origins, endpoints, identity, catalog, peers, tuning, .. } = &mut **ctx;
    if endpoints.is_store_down() {
        return added;
    }
    let is_unread = !origins.ledger.is_known() && !catalog.resumable_pools().is_empty();
    if (is_unread || origins.writer.needs_slots()) && !origins.reader.is_wanted() {
        let with_streams = origins.writer.needs_slots();
        origins.reader.request(now, with_streams);
    }
    let reads = origins.reader.due(now).into_iter();
    let turn = |pool: &PoolId| {
        let order = peers.ranked_with(now, tuning, identity, (TURN_KEY, pool), usize::MAX);
        order.iter().position(Option::is_none).unwrap_or_default()
    };
    let builds = origins.ledger.due(now, turn).into_iter().map(RecordCall::WriteBuilds);
    let streams = origins.writer.due(now, &identity.instance, interval);
    let streams = streams.into_iter().map(RecordCall::WriteStreams);
    effects.extend(reads.chain(builds).chain(streams).map(Effect::Record));
    added
}

/// Reads the records again, as the store came back from a copy that may lack some.
pub fn on_restored(cx: &mut Pass<'_>) {
    cx.ctx.origins.ledger.on_restored();
    cx.ctx.origins.writer.forget_slots();
}

/// Looks which builds the pools have, if anything has changed; returns the pools that have got a second
/// one.
fn review(cx: &mut Pass<'_>) -> Vec<PoolId> {
    let now = cx.now;
    let Context { origins, endpoints, catalog, .. } = &mut *cx.ctx;
    let basis = (endpoints.n_changes(), origins.ledger.n_changes(), catalog.version());
    if origins.reviewed == basis && !origins.ledger.is_review_due(now) {
        return Vec::new();
    }
    origins.reviewed = basis;
    let Some(longest) = catalog.longest_request(now) else { return Vec::new() };
    let pools = catalog.resumable_pools();
    origins.ledger.review(now, endpoints, pools, longest);
    for pool in pools {
        endpoints.withhold(pool, origins.ledger.builds(pool));
    }
    let is_mixed = |it: &&PoolId| {
        !endpoints.builds(it).is_empty() && origins.ledger.only_build(endpoints, it).is_none()
    };
    let mixed: Vec<PoolId> = pools.iter().filter(is_mixed).cloned().collect();
    let is_new = |it: &&PoolId| origins.mixed.binary_search(it).is_err();
    let added = mixed.iter().filter(is_new).cloned().collect();
    origins.mixed = mixed;
    origins.reviewed.0 = endpoints.n_changes();
    added
}

/// Returns the time between two writes of this instance: all instances together leave a part of the
/// calls that the store takes.
fn write_interval(ctx: &Context, now: Moment) -> Duration {
    let n_instances = ctx.peers.n_instances(now, &ctx.tuning) as f64;
    Duration::from_secs_f64(n_instances / (ctx.tuning.store_writes * WRITE_SHARE).max(1.0))
}

/// Records the build that began a stream, here, at peers and in the store.
pub fn record_stream(
    cx: &mut Pass<'_>,
    attempt: &CallerAttempt,
    build: &BuildId,
    time_left: Duration,
) {
    let now = cx.now;
    let stream = StreamRecord { attempt: attempt.clone(), build: build.clone() };
    cx.ctx.origins.record(now, attempt.clone(), build.clone(), time_left);
    cx.ctx.origins.writer.add(now, stream, time_left);
    for to in cx.ctx.peers.ranked(now, &cx.ctx.tuning, attempt, N_HOLDERS) {
        let (attempt, build) = (attempt.clone(), build.clone());
        let message = PeerMessage::Began { attempt, build, time_left };
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Takes over the builds of pools as a peer has written or read them.
pub fn on_pool_builds(cx: &mut Pass<'_>, pools: Vec<PoolBuilds>) {
    pools.into_iter().for_each(|it| cx.ctx.origins.ledger.record(it));
}

/// Applies the result of a call; returns the read that it ends, if it is one.
pub fn on_reply(cx: &mut Pass<'_>, reply: RecordReply) -> Option<Read> {
    match reply {
        RecordReply::Quarantine(reply) => {
            quarantine::exchange::on_stored(cx, reply);
            None
        }
        RecordReply::Read { id, records } => on_read(cx, id, records),
        RecordReply::Builds { pool, result } => {
            on_builds_written(cx, &pool, result);
            None
        }
        RecordReply::Streams { slot, result } => {
            let writer = &mut cx.ctx.origins.writer;
            match result {
                Ok(revision) => writer.on_written(slot, revision),
                Err(failure) => {
                    writer.on_failed(cx.now, slot);
                    if failure == WriteFailure::Conflict {
                        writer.forget_slots();
                    }
                }
            }
            None
        }
    }
}

/// A read that has ended.
#[derive(Debug, Clone, Copy)]
pub struct Read {
    pub id: ReadId,
    /// Whether the store has answered.
    pub is_answered: bool,
    /// Whether the records of streams were read.
    pub with_streams: bool,
}

fn on_read(cx: &mut Pass<'_>, id: ReadId, records: Option<StoredRecords>) -> Option<Read> {
    let now = cx.now;
    let longest = cx.ctx.catalog.longest_request(now).unwrap_or_default();
    let Context { origins, .. } = &mut *cx.ctx;
    if !origins.reader.on_reply(id) {
        return None;
    }
    let Some(StoredRecords { pools, streams }) = records else {
        if !origins.ledger.is_known() || origins.writer.needs_slots() {
            origins.reader.retry(now, origins.writer.needs_slots());
        }
        return Some(Read { id, is_answered: false, with_streams: false });
    };
    origins.ledger.on_read(pools);
    let with_streams = streams.is_some();
    if let Some(slots) = streams {
        clean_up(cx, &slots);
        let Context { origins, identity, .. } = &mut *cx.ctx;
        let own = slots.iter().filter(|it| it.instance == identity.instance);
        origins.writer.on_slots(own, now + longest + super::RETENTION);
        for StreamRecord { attempt, build } in
            slots.into_iter().flat_map(|it: StreamSlot| it.streams)
        {
            origins.record(now, attempt, build, longest);
        }
    }
    Some(Read { id, is_answered: true, with_streams })
}

/// Deletes records of instances that have been silent for longer than records are needed: nothing in the
/// store expires by itself.
fn clean_up(cx: &mut Pass<'_>, slots: &[StreamSlot]) {
    let Context { peers, tuning, identity, began_at, .. } = &*cx.ctx;
    let order = peers.ranked_with(cx.now, tuning, identity, CLEANER_KEY, 1);
    let is_cleaner = order.first() == Some(&None);
    if !is_cleaner || cx.now < *began_at + ABSENCE {
        return;
    }
    let is_gone = |it: &&StreamSlot| {
        it.instance != identity.instance && !peers.was_heard(cx.now, &it.instance)
    };
    let gone = slots.iter().filter(is_gone).take(MAX_DELETED);
    let emptied = gone.map(|it| StreamSlot { streams: Vec::new(), ..it.clone() });
    let calls: Vec<Effect> =
        emptied.map(|it| Effect::Record(RecordCall::DeleteStreams(it))).collect();
    cx.effects.extend(calls);
}

fn on_builds_written(cx: &mut Pass<'_>, pool: &PoolId, result: Result<u64, WriteFailure>) {
    let now = cx.now;
    let ledger = &mut cx.ctx.origins.ledger;
    match result {
        Ok(revision) => {
            let Some(record) = ledger.on_written(pool, revision) else { return };
            let reason = format!("its streams begin at {}", record.builds.join(", "));
            cx.log(Decision::new(DecisionKind::Build, reason).with_pool(pool));
            let peers: Vec<_> = cx.ctx.peers.live(now, &cx.ctx.tuning).map(|it| it.0).collect();
            for to in peers {
                let message = PeerMessage::PoolBuilds(vec![record.clone()]);
                cx.effects.push(Effect::Send { to, message });
            }
        }
        Err(failure) => {
            ledger.on_failed(now, pool);
            if failure == WriteFailure::Conflict {
                cx.ctx.origins.reader.request(now, false);
            }
        }
    }
}
