//! Settings of a direct entry, read from an INI file.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use comfreyhaven_core::direct::{Bounds, Policies, RatePolicy};
use derive_more::{Display, Error};
use ini::Ini;

use crate::context::TimeLimits;
use crate::process::Addresses;

/// Largest age of a confirmed configuration, as a part of the time in which a withdrawn key may
/// still be used.
const CONFIRMATION_PART: f64 = 0.85;

/// Bytes of a megabyte, as settings count them.
const BYTES_PER_MB: usize = 1 << 20;

/// All settings of a process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Addresses of the process and of its first peers, and its data centre.
    pub addresses: Addresses,
    /// Bounds that all entries of the fleet keep together.
    pub bounds: Bounds,
    /// Optional decisions.
    pub policies: Policies,
    /// Processor share of this entry, in thousandths of a core.
    pub capacity: u16,
    /// Memory that the process may use, in bytes, if it is bounded.
    pub memory: Option<usize>,
    /// Time limits of this entry.
    pub time_limits: TimeLimits,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Log filter, as in `RUST_LOG`.
    pub log_filter: String,
}

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read the settings: {_0}")]
    File(ini::Error),
    /// A value is missing.
    #[display("[{section}] {name} is missing; expected {expected}")]
    Missing {
        /// Section of the INI file.
        section: &'static str,
        /// Key within the section.
        name: &'static str,
        /// The expected form.
        expected: &'static str,
    },
    /// A value cannot be parsed or is out of range.
    #[display("[{section}] {name} is {value:?}; expected {expected}")]
    Malformed {
        /// Section of the INI file.
        section: &'static str,
        /// Key within the section.
        name: &'static str,
        /// The value that was found.
        value: String,
        /// The expected form.
        expected: &'static str,
    },
}

struct Reader<'a> {
    file: &'a Ini,
    section: &'static str,
}

