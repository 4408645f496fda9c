//! What the store and peers report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{EndpointId, GatewayConfig};

use crate::batch::{Batcher, Job, JobOwner};
use crate::limits::exchange;
use crate::notices;
use crate::origins;
use crate::pass::{Context, Pass};
use crate::quarantine;
use crate::request::{Requests, evaluate, origin, schedule};
use crate::{
    Asker, Decision, DecisionKind, Effect, JobSubmission, LimitNotice, LimitReport, Metric,
    PauseReport, PeerMessage, PermitAnswer, PermitId, ReachChange, StoreUpdate,
};

pub(super) fn configure(cx: &mut Pass<'_>, batcher: &mut Batcher, config: Arc<GatewayConfig>) {
    if cx.ctx.catalog.update(cx.now, config) {
        cx.log(Decision::new(DecisionKind::Configure, "newer configuration applied"));
        let now = cx.now;
        cx.ctx.peers.heartbeat_now(now);
        set_paces(cx);
        let max_pauses = cx.ctx.catalog.max_pauses();
        cx.ctx.scheduler.set_max_pauses(max_pauses);
        batcher.dispatch_all(cx);
    }
}

/// Applies what cold endpoints take, by the configuration and the settings.
pub(super) fn set_paces(cx: &mut Pass<'_>) {
    let Context { endpoints, catalog, tuning, .. } = &mut *cx.ctx;
    if let Some(config) = catalog.config() {
        endpoints.set_paces(cx.now, config.pools.iter(), tuning);
    }
}

/// Applies what the store or a peer reports of endpoints; returns whether other zones are evacuated
/// now.
pub(super) fn on_store(cx: &mut Pass<'_>, update: StoreUpdate) -> bool {
    let reason = match &update {
        StoreUpdate::List { revision, endpoints } => {
            format!("list of {} endpoints at {revision}", endpoints.len())
        }
        StoreUpdate::Peer(delta) => {
            let n_removed = delta.removed.len();
            format!("peer reported {} endpoints and {n_removed} removed", delta.endpoints.len())
        }
        StoreUpdate::Changed { revision, endpoint } => {
            format!("{} is {} at {revision}", endpoint.id, endpoint.state)
        }
        StoreUpdate::Removed { revision, id } => format!("{id} was removed at {revision}"),
        StoreUpdate::Unreadable { revision, id } => {
            format!("{id} has an entry that cannot be read at {revision}")
        }
        StoreUpdate::EvacuatedZones(zones) => {
            format!("list of {} evacuated zones at {}", zones.zones.len(), zones.revision)
        }
        StoreUpdate::Evacuated { revision, zone } => {
            format!("zone {zone} is evacuated at {revision}")
        }
        StoreUpdate::Readmitted { revision, zone } => {
            format!("zone {zone} is no longer evacuated at {revision}")
        }
        StoreUpdate::Answered { gap } => format!("store answered after {} ms", gap.as_millis()),
        StoreUpdate::Unreachable => "store does not answer".to_owned(),
        StoreUpdate::Reachable => "store answers again".to_owned(),
        StoreUpdate::Restored => "store came back from an older copy".to_owned(),
    };
    let is_news =
        matches!(update, StoreUpdate::Unreachable | StoreUpdate::Reachable | StoreUpdate::Restored);
    if matches!(update, StoreUpdate::Restored) {
        origins::exchange::on_restored(cx);
        cx.ctx.quarantine_ledger.on_restored();
    }
    let Context { tuning, endpoints, .. } = &mut *cx.ctx;
    let n_before = endpoints.n_evacuation_changes();
    if endpoints.apply(cx.now, tuning, update) || is_news {
        cx.log(Decision::new(DecisionKind::Endpoint, reason));
    }
    let is_evacuation = cx.ctx.endpoints.n_evacuation_changes() != n_before;
    if is_evacuation {
        log_evacuations(cx);
    }
    is_evacuation
}

fn log_evacuations(cx: &mut Pass<'_>) {
    cx.count(Metric::EvacuationsChanged);
    let zones: Vec<String> = cx.ctx.endpoints.evacuated().map(|it| it.0.clone()).collect();
    let reason = match zones.is_empty() {
        true => "no zone is evacuated".to_owned(),
        false => format!("evacuated zones: {}", zones.join(", ")),
    };
    cx.log(Decision::new(DecisionKind::Evacuate, reason));
    let now = cx.now;
    cx.ctx.peers.heartbeat_now(now);
}

