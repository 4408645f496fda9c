//! The messages about crashes, and what their content changes.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use ferry_model::PoolId;

use super::judge::Verdict;
use super::suspect::PartNeed;
use super::{
    Accusation, CrashReport, Objection, PartId, QuarantineAction, QuarantineNotice,
    QuarantineReason, QuarantineState,
};
use crate::pass::{Context, Pass};
use crate::{Decision, DecisionKind, Effect, Metric, PeerMessage};

/// Judges of a pool, so that one may die.
const N_JUDGES: usize = 2;
/// Peers that are told of a change or an accusation; each of them tells as many others.
const N_TOLD: usize = 8;
/// Hash input that separates the choice of judges from other roles.
const JUDGES_KEY: &str = "judges";

/// Reports crashes that are certain by now, judges, and ends what has lasted for long enough.
pub fn tick(cx: &mut Pass<'_>) {
    watch_entries(cx);
    for report in cx.ctx.crash_watch.due(cx.now) {
        send_report(cx, report);
    }
    let Context { judge, quarantine, .. } = &mut *cx.ctx;
    for (pool, verdict) in judge.tick(cx.now, |pool, part| need(quarantine, pool, part)) {
        apply(cx, pool, verdict);
    }
    for notice in cx.ctx.quarantine.expire(cx.now) {
        spread(cx, &notice, "no request came with it for a day");
    }
}

/// Records a report, if this instance is a judge of its pool.
pub fn on_report(cx: &mut Pass<'_>, report: CrashReport) {
    let judges = judges(cx, &report.pool);
    let rank = judges.iter().position(Option::is_none).unwrap_or(N_JUDGES - 1);
    let Context { judge, quarantine, catalog, .. } = &mut *cx.ctx;
    let pool = report.pool.clone();
    if catalog.has_pool(&pool) {
        judge.on_report(cx.now, report, rank, |part| need(quarantine, &pool, part));
    }
}

/// Tells the judge what speaks for the accused, and tells other instances of the accusation.
pub fn on_accusation(cx: &mut Pass<'_>, accusation: &Accusation) {
    if !cx.ctx.crash_watch.is_new_accusation(accusation.id) {
        return;
    }
    cx.ctx.crash_watch.on_crashes(cx.now, &accusation.crashes);
    if let Some(objection) = cx.ctx.crash_watch.objection(cx.now, accusation) {
        let Objection { sound, alive, .. } = &objection;
        log(
            cx,
            &accusation.pool,
            format!(
                "objects: {} of {} parts were sound, {} of {} endpoints are alive",
                sound.len(),
                accusation.parts.len(),
                alive.len(),
                accusation.crashes.len()
            ),
        );
        if accusation.judge == cx.ctx.identity.peer {
            on_objection(cx, &objection);
        } else {
            // It is sent twice, as nothing else would speak for the part if it got lost.
            for _ in 0..2 {
                let message = PeerMessage::Objection(Box::new(objection.clone()));
                cx.effects.push(Effect::Send { to: accusation.judge, message });
            }
        }
    }
    let key = (accusation.id, &cx.ctx.identity.instance);
    for to in cx.ctx.peers.ranked(cx.now, &cx.ctx.tuning, key, N_TOLD) {
        let message = PeerMessage::Accusation(Box::new(accusation.clone()));
        cx.effects.push(Effect::Send { to, message });
    }
}

pub fn on_objection(cx: &mut Pass<'_>, objection: &Objection) {
    cx.ctx.judge.on_objection(cx.now, objection);
}

/// Applies what a peer knows of the quarantine, and tells other peers what is new.
pub fn on_notices(cx: &mut Pass<'_>, notices: &[QuarantineNotice]) {
    for notice in notices {
        if cx.ctx.quarantine.merge(cx.now, notice) {
            spread(cx, notice, "as a peer knows");
        }
    }
}

/// Sends records to a peer that does not know the same.
pub fn on_digest(cx: &mut Pass<'_>, from: SocketAddr, digest: u64) {
    if digest != cx.ctx.quarantine.digest() {
        introduce(cx, from);
    }
}

