//! Model of an endpoint's time to first byte.
//!
//! The time is fitted for each endpoint as a linear function of the prompt tokens to process, from
//! exponentially decayed moments. Endpoints differ up to fourfold in speed, and prompts a
//! hundredfold in length.

/// Factor on the weight of all earlier observations with each new one.
const DECAY_FACTOR: f64 = 0.97;

/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 3.0;

/// Token count of the second of the prior's two points; the first is at zero.
const PRIOR_TOKENS: f64 = 4_000.0;

/// Bounds of the slope, in milliseconds per token.
const SLOPE_RANGE: (f64, f64) = (0.0004, 0.2);

/// Least standard deviation of the token counts for which a slope is fitted.
const DEVIATION_MIN: f64 = 100.0;

/// Factor on the estimate to which larger observations are capped.
const OUTLIER_FACTOR: f64 = 4.0;

/// Linear model of the milliseconds to first byte over the prompt tokens to process.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LatencyModel {
    /// Creates a model that starts at `first` milliseconds and rises by `slope` milliseconds per
    /// token.
    #[must_use]
    pub fn new(first: f64, slope: f64) -> Self {
        let mut model = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for tokens in [0.0, PRIOR_TOKENS] {
            model.add(tokens, first + slope * tokens, PRIOR_WEIGHT / 2.0);
        }
        model
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Adds an observation.
    pub fn observe(&mut self, tokens: u64, millis: f64) {
        let tokens = tokens as f64;
        let millis = millis.min(self.estimate(tokens) * OUTLIER_FACTOR);
        for moment in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *moment *= DECAY_FACTOR;
        }
        self.add(tokens, millis, 1.0);
    }

    /// Adds an observation that was cut short after `millis`. Less than the estimate tells nothing.
    pub fn observe_at_least(&mut self, tokens: u64, millis: f64) {
        if millis > self.estimate(tokens as f64) {
            self.observe(tokens, millis);
        }
    }

    /// Returns the milliseconds per token.
    #[must_use]
    pub fn slope(&self) -> f64 {
        let mean = self.x / self.weight;
        let variance = self.xx / self.weight - mean * mean;
        if variance < DEVIATION_MIN * DEVIATION_MIN {
            return SLOPE_RANGE.0;
        }
        let covariance = self.xy / self.weight - mean * self.y / self.weight;
        (covariance / variance).clamp(SLOPE_RANGE.0, SLOPE_RANGE.1)
    }

    /// Returns the expected milliseconds to first byte behind `tokens`.
    #[must_use]
    pub fn estimate(&self, tokens: f64) -> f64 {
        let mean = self.x / self.weight;
        let slope = self.slope();
        let first = (self.y / self.weight - slope * mean).max(1.0);
        first + slope * tokens
    }

    /// Returns this model as a prior for an endpoint that takes `factor` times as long.
    #[must_use]
    pub fn prior(&self, factor: f64) -> Self {
        Self::new(self.estimate(0.0) * factor, self.slope() * factor)
    }
}
