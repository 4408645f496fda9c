//! Runs soak tests with consecutive seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use ferry_soak::{Only, Release, SoakOptions, run};
use tokio::task::LocalSet;

/// Number of gateways for which a run has loopback addresses.
const MAX_PROCESSES: usize = 240;

/// Runs gateway processes with random faults and checks what callers and endpoints observe.
#[derive(Debug, FromArgs)]
#[argh(
    example = "ferry-soak --from 1 --seeds 5 --seconds 20",
    example = "ferry-soak --from 100 --minutes 10 --processes 40"
)]
struct Args {
    /// first seed (1)
    #[argh(option, default = "1")]
    from: u64,
    /// number of runs, each with the next seed (1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// minutes for which further seeds are run; replaces --seeds
    #[argh(option)]
    minutes: Option<u64>,
    /// seconds of each run during which faults are injected (20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// number of gateways, 1 to 240 (4)
    #[argh(option, default = "4", from_str_fn(n_processes))]
    processes: usize,
    /// only these faults: pauses (moments of silence, configurations and SIGHUP), configurations (the
    /// same with series of configurations apart from each other), herds (all gateways are killed at
    /// once), upgrades (gateways are replaced, see --other), entries (some cannot be read, endpoints
    /// leave, return and ask for pauses), copies (the store comes back from older copies) or
    /// evacuations (of zones, beside outages of the store and killed gateways); all but the last by
    /// default
    #[argh(option)]
    only: Option<Only>,
    /// sends prompts on which engines crash, and requests on which all endpoints do
    #[argh(switch)]
    crashes: bool,
    /// path of the gateway binary of another release, by which the gateways are replaced one after the
    /// other, and back again
    #[argh(option)]
    other: Option<PathBuf>,
    /// path of the gateway binary; by default ferry-gateway in the directory of this program
    #[argh(option)]
    gateway: Option<PathBuf>,
    /// directory for settings and logs (reports/soak)
    #[argh(option, default = "PathBuf::from(\"reports/soak\")")]
    directory: PathBuf,
}

fn n_processes(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(number @ 1..=MAX_PROCESSES) => Ok(number),
        _ => Err(format!("must be a number from 1 to {MAX_PROCESSES}")),
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match soak(&args) {
        Ok(failed) if failed.is_empty() => ExitCode::SUCCESS,
        Ok(failed) => {
            eprintln!("ferry-soak: failed with seeds {failed:?}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("ferry-soak: could not run: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the soak with each seed and returns the seeds that failed.
fn soak(args: &Args) -> std::io::Result<Vec<u64>> {
    let default = std::env::current_exe()?.with_file_name("ferry-gateway");
    let gateway = args.gateway.clone().unwrap_or(default);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let until = args.minutes.map(|it| Instant::now() + Duration::from_secs(60 * it));
    let mut failed = Vec::new();
    for seed in args.from.. {
        let is_over = match until {
            Some(until) => until <= Instant::now(),
            None => args.from + args.seeds <= seed,
        };
        if is_over {
            break;
        }
        let process = std::process::id();
        let options = SoakOptions {
            seed,
            duration: Duration::from_secs(args.seconds),
            n_nodes: args.processes,
            gateway: gateway.clone(),
            directory: args.directory.join(format!("seed-{seed}")),
            net: (100 + (process >> 8) as u8 % 100, process as u8),
            only: args.only,
            other: args.other.clone().map(|gateway| Release { gateway, own: None }),
            has_crashes: args.crashes,
        };
        let report = LocalSet::new().block_on(&runtime, run(&options))?;
        println!(
            "seed {seed}: {:?}; after recovery: {:?}; {} of {} streams taken up went on; {} requests to \
             limited endpoints; {} lost; {:?}; {:?}; {} announcements of leaving passed on, last request {:?} \
             after one; {:?}; {} entries closed; {:?}",
            report.under_faults,
            report.after_recovery,
            report.take_ups.1,
            report.take_ups.0,
            report.n_limited,
            report.n_lost,
            report.cuts,
            report.crashes,
            report.leaving.0,
            report.leaving.1.iter().max(),
            report.pauses,
            report.n_closed,
            report.worst_windows
        );
        for violation in &report.violations {
            println!("seed {seed}: {violation}");
        }
        if !report.is_ok() {
            failed.push(seed);
        }
    }
    Ok(failed)
}
