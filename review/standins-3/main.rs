//! The cases of the third review: gateways as processes between stand-ins of the platform's store, of
//! runners and of callers. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run.

mod caller;
mod copied_store;
mod crashing_part;
mod cut_watches;
mod gateway;
mod http;
mod json;
mod record;
mod refused;
mod rolled_gateways;
mod runner;
mod store;
mod world;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Whether a rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, directory] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE DIRECTORY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        gateway::kill_all();
        std::process::exit(2);
    });
    let run = || run(case, Path::new(directory), has_trouble);
    let result = std::panic::catch_unwind(run);
    gateway::kill_all();
    match result {
        Ok(Ok(Verdict::Held)) => ExitCode::SUCCESS,
        Ok(Ok(Verdict::Broken)) => ExitCode::from(1),
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}

fn run(case: &str, directory: &Path, has_trouble: bool) -> io::Result<Verdict> {
    match case {
        "refused" => refused::run(directory, has_trouble),
        "copied-store" => copied_store::run(directory, has_trouble),
        "crashing-part" => crashing_part::run(directory, has_trouble),
        "cut-watches" => cut_watches::run(directory, has_trouble),
        "rolled-gateways" => rolled_gateways::run(directory, has_trouble),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    }
}
