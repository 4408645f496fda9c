//! Edits pools of endpoints, which stages refer to by name.

use argh::FromArgs;

use super::CommandError;
use super::resource::{Resource, Verb};
use crate::client::Client;
use crate::output::Format;

const RESOURCE: Resource = Resource {
    path: "/v1/pools",
    columns: &[("NAME", "/name"), ("KIND", "/kind"), ("CHECKS FENCE", "/checks_fence")],
    own_revisions: false,
};

/// list, get, diff, put or delete pools
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool")]
pub struct PoolArgs {
    #[argh(subcommand)]
    verb: Verb,
}

impl PoolArgs {
    pub async fn run(self, client: &Client, format: Format) -> Result<(), CommandError> {
        RESOURCE.run(self.verb, client, format).await
    }
}
