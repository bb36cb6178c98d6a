//! What is usual at the endpoints of a service: where an endpoint starts of which nothing was seen.

use super::super::curve::Curve;
use super::super::tempo::Tempo;

/// Bounds of the factor by which an endpoint is taken to be slower than is usual.
const FACTOR_RANGE: (f64, f64) = (0.5, 6.0);

/// Time to the first byte of an idle endpoint, in milliseconds, before anything is learnt.
const FIRST_MS: f64 = 30.0;

/// Time to read a prompt, in milliseconds a token, before anything is learnt.
const TOKEN_MS: f64 = 0.008;

/// What is learnt of a service's endpoints together.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usual {
    /// Time to a first byte.
    pub(super) curve: Curve,
    /// Time between two events, in milliseconds, once anything was seen.
    pub(super) event: Option<f64>,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            curve: Curve::new(FIRST_MS, TOKEN_MS),
            event: None,
        }
    }
}

impl Usual {
    /// What an endpoint of this tempo is expected to take for a first byte.
    pub(super) fn curve(&self, tempo: &Tempo) -> Curve {
        let factor = self.event.map_or(1.0, |event| tempo.millis() / event);
        self.curve
            .prior(factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1))
    }
}
