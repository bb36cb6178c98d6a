//! Load pattern: endpoints differ up to fourfold in speed, and prompts a hundredfold in length.
//!
//! The time to a first byte is learnt for each endpoint as a line over the tokens that have to be read
//! before it, from decayed moments of what was seen.

/// Part of all earlier sightings that is kept with each new one.
const MEMORY: f64 = 0.97;

/// Weight of the line that is believed before anything is seen.
const PRIOR_WEIGHT: f64 = 3.0;

/// Where the prior's two points stand, in tokens.
const PRIOR_TOKENS: f64 = 4_000.0;

/// Bounds of the slope, in milliseconds a token.
const SLOPE_RANGE: (f64, f64) = (0.0004, 0.2);

/// Least spread of tokens from which a slope is read.
const SPREAD_MIN: f64 = 100.0;

/// A sighting beyond this many times the line is taken for that many.
const OUTLIER: f64 = 4.0;

/// Milliseconds to a first byte over tokens to be read.
#[derive(Debug, Clone, Copy)]
pub struct Curve {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Curve {
    /// A line through `first` milliseconds that rises by `slope` milliseconds a token.
    #[must_use]
    pub fn new(first: f64, slope: f64) -> Self {
        let mut curve = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for tokens in [0.0, PRIOR_TOKENS] {
            curve.count(tokens, first + slope * tokens, PRIOR_WEIGHT / 2.0);
        }
        curve
    }

    fn count(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Takes a sighting.
    pub fn learn(&mut self, tokens: u64, millis: f64) {
        let tokens = tokens as f64;
        let millis = millis.min(self.at(tokens) * OUTLIER);
        for moment in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *moment *= MEMORY;
        }
        self.count(tokens, millis, 1.0);
    }

    /// Milliseconds a token.
    #[must_use]
    pub fn slope(&self) -> f64 {
        let mean = self.x / self.weight;
        let spread = self.xx / self.weight - mean * mean;
        if spread < SPREAD_MIN * SPREAD_MIN {
            return SLOPE_RANGE.0;
        }
        let joint = self.xy / self.weight - mean * self.y / self.weight;
        (joint / spread).clamp(SLOPE_RANGE.0, SLOPE_RANGE.1)
    }

    /// Milliseconds to a first byte behind `tokens`.
    #[must_use]
    pub fn at(&self, tokens: f64) -> f64 {
        let mean = self.x / self.weight;
        let slope = self.slope();
        let first = (self.y / self.weight - slope * mean).max(1.0);
        first + slope * tokens
    }

    /// The same line as a starting point for another endpoint, which takes `factor` times as long.
    #[must_use]
    pub fn prior(&self, factor: f64) -> Self {
        Self::new(self.at(0.0) * factor, self.slope() * factor)
    }
}
