//! The messages about crashes, and what their content changes.

mod storage;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId};

use super::collector::Finding;
use super::evidence::{PoolLoad, Standing};
use super::{
    CounterEvidence, CrashCandidate, CrashInquiry, CrashReport, CrashWatch, Quarantine,
    QuarantineAction, QuarantineNotice, QuarantineReason, QuarantineState,
};
use crate::pass::{Context, Pass};
use crate::{Decision, DecisionKind, Effect, Endpoints, Metric, PeerMessage};

pub use storage::{is_settled, keep, on_stored};

/// Collectors of a pool, so that one may fail and messages may be lost.
const N_COLLECTORS: usize = 3;
/// Peers that receive a change or an inquiry; each of them passes it on to as many others.
const FANOUT: usize = 8;
/// Time without reports of a pool after which a collector may have missed some, as it did not collect, or
/// stood still.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// Hash input that separates the choice of collectors from other roles.
const COLLECTORS_KEY: &str = "crash collectors";
/// The same for the instances that look whether a record is stored.
const KEEPERS_KEY: &str = "quarantine keepers";

/// Reports crashes that are certain by now, attributes them, and ends what has lasted for long enough.
pub fn tick(cx: &mut Pass<'_>) {
    watch_entries(cx);
    probe(cx);
    for report in cx.ctx.crash_watch.due_reports(cx.now) {
        send_report(cx, report);
    }
    let n_instances = cx.ctx.peers.n_instances(cx.now, &cx.ctx.tuning);
    for evidence in cx.ctx.crash_watch.take_retractions() {
        retract(cx, &evidence);
    }
    let Context { collector, quarantine, crash_watch, endpoints, .. } = &mut *cx.ctx;
    let findings = collector.tick(
        cx.now,
        |pool| pool_load(cx.now, crash_watch, endpoints, n_instances, pool),
        |pool, candidate| standing(quarantine, pool, candidate),
    );
    for (pool, finding) in findings {
        apply(cx, pool, finding);
    }
    for notice in cx.ctx.quarantine.expire(cx.now) {
        spread(cx, &notice, "no request came for it for a day");
    }
}

/// Handles the end of a probe of an endpoint.
pub fn on_probed(cx: &mut Pass<'_>, endpoint: &EndpointId, started: u64, is_alive: bool) {
    let report = cx.ctx.crash_watch.on_probed(cx.now, endpoint, started, is_alive);
    if let Some(report) = report {
        send_report(cx, report);
    }
}

/// Probes the endpoints that may have crashed; one that is no longer known has, and one that asked
/// for a pause has responded.
fn probe(cx: &mut Pass<'_>) {
    for (endpoint, started) in cx.ctx.crash_watch.due_probes(cx.now) {
        let view = cx.ctx.endpoints.get(&endpoint).filter(|it| it.endpoint.started == started);
        match view.map(|it| (it.endpoint.address, it.wants_pause(cx.now))) {
            Some((_, true)) => on_probed(cx, &endpoint, started, true),
            Some((address, false)) => {
                cx.effects.push(Effect::Probe { endpoint, started, address });
            }
            None => on_probed(cx, &endpoint, started, false),
        }
    }
}

/// Records a report, if this instance knows its pool.
pub fn on_report(cx: &mut Pass<'_>, report: CrashReport) {
    let collectors = collectors(cx, &report.pool);
    let rank = collectors.iter().position(Option::is_none).unwrap_or(N_COLLECTORS - 1);
    let n_instances = cx.ctx.peers.n_instances(cx.now, &cx.ctx.tuning);
    let Context {
        collector, quarantine, quarantine_ledger, catalog, crash_watch, endpoints, ..
    } = &mut *cx.ctx;
    let pool = report.pool.clone();
    if catalog.has_pool(&pool) {
        if collector.is_quiet(&pool, cx.now.saturating_sub(QUIET_TIME)) {
            quarantine_ledger.refresh();
        }
        let load = pool_load(cx.now, crash_watch, endpoints, n_instances, &pool);
        collector.on_report(cx.now, report, rank, load, |it| standing(quarantine, &pool, it));
    }
}

