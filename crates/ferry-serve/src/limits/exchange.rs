//! The messages about rate limits and permits.

use std::net::SocketAddr;
use std::time::Duration;

use super::{PermitAnswer, PermitReply, PermitRequest};
use crate::notices;
use crate::pass::{Context, Pass};
use crate::{Asker, ColdChange, Decision, DecisionKind, Effect, LimitNotice, Metric, PeerMessage};

/// Time for which a silent peer is not asked for permits.
const SILENT_PAUSE: Duration = Duration::from_secs(2);
/// The same for one that is not the limiter by its own account.
const UNWILLING_PAUSE: Duration = Duration::from_millis(300);
/// Pause of an instance that asks for permits for an endpoint that its limiter does not know yet.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that a datagram takes, which the age of a notice does not tell.
const MAX_TRANSIT: Duration = Duration::from_millis(50);
/// Notices in one datagram.
const MAX_NOTICES: usize = 64;

/// Answers a peer that asks for a permit.
pub fn on_request(cx: &mut Pass<'_>, from: SocketAddr, request: &PermitRequest) {
    on_notice(cx, &request.limit);
    notices::on_notices(cx, &request.notices);
    let endpoint = &request.limit.endpoint;
    let answer = match cx.ctx.limiter_peer(cx.now, endpoint) {
        None => grant(cx, Asker::Peer(from), request),
        Some(better) => {
            // The peer may have found the better one silent.
            let ping = cx.ctx.limiter.ping(cx.now, better);
            send_pings(cx, ping.map(|id| (better, id)).into_iter().collect());
            PermitAnswer::Elsewhere
        }
    };
    let PermitRequest { id, n_asks, .. } = *request;
    reply(cx, PermitReply { asker: Asker::Peer(from), id, n_asks, answer });
}

/// Avoids a limiter for a while that has not answered.
pub fn on_silence(cx: &mut Pass<'_>, limiter: SocketAddr) {
    if cx.ctx.peers.avoid(cx.now, limiter, SILENT_PAUSE) {
        let reason = format!("{limiter} does not answer for permits");
        cx.log(Decision::new(DecisionKind::Peer, reason));
    }
}

/// Looks for another limiter than one that is none by its own account. It may know better that an
/// avoided peer lives.
pub fn on_elsewhere(cx: &mut Pass<'_>, limiter: SocketAddr) {
    if !cx.ctx.peers.stop_avoiding(cx.now) {
        cx.ctx.peers.avoid(cx.now, limiter, UNWILLING_PAUSE);
    }
}

pub fn on_ping(cx: &mut Pass<'_>, from: SocketAddr, id: u64) {
    let is_willing = cx.ctx.is_willing(cx.now);
    let n_instances = cx.ctx.peers.recent(cx.now).len() as u32 + 1;
    let message = PeerMessage::Pong { id, is_willing, n_instances };
    cx.effects.push(Effect::Send { to: from, message });
}

pub fn on_pong(
    cx: &mut Pass<'_>,
    from: SocketAddr,
    (id, is_willing, n_instances): (u64, bool, u32),
) {
    cx.ctx.limiter.on_pong(from, id, n_instances as usize);
    match is_willing {
        true => cx.ctx.peers.stop_avoiding_one(from),
        false => {
            cx.ctx.peers.avoid(cx.now, from, UNWILLING_PAUSE * 2);
        }
    }
}

/// Applies what a peer knows of a limit. Of two notices that contradict each other at the same time,
/// the lower limit counts: each step makes a notice look newer, so that they would replace each
/// other for good.
pub fn on_notice(cx: &mut Pass<'_>, notice: &LimitNotice) {
    let at = cx.now.saturating_sub(notice.age);
    let endpoints = &cx.ctx.endpoints;
    let is_higher = match (endpoints.limit(&notice.endpoint), notice.rate) {
        (Some(known), Some(rate)) => known.per_second() < rate.per_second(),
        (Some(_), None) => true,
        (None, _) => false,
    };
    if is_higher && at <= endpoints.limit_heard_at(&notice.endpoint) + MAX_TRANSIT {
        return;
    }
    record(cx, notice, None, "as a peer knows");
}

/// Applies what an endpoint says of its limit, when its start `started` was called, or a peer, and
/// tells other peers what is new.
pub fn record(cx: &mut Pass<'_>, notice: &LimitNotice, started: Option<u64>, source: &str) {
    let LimitNotice { endpoint, rate, age } = notice;
    let at = cx.now.saturating_sub(*age);
    let change = cx.ctx.endpoints.record_limit(cx.now, endpoint, started, at, *rate);
    let Some(change) = change else { return };
    cx.count(Metric::LimitsNamed);
    let reason = format!("{change}, {source}");
    cx.log(Decision::new(DecisionKind::Limit, reason).with_endpoint(endpoint));
    if change.is_urgent() {
        let Context { peers, tuning, identity, .. } = &*cx.ctx;
        for to in peers.told(cx.now, tuning, identity, endpoint) {
            let message = PeerMessage::Limits(vec![notice.clone()]);
            cx.effects.push(Effect::Send { to, message });
        }
    }
}

