//! Edits the three presets: the floors and limits of the pools.

use argh::FromArgs;

use super::CommandError;
use super::resource::{DiffArgs, GetArgs, PutArgs, Resource};
use crate::client::Client;
use crate::output::{Format, cell, print_json, print_table};

const RESOURCE: Resource = Resource { path: "/v1/presets", columns: &[], own_revisions: false };

/// list, get, diff or put presets
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "preset")]
pub struct PresetArgs {
    #[argh(subcommand)]
    verb: PresetVerb,
}

/// show which preset is in force, and how many floors and limits each has
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct PresetListArgs {}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum PresetVerb {
    List(PresetListArgs),
    Get(GetArgs),
    Diff(DiffArgs),
    Put(PutArgs),
}

impl PresetArgs {
    pub async fn run(self, client: &Client, format: Format) -> Result<(), CommandError> {
        match self.verb {
            PresetVerb::List(_) => list(client, format).await,
            PresetVerb::Get(args) => RESOURCE.get(args, client).await,
            PresetVerb::Diff(args) => RESOURCE.diff(args, client).await,
            PresetVerb::Put(args) => RESOURCE.put(args, client, format).await,
        }
    }
}

async fn list(client: &Client, format: Format) -> Result<(), CommandError> {
    let presets = client.read("/v1/presets").await?.value;
    if format == Format::Json {
        return Ok(print_json(&presets)?);
    }
    let chosen = client.read("/v1/chosen").await?.value;
    let count = |name: &str, field: &str| {
        let items = presets.pointer(&format!("/{name}/{field}"));
        items.and_then(|it| it.as_array()).map_or(0, Vec::len).to_string()
    };
    let row = |name: &str| {
        let is_chosen = chosen.get("preset").map(cell).as_deref() == Some(name);
        let in_force = if is_chosen { "yes" } else { "no" };
        vec![name.to_owned(), in_force.to_owned(), count(name, "floors"), count(name, "limits")]
    };
    let rows: Vec<Vec<String>> = ["ordinary", "peak", "maintenance"].map(row).to_vec();
    print_table(&["NAME", "IN FORCE", "FLOORS", "LIMITS"], &rows);
    Ok(())
}
