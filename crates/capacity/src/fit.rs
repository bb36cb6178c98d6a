//! Fits a straight line to measured points.

use serde::Serialize;

/// One measurement: a size and the cost at that size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Number of items.
    pub size: f64,
    /// Total cost of the items.
    pub cost: f64,
}

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Cost of one more item.
    pub slope: f64,
    /// Cost without any items.
    pub base: f64,
    /// Largest vertical distance of a point from the line, in percent of the largest cost.
    pub residual: f64,
}

impl Fit {
    /// Fits a line by least squares. Without distinct sizes the slope is zero.
    #[must_use]
    pub fn new(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|p| p.cost).sum::<f64>() / count;
        let squares: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let products: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.cost - mean_cost))
            .sum();
        let slope = if squares > 0.0 {
            products / squares
        } else {
            0.0
        };
        let base = mean_cost - slope * mean_size;
        let largest = points.iter().map(|p| p.cost.abs()).fold(0.0, f64::max);
        let distance = points
            .iter()
            .map(|p| (p.cost - base - slope * p.size).abs())
            .fold(0.0, f64::max);
        let residual = if largest > 0.0 {
            100.0 * distance / largest
        } else {
            0.0
        };
        Self {
            slope,
            base,
            residual,
        }
    }

    /// Returns the cost of `size` items according to the line.
    #[must_use]
    pub fn estimate(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
