//! Linear regression by ordinary least squares.

use serde::Serialize;

/// Line `base + slope * x` with the least sum of squared residuals.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct Fit {
    /// Value at `x = 0`.
    pub base: f64,
    /// Growth per unit of `x`.
    pub slope: f64,
    /// Standard error of the slope, from the residuals with `n - 2` degrees of freedom.
    pub slope_error: f64,
}

impl Fit {
    /// Fits a line to points `(x, y)`; `None` for fewer than three points or if `x` doesn't vary.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if sum_xx <= 0.0 {
            return None;
        }
        let products = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
        let slope = products.sum::<f64>() / sum_xx;
        let base = mean_y - slope * mean_x;
        let squared_residuals = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2));
        let variance = squared_residuals.sum::<f64>() / (n - 2.0);
        Some(Self {
            base,
            slope,
            slope_error: (variance / sum_xx).sqrt(),
        })
    }
}
