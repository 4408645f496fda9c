//! Chooses the preset in force.

use std::time::Duration;

use argh::FromArgs;
use ferry_model::{PresetName, Revision};
use http::Method;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::CommandError;
use super::resource::report;
use crate::client::{Basis, Client, Write};
use crate::output::Format;

const CHOSEN: &str = "/v1/chosen";
/// Time between two looks at the status.
const POLL: Duration = Duration::from_millis(200);

/// choose the preset in force: ordinary, peak or maintenance
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "use", example = "ferryctl use peak --revision 12 --wait")]
pub struct UseArgs {
    /// name of the preset
    #[argh(positional)]
    preset: PresetName,
    /// revision that the decision is based on
    #[argh(option)]
    revision: Option<u64>,
    /// base the decision on the present revision, whatever it is
    #[argh(switch)]
    latest: bool,
    /// return only when every live instance has it
    #[argh(switch)]
    wait: bool,
    /// longest wait in seconds (default 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// id of an earlier try whose fate is unknown
    #[argh(option)]
    id: Option<String>,
}

impl UseArgs {
    pub async fn run(self, client: &Client, format: Format) -> Result<(), CommandError> {
        let basis = match (self.revision, self.latest) {
            (Some(revision), _) => Basis::Revision(revision),
            (None, true) => {
                let read = client.read(CHOSEN).await?;
                read.revision.map_or(Basis::Absent, Basis::Revision)
            }
            (None, false) => return Err(CommandError::NoRevision),
        };
        let body = json!({"preset": self.preset.to_string()});
        let write = Write::new(Method::PUT, CHOSEN.to_owned(), basis, self.id).with_body(body);
        let accepted = client.write(&write).await?;
        report(&accepted, format);
        if !self.wait {
            return Ok(());
        }
        let until = Instant::now() + Duration::from_secs(self.seconds);
        wait(client, accepted.revision, until).await?;
        if format == Format::Table {
            println!("in force at every live instance");
        }
        Ok(())
    }
}

/// Looks at the status until no live instance lags.
async fn wait(client: &Client, revision: Revision, until: Instant) -> Result<(), CommandError> {
    loop {
        let status = client.read("/v1/status").await?.value;
        let Err(error) = check(&status, revision) else { return Ok(()) };
        if until <= Instant::now() {
            return Err(error);
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Says why the revision cannot be taken to be in force everywhere.
///
/// Until the control process has read the instance list there is nobody who could lag.
fn check(status: &Value, revision: Revision) -> Result<(), CommandError> {
    let is_anyone_live = status.get("lowest").is_some_and(Value::is_u64);
    if !is_anyone_live {
        return Err(CommandError::NoInstances { revision });
    }
    let lagging = lagging(status, revision);
    if !lagging.is_empty() {
        return Err(CommandError::Lagging { revision, lagging: lagging.join(", ") });
    }
    Ok(())
}

fn lagging(status: &Value, revision: Revision) -> Vec<String> {
    let instances = status.get("instances").and_then(Value::as_array);
    let is_behind = |it: &&Value| {
        let is_live = it.get("state").and_then(Value::as_str) == Some("live");
        is_live && it.get("revision").and_then(Value::as_u64).unwrap_or(0) < revision
    };
    let name = |it: &Value| it.get("instance").and_then(Value::as_str).unwrap_or("?").to_owned();
    instances.into_iter().flatten().filter(is_behind).map(name).collect()
}
