//! Scenarios: the load that the systems get and the fault that occurs meanwhile.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Time at the start in which a light load warms up the engines. Its requests are not measured.
pub(super) const WARM_UP_TIME: Duration = Duration::from_secs(4);

/// Duration of the measured load, which follows the warm-up.
pub(super) const LOAD_TIME: Duration = Duration::from_secs(10);

/// Start of a fault, counted from the start of the load including the warm-up.
pub(super) const FAULT_START: Duration = Duration::from_secs(6);

/// End of a fault that has one, counted likewise.
pub(super) const FAULT_END: Duration = Duration::from_secs(9);

/// A load or a fault.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// Load of 0.7 times the capacity.
    Light,
    /// Load equal to the capacity.
    Full,
    /// Load of twice the capacity, with every team over its fair share and one over its rate.
    Overload,
    /// One team sends three times its rate, which is half of the capacity.
    GreedyTeam,
    /// An engine crashes.
    EngineCrash,
    /// Two engines become cold without a restart.
    SuddenCold,
    /// Two engines slow down to a third of their speed.
    SlowEngine,
    /// An agent is killed and later restarted.
    AgentKill,
    /// An entry is killed and later restarted.
    EntryKill,
    /// An agent process is suspended and resumed.
    AgentPause,
    /// A data centre is closed, its engines lose power, and it is opened again.
    CentreOut,
    /// The configuration service is unavailable.
    PlatformDown,
    /// The key of a team is withdrawn.
    KeyWithdrawn,
}

impl Scenario {
    /// Returns the load as a fraction of the fleet's capacity.
    #[must_use]
    pub const fn load(self) -> f64 {
        match self {
            Self::Full => 1.0,
            Self::Overload => 2.0,
            Self::GreedyTeam => 2.1,
            _ => 0.7,
        }
    }

    /// Fractions of the load that the teams send, in the order of the fleet's teams.
    #[must_use]
    pub const fn shares(self) -> [f64; 5] {
        match self {
            Self::Overload => [0.4, 0.15, 0.15, 0.15, 0.15],
            Self::GreedyTeam => [0.72, 0.07, 0.07, 0.07, 0.07],
            _ => [0.2; 5],
        }
    }

    /// Returns the default number of runs.
    #[must_use]
    pub const fn seeds(self) -> u64 {
        match self {
            Self::Light | Self::Full | Self::Overload => 3,
            _ => 1,
        }
    }

    /// Returns whether the scenario injects a fault.
    #[must_use]
    pub const fn is_fault(self) -> bool {
        !matches!(
            self,
            Self::Light | Self::Full | Self::Overload | Self::GreedyTeam
        )
    }
}
