//! The stand-ins of the review's scripts: store, runners and clients, and the cases that use them.
//!
//! Usage: `standin CASE FOLDER`; the exit code is 1 if the rule was broken, 0 if it held and 2 if the
//! case could not run. With TROUBLE=0 the disruption is left out.

mod brittle;
mod fleet;
mod http;
mod json;
mod limiters;
mod pipeline;
mod plain;
mod restarted;
mod restored;
mod store;

use std::path::Path;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let root = std::env::current_dir().expect("a current folder");
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let folder = Path::new(folder);
    let code = match case.as_str() {
        "brittle" => brittle::run(&root, folder, &temporary, has_trouble),
        "limiters" => limiters::run(&root, folder, &temporary, has_trouble),
        "pipeline" => pipeline::run(&root, folder, &temporary, has_trouble),
        "restarted" => restarted::run(&root, folder, &temporary, has_trouble),
        "restored" => restored::run(&root, folder, &temporary, has_trouble),
        _ => 2,
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    exit(code);
}
