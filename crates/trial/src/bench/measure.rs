//! Measures that a run yields.

use std::collections::BTreeMap;

use strum::{Display, EnumIter, IntoStaticStr};

use super::scenario::Scenario;
use super::system::SystemKind;

/// A measure of a run. Its name appears in tables and in the CSV file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Measure {
    /// Complete answers of the top tier within the deadline, in percent of the requests offered
    /// within the team's rate.
    GoodputHigh,
    /// Goodput of the middle tier, computed likewise.
    GoodputMid,
    /// Goodput of the lowest tier, computed likewise.
    GoodputLow,
    /// Goodput of all tiers from the start of a fault until one second after its end.
    GoodputFault,
    /// Goodput of the worst-served team within its rate, in percent of its fair share of engine
    /// time.
    WorstTeam,
    /// Prompt tokens computed beyond the need of the complete answers, in percent of that need.
    WastedPrefill,
    /// Requests refused as over the rate although the team had the tokens, in percent of all
    /// requests.
    WrongfulRefusals,
    /// Refused requests within the team's rate, in percent of the requests within it.
    RefusedWithin,
    /// Number of top-tier requests within the team's rate that were refused for lack of capacity.
    ShedHigh,
    /// Smallest use of its rate and burst by a team over its rate, in percent.
    RateUse,
    /// Largest use beyond rate and burst by a team in any time window, in percent of the burst.
    RateExcess,
    /// Number of requests that endpoints ran more than once.
    DoubledRuns,
    /// Number of calls that are not idempotent and ran more than once.
    DoubledBookings,
    /// Number of calls that are not idempotent, got a complete answer and did not run.
    LostBookings,
    /// Number of requests that ran although their refusal stated that they did not.
    FalseRefusals,
    /// Number of complete answers to requests sent two seconds or more after their key was
    /// withdrawn.
    WithdrawnServed,
    /// Number of requests whose answer was truncated, failed or did not arrive.
    Unknown,
    /// Number of requests that got the answer to another request.
    Wrong,
    /// Number of engine crashes.
    Crashes,
    /// Number of engine crashes caused by more concurrent requests than the engine could handle.
    Overruns,
    /// Number of measured requests.
    Sent,
}

impl Measure {
    /// Returns whether the measure is a percentage rather than a count.
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

/// Measures of one system in one run.
#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    pub(super) kind: SystemKind,
    pub(super) values: BTreeMap<Measure, f64>,
}
