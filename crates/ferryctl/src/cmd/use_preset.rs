//! Chooses the preset in force.

use std::time::Duration;

use argh::FromArgs;
use ferry_model::{PresetName, Revision};
use http::Method;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::CommandError;
use super::resource::print_accepted;
use crate::client::{ChangeRequest, Client, Precondition};
use crate::output::Format;

const CHOSEN_PATH: &str = "/v1/chosen";
/// Time between two reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// choose the preset in force: ordinary, peak or maintenance
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "use", example = "ferryctl use peak --revision 12 --wait")]
pub struct UseArgs {
    /// name of the preset
    #[argh(positional)]
    preset: PresetName,
    /// revision that the choice is based on
    #[argh(option)]
    revision: Option<u64>,
    /// base the choice on the current revision, whatever it is
    #[argh(switch)]
    latest: bool,
    /// return only once the preset is in force at every live instance
    #[argh(switch)]
    wait: bool,
    /// longest wait in seconds (default 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// id of an earlier attempt whose result is unknown
    #[argh(option)]
    id: Option<String>,
}

impl UseArgs {
    pub async fn run(self, client: &Client, format: Format) -> Result<(), CommandError> {
        let precondition = match (self.revision, self.latest) {
            (Some(revision), _) => Precondition::Revision(revision),
            (None, true) => {
                let read = client.read(CHOSEN_PATH).await?;
                read.revision.map_or(Precondition::Absent, Precondition::Revision)
            }
            (None, false) => return Err(CommandError::NoRevision),
        };
        let body = json!({"preset": self.preset.to_string()});
        let change = ChangeRequest::new(Method::PUT, CHOSEN_PATH.to_owned(), precondition, self.id)
            .with_body(body);
        let accepted = client.change(&change).await?;
        print_accepted(&accepted, format);
        if !self.wait {
            return Ok(());
        }
        let deadline = Instant::now() + Duration::from_secs(self.seconds);
        wait_in_force(client, accepted.revision, deadline).await?;
        if format == Format::Table {
            println!("in force at every live instance");
        }
        Ok(())
    }
}

/// Polls the status until no live instance lags.
async fn wait_in_force(
    client: &Client,
    revision: Revision,
    deadline: Instant,
) -> Result<(), CommandError> {
    loop {
        let status = client.read("/v1/status").await?.value;
        let Err(error) = check_in_force(&status, revision) else { return Ok(()) };
        if deadline <= Instant::now() {
            return Err(error);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Checks that the revision is in force at every live instance.
///
/// Fails as long as no instance is known to be live: until the control process has read the
/// instance list, an empty list does not mean that no instance lags.
fn check_in_force(status: &Value, revision: Revision) -> Result<(), CommandError> {
    let has_live_instance = status.get("lowest").is_some_and(Value::is_u64);
    if !has_live_instance {
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
