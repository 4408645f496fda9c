//! What endpoints say of their own leaving.

use ferry_model::EndpointId;

use crate::pass::{Context, Pass};
use crate::{Decision, DecisionKind, Effect, HealthReport, LeavingReport, Metric};

/// Applies what a response of an endpoint says of its leaving.
pub fn on_leaving(cx: &mut Pass<'_>, endpoint: &EndpointId, started: u64, report: LeavingReport) {
    let reason = match report {
        LeavingReport::Leaving if cx.ctx.endpoints.record_leaving(cx.now, endpoint, started) => {
            cx.count(Metric::LeavingAnnounced);
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
        HealthReport::Leaving => "said on request that it leaves",
        HealthReport::Sound => "said on request that it accepts work",
        HealthReport::Unknown => return,
    };
    cx.log(Decision::new(DecisionKind::Endpoint, reason).with_endpoint(endpoint));
}
