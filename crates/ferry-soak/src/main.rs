//! Runs soaks with one seed after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use ferry_soak::{SoakOptions, run};
use tokio::task::LocalSet;

/// Gateways that the loopback addresses of a run hold.
const MOST_PROCESSES: usize = 240;

/// Runs real gateways with random faults and checks what callers and endpoints see.
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
    /// goes on with the next seeds for this many minutes, whatever their number
    #[argh(option)]
    minutes: Option<u64>,
    /// seconds of each run in which faults come (20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// number of gateways, 2 to 240 (4)
    #[argh(option, default = "4", from_str_fn(n_processes))]
    processes: usize,
    /// program of the gateway; by default the one beside this program
    #[argh(option)]
    gateway: Option<PathBuf>,
    /// where settings and logs are kept (reports/soak)
    #[argh(option, default = "PathBuf::from(\"reports/soak\")")]
    directory: PathBuf,
}

fn n_processes(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(number @ 2..=MOST_PROCESSES) => Ok(number),
        _ => Err(format!("allowed is a number from 2 to {MOST_PROCESSES}")),
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match soak(&args) {
        Ok(bad) if bad.is_empty() => ExitCode::SUCCESS,
        Ok(bad) => {
            eprintln!("ferry-soak: went wrong with seeds {bad:?}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("ferry-soak: could not run: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the seeds and returns those that went wrong.
fn soak(args: &Args) -> std::io::Result<Vec<u64>> {
    let beside = std::env::current_exe()?.with_file_name("ferry-gateway");
    let gateway = args.gateway.clone().unwrap_or(beside);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let until = args.minutes.map(|it| Instant::now() + Duration::from_secs(60 * it));
    let mut bad = Vec::new();
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
        };
        let report = LocalSet::new().block_on(&runtime, run(&options))?;
        println!("seed {seed}: {:?}; after: {:?}", report.under_faults, report.after_recovery);
        for wrong in &report.violations {
            println!("seed {seed}: {wrong}");
        }
        if !report.is_good() {
            bad.push(seed);
        }
    }
    Ok(bad)
}
