use serde::Serialize;

/// Line through measured points, by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlopeLine {
    /// Value at 0.
    pub base: f64,
    /// Growth per unit.
    pub slope: f64,
}

impl SlopeLine {
    /// Fits points of (size, value). Without two different sizes the slope is 0.
    pub fn fit(points: &[SlopePoint]) -> Self {
        let count = points.len() as f64;
        let mean = |value: fn(&SlopePoint) -> f64| points.iter().map(value).sum::<f64>() / count;
        if points.is_empty() {
            return Self::default();
        }
        let (mean_size, mean_value) = (mean(|point| point.size), mean(|point| point.value));
        let spread: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let common: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.value - mean_value))
            .sum();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        Self {
            base: mean_value - slope * mean_size,
            slope,
        }
    }

    /// Value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// One measured point.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlopePoint {
    /// Size, for example a number of hosts.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}
