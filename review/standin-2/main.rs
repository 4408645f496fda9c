//! Stand-ins of the platform's store, of runners and of clients, and the runs of the cases.

mod client;
mod fleet;
mod http;
mod json;
mod quarantine;
mod record;
mod runner;
mod shutdown;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use quarantine::Disruption;
use record::Verdict;

const USAGE: &str = "usage: standin herd|move|crashes|shutdown DIRECTORY";
const BROKEN: u8 = 1;
const COULD_NOT_RUN: u8 = 2;
const TIME_LIMIT: Duration = Duration::from_secs(114);

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|it| it != "runner") {
        fleet::limit_time(TIME_LIMIT, i32::from(COULD_NOT_RUN));
    }
    let is_disrupted = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let verdict = match words.split_first() {
        Some((what, rest)) if what == "runner" => return serve_runner(rest),
        Some((what, [directory])) => match what.as_str() {
            "herd" => quarantine::run(Disruption::Herd, is_disrupted, Path::new(directory)),
            "crashes" => quarantine::run(Disruption::Crashes, is_disrupted, Path::new(directory)),
            "move" => quarantine::run(Disruption::Move, is_disrupted, Path::new(directory)),
            "shutdown" => shutdown::run(is_disrupted, Path::new(directory)),
            _ => return could_not_run(USAGE),
        },
        _ => return could_not_run(USAGE),
    };
    match verdict {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(BROKEN)
        }
        Ok(Verdict::CouldNotRun) => could_not_run("the case could not run; see the record"),
        Err(error) => could_not_run(&error.to_string()),
    }
}

fn serve_runner(words: &[String]) -> ExitCode {
    let Some((record, words)) = words.split_first() else { return could_not_run(USAGE) };
    let Some(settings) = runner::Settings::read(words) else { return could_not_run(USAGE) };
    match runner::run(settings, Path::new(record)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => could_not_run(&error.to_string()),
    }
}

fn could_not_run(reason: &str) -> ExitCode {
    eprintln!("{reason}");
    ExitCode::from(COULD_NOT_RUN)
}
