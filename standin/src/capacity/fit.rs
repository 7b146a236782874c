//! Linear regression over measured points.

use serde::Serialize;

/// A value measured at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Point {
    pub(super) size: f64,
    pub(super) value: f64,
}

/// A line fitted by the method of least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Line {
    /// The value at size 0.
    pub(super) fixed: f64,
    /// The change of the value per unit of size.
    pub(super) slope: f64,
    /// The coefficient of determination; 1 for an exact fit and for constant values.
    pub(super) r_squared: f64,
}

impl Line {
    /// Fits a line to `points`.
    ///
    /// # Panics
    ///
    /// Panics unless at least two points differ in size.
    pub(super) fn fit(points: &[Point]) -> Self {
        let count =
            f64::from(u32::try_from(points.len()).expect("the number of points fits in u32"));
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let size_variation: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        assert!(
            size_variation > 0.0,
            "a line requires two points of different size"
        );
        let covariation: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.value - mean_value))
            .sum();
        let slope = covariation / size_variation;
        let fixed = mean_value - slope * mean_size;
        let value_variation: f64 = points.iter().map(|p| (p.value - mean_value).powi(2)).sum();
        let residual: f64 = points
            .iter()
            .map(|p| (p.value - fixed - slope * p.size).powi(2))
            .sum();
        let r_squared = if value_variation > 0.0 {
            1.0 - residual / value_variation
        } else {
            1.0
        };
        Self {
            fixed,
            slope,
            r_squared,
        }
    }

    /// Returns the value of the line at `size`, or 0 if it is negative.
    pub(super) fn at(&self, size: f64) -> f64 {
        (self.fixed + self.slope * size).max(0.0)
    }
}
