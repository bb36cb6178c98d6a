//! Weighted max-min shares.

/// Halvings of the interval that contains the level.
const STEPS: u32 = 40;

/// What a team has at least and asks for at most, in the same unit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// What the team has and keeps.
    pub floor: f64,
    /// What the team asks for, with what it has.
    pub ceiling: f64,
    /// Weight of the team.
    pub weight: f64,
}

impl Claim {
    /// Creates a claim.
    #[must_use]
    pub const fn new(floor: f64, ceiling: f64, weight: f64) -> Self {
        Self {
            floor,
            ceiling,
            weight,
        }
    }

    /// Returns what the team is due at a level.
    #[must_use]
    pub fn due(&self, level: f64) -> f64 {
        (level * self.weight).clamp(self.floor, self.ceiling.max(self.floor))
    }
}

/// Returns the level at which the dues of all claims sum up to `total`: each team is due its weight
/// times the level, but no less than it has and no more than it asks for.
///
/// # Examples
/// ```
/// use comfreyhaven_core::direct::{Claim, water_level};
///
/// let claims = [100.0, 100.0, 10.0].map(|asked| Claim::new(0.0, asked, 1.0));
/// assert!((water_level(&claims, 90.0) - 40.0).abs() < 0.01);
/// ```
#[must_use]
pub fn water_level(claims: &[Claim], total: f64) -> f64 {
    let top = |claim: &Claim| claim.ceiling.max(claim.floor) / claim.weight;
    let (mut low, mut high) = (0.0, claims.iter().map(top).fold(0.0, f64::max));
    for _ in 0..STEPS {
        let middle = f64::midpoint(low, high);
        let due: f64 = claims.iter().map(|claim| claim.due(middle)).sum();
        if due < total {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}
