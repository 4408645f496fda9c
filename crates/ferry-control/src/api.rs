//! The HTTP and JSON interface for administration, documented in docs/CONFIGURATION.md.

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

/// Returns the API description with every endpoint registered.
pub fn api_description() -> Result<ApiDescription<Arc<ControlContext>>, String> {
    let mut api = ApiDescription::new();
    let mut errors = Vec::new();
    let mut collect = |it: Result<(), dropshot::ApiDescriptionRegisterError>| {
        errors.extend(it.err().map(|it| it.to_string()));
    };
    collect(api.register(get_config));
    collect(api.register(list_pipelines));
    collect(api.register(get_pipeline));
    collect(api.register(put_pipeline));
    collect(api.register(delete_pipeline));
    collect(api.register(list_pools));
    collect(api.register(get_pool));
    collect(api.register(put_pool));
    collect(api.register(delete_pool));
    collect(api.register(list_presets));
    collect(api.register(get_preset));
    collect(api.register(put_preset));
    collect(api.register(get_chosen));
    collect(api.register(put_chosen));
    collect(api.register(list_workspaces));
    collect(api.register(get_workspace));
    collect(api.register(put_workspace));
    collect(api.register(delete_workspace));
    collect(api.register(get_status));
    collect(api.register(get_history));
    collect(api.register(get_ready));
    match errors.is_empty() {
        true => Ok(api),
        false => Err(errors.join("; ")),
    }
}

/// Returns the OpenAPI document of the interface, which docs/openapi/control.json contains.
pub fn openapi() -> Result<serde_json::Value, String> {
    let version = semver::Version::new(1, 0, 0);
    let api = api_description()?;
    api.openapi("tarragonferry administration", version).json().map_err(|it| it.to_string())
}

/// Returns the whole configuration as it is stored.
#[endpoint { method = GET, path = "/v1/config" }]
async fn get_config(rqctx: Context) -> Reply {
    let exchange = Exchange::for_read(&rqctx)?;
    let config = match exchange.read_config().await? {
        Ok(config) => config,
        Err(response) => return Ok(response),
    };
    json(http::StatusCode::OK, Some(config.revision), &config)
}

/// Lists all pipelines.
#[endpoint { method = GET, path = "/v1/pipelines" }]
async fn list_pipelines(rqctx: Context) -> Reply {
    Exchange::for_read(&rqctx)?.respond_with(|it| Some(ListBody { items: it.pipelines })).await
}

#[endpoint { method = GET, path = "/v1/pipelines/{name}" }]
async fn get_pipeline(rqctx: Context, path: Path<NamePath>) -> Reply {
    let name = path.into_inner().name;
    Exchange::for_read(&rqctx)?.respond_with(|it| it.pipeline(&name).cloned()).await
}

/// Creates or replaces a pipeline; `If-Match` has the revision that the change is based on.
#[endpoint { method = PUT, path = "/v1/pipelines/{name}" }]
async fn put_pipeline(rqctx: Context, path: Path<NamePath>, body: TypedBody<Pipeline>) -> Reply {
    let exchange = Exchange::for_edit(&rqctx)?;
    let pipeline = body.into_inner();
    if pipeline.name != path.into_inner().name {
        return name_mismatch();
    }
    let expect = exchange.expect;
    exchange.execute(AdminOp::PutPipeline { expect, pipeline }).await
}

#[endpoint { method = DELETE, path = "/v1/pipelines/{name}" }]
async fn delete_pipeline(rqctx: Context, path: Path<NamePath>) -> Reply {
    let exchange = Exchange::for_edit(&rqctx)?;
    let (expect, name) = (exchange.expect, path.into_inner().name);
    exchange.execute(AdminOp::DeletePipeline { expect, name }).await
}

/// Lists all pools with the kind of their endpoints.
#[endpoint { method = GET, path = "/v1/pools" }]
async fn list_pools(rqctx: Context) -> Reply {
    Exchange::for_read(&rqctx)?.respond_with(|it| Some(ListBody { items: it.pools })).await
}

#[endpoint { method = GET, path = "/v1/pools/{name}" }]
async fn get_pool(rqctx: Context, path: Path<NamePath>) -> Reply {
    let name = path.into_inner().name;
    Exchange::for_read(&rqctx)?.respond_with(|it| it.pool(&name).cloned()).await
}

/// Creates or replaces a pool; its `checks_fence` says whether its endpoints check fencing numbers.
#[endpoint { method = PUT, path = "/v1/pools/{name}" }]
async fn put_pool(rqctx: Context, path: Path<NamePath>, body: TypedBody<Pool>) -> Reply {
    let exchange = Exchange::for_edit(&rqctx)?;
    let pool = body.into_inner();
    if pool.name != path.into_inner().name {
        return name_mismatch();
    }
    let expect = exchange.expect;
    exchange.execute(AdminOp::PutPool { expect, pool }).await
}

