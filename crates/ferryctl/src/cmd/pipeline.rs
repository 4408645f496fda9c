//! Edits pipelines: their stages, priorities and deadlines.

use argh::FromArgs;

use super::CommandError;
use super::resource::{Resource, Verb};
use crate::client::Client;
use crate::output::Format;

const RESOURCE: Resource = Resource {
    path: "/v1/pipelines",
    columns: &[("NAME", "/name"), ("PRIORITY", "/priority"), ("DEADLINE MS", "/deadline")],
    own_revisions: false,
};

/// list, get, diff, put or delete pipelines
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pipeline")]
pub struct PipelineArgs {
    #[argh(subcommand)]
    verb: Verb,
}

impl PipelineArgs {
    pub async fn run(self, client: &Client, format: Format) -> Result<(), CommandError> {
        RESOURCE.run(self.verb, client, format).await
    }
}
