//! What is done to the systems.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Time at the start in which a light load warms the engines. It is not measured.
pub(super) const WARM_TIME: Duration = Duration::from_secs(4);

/// Time of the measured load.
pub(super) const LOAD_TIME: Duration = Duration::from_secs(10);

/// When a fault comes, since the start of the load.
pub(super) const FAULT_AT: Duration = Duration::from_secs(6);

/// When a fault that is mended is mended.
pub(super) const MENDED_AT: Duration = Duration::from_secs(9);

/// One load or fault.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// 0.7 of the capacity.
    Light,
    /// All of the capacity.
    Full,
    /// Twice the capacity, with every team over its fair share and one over its rate.
    Overload,
    /// One team at three times its rate, which is half of the capacity.
    GreedyTeam,
    /// An engine crashes.
    EngineCrash,
    /// Two engines turn cold without a new boot.
    SuddenCold,
    /// Two engines take three times as long.
    SlowEngine,
    /// An agent is killed and replaced.
    AgentKill,
    /// An entry is killed and replaced.
    EntryKill,
    /// An agent stops and continues.
    AgentPause,
    /// A data centre is taken out, loses power, and comes back.
    CentreOut,
    /// The configuration service is down.
    PlatformDown,
    /// A team's key is withdrawn.
    KeyWithdrawn,
}

impl Scenario {
    /// Load as a part of the fleet's capacity.
    #[must_use]
    pub const fn load(self) -> f64 {
        match self {
            Self::Full => 1.0,
            Self::Overload => 2.0,
            Self::GreedyTeam => 2.1,
            _ => 0.7,
        }
    }

    /// Parts of the load that the teams send, in order.
    #[must_use]
    pub const fn shares(self) -> [f64; 5] {
        match self {
            Self::Overload => [0.4, 0.15, 0.15, 0.15, 0.15],
            Self::GreedyTeam => [0.72, 0.07, 0.07, 0.07, 0.07],
            _ => [0.2; 5],
        }
    }

    /// Runs by default.
    #[must_use]
    pub const fn seeds(self) -> u64 {
        match self {
            Self::Light | Self::Full | Self::Overload => 3,
            _ => 1,
        }
    }

    /// Whether something fails.
    #[must_use]
    pub const fn is_fault(self) -> bool {
        !matches!(
            self,
            Self::Light | Self::Full | Self::Overload | Self::GreedyTeam
        )
    }
}
