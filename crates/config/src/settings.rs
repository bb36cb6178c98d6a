//! Settings of one process: its name, its addresses, and the addresses of the platform's services.

use std::net::SocketAddr;
use std::path::Path;

use comfreyhaven_core::{DataCentreName, EndpointName, HostName};
use derive_more::{Display, Error, From};

use crate::ini;
use crate::problem::{Problem, Problems};
use crate::section::Section;
use crate::value::Address;

/// Log filter if the settings set none. `tarpc` is limited to warnings because it logs every call
/// at `info`.
const LOG_DEFAULT: &str = "info,tarpc=warn";

/// Keys of the addresses on which a process listens.
const LISTENERS: [&str; 4] = ["control", "admin", "listen", "traffic"];

/// Why settings could not be loaded.
#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    /// The file could not be read.
    #[display("settings file {path:?} cannot be read: {source}")]
    #[from(ignore)]
    Read {
        /// Path of the file.
        path: String,
        /// Cause from the operating system.
        source: std::io::Error,
    },
    /// The file contains problems.
    Problems(Problems),
}

/// Settings that every process has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Data centre that the process is in.
    pub centre: DataCentreName,
    /// Address of its control service for peers. Its connections use the same IP as their source.
    pub control: SocketAddr,
    /// Address at which operators read metrics, state and health.
    pub admin: SocketAddr,
    /// Address of the configuration service.
    pub configuration: SocketAddr,
    /// Address of the host list service.
    pub hosts: SocketAddr,
    /// Control addresses of the peers to contact while the process has no configuration.
    pub peers: Vec<SocketAddr>,
    /// Log filter in the syntax of `env_logger`.
    pub log: String,
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Settings that every process has.
    pub process: ProcessSettings,
    /// Name of this host in the configuration.
    pub name: HostName,
    /// Address at which callers connect.
    pub listen: SocketAddr,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Settings that every process has.
    pub process: ProcessSettings,
    /// Name of this endpoint in the configuration.
    pub name: EndpointName,
    /// Address at which entries send request bodies.
    pub traffic: SocketAddr,
    /// Address of the endpoint behind this agent.
    pub endpoint: SocketAddr,
}

impl EntrySettings {
    /// Loads an entry's settings file.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that lists every problem of the file.
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
    /// Loads an agent's settings file.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that lists every problem of the file.
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
    parse_role: impl FnOnce(&mut Section) -> Option<T>,
) -> Result<(ProcessSettings, T), SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: file.clone(),
        source,
    })?;
    let mut problems = Vec::new();
    let mut process_section = Section::new(&file, "process", Vec::new());
    let mut role_section = Section::new(&file, role, Vec::new());
    let mut seen_kinds = Vec::new();
    let mut listeners = Vec::new();
    let parsed = ini::parse(&file, &text);
    problems.extend(parsed.problems);
    for mut section in parsed.sections {
        let kind = section.kind().to_owned();
        if seen_kinds.contains(&kind) {
            section.report(None, None, "this section once; it is repeated");
            problems.extend(section.into_problems());
            continue;
        }
        for name in LISTENERS {
            listeners.extend(section.peek(name).map(|value| (name, value.to_owned())));
        }
        match kind.as_str() {
            "process" => process_section = section,
            kind if kind == role => role_section = section,
            _ => problems.extend(section.reject_kind(&format!("process and {role}"))),
        }
        seen_kinds.push(kind);
    }
    let process = process(&mut process_section);
    let role_settings = parse_role(&mut role_section);
    problems.extend(shared_addresses(&file, &listeners));
    problems.extend(process_section.finish());
    problems.extend(role_section.finish());
    let problems = Problems(problems);
    match (process, role_settings) {
        (Some(process), Some(role_settings)) => Ok(problems.into_result((process, role_settings))?),
        _ => Err(problems.into()),
    }
}

pub(crate) fn entry(section: &mut Section) -> Option<(HostName, SocketAddr)> {
    let name = section.take_required("name");
    let listen = listen_address(section, "listen");
    Some((name?, listen?))
}

pub(crate) fn agent(section: &mut Section) -> Option<(EndpointName, SocketAddr, SocketAddr)> {
    let name = section.take_required("name");
    let traffic = listen_address(section, "traffic");
    let endpoint = section.take_address("endpoint");
    Some((name?, traffic?, endpoint?))
}

pub(crate) fn process(section: &mut Section) -> Option<ProcessSettings> {
    let centre = section.take_required("data centre");
    let control = listen_address(section, "control");
    if let Some(control) = control.filter(|control| control.ip().is_unspecified()) {
        let expected = "the IP address of this host, which is also the source of its connections";
        section.report(Some("control"), Some(&control.to_string()), expected);
    }
    let admin = listen_address(section, "admin");
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

/// Takes an address on which a process listens. Port 0 lets the system choose a port.
fn listen_address(section: &mut Section, name: &'static str) -> Option<SocketAddr> {
    section
        .take_required::<Address>(name)
        .map(|Address(address)| address)
}

fn log(section: &mut Section) -> Option<String> {
    let log = section.take_or("log", LOG_DEFAULT.to_owned())?;
    if env_filter::Builder::new().try_parse(&log).is_err() {
        let expected = "a log filter such as info, or info,comfreyhaven_core=trace";
        section.report(Some("log"), Some(&log), expected);
        return None;
    }
    Some(log)
}

/// Reports listeners that share an address. Port 0 is exempt, because the system chooses a
/// different port for each.
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
                expected: format!("an address that {other} does not use"),
            });
        }
    }
    problems
}