/// Logs which endpoints have become cold or warm, and begins to grant the permits for those of which
/// this instance is the limiter: a cold endpoint would be warm before a new limiter grants any.
pub fn on_cold_changes(cx: &mut Pass<'_>) {
    for change in cx.ctx.endpoints.take_cold_changes() {
        let ColdChange { endpoint, cold, n_sent } = change;
        let reason = match cold {
            Some((rate, left)) => {
                cx.count(Metric::EndpointsCold);
                begin(cx, &endpoint);
                format!("is cold for {left:?}, takes {rate} requests per second")
            }
            None => format!("is warm, got {n_sent} requests of this instance meanwhile"),
        };
        cx.log(Decision::new(DecisionKind::Limit, reason).with_endpoint(&endpoint));
    }
}

fn begin(cx: &mut Pass<'_>, endpoint: &str) {
    if cx.ctx.limiter_peer(cx.now, endpoint).is_some() {
        return;
    }
    let Context { endpoints, limiter, .. } = &mut *cx.ctx;
    if let Some((view, rate)) = endpoints.get(endpoint).and_then(|it| Some((it, it.rate_limit()?)))
    {
        limiter.begin(cx.now, view, rate);
    }
}

/// Tells a peer that has just started which endpoints have a limit.
pub fn introduce(cx: &mut Pass<'_>, to: SocketAddr) {
    let notices = cx.ctx.endpoints.limit_notices(cx.now);
    for notices in notices.chunks(MAX_NOTICES) {
        let message = PeerMessage::Limits(notices.to_vec());
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Grants the permits that are due, and asks peers whether this instance still reaches them.
pub fn tick(cx: &mut Pass<'_>) {
    let (pings, silent) = cx.ctx.limiter.retry_pings(cx.now);
    send_pings(cx, pings);
    for peer in silent {
        cx.ctx.peers.avoid(cx.now, peer, SILENT_PAUSE);
    }
    if cx.ctx.limiter.is_round_due(cx.now) {
        start_round(cx);
    }
    for served in cx.ctx.limiter.serve(cx.now) {
        if matches!(served.answer, PermitAnswer::Granted { .. }) {
            cx.count(Metric::PermitsGranted);
        }
        reply(cx, served);
    }
}

fn start_round(cx: &mut Pass<'_>) {
    let now = cx.now;
    let mut limiter = std::mem::take(&mut cx.ctx.limiter);
    let ctx = &*cx.ctx;
    let is_limiter = |it: &str| ctx.limiter_peer(now, it).is_none();
    let (retired, replies) = limiter.retire(now, &ctx.endpoints, is_limiter);
    if limiter.is_round_due(now) {
        let Context { peers, .. } = ctx;
        let pings =
            limiter.pings(now, peers.recent(now), &peers.avoided(now), peers.n_expected(now));
        cx.ctx.limiter = limiter;
        send_pings(cx, pings);
    } else {
        cx.ctx.limiter = limiter;
    }
    for endpoint in retired {
        let decision = Decision::new(DecisionKind::Limit, "no longer grants its permits");
        cx.log(decision.with_endpoint(&endpoint));
    }
    for ended in replies {
        reply(cx, ended);
    }
}

fn send_pings(cx: &mut Pass<'_>, pings: Vec<(SocketAddr, u64)>) {
    let send = |(to, id)| Effect::Send { to, message: PeerMessage::Ping { id } };
    cx.effects.extend(pings.into_iter().map(send));
}

/// Answers as the limiter of an endpoint.
pub fn grant(cx: &mut Pass<'_>, asker: Asker, request: &PermitRequest) -> PermitAnswer {
    let Context { endpoints, limiter, .. } = &mut *cx.ctx;
    let endpoint = &request.limit.endpoint;
    let Some(view) = endpoints.get(endpoint) else {
        return PermitAnswer::Denied { wait: UNKNOWN_PAUSE, pause: UNKNOWN_PAUSE };
    };
    let Some(rate) = view.rate_limit() else {
        return PermitAnswer::NotNeeded(endpoints.limit_notice(cx.now, endpoint));
    };
    let is_new = !limiter.is_active(endpoint);
    let answer = limiter.ask(cx.now, view, rate, asker, request);
    if is_new {
        let decision = Decision::new(DecisionKind::Limit, "grants its permits from now on");
        cx.log(decision.with_endpoint(endpoint));
    }
    if matches!(answer, PermitAnswer::Granted { .. }) {
        cx.count(Metric::PermitsGranted);
    }
    answer
}

fn reply(cx: &mut Pass<'_>, reply: PermitReply) {
    let PermitReply { asker, id, n_asks, answer } = reply;
    match asker {
        Asker::This => cx.permits.push((id, answer)),
        Asker::Peer(to) => {
            let message = PeerMessage::Permit { id, n_asks, answer };
            cx.effects.push(Effect::Send { to, message });
        }
    }
}
