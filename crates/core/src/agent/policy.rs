//! Ways of deciding that can be weighed against each other.

/// Order of a team's reservations within a tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Order {
    /// As they arrived.
    Arrival,
    /// Those expected to be short go ahead of those that arrived a multiple of their own service
    /// time before.
    #[default]
    ShortFirst,
}

/// How the limit of a cold endpoint rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Growth {
    /// One more request for each completion, so that the limit doubles in each round.
    Multiplicative,
    /// One more request for half as many completions as the limit, after a number of completions at
    /// the cold limit.
    #[default]
    Held,
    /// One more request for as many completions as the limit.
    Additive,
}

/// When a reservation whose deadline cannot be met is given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Lateness {
    /// At its deadline.
    Deadline,
    /// As soon as the work ahead and its own expected service pass its deadline.
    #[default]
    Expected,
}

/// Which requests may take the last free slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reserve {
    /// Any.
    None,
    /// Short ones, while there are any.
    #[default]
    Short,
}

/// How the limit follows the endpoint's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pacing {
    /// It does not.
    Fixed,
    /// It falls by a part when tokens come too slowly, rises by one for each round, and is the cold
    /// one again when first tokens leap.
    #[default]
    Adaptive,
}

/// The ways that an agent decides by. The default is what the processes use.
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
    /// The same policy with another order.
    #[must_use]
    pub const fn with_order(self, order: Order) -> Self {
        Self { order, ..self }
    }

    /// The same policy with another growth.
    #[must_use]
    pub const fn with_growth(self, growth: Growth) -> Self {
        Self { growth, ..self }
    }

    /// The same policy with another lateness.
    #[must_use]
    pub const fn with_lateness(self, lateness: Lateness) -> Self {
        Self { lateness, ..self }
    }

    /// The same policy with another reserve.
    #[must_use]
    pub const fn with_reserve(self, reserve: Reserve) -> Self {
        Self { reserve, ..self }
    }

    /// The same policy with another pacing.
    #[must_use]
    pub const fn with_pacing(self, pacing: Pacing) -> Self {
        Self { pacing, ..self }
    }
}
