//! Growth of each role's costs, measured at several sizes and fitted by a line.
//!
//! docs/CAPACITY.md lists the costs that the lines predict at the target size.

pub mod measure;
pub mod meter;

use serde::Serialize;

/// One cost of a role as a function of one size.
#[derive(Debug, Clone, Serialize)]
pub struct CostCurve {
    /// Name of the cost.
    #[serde(rename = "what")]
    pub name: &'static str,
    /// Role that has the cost.
    pub role: &'static str,
    pub unit: &'static str,
    /// Quantity that is varied.
    #[serde(rename = "over")]
    pub variable: &'static str,
    /// Size and cost, smallest size first.
    pub points: Vec<(f64, f64)>,
    /// Size that the system is designed for.
    #[serde(rename = "size")]
    pub target: f64,
    /// Highest allowed cost at the target, if there is a limit.
    pub limit: Option<f64>,
}

/// A least-squares line through points.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    pub base: f64,
    pub slope: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
}

impl CostCurve {
    pub fn new(
        name: &'static str,
        role: &'static str,
        unit: &'static str,
        variable: &'static str,
    ) -> CostCurve {
        CostCurve { name, role, unit, variable, points: Vec::new(), target: 0.0, limit: None }
    }

    /// Sets the target size and the limit there.
    pub fn with_target(mut self, target: f64, limit: Option<f64>) -> CostCurve {
        self.target = target;
        self.limit = limit;
        self
    }

    pub fn with_points(mut self, points: Vec<(f64, f64)>) -> CostCurve {
        self.points = points;
        self
    }

    pub fn fit(&self) -> Fit {
        fit(&self.points)
    }

    /// Returns the cost that the line predicts at the target size.
    pub fn at_target(&self) -> f64 {
        let fit = self.fit();
        fit.base + fit.slope * self.target
    }

    /// Whether the predicted cost is over its limit.
    pub fn is_over_limit(&self) -> bool {
        self.limit.is_some_and(|it| it < self.at_target())
    }
}

/// Fits a line to points; with fewer than two different sizes the line is flat.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let squares_x: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    if squares_x == 0.0 {
        return Fit { base: mean_y, slope: 0.0, r_squared: 0.0 };
    }
    let slope = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum::<f64>() / squares_x;
    let base = mean_y - slope * mean_x;
    let squares_y: f64 = points.iter().map(|it| (it.1 - mean_y).powi(2)).sum();
    let residual: f64 = points.iter().map(|it| (it.1 - base - slope * it.0).powi(2)).sum();
    let r_squared = if squares_y == 0.0 { 1.0 } else { 1.0 - residual / squares_y };
    Fit { base, slope, r_squared }
}