/// Tells a peer which parts are in quarantine.
pub fn introduce(cx: &mut Pass<'_>, to: SocketAddr) {
    let notices = cx.ctx.quarantine.sync(cx.now);
    if !notices.is_empty() {
        let message = PeerMessage::Quarantine(notices);
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Does what an operator asks for.
pub fn on_operator(cx: &mut Pass<'_>, pool: &str, part: PartId, action: QuarantineAction) {
    let state = match action {
        QuarantineAction::Set => QuarantineState::Quarantined,
        QuarantineAction::Lift => QuarantineState::Lifted,
    };
    change(cx, pool, part, state, QuarantineReason::Operator, "by an operator");
}

/// Records that a request was refused for a part of its prompt.
pub fn on_refused(cx: &mut Pass<'_>, pool: &str, part: PartId) {
    cx.count(Metric::RequestsQuarantined);
    if let Some(notice) = cx.ctx.quarantine.on_refused(cx.now, pool, part) {
        tell(cx, &notice);
    }
}

/// Treats calls that ended with their connection as crashed whose endpoint was replaced or removed
/// without having left.
fn watch_entries(cx: &mut Pass<'_>) {
    let Context { crash_watch, endpoints, .. } = &mut *cx.ctx;
    for (endpoint, started) in crash_watch.doubtful() {
        let current = endpoints.get(&endpoint).map(|it| it.endpoint.started);
        if current != Some(started) {
            crash_watch.on_gone(cx.now, &endpoint);
        }
    }
}

fn send_report(cx: &mut Pass<'_>, report: CrashReport) {
    cx.count(Metric::CrashesSeen);
    let n_parts = report.parts.len();
    cx.log(
        Decision::new(DecisionKind::Quarantine, format!("crash reported with {n_parts} parts"))
            .with_pool(&report.pool)
            .with_endpoint(&report.crashed.endpoint),
    );
    for judge in judges(cx, &report.pool) {
        match judge {
            None => on_report(cx, report.clone()),
            Some(to) => {
                let message = PeerMessage::CrashReport(Box::new(report.clone()));
                cx.effects.push(Effect::Send { to, message });
            }
        }
    }
}

fn apply(cx: &mut Pass<'_>, pool: PoolId, verdict: Verdict) {
    match verdict {
        Verdict::Accuse { parts, crashes } => {
            let names: Vec<String> = parts.iter().map(|it| format!("{it:x}")).collect();
            let reason = format!("accuses {} of {} crashes", names.join(","), crashes.len());
            log(cx, &pool, reason);
            let mut hasher = DefaultHasher::new();
            let Context { identity, .. } = &*cx.ctx;
            (&identity.instance, identity.incarnation, cx.now, &pool).hash(&mut hasher);
            let (id, judge) = (hasher.finish(), identity.peer);
            on_accusation(cx, &Accusation { id, judge, pool, parts, crashes });
        }
        Verdict::Convict { part, n_crashes } => {
            let why = format!("it explains {n_crashes} crashes");
            let state = QuarantineState::Quarantined;
            change(cx, &pool, part, state, QuarantineReason::Crashes, &why);
        }
        Verdict::Lift { part } => {
            let why = "a later one explains its crashes";
            let state = QuarantineState::Lifted;
            change(cx, &pool, part, state, QuarantineReason::Explained, why);
        }
    }
}

fn change(
    cx: &mut Pass<'_>,
    pool: &str,
    part: PartId,
    state: QuarantineState,
    reason: QuarantineReason,
    why: &str,
) {
    if let Some(notice) = cx.ctx.quarantine.set(cx.now, (pool, part), state, reason) {
        spread(cx, &notice, why);
    }
}

/// Logs a change and tells peers.
fn spread(cx: &mut Pass<'_>, notice: &QuarantineNotice, why: &str) {
    let QuarantineNotice { pool, part, state, reason, .. } = notice;
    log(cx, pool, format!("part {part:x} is {state} ({reason}): {why}"));
    match state {
        QuarantineState::Quarantined => cx.count(Metric::PartsQuarantined),
        QuarantineState::Lifted => cx.ctx.judge.on_lifted(pool, *part),
    }
    tell(cx, notice);
}

fn tell(cx: &mut Pass<'_>, notice: &QuarantineNotice) {
    let key = (notice.part, notice.version, &cx.ctx.identity.instance);
    for to in cx.ctx.peers.ranked(cx.now, &cx.ctx.tuning, key, N_TOLD) {
        let message = PeerMessage::Quarantine(vec![notice.clone()]);
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Returns the judges of a pool; none stands for this instance.
fn judges(cx: &Pass<'_>, pool: &str) -> Vec<Option<SocketAddr>> {
    let Context { peers, tuning, identity, .. } = &*cx.ctx;
    peers.ranked_with(cx.now, tuning, identity, (JUDGES_KEY, pool), N_JUDGES)
}

fn need(quarantine: &super::Quarantine, pool: &str, part: PartId) -> PartNeed {
    match quarantine.get(pool, part).map(|it| (it.state, it.reason)) {
        Some((QuarantineState::Quarantined, _)) => PartNeed::Known,
        Some((QuarantineState::Lifted, QuarantineReason::Expired)) => PartNeed::Once,
        Some((QuarantineState::Lifted, _)) | None => PartNeed::Several,
    }
}

fn log(cx: &mut Pass<'_>, pool: &str, reason: String) {
    cx.log(Decision::new(DecisionKind::Quarantine, reason).with_pool(pool));
}
