//! Settings of one process: who it is, where it listens, where it finds the platform.

use std::net::SocketAddr;
use std::path::Path;

use comfreyhaven_core::{DataCentreName, EndpointName, HostName};
use derive_more::{Display, Error, From};

use crate::ini;
use crate::problem::{Problem, Problems};
use crate::section::Section;
use crate::value::Address;

/// What is logged, if the settings do not say. The call library logs every call at `info`.
const LOG_DEFAULT: &str = "info,tarpc=warn";

/// Names of the addresses where a process listens.
const LISTENERS: [&str; 4] = ["control", "admin", "listen", "traffic"];

/// Settings that cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("settings file {path:?} cannot be read: {source}")]
    #[from(ignore)]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file has faults.
    Problems(Problems),
}

/// Settings of every process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Where the process stands.
    pub centre: DataCentreName,
    /// Where peers reach its control service. Its IP is the source of all its connections.
    pub control: SocketAddr,
    /// Where operators read metrics, state and health.
    pub admin: SocketAddr,
    /// The configuration service.
    pub configuration: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// Control addresses of peers that are asked while no configuration is known.
    pub peers: Vec<SocketAddr>,
    /// Log filter, as `env_logger` reads it.
    pub log: String,
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// What every process needs.
    pub process: ProcessSettings,
    /// This host, as the configuration names it.
    pub name: HostName,
    /// Where callers are served.
    pub listen: SocketAddr,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// What every process needs.
    pub process: ProcessSettings,
    /// This endpoint, as the configuration names it.
    pub name: EndpointName,
    /// Where entries send bodies.
    pub traffic: SocketAddr,
    /// The endpoint itself.
    pub endpoint: SocketAddr,
}

impl EntrySettings {
    /// Reads an entry's settings file.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that names every fault of the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let (process, (name, listen)) = parse(path, "entry", entry)?;
        Ok(Self {
            process,
            name,
            listen,
        })
    }
}

impl AgentSettings {
    /// Reads an agent's settings file.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that names every fault of the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let (process, (name, traffic, endpoint)) = parse(path, "agent", agent)?;
        Ok(Self {
            process,
            name,
            traffic,
            endpoint,
        })
    }
}

fn parse<T>(
    path: &Path,
    role: &str,
    own: impl FnOnce(&mut Section) -> Option<T>,
) -> Result<(ProcessSettings, T), SettingsError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: shown.clone(),
        source,
    })?;
    let mut problems = Vec::new();
    let mut process_section = Section::new(&shown, "process", Vec::new());
    let mut role_section = Section::new(&shown, role, Vec::new());
    let mut seen = Vec::new();
    let mut listeners = Vec::new();
    let parsed = ini::parse(&shown, &text);
    problems.extend(parsed.problems);
    for mut section in parsed.sections {
        let kind = section.kind().to_owned();
        if seen.contains(&kind) {
            section.fault(None, None, "one such section; it stands twice");
            problems.extend(section.discard());
            continue;
        }
        for name in LISTENERS {
            listeners.extend(section.value(name).map(|value| (name, value.to_owned())));
        }
        match kind.as_str() {
            "process" => process_section = section,
            kind if kind == role => role_section = section,
            _ => problems.extend(section.reject(&format!("process and {role}"))),
        }
        seen.push(kind);
    }
    let process = process(&mut process_section);
    let own = own(&mut role_section);
    problems.extend(shared_addresses(&shown, &listeners));
    problems.extend(process_section.finish());
    problems.extend(role_section.finish());
    let problems = Problems(problems);
    match (process, own) {
        (Some(process), Some(own)) => Ok(problems.unless_empty((process, own))?),
        _ => Err(problems.into()),
    }
}

pub(crate) fn entry(section: &mut Section) -> Option<(HostName, SocketAddr)> {
    let name = section.take("name");
    let listen = address(section, "listen");
    Some((name?, listen?))
}

pub(crate) fn agent(section: &mut Section) -> Option<(EndpointName, SocketAddr, SocketAddr)> {
    let name = section.take("name");
    let traffic = address(section, "traffic");
    let endpoint = section.take_address("endpoint");
    Some((name?, traffic?, endpoint?))
}

pub(crate) fn process(section: &mut Section) -> Option<ProcessSettings> {
    let centre = section.take("data centre");
    let control = address(section, "control");
    if let Some(control) = control.filter(|control| control.ip().is_unspecified()) {
        let expected = "the IP number of this host, from which its connections come";
        section.fault(Some("control"), Some(&control.to_string()), expected);
    }
    let admin = address(section, "admin");
    let configuration = section.take_address("configuration service");
    let hosts = section.take_address("host list");
    let peers = section.take_list("peers");
    let log = log(section);
    Some(ProcessSettings {
        centre: centre?,
        control: control?,
        admin: admin?,
        configuration: configuration?,
        hosts: hosts?,
        peers,
        log: log?,
    })
}

/// Where a process listens. A port of zero lets the system choose one.
fn address(section: &mut Section, name: &'static str) -> Option<SocketAddr> {
    section
        .take::<Address>(name)
        .map(|Address(address)| address)
}

fn log(section: &mut Section) -> Option<String> {
    let log = section.take_or("log", LOG_DEFAULT.to_owned())?;
    if env_filter::Builder::new().try_parse(&log).is_err() {
        let expected = "levels such as info, or info,comfreyhaven_core=trace";
        section.fault(Some("log"), Some(&log), expected);
        return None;
    }
    Some(log)
}

/// Two listeners cannot have one address, unless the port is left to the system.
fn shared_addresses(document: &str, listeners: &[(&str, String)]) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (index, (name, address)) in listeners.iter().enumerate() {
        let earlier = listeners[..index]
            .iter()
            .find(|(_, other)| other == address);
        let Some((other, _)) = earlier.filter(|(other, _)| other != name) else {
            continue;
        };
        if !address.ends_with(":0") {
            problems.push(Problem {
                document: document.to_owned(),
                section: "process".to_owned(),
                name: Some((*name).to_owned()),
                found: Some(address.clone()),
                expected: format!("an address that {other} does not have"),
            });
        }
    }
    problems
}
