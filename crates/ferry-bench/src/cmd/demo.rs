//! Runs both deployments on loopback and prints the outcomes of their requests.

use std::io::IsTerminal;
use std::time::Duration;

use argh::FromArgs;
use ferry_bench::{Cluster, Deployment, DeploymentName, LoadPlan, Tally, load};
use ferry_edge::logs;
use serde::Serialize;
use strum::IntoEnumIterator;
use tokio::time::Instant;

const N_ENTRIES: usize = 3;
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Run both deployments' pipelines on loopback and print their outcomes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// only this deployment: ikenna or kancil
    #[argh(option)]
    deployment: Option<DeploymentName>,
    /// length of the load in seconds (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// seed of the arrivals (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// requests a second (default 60)
    #[argh(option, default = "60.0")]
    rate: f64,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
}

#[derive(Debug, Default, Serialize)]
struct Totals {
    sent: u64,
    complete: u64,
    not_run: u64,
    failed: u64,
    in_doubt: u64,
    lost: u64,
    doubled: u64,
    misaddressed: u64,
    attainment: f64,
    deployments: Vec<(String, Tally)>,
}

impl DemoArgs {
    pub async fn run(self) -> Result<(), String> {
        let names: Vec<DeploymentName> = match self.deployment {
            Some(name) => vec![name],
            None => DeploymentName::iter().collect(),
        };
        let mut totals = Totals::default();
        for name in names {
            let tally = self.measure(name).await?;
            print_table(name, &tally);
            totals.add(name, tally);
        }
        if self.json {
            let text = serde_json::to_string(&totals).map_err(|it| it.to_string())?;
            println!("{text}");
        }
        match totals.lost + totals.doubled + totals.misaddressed {
            0 => Ok(()),
            n_wrong => Err(format!("{n_wrong} requests were lost, doubled or misaddressed")),
        }
    }

    async fn measure(&self, name: DeploymentName) -> Result<Tally, String> {
        let deployment = Deployment::new(name);
        let log = logs::silent_logger();
        let cluster = Cluster::start(&deployment, N_ENTRIES, self.seed, &log).await?;
        let entries: Vec<_> = cluster.entries.iter().map(|it| it.address()).collect();
        let length = Duration::from_secs(self.seconds);
        let plan = LoadPlan { seed: self.seed, length, rate: self.rate };
        let samples = with_progress(name, length, load::run(&deployment, &entries, &plan)).await;
        Ok(Tally::new(&deployment, &samples, &cluster.standins.run_log.runs()))
    }
}

impl Totals {
    fn add(&mut self, name: DeploymentName, tally: Tally) {
        let in_time = self.attainment * self.sent as f64 + tally.attainment * tally.sent as f64;
        self.sent += tally.sent;
        self.attainment = in_time / (self.sent as f64).max(1.0);
        self.complete += tally.complete;
        self.not_run += tally.not_run;
        self.failed += tally.failed;
        self.in_doubt += tally.in_doubt;
        self.lost += tally.lost;
        self.doubled += tally.doubled;
        self.misaddressed += tally.misaddressed;
        self.deployments.push((name.to_string(), tally));
    }
}

/// Shows the progress of a load of `length` on a terminal until `work` ends.
async fn with_progress<F: Future>(name: DeploymentName, length: Duration, work: F) -> F::Output {
    if !std::io::stderr().is_terminal() {
        return work.await;
    }
    let started = Instant::now();
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    let mut work = std::pin::pin!(work);
    loop {
        tokio::select! {
            output = &mut work => {
                eprint!("\r\x1b[K");
                return output;
            }
            _ = ticks.tick() => {
                let passed = started.elapsed().min(length).as_secs();
                eprint!("\r{name}: {passed} of {} s", length.as_secs());
            }
        }
    }
}

fn print_table(name: DeploymentName, tally: &Tally) {
    println!(
        "{name}: sent {} complete {} not_run {} failed {} in_doubt {} lost {} doubled {} \
         misaddressed {} attainment {:.4}",
        tally.sent,
        tally.complete,
        tally.not_run,
        tally.failed,
        tally.in_doubt,
        tally.lost,
        tally.doubled,
        tally.misaddressed,
        tally.attainment,
    );
    println!(
        "  {:<12} {:>6} {:>11} {:>9} {:>9}",
        "pipeline", "sent", "attainment", "p50 ms", "p99 ms"
    );
    for it in &tally.pipelines {
        println!(
            "  {:<12} {:>6} {:>11.4} {:>9.1} {:>9.1}",
            it.pipeline, it.sent, it.attainment, it.p50_ms, it.p99_ms
        );
    }
    println!("  {:<12} {:>6} {:>15}", "stage", "runs", "runner-seconds");
    for it in &tally.stages {
        println!("  {:<12} {:>6} {:>15.2}", it.stage, it.runs, it.runner_seconds);
    }
}
