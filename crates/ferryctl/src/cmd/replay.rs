//! Replays a recorded event log.

use std::fs::File;
use std::io::BufReader;

use argh::FromArgs;
use ferry_core::replay;

use super::CommandError;

/// Replay an event log and compare the final state with the recorded one.
///
/// docs/PROOF.md describes the file format.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "replay",
    example = "ferryctl replay entry-0.log",
    error_code(1, "The log could not be read, or the final state differs from the recorded one.")
)]
pub struct ReplayArgs {
    /// event log in JSON Lines format
    #[argh(positional)]
    file: String,
}

impl ReplayArgs {
    pub fn run(self) -> Result<(), CommandError> {
        let path = self.file;
        let fail = |error: String| CommandError::File { path: path.clone(), error };
        let file = File::open(&path).map_err(|it| fail(it.to_string()))?;
        let replayed = replay::replay(BufReader::new(file)).map_err(|it| fail(it.to_string()))?;
        let digest: String = replayed.digest.iter().map(|it| format!("{it:02x}")).collect();
        println!("events {}, effects {}, digest {digest}", replayed.events, replayed.effects);
        match replayed.recorded {
            None => println!("the log has no end to compare with"),
            Some(_) if replayed.matches_recorded() => println!("the state is the recorded one"),
            Some(_) => return Err(CommandError::Diverged { path }),
        }
        Ok(())
    }
}