/// Tells the collector what speaks against an attribution, and passes the inquiry on.
pub fn on_inquiry(cx: &mut Pass<'_>, inquiry: &CrashInquiry) {
    if !cx.ctx.crash_watch.is_new_inquiry(inquiry.id) {
        return;
    }
    cx.ctx.crash_watch.on_crashes(cx.now, &inquiry.crashes);
    if let Some(evidence) = cx.ctx.crash_watch.counter_evidence(cx.now, inquiry) {
        let CounterEvidence { sound, alive, .. } = &evidence;
        log(
            cx,
            &inquiry.pool,
            format!(
                "{} of {} candidates were sound, {} of {} endpoints are alive",
                sound.len(),
                inquiry.candidates.len(),
                alive.len(),
                inquiry.crashes.len()
            ),
        );
        if inquiry.collector == cx.ctx.identity.peer {
            on_evidence(cx, &evidence);
        } else {
            // It is sent twice, as nothing else would speak for a sound candidate if it got lost.
            for _ in 0..2 {
                let message = PeerMessage::CounterEvidence(Box::new(evidence.clone()));
                cx.effects.push(Effect::Send { to: inquiry.collector, message });
            }
        }
    }
    let key = (inquiry.id, &cx.ctx.identity.instance);
    for to in cx.ctx.peers.ranked(cx.now, &cx.ctx.tuning, key, FANOUT) {
        let message = PeerMessage::CrashInquiry(Box::new(inquiry.clone()));
        cx.effects.push(Effect::Send { to, message });
    }
}

