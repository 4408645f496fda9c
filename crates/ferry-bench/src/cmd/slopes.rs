//! Measures the growth of costs and predicts them at the target sizes.

use argh::FromArgs;
use ferry_bench::slopes::{CostCurve, measure};

/// Measure each role's costs at several sizes, fit lines and extrapolate them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes", example = "ferry-bench slopes --json")]
pub struct SlopesArgs {
    /// print one JSON array as the last line
    #[argh(switch)]
    json: bool,
}

impl SlopesArgs {
    pub fn run(&self) -> Result<(), String> {
        let curves = measure::all(|variable| eprintln!("measuring over {variable}"))?;
        curves.iter().for_each(print);
        if self.json {
            println!("{}", serde_json::to_string(&curves).map_err(|it| it.to_string())?);
        }
        Ok(())
    }
}

fn print(curve: &CostCurve) {
    let fit = curve.fit();
    println!("{} ({}, {}) over {}", curve.name, curve.role, curve.unit, curve.variable);
    let points: Vec<String> = curve.points.iter().map(|(x, y)| format!("{x}: {y:.6}")).collect();
    println!("  points {}", points.join(", "));
    println!(
        "  line {:.6} + {:.9} x, r2 {:.3}; at {:.0}: {:.4}",
        fit.base,
        fit.slope,
        fit.r_squared,
        curve.target,
        curve.at_target()
    );
    let verdict = if curve.is_over_limit() { "OVER" } else { "within" };
    match curve.limit {
        Some(limit) => println!("  limit {limit:.4}: {verdict}"),
        None => println!("  no limit"),
    }
}
