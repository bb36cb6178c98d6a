//! Runs the measurements, which are grouped by area.

mod agent;
mod change;
mod configuration;
mod connection;
mod entry;
mod stream;
mod wire;

use clap::ValueEnum;
use clap::builder::PossibleValue;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::error::CapacityError;
use crate::findings::Findings;

/// A group of measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Area {
    /// Memory and time of the configuration.
    Configuration,
    /// Memory and time of an entry's decisions.
    Entry,
    /// Memory and time of an agent's decisions.
    Agent,
    /// Size of each message.
    Wire,
    /// Propagation of a configuration change to many processes.
    Change,
    /// Memory and time of control connections over loopback.
    Connection,
    /// Memory and time of open streams in entry and agent processes.
    Stream,
}

impl Area {
    /// Returns all areas in the order of measurement.
    pub fn all() -> impl Iterator<Item = Self> {
        Self::iter()
    }
}

impl ValueEnum for Area {
    fn value_variants<'a>() -> &'a [Self] {
        &[
            Self::Configuration,
            Self::Entry,
            Self::Agent,
            Self::Wire,
            Self::Change,
            Self::Connection,
            Self::Stream,
        ]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(<&'static str>::from(self)))
    }
}

/// Measures an area and adds the results to `findings`.
pub fn run(area: Area, findings: &mut Findings) -> Result<(), CapacityError> {
    match area {
        Area::Configuration => configuration::run(findings),
        Area::Entry => entry::run(findings),
        Area::Agent => agent::run(findings),
        Area::Wire => wire::run(findings),
        Area::Change => change::run(findings),
        Area::Connection => connection::run(findings),
        Area::Stream => stream::run(findings),
    }
}
