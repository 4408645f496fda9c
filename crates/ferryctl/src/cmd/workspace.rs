//! Edits workspaces: their weights, limits and tokens.

use argh::FromArgs;

use super::CommandError;
use super::resource::{Resource, Verb};
use crate::client::Client;
use crate::output::Format;

const RESOURCE: Resource = Resource {
    path: "/v1/workspaces",
    columns: &[
        ("NAME", "/workspace/name"),
        ("WEIGHT", "/workspace/weight"),
        ("CONCURRENT", "/workspace/concurrent"),
        ("REVISION", "/revision"),
    ],
    own_revisions: true,
};

/// list, get, diff, put or delete workspaces
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workspace")]
pub struct WorkspaceArgs {
    #[argh(subcommand)]
    verb: Verb,
}

impl WorkspaceArgs {
    pub async fn run(self, client: &Client, format: Format) -> Result<(), CommandError> {
        RESOURCE.run(self.verb, client, format).await
    }
}
