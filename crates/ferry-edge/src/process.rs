//! What the binaries share: exit statuses, signals and incarnations.

use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use ferry_model::Incarnation;
use rand::RngExt;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The settings have findings; docs/OPERATING.md lists the exit statuses.
pub const EXIT_SETTINGS: u8 = 2;
/// Random bits below the start time of an incarnation.
const RANDOM_BITS: u32 = 20;

/// Returns the exit status for findings in the settings.
pub fn settings_exit() -> ExitCode {
    ExitCode::from(EXIT_SETTINGS)
}

/// Makes the number of this life of a process; a later start has a higher one.
///
/// It only tells lives apart: nothing that must hold rests on the wall clock.
pub fn incarnation() -> Incarnation {
    (wall_clock() << RANDOM_BITS) | rand::rng().random_range(0..1 << RANDOM_BITS)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The signals that ask for a graceful shutdown.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    pub fn new() -> Result<StopSignals, std::io::Error> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal and returns its name.
    pub async fn next(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
