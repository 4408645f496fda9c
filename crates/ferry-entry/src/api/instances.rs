//! `GET /v1/instances`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::{HttpResponseOk, Query, RequestContext, endpoint};
use ferry_core::{Event, InstancesAnswer};
use ferry_edge::CallerEvent;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Problem, limits};
use crate::server::EntryContext;

/// Longest wait for the addresses.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses to use, and for how long.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct InstancesBody {
    pub instances: Vec<ChoiceBody>,
    /// How long the caller may keep this answer.
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct ChoiceBody {
    pub instance: String,
    /// IP number and port.
    pub address: SocketAddr,
    pub zone: String,
    /// Share of requests relative to the other choices.
    pub weight: u32,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct ZoneQuery {
    /// The caller's availability zone.
    zone: Option<String>,
}

/// Tells which addresses to use.
#[endpoint { method = GET, path = "/v1/instances" }]
pub(super) async fn get_instances(
    rqctx: RequestContext<Arc<EntryContext>>,
    query: Query<ZoneQuery>,
) -> Result<HttpResponseOk<InstancesBody>, Problem> {
    let headers = rqctx.request.headers();
    let context = rqctx.context();
    limits::check_headers(&context.limits, headers)?;
    context.tokens.find(headers)?;
    let _pass = context.gate.enter(&context.limits, rqctx.request.remote_addr())?;
    let zone = query.into_inner().zone;
    let mut waiter = context.handle.ask(|ticket| Event::AskInstances { ticket, zone });
    match tokio::time::timeout(ASK_TIMEOUT, waiter.next()).await {
        Ok(Some(CallerEvent::Instances(answer))) => Ok(HttpResponseOk(body_of(*answer))),
        Ok(_) | Err(_) => Err(Problem::unanswered()),
    }
}

fn body_of(answer: InstancesAnswer) -> InstancesBody {
    let instances = answer.choices.into_iter().map(|it| ChoiceBody {
        instance: it.instance,
        address: it.address,
        zone: it.zone,
        weight: it.weight,
    });
    InstancesBody { instances: instances.collect(), ttl_ms: answer.ttl.as_millis() as u64 }
}
