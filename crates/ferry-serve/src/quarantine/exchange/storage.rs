//! What the store keeps of the quarantine, and what its answers change.

use super::{KEEPERS_KEY, collectors, log, note, pool_load, standing};
use crate::pass::{Context, Pass};
use crate::quarantine::ledger::N_KEEPERS;
use crate::quarantine::{QuarantineReply, RecordKey, StoredCrashes, StoredEntry};
use crate::{Effect, RecordCall};

/// Calls the store for what is due.
pub fn keep(cx: &mut Pass<'_>) {
    if cx.ctx.endpoints.is_store_down() {
        return;
    }
    let Context { quarantine_ledger, quarantine, collector, peers, tuning, identity, .. } =
        &mut *cx.ctx;
    let turn = |key: &RecordKey| {
        let keepers = peers.ranked_with(cx.now, tuning, identity, (KEEPERS_KEY, key), N_KEEPERS);
        keepers.iter().position(Option::is_none)
    };
    let open = |pool: &str| collector.open(cx.now, pool, |it| standing(quarantine, pool, it));
    let call = quarantine_ledger.due(cx.now, quarantine, turn, open);
    cx.effects.extend(call.map(|it| Effect::Record(RecordCall::Quarantine(it))));
}

/// Applies what the store has answered. Peers read it themselves.
pub fn on_stored(cx: &mut Pass<'_>, reply: QuarantineReply) {
    match reply {
        QuarantineReply::Written(result) => cx.ctx.quarantine_ledger.on_written(cx.now, result),
        QuarantineReply::Read(stored) => {
            let entries = stored.iter().flat_map(|it| &it.entries);
            for notice in entries.filter_map(StoredEntry::notice) {
                if cx.ctx.quarantine.merge(cx.now, &notice) {
                    note(cx, &notice, "as the store has it");
                }
            }
            cx.ctx.quarantine_ledger.on_read(cx.now, stored.as_ref());
            for crashes in stored.iter().flat_map(|it| &it.crashes) {
                restore(cx, crashes);
            }
        }
    }
}

/// Takes over the open crashes of a pool: what they make suspect, and all of them if this instance collects for
/// it, which removes old ones as well.
fn restore(cx: &mut Pass<'_>, crashes: &StoredCrashes) {
    let StoredCrashes { pool, open: Some(open), .. } = crashes else { return };
    let rank = collectors(cx, pool).iter().position(Option::is_none);
    let n_instances = cx.ctx.peers.n_instances(cx.now, &cx.ctx.tuning);
    let Context { collector, quarantine, quarantine_ledger, crash_watch, endpoints, .. } =
        &mut *cx.ctx;
    crash_watch.restore(cx.now, pool, open);
    if rank.is_none() {
        return;
    }
    let load = pool_load(cx.now, crash_watch, endpoints, n_instances, pool);
    let is_known = |it| standing(quarantine, pool, it);
    let n_restored = collector.restore(cx.now, pool, open, load, is_known);
    if rank == Some(0) && collector.open(cx.now, pool, is_known).crashes.is_empty() {
        quarantine_ledger.keep_crashes(pool.clone());
    }
    if 0 < n_restored {
        log(cx, pool, format!("{n_restored} open crashes taken over from the store"));
    }
}

/// Whether all that this instance knows of crashes is reported, decided on and kept, as far as the store
/// answers.
pub fn is_settled(cx: &Context) -> bool {
    let is_kept = cx.endpoints.is_store_down() || cx.quarantine_ledger.is_settled();
    cx.crash_watch.is_settled() && cx.collector.is_settled() && is_kept
}