#[endpoint { method = DELETE, path = "/v1/pools/{name}" }]
async fn delete_pool(rqctx: Context, path: Path<NamePath>) -> Reply {
    let exchange = Exchange::for_edit(&rqctx)?;
    let (expect, name) = (exchange.expect, path.into_inner().name);
    exchange.execute(AdminOp::DeletePool { expect, name }).await
}

/// Returns the three presets.
#[endpoint { method = GET, path = "/v1/presets" }]
async fn list_presets(rqctx: Context) -> Reply {
    Exchange::for_read(&rqctx)?.respond_with(|it| Some(it.presets)).await
}

#[endpoint { method = GET, path = "/v1/presets/{name}" }]
async fn get_preset(rqctx: Context, path: Path<PresetPath>) -> Reply {
    let name = path.into_inner().name;
    Exchange::for_read(&rqctx)?.respond_with(|it| Some(it.presets.get(name).clone())).await
}

#[endpoint { method = PUT, path = "/v1/presets/{name}" }]
async fn put_preset(rqctx: Context, path: Path<PresetPath>, body: TypedBody<Preset>) -> Reply {
    let exchange = Exchange::for_edit(&rqctx)?;
    let (expect, name) = (exchange.expect, path.into_inner().name);
    exchange.execute(AdminOp::PutPreset { expect, name, preset: body.into_inner() }).await
}

/// Returns the name of the preset in force.
#[endpoint { method = GET, path = "/v1/chosen" }]
async fn get_chosen(rqctx: Context) -> Reply {
    Exchange::for_read(&rqctx)?.respond_with(|it| Some(ChosenBody { preset: it.active })).await
}

/// Chooses the preset in force.
#[endpoint { method = PUT, path = "/v1/chosen" }]
async fn put_chosen(rqctx: Context, body: TypedBody<ChosenBody>) -> Reply {
    let exchange = Exchange::for_preset_choice(&rqctx)?;
    let (expect, name): (_, PresetName) = (exchange.expect, body.into_inner().preset);
    exchange.execute(AdminOp::UsePreset { expect, name }).await
}

/// Lists all workspaces, each with its own revision.
#[endpoint { method = GET, path = "/v1/workspaces" }]
async fn list_workspaces(rqctx: Context) -> Reply {
    let exchange = Exchange::for_read(&rqctx)?;
    match exchange.send(AdminOp::ReadWorkspaces).await? {
        AdminReply::Workspaces(items) => json(http::StatusCode::OK, None, &ListBody { items }),
        other => exchange.respond(other),
    }
}

/// Returns a workspace; its `ETag` is the revision of its own last change.
#[endpoint { method = GET, path = "/v1/workspaces/{name}" }]
async fn get_workspace(rqctx: Context, path: Path<NamePath>) -> Reply {
    let exchange = Exchange::for_read(&rqctx)?;
    let name = path.into_inner().name;
    match exchange.send(AdminOp::ReadWorkspaces).await? {
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
    let exchange = Exchange::for_edit(&rqctx)?;
    let workspace = body.into_inner();
    if workspace.name != path.into_inner().name {
        return name_mismatch();
    }
    let expect = exchange.expect;
    exchange.execute(AdminOp::PutWorkspace { expect, workspace }).await
}

#[endpoint { method = DELETE, path = "/v1/workspaces/{name}" }]
async fn delete_workspace(rqctx: Context, path: Path<NamePath>) -> Reply {
    let exchange = Exchange::for_edit(&rqctx)?;
    let (expect, name) = (exchange.expect, path.into_inner().name);
    exchange.execute(AdminOp::DeleteWorkspace { expect, name }).await
}

/// Returns the revision of each instance, and how long it has lagged.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(rqctx: Context) -> Reply {
    let exchange = Exchange::for_read(&rqctx)?;
    match exchange.send(AdminOp::Status).await? {
        AdminReply::Status(statuses) => {
            json(http::StatusCode::OK, None, &StatusBody::new(&statuses))
        }
        other => exchange.respond(other),
    }
}

/// Returns the latest changes of the configuration, oldest first.
#[endpoint { method = GET, path = "/v1/history" }]
async fn get_history(rqctx: Context) -> Reply {
    Exchange::for_read(&rqctx)?.respond_with(|it| Some(HistoryBody { changes: it.history })).await
}

/// Reports whether this instance has a configuration in force.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(rqctx: Context) -> Reply {
    let status = rqctx.context().handle.status();
    let body = ReadyBody { ready: status.ready, revision: status.revision };
    json(http::StatusCode::OK, None, &body)
}

fn name_mismatch() -> Reply {
    let findings = vec![Finding::new("/name", "differs from the name in the path")];
    let body = InvalidBody { message: "the value is not valid".to_owned(), findings };
    error_body(http::StatusCode::UNPROCESSABLE_ENTITY, &body)
}