pub fn on_evidence(cx: &mut Pass<'_>, evidence: &CounterEvidence) {
    cx.ctx.collector.on_evidence(cx.now, evidence);
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

/// Tells a peer what is in quarantine.
pub fn introduce(cx: &mut Pass<'_>, to: SocketAddr) {
    let notices = cx.ctx.quarantine.sync(cx.now);
    if !notices.is_empty() {
        let message = PeerMessage::Quarantine(notices);
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Does what an operator asks for.
pub fn on_operator(
    cx: &mut Pass<'_>,
    pool: &str,
    candidate: CrashCandidate,
    action: QuarantineAction,
) {
    let state = match action {
        QuarantineAction::Set => QuarantineState::Quarantined,
        QuarantineAction::Lift => QuarantineState::Lifted,
    };
    change(cx, pool, candidate, state, QuarantineReason::Operator, "by an operator");
}

/// Records that a request was refused for a candidate.
pub fn on_refused(cx: &mut Pass<'_>, pool: &str, candidate: CrashCandidate) {
    cx.count(Metric::RequestsQuarantined);
    if let Some(notice) = cx.ctx.quarantine.on_refused(cx.now, pool, candidate) {
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
    let names = names(report.exposures.iter().map(|it| it.candidate));
    cx.log(
        Decision::new(DecisionKind::Quarantine, format!("crash reported with {names}"))
            .with_pool(&report.pool)
            .with_endpoint(&report.crashed.endpoint),
    );
    for collector in collectors(cx, &report.pool) {
        match collector {
            None => on_report(cx, report.clone()),
            Some(to) => {
                let message = PeerMessage::CrashReport(Box::new(report.clone()));
                cx.effects.push(Effect::Send { to, message });
            }
        }
    }
}

/// Tells the collectors that endpoints are alive whose crash was reported.
fn retract(cx: &mut Pass<'_>, evidence: &CounterEvidence) {
    for (endpoint, _) in &evidence.alive {
        cx.log(
            Decision::new(DecisionKind::Quarantine, "it is alive; the report of a crash was wrong")
                .with_pool(&evidence.pool)
                .with_endpoint(endpoint),
        );
    }
    for collector in collectors(cx, &evidence.pool) {
        match collector {
            None => on_evidence(cx, evidence),
            Some(to) => {
                let message = PeerMessage::CounterEvidence(Box::new(evidence.clone()));
                cx.effects.push(Effect::Send { to, message });
            }
        }
    }
}

fn apply(cx: &mut Pass<'_>, pool: PoolId, finding: Finding) {
    match finding {
        Finding::Inquire { candidates, crashes } => {
            let names = names(candidates.iter().copied());
            let reason = format!("asks about {names} for {} crashes", crashes.len());
            log(cx, &pool, reason);
            let mut hasher = DefaultHasher::new();
            let Context { identity, .. } = &*cx.ctx;
            (&identity.instance, identity.incarnation, cx.now, &pool).hash(&mut hasher);
            let (id, collector) = (hasher.finish(), identity.peer);
            on_inquiry(cx, &CrashInquiry { id, collector, pool, candidates, crashes });
        }
        Finding::Quarantine { candidate, n_crashes } => {
            let why = format!("it explains {n_crashes} crashes");
            let state = QuarantineState::Quarantined;
            change(cx, &pool, candidate, state, QuarantineReason::Crashes, &why);
        }
        Finding::Lift { candidate } => {
            let why = "a later one explains its crashes";
            let state = QuarantineState::Lifted;
            change(cx, &pool, candidate, state, QuarantineReason::Explained, why);
        }
        Finding::Keep => {
            if collectors(cx, &pool).first() == Some(&None) {
                cx.ctx.quarantine_ledger.keep_crashes(pool);
            }
        }
    }
}

fn change(
    cx: &mut Pass<'_>,
    pool: &str,
    candidate: CrashCandidate,
    state: QuarantineState,
    reason: QuarantineReason,
    why: &str,
) {
    if let Some(notice) = cx.ctx.quarantine.set(cx.now, (pool, candidate), state, reason) {
        cx.ctx.quarantine_ledger.on_changed(pool, candidate);
        spread(cx, &notice, why);
    }
}

/// Logs a change and tells peers.
fn spread(cx: &mut Pass<'_>, notice: &QuarantineNotice, why: &str) {
    note(cx, notice, why);
    tell(cx, notice);
}

fn note(cx: &mut Pass<'_>, notice: &QuarantineNotice, why: &str) {
    let QuarantineNotice { pool, candidate, state, reason, .. } = notice;
    log(cx, pool, format!("{candidate} is {state} ({reason}): {why}"));
    match (state, candidate) {
        (QuarantineState::Quarantined, CrashCandidate::Part(_)) => {
            cx.count(Metric::PartsQuarantined);
        }
        (QuarantineState::Quarantined, CrashCandidate::Request(_)) => {
            cx.count(Metric::DigestsQuarantined);
        }
        (QuarantineState::Lifted, _) => cx.ctx.collector.on_lifted(pool, *candidate),
    }
}

fn tell(cx: &mut Pass<'_>, notice: &QuarantineNotice) {
    let key = (notice.candidate, notice.version, &cx.ctx.identity.instance);
    for to in cx.ctx.peers.ranked(cx.now, &cx.ctx.tuning, key, FANOUT) {
        let message = PeerMessage::Quarantine(vec![notice.clone()]);
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Returns the collectors of a pool; none stands for this instance, which hands that over to others as it
/// stops.
fn collectors(cx: &Pass<'_>, pool: &str) -> Vec<Option<SocketAddr>> {
    let Context { peers, tuning, identity, is_leaving, .. } = &*cx.ctx;
    let key = (COLLECTORS_KEY, pool);
    let others = match is_leaving {
        true => peers.ranked(cx.now, tuning, key, N_COLLECTORS),
        false => Vec::new(),
    };
    match others.is_empty() {
        true => peers.ranked_with(cx.now, tuning, identity, key, N_COLLECTORS),
        false => others.into_iter().map(Some).collect(),
    }
}

/// Returns what a pool serves, as far as this instance can tell for all of them.
fn pool_load(
    now: Moment,
    watch: &CrashWatch,
    endpoints: &Endpoints,
    n_instances: usize,
    pool: &str,
) -> PoolLoad {
    PoolLoad {
        sound_rate: watch.sound_rate(now, pool) * n_instances as f64,
        n_endpoints: endpoints.pool(pool).count(),
    }
}

fn standing(quarantine: &Quarantine, pool: &str, candidate: CrashCandidate) -> Standing {
    match quarantine.get(pool, candidate).map(|it| (it.state, it.reason)) {
        Some((QuarantineState::Quarantined, _)) => Standing::Quarantined,
        Some((QuarantineState::Lifted, QuarantineReason::Expired)) => Standing::Expired,
        Some((QuarantineState::Lifted, _)) | None => Standing::Free,
    }
}

/// Returns the names of candidates for a log line.
fn names(candidates: impl Iterator<Item = CrashCandidate>) -> String {
    let mut candidates: Vec<CrashCandidate> = candidates.collect();
    candidates.sort_unstable();
    candidates.dedup();
    let names: Vec<String> = candidates.iter().map(CrashCandidate::to_string).collect();
    match names.is_empty() {
        true => "no candidate".to_owned(),
        false => names.join(", "),
    }
}

fn log(cx: &mut Pass<'_>, pool: &str, reason: String) {
    cx.log(Decision::new(DecisionKind::Quarantine, reason).with_pool(pool));
}
