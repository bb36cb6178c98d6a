//! Alternative scheduling policies of an agent, which simulations compare.

/// Order of a team's reservations within a tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Order {
    /// In order of arrival.
    Arrival,
    /// Short reservations overtake those that arrived earlier by less than a multiple of their own
    /// expected service time.
    #[default]
    ShortFirst,
}

/// How the concurrency limit of a cold endpoint rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Growth {
    /// By one after each completed run, so that the limit doubles in each round.
    Multiplicative,
    /// By one after half as many completed runs as the limit, once a number of runs completed at
    /// the cold limit.
    #[default]
    Delayed,
    /// By one after as many completed runs as the limit.
    Additive,
}

/// When a reservation that cannot meet its deadline is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Lateness {
    /// When the deadline has passed.
    Deadline,
    /// As soon as the work ahead and the expected service time of the reservation exceed the time
    /// to the deadline.
    #[default]
    Expected,
}

/// Which requests may take the last free slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reserve {
    /// Requests of any size.
    None,
    /// Only short requests, while any have arrived recently.
    #[default]
    Short,
}

/// How the limit follows the endpoint's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pacing {
    /// The limit ignores the endpoint's speed.
    Fixed,
    /// The limit falls by a fraction when tokens arrive too slowly, rises by one in each round, and
    /// returns to the cold capacity when times to first token rise sharply.
    #[default]
    Adaptive,
}

/// The scheduling policy of an agent. Agent processes use the default.
///
/// ```
/// use comfreyhaven_core::agent::{Growth, Policy};
///
/// let policy = Policy::default().with_growth(Growth::Additive);
/// assert_ne!(policy, Policy::default());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Policy {
    pub(super) order: Order,
    pub(super) growth: Growth,
    pub(super) lateness: Lateness,
    pub(super) reserve: Reserve,
    pub(super) pacing: Pacing,
}

impl Policy {
    /// Replaces the queue order.
    #[must_use]
    pub const fn with_order(self, order: Order) -> Self {
        Self { order, ..self }
    }

    /// Replaces the growth of the limit.
    #[must_use]
    pub const fn with_growth(self, growth: Growth) -> Self {
        Self { growth, ..self }
    }

    /// Replaces the rule for late reservations.
    #[must_use]
    pub const fn with_lateness(self, lateness: Lateness) -> Self {
        Self { lateness, ..self }
    }

    /// Replaces the rule for the last free slots.
    #[must_use]
    pub const fn with_reserve(self, reserve: Reserve) -> Self {
        Self { reserve, ..self }
    }

    /// Replaces the response to the endpoint's speed.
    #[must_use]
    pub const fn with_pacing(self, pacing: Pacing) -> Self {
        Self { pacing, ..self }
    }
}
