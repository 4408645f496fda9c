//! The administration interface over HTTP and JSON; docs/CONFIGURATION.md describes it.

mod bodies;
mod exchange;

use std::sync::Arc;

use dropshot::{ApiDescription, Body, HttpError, Path, RequestContext, TypedBody, endpoint};
use ferry_model::{AdminOp, AdminReply, Finding, Pipeline, Pool, Preset, PresetName, Workspace};
use http::Response;

pub use bodies::{
    AcceptedBody, ChosenBody, ConflictBody, ErrorBody, HistoryBody, InstanceBody, InvalidBody,
    ListBody, NamePath, PresetPath, ReadyBody, StatusBody,
};
pub use exchange::CHANGE_ID;

use crate::server::ControlContext;
use exchange::{Exchange, error_body, json};

type Context = RequestContext<Arc<ControlContext>>;
type Reply = Result<Response<Body>, HttpError>;

pub fn api_description() -> Result<ApiDescription<Arc<ControlContext>>, String> {
    let mut api = ApiDescription::new();
    let mut problems = Vec::new();
    let mut note = |it: Result<(), dropshot::ApiDescriptionRegisterError>| {
        problems.extend(it.err().map(|it| it.to_string()));
    };
    note(api.register(get_config));
    note(api.register(list_pipelines));
    note(api.register(get_pipeline));
    note(api.register(put_pipeline));
    note(api.register(delete_pipeline));
    note(api.register(list_pools));
    note(api.register(get_pool));
    note(api.register(put_pool));
    note(api.register(delete_pool));
    note(api.register(list_presets));
    note(api.register(get_preset));
    note(api.register(put_preset));
    note(api.register(get_chosen));
    note(api.register(put_chosen));
    note(api.register(list_workspaces));
    note(api.register(get_workspace));
    note(api.register(put_workspace));
    note(api.register(delete_workspace));
    note(api.register(get_status));
    note(api.register(get_history));
    note(api.register(get_ready));
    match problems.is_empty() {
        true => Ok(api),
        false => Err(problems.join("; ")),
    }
}

/// Returns the interface's description as OpenAPI, as docs/openapi/control.json has it.
pub fn openapi() -> Result<serde_json::Value, String> {
    let version = semver::Version::new(1, 0, 0);
    let api = api_description()?;
    api.openapi("tarragonferry administration", version).json().map_err(|it| it.to_string())
}

/// Returns the whole configuration as the object API has it.
#[endpoint { method = GET, path = "/v1/config" }]
async fn get_config(rqctx: Context) -> Reply {
    let exchange = Exchange::read(&rqctx)?;
    let config = match exchange.config().await? {
        Ok(config) => config,
        Err(response) => return Ok(response),
    };
    json(http::StatusCode::OK, Some(config.revision), &config)
}

/// Lists all pipelines.
#[endpoint { method = GET, path = "/v1/pipelines" }]
async fn list_pipelines(rqctx: Context) -> Reply {
    Exchange::read(&rqctx)?.part(|it| Some(ListBody { items: it.pipelines })).await
}

#[endpoint { method = GET, path = "/v1/pipelines/{name}" }]
async fn get_pipeline(rqctx: Context, path: Path<NamePath>) -> Reply {
    let name = path.into_inner().name;
    Exchange::read(&rqctx)?.part(|it| it.pipeline(&name).cloned()).await
}

/// Creates or replaces a pipeline; `If-Match` names the revision that was read.
#[endpoint { method = PUT, path = "/v1/pipelines/{name}" }]
async fn put_pipeline(rqctx: Context, path: Path<NamePath>, body: TypedBody<Pipeline>) -> Reply {
    let exchange = Exchange::write(&rqctx)?;
    let pipeline = body.into_inner();
    if pipeline.name != path.into_inner().name {
        return wrong_name();
    }
    let expect = exchange.expect;
    exchange.ask(AdminOp::PutPipeline { expect, pipeline }).await
}

#[endpoint { method = DELETE, path = "/v1/pipelines/{name}" }]
async fn delete_pipeline(rqctx: Context, path: Path<NamePath>) -> Reply {
    let exchange = Exchange::write(&rqctx)?;
    let (expect, name) = (exchange.expect, path.into_inner().name);
    exchange.ask(AdminOp::DeletePipeline { expect, name }).await
}

/// Lists all pools with what their endpoints do.
#[endpoint { method = GET, path = "/v1/pools" }]
async fn list_pools(rqctx: Context) -> Reply {
    Exchange::read(&rqctx)?.part(|it| Some(ListBody { items: it.pools })).await
}

#[endpoint { method = GET, path = "/v1/pools/{name}" }]
async fn get_pool(rqctx: Context, path: Path<NamePath>) -> Reply {
    let name = path.into_inner().name;
    Exchange::read(&rqctx)?.part(|it| it.pool(&name).cloned()).await
}

/// Creates or replaces a pool; it says whether its endpoints check fencing numbers.
#[endpoint { method = PUT, path = "/v1/pools/{name}" }]
async fn put_pool(rqctx: Context, path: Path<NamePath>, body: TypedBody<Pool>) -> Reply {
    let exchange = Exchange::write(&rqctx)?;
    let pool = body.into_inner();
    if pool.name != path.into_inner().name {
        return wrong_name();
    }
    let expect = exchange.expect;
    exchange.ask(AdminOp::PutPool { expect, pool }).await
}

