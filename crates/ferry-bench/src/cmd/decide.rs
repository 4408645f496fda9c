//! Times routing decisions.

use argh::FromArgs;
use ferry_bench::experiments::decide::{SIZES, growth_exponent, measure};

/// Time routing decisions at several numbers of endpoints; use a release build.
///
/// Example: ferry-bench decide --decisions 100000
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "decide")]
pub struct DecideArgs {
    /// decisions at each size
    #[argh(option, default = "50000")]
    decisions: usize,
}

impl DecideArgs {
    pub fn run(self) -> Result<(), String> {
        let n_decisions = self.decisions.max(100);
        let stats: Vec<_> = SIZES.iter().map(|it| measure(*it, n_decisions)).collect();
        for it in &stats {
            println!(
                "endpoints {:>5} mean {:.2} us p99 {:.2} us",
                it.endpoints, it.mean_us, it.p99_us
            );
        }
        println!("slope {:.2} (1 is linear)", growth_exponent(&stats));
        Ok(())
    }
}
