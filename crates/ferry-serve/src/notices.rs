//! What endpoints say of themselves to one instance, and the others have to know.
//!
//! An announcement goes to all instances, as a request that one takes reaches endpoints through
//! others. What a request is bound by goes with it besides, as messages may get lost.

use std::net::SocketAddr;

use ferry_model::EndpointId;

use crate::pass::{Context, Pass};
use crate::{
    Decision, DecisionKind, Effect, EndpointNotice, HealthReport, LeavingReport, Metric,
    PeerMessage, Restriction,
};

/// Notices in one datagram.
const MAX_NOTICES: usize = 64;

/// Applies what a response of an endpoint says of its leaving, and tells peers what is new.
pub fn on_leaving(cx: &mut Pass<'_>, endpoint: &EndpointId, started: u64, report: LeavingReport) {
    let reason = match report {
        LeavingReport::Leaving if cx.ctx.endpoints.record_leaving(cx.now, endpoint, started) => {
            cx.count(Metric::LeavingAnnounced);
            let restriction = Restriction::Announced { started };
            tell_peers(cx, &EndpointNotice { endpoint: endpoint.clone(), restriction });
            "announced in a response that it leaves".to_owned()
        }
        LeavingReport::Leaving => return,
        LeavingReport::Invalid(text) => {
            cx.count(Metric::LeavingInvalid);
            let view = cx.ctx.endpoints.get_mut(endpoint);
            if !view.is_some_and(|it| it.note_invalid(cx.now)) {
                return;
            }
            format!("ignored {text:?}, which does not say whether it leaves")
        }
    };
    cx.log(Decision::new(DecisionKind::Endpoint, reason).with_endpoint(endpoint));
}

/// Applies what a peer knows of endpoints, and tells others what is new.
pub fn on_notices(cx: &mut Pass<'_>, notices: &[EndpointNotice]) {
    for notice in notices {
        if !cx.ctx.endpoints.apply_notice(cx.now, notice) {
            continue;
        }
        cx.count(Metric::NoticesApplied);
        let reason = match notice.restriction {
            Restriction::Announced { started } => {
                tell_peers(cx, notice);
                format!("its start at {started} leaves, as a peer knows")
            }
            Restriction::Withdrawn { revision } => {
                format!("leaves or is gone at {revision}, as a peer knows")
            }
            Restriction::Cold { left, .. } => format!("is cold for {left:?}, as a peer knows"),
            Restriction::Paused { left, .. } => {
                format!("has asked a peer for a pause that lasts {left:?} more")
            }
        };
        cx.log(Decision::new(DecisionKind::Endpoint, reason).with_endpoint(&notice.endpoint));
    }
}

/// Returns what a peer has to know that sends something to endpoints of a pool for this instance.
pub fn for_peer(cx: &Pass<'_>, peer: SocketAddr, pool: &str) -> Vec<EndpointNotice> {
    let last_change = cx.ctx.peers.get(peer).map_or(0, |it| it.heartbeat.last_change);
    cx.ctx.endpoints.notices(cx.now, pool, last_change)
}

/// Tells a peer that has just started which endpoints have announced that they leave.
pub fn introduce(cx: &mut Pass<'_>, to: SocketAddr) {
    let announcements = cx.ctx.endpoints.announcements(cx.now);
    for notices in announcements.chunks(MAX_NOTICES) {
        let message = PeerMessage::Notices { notices: notices.to_vec() };
        cx.effects.push(Effect::Send { to, message });
    }
}

/// Asks the endpoints of which it is not certain whether they leave.
pub fn check(cx: &mut Pass<'_>) {
    let Context { endpoints, catalog, .. } = &mut *cx.ctx;
    let path = |pool: &str| catalog.config()?.pools.get(pool)?.health.clone();
    let due = endpoints.due_checks(cx.now, |it| path(it).is_some());
    for endpoint in due {
        let Some(path) = path(&endpoint.pool) else { continue };
        cx.effects.push(Effect::CheckHealth {
            endpoint: endpoint.id,
            started: endpoint.started,
            address: endpoint.address,
            path,
        });
        cx.effects.push(Effect::Count(Metric::HealthChecks));
    }
}

/// Applies what an endpoint has answered that was asked whether it leaves.
pub fn on_health(cx: &mut Pass<'_>, endpoint: &EndpointId, started: u64, report: HealthReport) {
    if !cx.ctx.endpoints.on_health(endpoint, started, report) {
        return;
    }
    let reason = match report {
        HealthReport::Leaving => {
            let restriction = Restriction::Announced { started };
            tell_peers(cx, &EndpointNotice { endpoint: endpoint.clone(), restriction });
            "said on request that it leaves"
        }
        HealthReport::Sound => "said on request that it accepts work",
        HealthReport::Unknown => return,
    };
    cx.log(Decision::new(DecisionKind::Endpoint, reason).with_endpoint(endpoint));
}

fn tell_peers(cx: &mut Pass<'_>, notice: &EndpointNotice) {
    let Context { peers, tuning, identity, .. } = &*cx.ctx;
    for to in peers.told(cx.now, tuning, identity, &notice.endpoint) {
        let message = PeerMessage::Notices { notices: vec![notice.clone()] };
        cx.effects.push(Effect::Send { to, message });
    }
}
