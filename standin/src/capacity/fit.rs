//! A straight line through measured points.

use serde::Serialize;

/// One measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Point {
    pub(super) size: f64,
    pub(super) value: f64,
}

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Line {
    /// The value at size zero.
    pub(super) fixed: f64,
    /// The change of value for each unit of size.
    pub(super) slope: f64,
    /// The coefficient of determination; 1 for a perfect line, and for points that do not vary.
    pub(super) r_squared: f64,
}

impl Line {
    /// Fits a line through `points`, of which there must be two of different size.
    pub(super) fn through(points: &[Point]) -> Self {
        let count = f64::from(u32::try_from(points.len()).expect("few points"));
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let size_spread: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        assert!(
            size_spread > 0.0,
            "a line needs two points of different size"
        );
        let product: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.value - mean_value))
            .sum();
        let slope = product / size_spread;
        let fixed = mean_value - slope * mean_size;
        let value_spread: f64 = points.iter().map(|p| (p.value - mean_value).powi(2)).sum();
        let residual: f64 = points
            .iter()
            .map(|p| (p.value - fixed - slope * p.size).powi(2))
            .sum();
        let r_squared = if value_spread > 0.0 {
            1.0 - residual / value_spread
        } else {
            1.0
        };
        Self {
            fixed,
            slope,
            r_squared,
        }
    }

    /// Returns the line's value at `size`, never below zero.
    pub(super) fn at(&self, size: f64) -> f64 {
        (self.fixed + self.slope * size).max(0.0)
    }
}
