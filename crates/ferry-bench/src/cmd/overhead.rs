//! Measures the overhead of one entry.

use std::time::Duration;

use argh::FromArgs;
use ferry_bench::overhead::{self, OverheadPlan, OverheadReport};

/// Compare one entry with calling an endpoint directly.
///
/// Runs the ferry-entry in the folder of this binary: build all binaries first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct OverheadArgs {
    /// length of each run in seconds (default 3)
    #[argh(option, default = "3.0")]
    seconds: f64,
    /// runs of each kind; medians are printed (default 5)
    #[argh(option, default = "5")]
    runs: usize,
    /// requests a second of the latency runs (default 500)
    #[argh(option, default = "500.0")]
    rate: f64,
    /// concurrent callers of the throughput runs (default 64)
    #[argh(option, default = "64")]
    callers: usize,
    /// log level of the entry: info or warning (default info)
    #[argh(option, default = "String::from(\"info\")")]
    level: String,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
}

impl OverheadArgs {
    pub async fn run(self) -> Result<(), String> {
        let plan = OverheadPlan {
            length: Duration::try_from_secs_f64(self.seconds).map_err(|it| it.to_string())?,
            rate: self.rate,
            callers: self.callers,
            runs: self.runs.max(1),
            level: self.level,
        };
        let report = overhead::measure(&plan).await?;
        print_table(&report);
        if self.json {
            println!("{}", serde_json::to_string(&report).map_err(|it| it.to_string())?);
        }
        Ok(())
    }
}

fn print_table(report: &OverheadReport) {
    println!("{:<10} {:>12} {:>10} {:>10}", "way", "requests/s", "p50 us", "p99 us");
    for (name, it) in [("direct", &report.direct), ("entry", &report.entry)] {
        println!("{name:<10} {:>12.0} {:>10.0} {:>10.0}", it.per_second, it.p50_us, it.p99_us);
    }
    println!("added latency: p50 {:.0} us, p99 {:.0} us", report.added_p50_us, report.added_p99_us);
    println!("processor time of the entry: {:.0} us a request", report.cpu_us);
    println!("memory: {} KiB at rest, {} KiB under load", report.rest_kib, report.load_kib);
    println!("startup: {:.0} ms", report.startup_ms);
}