impl Reader<'_> {
    fn text(&self, name: &'static str, expected: &'static str) -> Result<&str, SettingsError> {
        let value = self.file.get_from(Some(self.section), name).map(str::trim);
        value
            .filter(|value| !value.is_empty())
            .ok_or(SettingsError::Missing {
                section: self.section,
                name,
                expected,
            })
    }

    fn value<T: FromStr>(
        &self,
        name: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        let text = self.text(name, expected)?;
        text.parse()
            .map_err(|_| self.malformed(name, text, expected))
    }

    fn malformed(&self, name: &'static str, value: &str, expected: &'static str) -> SettingsError {
        SettingsError::Malformed {
            section: self.section,
            name,
            value: value.to_owned(),
            expected,
        }
    }

    /// Reads a switch, which is off if it is not set.
    fn switch(&self, name: &'static str) -> Result<bool, SettingsError> {
        const EXPECTED: &str = "true or false";
        match self.text(name, EXPECTED) {
            Ok(_) => self.value(name, EXPECTED),
            Err(_) => Ok(false),
        }
    }

    /// Reads a part of a whole, which is zero if it is not set.
    fn part(&self, name: &'static str) -> Result<f64, SettingsError> {
        const EXPECTED: &str = "a number from 0 to 1";
        let Ok(text) = self.text(name, EXPECTED) else {
            return Ok(0.0);
        };
        let value: f64 = self.value(name, EXPECTED)?;
        match (0.0..=1.0).contains(&value) {
            true => Ok(value),
            false => Err(self.malformed(name, text, EXPECTED)),
        }
    }

    fn number(&self, name: &'static str) -> Result<f64, SettingsError> {
        const EXPECTED: &str = "a number that is not negative";
        let value: f64 = self.value(name, EXPECTED)?;
        if value.is_finite() && (0.0..=1e9).contains(&value) {
            return Ok(value);
        }
        Err(self.malformed(name, &value.to_string(), EXPECTED))
    }
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that names the first value that cannot be used.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = Ini::load_from_file(path).map_err(SettingsError::File)?;
        Self::read(&file)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that names the first value that cannot be used.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let file =
            Ini::load_from_str(text).map_err(|e| SettingsError::File(ini::Error::Parse(e)))?;
        Self::read(&file)
    }

    fn read(file: &Ini) -> Result<Self, SettingsError> {
        const SOCKET: &str = "an address and a port, as in 10.0.0.1:80";
        const MEMORY: &str = "the memory of this entry in MB, as in 256";
        const CORES: &str = "the processor cores of this entry, as in 0.5";
        let entry = Reader {
            file,
            section: "entry",
        };
        let address: IpAddr = entry.value("address", "the address of this host")?;
        let ports = entry.text("ports", "two ports, as in 7600-7615")?;
        let first = ports
            .split('-')
            .next()
            .and_then(|port| port.trim().parse().ok());
        let first: u16 =
            first.ok_or_else(|| entry.malformed("ports", ports, "two ports, as in 7600-7615"))?;
        let peer = SocketAddr::new(address, first);
        let addresses = Addresses {
            front: entry.value("callers", SOCKET)?,
            ready: entry.value("ready", SOCKET)?,
            peer,
            metrics: match entry.text("metrics", SOCKET) {
                Ok(_) => Some(entry.value("metrics", SOCKET)?),
                Err(_) => None,
            },
            seeds: seeds(&entry, first)?,
            centre: entry
                .text("data centre", "the name of a data centre")?
                .into(),
        };
        let store = entry.value("store", SOCKET)?;
        let cores = match entry.text("processor cores", CORES) {
            Ok(_) => entry.number("processor cores")?,
            Err(_) => 1.0,
        };
        let memory = match entry.text("memory mb", MEMORY) {
            Ok(_) => Some(entry.number("memory mb")? as usize * BYTES_PER_MB),
            Err(_) => None,
        };
        let log_filter = entry
            .text("log", "a log filter, as in info")
            .unwrap_or("info")
            .to_owned();
        let bounds_section = Reader {
            file,
            section: "bounds",
        };
        let bounds = Bounds {
            rate_policy: RatePolicy {
                window: Duration::from_secs_f64(bounds_section.number("rate window s")?),
                margin: bounds_section.number("rate margin")?,
                slack: bounds_section.number("rate slack")?,
                first_start: entry.value("first start", "true or false")?,
            },
            retry_window: Duration::from_secs_f64(bounds_section.number("repeat window s")?),
            retry_ratio: bounds_section.number("repeat ratio")?,
            retry_slack: bounds_section.number("repeat slack")?,
            cold_factor: bounds_section.number("cold factor")?,
            cold_extra: bounds_section.number("cold extra")?,
            drain: Duration::from_secs_f64(bounds_section.number("leaving ms")? / 1_000.0),
        };
        let withdrawal = bounds_section.number("key withdrawal ms")? / 1_000.0;
        let time_limits = TimeLimits {
            confirmation: Duration::from_secs_f64(withdrawal * CONFIRMATION_PART),
            grace: Duration::from_secs_f64(bounds_section.number("grace s")?),
        };
        Ok(Self {
            addresses,
            bounds,
            policies: policies(file)?,
            capacity: (cores * 1_000.0).clamp(1.0, f64::from(u16::MAX)) as u16,
            memory,
            time_limits,
            store,
            log_filter,
        })
    }
}

/// Reads the optional decisions. Those that are not set are off.
fn policies(file: &Ini) -> Result<Policies, SettingsError> {
    let section = Reader {
        file,
        section: "policies",
    };
    Ok(Policies {
        team_shares: section.switch("team shares")?,
        return_places: section.switch("return places")?,
        slot_shares: section.switch("slot shares")?,
        hedge_part: section.part("hedge part")?,
    })
}

/// Parses the seeds. The setting names them with another of their ports; entries exchange reports
/// on `port`, the first of the shared range.
fn seeds(entry: &Reader<'_>, port: u16) -> Result<Vec<SocketAddr>, SettingsError> {
    const EXPECTED: &str = "addresses with commas between, as in 10.0.0.1:80,10.0.0.2:80";
    let Ok(text) = entry.text("seeds", EXPECTED) else {
        return Ok(Vec::new());
    };
    let parse = |part: &str| {
        let seed: SocketAddr = part
            .trim()
            .parse()
            .map_err(|_| entry.malformed("seeds", part, EXPECTED))?;
        Ok(SocketAddr::new(seed.ip(), port))
    };
    text.split(',').map(parse).collect()
}
