//! How long an endpoint may take to react to what costs it no work: to accept a connection, or to say
//! whether it has a free slot.
//!
//! The load: several of many endpoints go dark at once. Only their silence tells, and every request
//! that waits for one of them loses that time of its objective. How soon sound endpoints react depends
//! on the network and on this entry's own share of a processor, so it is learned from those that do.

use std::time::Duration;

/// Bounds of the limit.
const LIMIT_RANGE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(300));

/// Weight of a new reaction in the average.
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of a new reaction in the average deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Average deviations by which a reaction may exceed the average.
const DEVIATIONS: f64 = 8.0;

/// Silences in a row, of any endpoints, after which the limit doubles: the network itself may have
/// become slow.
const SILENCE_STEP: u32 = 4;

/// The limit, as learned from the reactions of all endpoints.
///
/// ```
/// use std::time::Duration;
/// use comfreyhaven_core::direct::ReactionLimit;
///
/// let mut limit = ReactionLimit::default();
/// assert_eq!(limit.limit(), Duration::from_millis(300));
/// for _ in 0..20 {
///     limit.record_reaction(Duration::from_millis(4));
/// }
/// assert_eq!(limit.limit(), Duration::from_millis(60));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ReactionLimit {
    /// Average and average deviation of the reactions, in seconds.
    known: Option<(f64, f64)>,
    /// Silences since the last reaction.
    silences: u32,
}

impl ReactionLimit {
    /// Returns how long an endpoint may take.
    #[must_use]
    pub fn limit(&self) -> Duration {
        let (least, longest) = LIMIT_RANGE;
        let Some((mean, deviation)) = self.known else {
            return longest;
        };
        let doublings = (self.silences / SILENCE_STEP).min(8);
        let learned = Duration::from_secs_f64(mean + DEVIATIONS * deviation);
        (learned.max(least) * 2_u32.pow(doublings)).min(longest)
    }

    /// Records that an endpoint reacted after some time.
    pub fn record_reaction(&mut self, after: Duration) {
        let after = after.as_secs_f64();
        let (mean, deviation) = self.known.unwrap_or((after, after / 2.0));
        let error = after - mean;
        self.known = Some((
            mean + MEAN_WEIGHT * error,
            deviation + DEVIATION_WEIGHT * (error.abs() - deviation),
        ));
        self.silences = 0;
    }

    /// Records that an endpoint did not react within the limit.
    pub const fn record_silence(&mut self) {
        self.silences = self.silences.saturating_add(1);
    }
}
