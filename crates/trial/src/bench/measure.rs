//! The measures of one run.

use std::collections::BTreeMap;

use strum::{Display, EnumIter, IntoStaticStr};

use super::scenario::Scenario;
use super::system::Kind;

/// One measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Measure {
    /// Whole answers in time of the top tier, in percent of those offered within the team's rate.
    GoodputHigh,
    /// The same of the middle tier.
    GoodputMid,
    /// The same of the lowest tier.
    GoodputLow,
    /// The same of all tiers from a fault until a second after it is mended.
    GoodputFault,
    /// Goodput of the worst-served team within its rate, in percent of its fair share.
    WorstTeam,
    /// Prompt tokens computed beyond what the whole answers needed, in percent of that need.
    WastedPrefill,
    /// Refusals over the rate although the team had the tokens, in percent of what was sent.
    WrongfulRefusals,
    /// Refusals of any kind of requests within the team's rate, in percent of those.
    RefusedWithin,
    /// Requests of the top tier within the team's rate that were refused for want of capacity.
    ShedHigh,
    /// Least that a team over its rate got, in percent of rate and burst.
    RateUse,
    /// Most that a team got over rate and burst in any window, in percent of the burst.
    RateExcess,
    /// Requests that endpoints ran more than once.
    DoubledRuns,
    /// Bookings and payments that ran more than once.
    DoubledBookings,
    /// Bookings and payments answered as whole that did not run.
    LostBookings,
    /// Refusals that say "not run" of requests that ran.
    FalseRefusals,
    /// Whole answers to a key withdrawn over two seconds before.
    WithdrawnServed,
    /// Requests without a whole answer or a truthful refusal.
    Unknown,
    /// Answers to something else.
    Wrong,
    /// Engine crashes.
    Crashes,
    /// Engine crashes under more requests than the engine bore.
    Overruns,
    /// Requests measured.
    Sent,
}

impl Measure {
    /// Whether the measure is a part in percent rather than a count.
    #[must_use]
    pub const fn is_percent(self) -> bool {
        matches!(
            self,
            Self::GoodputHigh
                | Self::GoodputMid
                | Self::GoodputLow
                | Self::GoodputFault
                | Self::WorstTeam
                | Self::WastedPrefill
                | Self::WrongfulRefusals
                | Self::RefusedWithin
                | Self::RateUse
                | Self::RateExcess
        )
    }
}

/// The measures of one system in one run.
#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    pub(super) kind: Kind,
    pub(super) values: BTreeMap<Measure, f64>,
}
