//! The gateway process on the platform.

use std::process::ExitCode;

use argh::FromArgs;
use ferry_edge::process;
use ferry_gateway::{GatewaySettings, RunError, Sources};
use ferry_model::Findings;
use ferry_platform::settings::{NodeSettings, PATH_VARIABLE};
use tokio::task::LocalSet;

const NAME: &str = "ferry-gateway";

/// Forwards callers' requests through their stages to the platform's endpoints.
#[derive(Debug, FromArgs)]
#[argh(
    example = "ferry-gateway --settings /etc/tarragonferry/node.conf",
    note = "docs/SETTINGS.md lists all settings, docs/OPERATIONS.md the signals and logs.",
    error_code(1, "The process could not start or failed."),
    error_code(2, "The settings are invalid; each finding is printed on a separate line.")
)]
struct Args {
    /// path of the platform's settings file; by default the value of TARRAGONFERRY_BOOT
    #[argh(option)]
    settings: Option<String>,
    /// path of the gateway's own settings file in INI format; docs/SETTINGS.md lists the defaults
    #[argh(option)]
    own: Option<String>,
    /// print all findings in the settings and exit
    #[argh(switch)]
    check: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = args.settings.or_else(|| std::env::var(PATH_VARIABLE).ok());
    let Some(path) = path else {
        eprintln!("{NAME}: --settings is missing and {PATH_VARIABLE} is not set");
        return ExitCode::FAILURE;
    };
    let (settings, sources) = match load(path, args.own.as_deref()) {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    process::exit_code(NAME, start(settings, sources))
}

fn load(path: String, own: Option<&str>) -> Result<(NodeSettings, Sources), ExitCode> {
    let text = std::fs::read_to_string(&path).map_err(|error| {
        eprintln!("{NAME}: could not read {path}: {error}");
        ExitCode::FAILURE
    })?;
    let report = |findings: Findings| {
        eprintln!("{findings}");
        ExitCode::from(process::EXIT_INVALID_SETTINGS)
    };
    let settings = NodeSettings::parse(&text).map_err(report)?;
    let gateway = match own {
        Some(path) => GatewaySettings::load(path).map_err(report)?,
        None => GatewaySettings::default(),
    };
    Ok((settings, Sources { path, text, gateway }))
}

fn start(settings: NodeSettings, sources: Sources) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, ferry_gateway::run(settings, sources))
}
