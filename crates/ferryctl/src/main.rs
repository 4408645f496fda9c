//! The command line for operators.

mod client;
mod cmd;
mod output;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args: cmd::Args = argh::from_env();
    match args.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ferryctl: {error}");
            ExitCode::FAILURE
        }
    }
}