pub(super) fn on_limit(cx: &mut Pass<'_>, endpoint: &EndpointId, started: u64, limit: LimitReport) {
    let rate = match limit {
        LimitReport::Unlimited => None,
        LimitReport::Limited(rate) => Some(rate),
        LimitReport::Invalid(text) => {
            cx.count(Metric::LimitsInvalid);
            let view = cx.ctx.endpoints.get_mut(endpoint);
            if !view.is_some_and(|it| it.note_invalid(cx.now)) {
                return;
            }
            let reason = format!("ignored {text:?}, which is not a positive rate");
            return cx.log(Decision::new(DecisionKind::Limit, reason).with_endpoint(endpoint));
        }
    };
    let notice = LimitNotice { endpoint: endpoint.clone(), rate, age: Duration::ZERO };
    exchange::record(cx, &notice, Some(started), "by its response");
}

pub(super) fn on_pause(
    cx: &mut Pass<'_>,
    endpoint: &EndpointId,
    started: u64,
    report: PauseReport,
) {
    let reason = match report {
        PauseReport::Asked(pause) => {
            cx.count(Metric::PausesAsked);
            if !cx.ctx.endpoints.record_pause(cx.now, endpoint, started, pause) {
                return;
            }
            format!("asks for a pause of {pause:?}")
        }
        PauseReport::Invalid(text) => {
            cx.count(Metric::PausesInvalid);
            let view = cx.ctx.endpoints.get_mut(endpoint);
            if !view.is_some_and(|it| it.note_invalid(cx.now)) {
                return;
            }
            format!("ignored {text:?}, which is not a pause in seconds")
        }
    };
    cx.log(Decision::new(DecisionKind::Endpoint, reason).with_endpoint(endpoint));
}

/// Compares what this instance reaches with what its peers do, and probes the pools that only they
/// reach.
pub(super) fn update_reach(cx: &mut Pass<'_>) {
    let (now, ctx) = (cx.now, &mut *cx.ctx);
    let Context { reach, peers, endpoints, tuning, .. } = ctx;
    let is_reached = |pool: &str, since| peers.reach(now, tuning, pool, since);
    let changes = reach.update(now, endpoints, is_reached);
    let probes = reach.probes(now, endpoints);
    probes.into_iter().for_each(|it| probe(cx, it));
    if changes.is_empty() {
        return;
    }
    for ReachChange { pool, is_cut } in changes {
        let reason = match is_cut {
            true => "only peers reach its endpoints",
            false => "its endpoints are reached again",
        };
        cx.count(Metric::PoolsCut);
        cx.log(Decision::new(DecisionKind::Reach, reason).with_pool(&pool));
    }
    cx.ctx.peers.heartbeat_now(now);
}

/// Looks whether a pool is reached whose endpoints fail at a peer.
fn probe_for_peer(cx: &mut Pass<'_>, pool: &str) {
    let Context { reach, endpoints, .. } = &mut *cx.ctx;
    if let Some(endpoint) = reach.probe_for_peer(cx.now, pool, endpoints) {
        probe(cx, endpoint);
    }
}

fn probe(cx: &mut Pass<'_>, endpoint: EndpointId) {
    let view = cx.ctx.endpoints.get(&endpoint).filter(|it| !it.wants_pause(cx.now));
    let Some(view) = view else { return };
    let (started, address) = (view.endpoint.started, view.endpoint.address);
    cx.effects.push(Effect::Probe { endpoint, started, address });
}

/// Records whether an endpoint accepted a connection.
pub(super) fn on_probed(cx: &mut Pass<'_>, endpoint: &str, is_alive: bool) {
    let Context { endpoints, reach, .. } = &mut *cx.ctx;
    if let Some(view) = endpoints.get(endpoint) {
        reach.on_probed(cx.now, &view.endpoint.pool, endpoint, is_alive);
    }
}

/// Passes the answer of a limiter to the request, or the batch, that waits for it.
pub(super) fn on_permit(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    requests: &mut Requests,
    id: PermitId,
    n_asks: Option<u8>,
    answer: &PermitAnswer,
) {
    if !requests.on_permit(cx, batcher, id, n_asks, answer) {
        batcher.on_permit(cx, id, n_asks, answer);
    }
}

