//! Prints the latest changes of the configuration.

use argh::FromArgs;
use serde_json::Value;

use super::CommandError;
use crate::client::Client;
use crate::output::{Format, cell, print_json, print_table};

/// show the latest changes with their authors and ids, oldest first
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}

impl HistoryArgs {
    pub async fn run(self, client: &Client, format: Format) -> Result<(), CommandError> {
        let history = client.read("/v1/history").await?.value;
        if format == Format::Json {
            return Ok(print_json(&history)?);
        }
        let changes = history.get("changes").and_then(Value::as_array);
        let keys = ["revision", "author", "place", "at", "id"];
        let row = |it: &Value| -> Vec<String> {
            keys.iter().map(|key| it.get(key).map_or_else(|| "-".to_owned(), cell)).collect()
        };
        let rows: Vec<Vec<String>> = changes.into_iter().flatten().map(row).collect();
        print_table(&["REVISION", "AUTHOR", "PLACE", "AT (UNIX MS)", "ID"], &rows);
        Ok(())
    }
}
