//! How each cost of a role grows, measured at several sizes and fitted by a line.
//!
//! docs/CAPACITY.md gives the figures that the lines have at the size to design for.

pub mod measure;
pub mod meter;

use serde::Serialize;

/// One cost against one size.
#[derive(Debug, Clone, Serialize)]
pub struct CostCurve {
    /// What costs.
    #[serde(rename = "what")]
    pub name: &'static str,
    /// The role that bears it.
    pub role: &'static str,
    pub unit: &'static str,
    /// What is varied.
    #[serde(rename = "over")]
    pub variable: &'static str,
    /// Size and cost, smallest size first.
    pub points: Vec<(f64, f64)>,
    /// The size to design for.
    #[serde(rename = "size")]
    pub target: f64,
    /// Most that the cost may be there; none where no limit is set.
    pub limit: Option<f64>,
}

/// A line through the points by least squares.
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

    /// Sets the size to design for and the limit there.
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

    /// Returns the cost that the line gives at the size to design for.
    pub fn at_target(&self) -> f64 {
        let fit = self.fit();
        fit.base + fit.slope * self.target
    }

    /// Whether the cost there is over its limit.
    pub fn is_over_limit(&self) -> bool {
        self.limit.is_some_and(|it| it < self.at_target())
    }
}

/// Fits a line to points; with fewer than two sizes the line is flat.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return Fit { base: mean_y, slope: 0.0, r_squared: 0.0 };
    }
    let slope = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum::<f64>() / spread;
    let base = mean_y - slope * mean_x;
    let total: f64 = points.iter().map(|it| (it.1 - mean_y).powi(2)).sum();
    let rest: f64 = points.iter().map(|it| (it.1 - base - slope * it.0).powi(2)).sum();
    let r_squared = if total == 0.0 { 1.0 } else { 1.0 - rest / total };
    Fit { base, slope, r_squared }
}
