//! Start-up and shutdown code shared by the binaries: exit statuses, signals and incarnations.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use ferry_core::Event;
use ferry_model::Incarnation;
use rand::RngExt;
use serde::Serialize;
use slog::{Logger, info};
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::Handle;
use crate::settings::Findings;

/// Exit status for invalid settings; docs/OPERATING.md lists the exit statuses.
pub const EXIT_INVALID_SETTINGS: u8 = 2;
/// Random low-order bits of an incarnation; the bits above them hold the start time.
const RANDOM_BITS: u32 = 20;

#[derive(Debug, Error)]
pub enum ProcessError {
    #[error("could not listen for signals: {0}")]
    Signals(#[from] std::io::Error),
    #[error("could not print the addresses: {0}")]
    Print(#[from] serde_json::Error),
}

/// Command-line options of every binary.
#[derive(Debug)]
pub struct LaunchOptions {
    pub name: &'static str,
    pub settings: Option<String>,
    /// File that every event is written to.
    pub record: Option<PathBuf>,
    /// Check the settings and exit.
    pub check: bool,
    /// Print the version and exit.
    pub version: bool,
}

/// Runs a binary with its command-line options and returns the exit status.
pub async fn launch<S, E: fmt::Display>(
    launch: LaunchOptions,
    load: impl FnOnce(&str) -> Result<S, Findings>,
    run: impl AsyncFnOnce(S, Option<PathBuf>) -> Result<(), E>,
) -> ExitCode {
    let name = launch.name;
    if launch.version {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match load_settings(name, launch.settings, load) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if launch.check {
        return ExitCode::SUCCESS;
    }
    exit_code(name, run(settings, launch.record).await)
}

/// Loads the settings of the binary `name`; on failure prints why and returns its exit status.
pub fn load_settings<T>(
    name: &str,
    path: Option<String>,
    load: impl FnOnce(&str) -> Result<T, Findings>,
) -> Result<T, ExitCode> {
    let Some(path) = path else {
        eprintln!("{name}: --settings is missing");
        return Err(ExitCode::FAILURE);
    };
    load(&path).map_err(|findings| {
        eprintln!("{findings}");
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

/// Prints the error of the binary `name`, if any, and returns its exit status.
pub fn exit_code<E: fmt::Display>(name: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the addresses that a process listens on as one line of JSON.
pub fn print_started<T: Serialize>(started: &T) -> Result<(), ProcessError> {
    println!("{}", serde_json::to_string(started)?);
    Ok(())
}

/// Forwards each stop signal to the node until the node allows the process to exit.
pub async fn run_until_exit(handle: &Handle, signals: &mut StopSignals, log: &Logger) {
    let mut status = handle.watch_status();
    loop {
        tokio::select! {
            name = signals.next() => {
                info!(log, "shutdown requested; open requests continue"; "signal" => name);
                handle.send(Event::Shutdown);
            }
            result = status.wait_for(|it| it.exited) => {
                info!(log, "every request has ended"; "driver_ended" => result.is_err());
                return;
            }
        }
    }
}

/// Generates the incarnation of this run of the process; a later start gets a higher one.
///
/// It only distinguishes runs of one instance: no guarantee depends on the wall clock.
pub fn new_incarnation() -> Incarnation {
    (unix_millis() << RANDOM_BITS) | rand::rng().random_range(0..1 << RANDOM_BITS)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The signals that request a graceful shutdown.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    pub fn new() -> Result<StopSignals, ProcessError> {
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
