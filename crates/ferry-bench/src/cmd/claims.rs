//! Counts the object API calls for claims.

use std::time::Duration;

use argh::FromArgs;
use ferry_bench::experiments::claims::measure;

/// Count the object API calls for claims at several rates, on virtual time.
///
/// Example: ferry-bench claims --seed 2
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct ClaimsArgs {
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
}

/// Requests a second, with the length of the load in seconds.
const RATES: [(f64, u64); 4] = [(1.0, 600), (10.0, 120), (100.0, 30), (1_000.0, 15)];

impl ClaimsArgs {
    pub fn run(self) -> Result<(), String> {
        for (rate, seconds) in RATES {
            let length = Duration::from_secs(seconds);
            let it = measure(rate, length, self.seed).map_err(|it| it.to_string())?;
            println!(
                "rate {rate:>5} requests {:>6} complete {:>6} calls {:>6} calls/1,000 {:>7.1} \
                 p50 {:.1} ms p99 {:.1} ms largest {} B broken {}",
                it.requests,
                it.complete,
                it.calls,
                it.calls_per_thousand,
                it.p50_ms,
                it.p99_ms,
                it.largest,
                it.broken.len(),
            );
        }
        Ok(())
    }
}
