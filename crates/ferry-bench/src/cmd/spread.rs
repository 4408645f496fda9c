//! Measures the propagation of configuration changes and its cost.

use std::time::Duration;

use argh::FromArgs;
use ferry_bench::experiments::announce::{self, Fleet, PeerFault, Protocol, Setup};
use ferry_bench::experiments::spread::{self, Condition};
use ferry_bench::experiments::wire;
use ferry_bench::{Deployment, DeploymentName};
use strum::{EnumString, IntoEnumIterator};

/// Fleet sizes, each with its number of zones.
const SIZES: [(usize, usize); 3] = [(8, 4), (64, 8), (470, 28)];
/// Shares of faulty instances.
const FAULT_SHARES: [f64; 3] = [0.0, 0.05, 0.2];
/// Runs of each announcement.
const N_RUNS: u64 = 50;
/// Time between changes at 15,000 a day.
const CHANGE_GAP: Duration = Duration::from_millis(5_760);

/// Measure the propagation of changes: time, coverage, messages, bytes and object API calls.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "spread", example = "ferry-bench spread --changes 200")]
pub struct SpreadArgs {
    /// changes in each condition (default 200)
    #[argh(option, default = "200")]
    changes: u64,
    /// seed of the simulations (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of virtual time for the costs (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// what to measure: all, times, announcements, costs or wire (default all)
    #[argh(option, default = "Part::All")]
    part: Part,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum Part {
    All,
    Times,
    Announcements,
    Costs,
    Wire,
}

impl SpreadArgs {
    pub async fn run(&self) -> Result<(), String> {
        if matches!(self.part, Part::All | Part::Times) {
            self.times()?;
        }
        if matches!(self.part, Part::All | Part::Announcements) {
            self.announcements();
        }
        if matches!(self.part, Part::All | Part::Costs) {
            self.costs()?;
        }
        if matches!(self.part, Part::All | Part::Wire) {
            self.wire().await?;
        }
        Ok(())
    }

    fn times(&self) -> Result<(), String> {
        println!("time until applied at all of 8 instances, {} changes, ms", self.changes);
        println!("{:<28} {:>8} {:>8} {:>8}", "condition", "p50", "p99", "max");
        for condition in Condition::iter() {
            let mut times = spread::measure(condition, self.changes, self.seed)?;
            times.sort();
            let at = |share: f64| {
                let rank = (times.len() as f64 * share).ceil() as usize;
                times[rank.clamp(1, times.len()) - 1].as_secs_f64() * 1e3
            };
            let name: &str = condition.into();
            println!("{name:<28} {:>8.0} {:>8.0} {:>8.0}", at(0.5), at(0.99), at(1.0));
        }
        Ok(())
    }

    fn announcements(&self) {
        println!("\none announcement, mean of {N_RUNS} runs (worst coverage in brackets)");
        println!(
            "{:<8} {:>4} {:<5} {:>5} {:>2} {:>18} {:>9} {:>9} {:>8} {:>8}",
            "way",
            "n",
            "bad",
            "share",
            "k",
            "coverage",
            "messages",
            "most sent",
            "p99 ms",
            "last ms"
        );
        for (n_instances, n_zones) in SIZES {
            let fleet = Fleet::new(spread::fleet(n_instances, n_zones));
            for fault in PeerFault::iter() {
                for fault_share in FAULT_SHARES {
                    for protocol in Protocol::iter() {
                        let setup = Setup { protocol, n_instances, fault, fault_share };
                        self.announcement(setup, &fleet);
                    }
                }
            }
        }
    }

    fn announcement(&self, setup: Setup, fleet: &Fleet) {
        let seeds = (0..N_RUNS).map(|it| self.seed.wrapping_mul(1_000).wrapping_add(it));
        let runs: Vec<_> = seeds.map(|it| announce::run(setup, fleet, it)).collect();
        let mean = |of: fn(&announce::Outcome) -> f64| {
            runs.iter().map(of).sum::<f64>() / runs.len() as f64
        };
        let worst = runs.iter().map(|it| it.coverage).fold(1.0, f64::min);
        let replicas = match setup.protocol {
            Protocol::Tree => {
                announce::replication(setup.n_instances, setup.fault_share).to_string()
            }
            Protocol::FanOut | Protocol::Gossip => "-".to_owned(),
        };
        let (protocol, fault): (&str, &str) = (setup.protocol.into(), setup.fault.into());
        println!(
            "{protocol:<8} {:>4} {fault:<5} {:>5.2} {replicas:>2} {:>9.4} ({worst:.4}) {:>9.0} \
             {:>9.0} {:>8.1} {:>8.1}",
            setup.n_instances,
            setup.fault_share,
            mean(|it| it.coverage),
            mean(|it| it.messages as f64),
            mean(|it| it.most_sent as f64),
            mean(|it| it.p99.as_secs_f64() * 1e3),
            mean(|it| it.last.as_secs_f64() * 1e3),
        );
    }

    async fn wire(&self) -> Result<(), String> {
        let deployment = Deployment::new(DeploymentName::Ikenna);
        println!("\nbetween real instances at rest, sent and received by one instance a second");
        println!("{:>4} {:>10} {:>10}", "n", "datagrams", "bytes");
        for n_entries in [2, 4, 8] {
            let it = wire::measure(&deployment, n_entries, self.seconds).await?;
            println!("{n_entries:>4} {:>10.1} {:>10.0}", it.datagrams, it.bytes);
        }
        Ok(())
    }

    fn costs(&self) -> Result<(), String> {
        println!("\nstored configuration: {} bytes", spread::config_bytes()?);
        println!(
            "traffic of one instance a second, at rest and with a change every {CHANGE_GAP:?}"
        );
        println!(
            "{:>4} {:<8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8}",
            "n", "load", "messages", "bytes", "get", "watch", "list", "put"
        );
        for (n_instances, n_zones) in SIZES {
            for (name, gap) in [("rest", None), ("changes", Some(CHANGE_GAP))] {
                let it = spread::traffic(n_instances, n_zones, gap, self.seconds)?;
                println!(
                    "{n_instances:>4} {name:<8} {:>9.2} {:>9.0} {:>8.4} {:>8.4} {:>8.4} {:>8.4}",
                    it.messages, it.bytes, it.gets, it.watches, it.lists, it.puts
                );
            }
        }
        Ok(())
    }
}
