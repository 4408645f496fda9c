//! The HTTP and JSON interface for callers, documented in docs/CALLERS.md.

mod answer;
mod body;
mod events;
mod health;
mod instances;
mod keys;
mod limits;
mod openapi;
mod problem;
mod requests;

use std::sync::Arc;

use dropshot::ApiDescription;

use crate::server::EntryContext;

pub use answer::{AnswerBody, StageBody};
pub use events::{EVENT_END, EVENT_TOKEN, EndBody, TokenBody};
pub use health::ReadyBody;
pub use instances::{ChoiceBody, InstancesBody};
pub use keys::{KeyBody, KeyStateName};
pub use limits::RequestLimiter;
pub use openapi::openapi;
pub use problem::Problem;
pub use requests::RequestBody;

/// Returns the API description with every endpoint registered.
pub fn api_description() -> Result<ApiDescription<Arc<EntryContext>>, String> {
    let mut api = ApiDescription::new();
    api.register(requests::post_request).map_err(|it| it.to_string())?;
    api.register(keys::get_key).map_err(|it| it.to_string())?;
    api.register(instances::get_instances).map_err(|it| it.to_string())?;
    api.register(health::get_live).map_err(|it| it.to_string())?;
    api.register(health::get_ready).map_err(|it| it.to_string())?;
    Ok(api)
}