pub(super) fn on_peer(
    cx: &mut Pass<'_>,
    batcher: &mut Batcher,
    requests: &mut Requests,
    from: SocketAddr,
    message: PeerMessage,
) {
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            let Context { endpoints, tuning, .. } = &mut *cx.ctx;
            for observation in &heartbeat.observations {
                endpoints.observe(cx.now, tuning, observation);
            }
            heartbeat.doubted.iter().for_each(|it| probe_for_peer(cx, it));
            let (instance, digest) = (heartbeat.instance.clone(), heartbeat.quarantine);
            if cx.ctx.peers.on_heartbeat(cx.now, from, *heartbeat) {
                cx.log(Decision::new(DecisionKind::Peer, format!("{instance} has started")));
                requests.batcher_lost(cx, batcher, from);
                exchange::introduce(cx, from);
                notices::introduce(cx, from);
            }
            quarantine::exchange::on_digest(cx, from, digest);
        }
        PeerMessage::Submit(submit) => on_submit(cx, batcher, from, *submit),
        PeerMessage::AdmissionRequest(request) => {
            let answer = evaluate(cx, batcher, &request);
            let message = PeerMessage::AdmissionDecision { attempt: request.attempt, answer };
            cx.effects.push(Effect::Send { to: from, message });
        }
        PeerMessage::AdmissionDecision { attempt, answer } => {
            requests.on_admission_answer(cx, batcher, &attempt, answer);
        }
        PeerMessage::Schedule(wanted) => {
            let attempt = wanted.attempt.clone();
            let scheduled = schedule::schedule(cx, Asker::Peer(from), *wanted);
            let message = PeerMessage::Scheduled { attempt, scheduled };
            cx.effects.push(Effect::Send { to: from, message });
        }
        PeerMessage::Scheduled { attempt, scheduled } => {
            requests.on_scheduled(cx, batcher, &attempt, scheduled);
        }
        PeerMessage::ScheduleProgress { attempt, progress } => {
            schedule::on_progress(cx, &attempt, progress);
        }
        PeerMessage::Began { attempt, build, time_left } => {
            cx.ctx.origins.record(cx.now, attempt, build, time_left);
        }
        PeerMessage::OriginRequest(request) => origin::on_request(cx, from, request),
        PeerMessage::Origin { attempt, build } => {
            requests.on_origin(cx, batcher, &attempt, build);
        }
        PeerMessage::OnlyBuild { attempt, build } => {
            requests.on_only_build(cx, batcher, &attempt, build);
        }
        PeerMessage::PoolBuilds(pools) => origins::exchange::on_pool_builds(cx, pools),
        PeerMessage::Accepted(key) => requests.on_accepted(&key),
        PeerMessage::Withdraw(key) => batcher.withdraw(cx, &key),
        PeerMessage::JobOutcome { key, outcome } => cx.outcomes.push((key, outcome)),
        PeerMessage::Limits(notices) => {
            notices.iter().for_each(|it| exchange::on_notice(cx, it));
        }
        PeerMessage::PermitRequest(request) => exchange::on_request(cx, from, &request),
        PeerMessage::Permit { id, n_asks, answer } => {
            on_permit(cx, batcher, requests, id, Some(n_asks), &answer);
        }
        PeerMessage::PermitWithdraw { endpoint, id } => {
            cx.ctx.limiter.withdraw(&endpoint, Asker::Peer(from), id);
        }
        PeerMessage::Ping { id } => exchange::on_ping(cx, from, id),
        PeerMessage::Pong { id, is_willing, n_instances } => {
            exchange::on_pong(cx, from, (id, is_willing, n_instances));
        }
        PeerMessage::Notices { notices } => notices::on_notices(cx, &notices),
        PeerMessage::Quarantine(notices) => quarantine::exchange::on_notices(cx, &notices),
        PeerMessage::CrashReport(report) => quarantine::exchange::on_report(cx, *report),
        PeerMessage::CrashInquiry(it) => quarantine::exchange::on_inquiry(cx, &it),
        PeerMessage::CounterEvidence(it) => quarantine::exchange::on_evidence(cx, &it),
    }
}

fn on_submit(cx: &mut Pass<'_>, batcher: &mut Batcher, from: SocketAddr, submit: JobSubmission) {
    notices::on_notices(cx, &submit.notices);
    let (key, job) = Job::from_submit(JobOwner::Peer(from), submit, cx.now);
    cx.effects.push(Effect::Send { to: from, message: PeerMessage::Accepted(key.clone()) });
    batcher.submit(cx, key, job);
}