#[endpoint { method = DELETE, path = "/v1/pools/{name}" }]
async fn delete_pool(rqctx: Context, path: Path<NamePath>) -> Reply {
    let exchange = Exchange::write(&rqctx)?;
    let (expect, name) = (exchange.expect, path.into_inner().name);
    exchange.ask(AdminOp::DeletePool { expect, name }).await
}

/// Returns the three presets.
#[endpoint { method = GET, path = "/v1/presets" }]
async fn list_presets(rqctx: Context) -> Reply {
    Exchange::read(&rqctx)?.part(|it| Some(it.presets)).await
}

#[endpoint { method = GET, path = "/v1/presets/{name}" }]
async fn get_preset(rqctx: Context, path: Path<PresetPath>) -> Reply {
    let name = path.into_inner().name;
    Exchange::read(&rqctx)?.part(|it| Some(it.presets.get(name).clone())).await
}

#[endpoint { method = PUT, path = "/v1/presets/{name}" }]
async fn put_preset(rqctx: Context, path: Path<PresetPath>, body: TypedBody<Preset>) -> Reply {
    let exchange = Exchange::write(&rqctx)?;
    let (expect, name) = (exchange.expect, path.into_inner().name);
    exchange.ask(AdminOp::PutPreset { expect, name, preset: body.into_inner() }).await
}

/// Returns the name of the preset in force.
#[endpoint { method = GET, path = "/v1/chosen" }]
async fn get_chosen(rqctx: Context) -> Reply {
    Exchange::read(&rqctx)?.part(|it| Some(ChosenBody { preset: it.active })).await
}

/// Chooses the preset in force.
#[endpoint { method = PUT, path = "/v1/chosen" }]
async fn put_chosen(rqctx: Context, body: TypedBody<ChosenBody>) -> Reply {
    let exchange = Exchange::choose(&rqctx)?;
    let (expect, name): (_, PresetName) = (exchange.expect, body.into_inner().preset);
    exchange.ask(AdminOp::UsePreset { expect, name }).await
}

/// Lists all workspaces, each with its own revision.
#[endpoint { method = GET, path = "/v1/workspaces" }]
async fn list_workspaces(rqctx: Context) -> Reply {
    let exchange = Exchange::read(&rqctx)?;
    match exchange.reply(AdminOp::ReadWorkspaces).await? {
        AdminReply::Workspaces(items) => json(http::StatusCode::OK, None, &ListBody { items }),
        other => exchange.respond(other),
    }
}

/// Returns a workspace; its `ETag` is the revision of its own last change.
#[endpoint { method = GET, path = "/v1/workspaces/{name}" }]
async fn get_workspace(rqctx: Context, path: Path<NamePath>) -> Reply {
    let exchange = Exchange::read(&rqctx)?;
    let name = path.into_inner().name;
    match exchange.reply(AdminOp::ReadWorkspaces).await? {
        AdminReply::Workspaces(items) => {
            match items.into_iter().find(|it| it.workspace.name == name) {
                Some(entry) => json(http::StatusCode::OK, Some(entry.revision), &entry.workspace),
                None => exchange.respond(AdminReply::NotFound),
            }
        }
        other => exchange.respond(other),
    }
}

/// Replaces a workspace under `If-Match`, or creates it under `If-None-Match: *`.
#[endpoint { method = PUT, path = "/v1/workspaces/{name}" }]
async fn put_workspace(rqctx: Context, path: Path<NamePath>, body: TypedBody<Workspace>) -> Reply {
    let exchange = Exchange::write(&rqctx)?;
    let workspace = body.into_inner();
    if workspace.name != path.into_inner().name {
        return wrong_name();
    }
    let expect = exchange.expect;
    exchange.ask(AdminOp::PutWorkspace { expect, workspace }).await
}

#[endpoint { method = DELETE, path = "/v1/workspaces/{name}" }]
async fn delete_workspace(rqctx: Context, path: Path<NamePath>) -> Reply {
    let exchange = Exchange::write(&rqctx)?;
    let (expect, name) = (exchange.expect, path.into_inner().name);
    exchange.ask(AdminOp::DeleteWorkspace { expect, name }).await
}

/// Says which instance has which revision, who lags, and since when.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(rqctx: Context) -> Reply {
    let exchange = Exchange::read(&rqctx)?;
    match exchange.reply(AdminOp::Status).await? {
        AdminReply::Status(statuses) => {
            json(http::StatusCode::OK, None, &StatusBody::new(&statuses))
        }
        other => exchange.respond(other),
    }
}

/// Returns the last changes of the configuration, newest last.
#[endpoint { method = GET, path = "/v1/history" }]
async fn get_history(rqctx: Context) -> Reply {
    Exchange::read(&rqctx)?.part(|it| Some(HistoryBody { changes: it.history })).await
}

/// Says whether this instance has a configuration in force.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(rqctx: Context) -> Reply {
    let status = rqctx.context().handle.status();
    let body = ReadyBody { ready: status.ready, revision: status.revision };
    json(http::StatusCode::OK, None, &body)
}

fn wrong_name() -> Reply {
    let findings = vec![Finding::new("/name", "differs from the name in the path")];
    let body = InvalidBody { message: "the value is not valid".to_owned(), findings };
    error_body(http::StatusCode::UNPROCESSABLE_ENTITY, &body)
}
