//! Prints the revision of each instance.

use argh::FromArgs;
use serde_json::Value;

use super::CommandError;
use crate::client::Client;
use crate::output::{Format, cell, print_json, print_table};

/// show the state and revision of each instance, and how long it has lagged
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

impl StatusArgs {
    pub async fn run(self, client: &Client, format: Format) -> Result<(), CommandError> {
        let status = client.read("/v1/status").await?.value;
        if format == Format::Json {
            return Ok(print_json(&status)?);
        }
        let revision = |key: &str| status.get(key).map_or_else(|| "-".to_owned(), cell);
        println!("revision {}, lowest of the live {}", revision("revision"), revision("lowest"));
        let instances = status.get("instances").and_then(Value::as_array);
        let keys = ["instance", "zone", "state", "revision", "lagging_ms"];
        let row = |it: &Value| -> Vec<String> {
            keys.iter().map(|key| it.get(key).map_or_else(|| "-".to_owned(), cell)).collect()
        };
        let rows: Vec<Vec<String>> = instances.into_iter().flatten().map(row).collect();
        print_table(&["INSTANCE", "ZONE", "STATE", "REVISION", "LAGGING MS"], &rows);
        Ok(())
    }
}
