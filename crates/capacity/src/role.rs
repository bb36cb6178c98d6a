//! Computes the costs of each role at the target size from the measured slopes.

mod agent;
mod change;
mod entry;
mod recovery;

use serde::Serialize;
use strum::Display;

use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::target;

/// Part of the system whose cost is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry process.
    Entry,
    /// An agent process.
    Agent,
    /// The platform's configuration service.
    Service,
    /// The operators' tool.
    Tool,
    /// The whole fleet.
    Fleet,
}

/// Unit of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
pub enum Unit {
    /// Megabytes of 2^20 bytes.
    #[strum(serialize = "MB")]
    Megabytes,
    /// Bytes per second.
    #[strum(serialize = "B/s")]
    BytesPerSecond,
    /// Percent of one core.
    #[strum(serialize = "% core")]
    CorePercent,
    /// Seconds.
    #[strum(serialize = "s")]
    Seconds,
    /// Calls per second.
    #[strum(serialize = "calls/s")]
    CallsPerSecond,
    /// Number of items, without a unit.
    #[strum(serialize = "")]
    Count,
}

/// One cost of a role at the target size.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Part of the system whose cost is stated.
    pub role: Role,
    /// Name of the cost.
    pub what: &'static str,
    /// Cost at the target size.
    pub value: f64,
    /// Unit of `value` and `budget`.
    pub unit: Unit,
    /// Largest value that the target allows, if it sets one.
    pub budget: Option<f64>,
    /// Formula of the value, in words.
    pub from: &'static str,
}

impl Row {
    /// Creates a row without a budget.
    fn new(role: Role, what: &'static str, value: f64, unit: Unit, from: &'static str) -> Self {
        Self {
            role,
            what,
            value,
            unit,
            budget: None,
            from,
        }
    }

    /// Sets the largest value that the target allows.
    fn with_budget(self, budget: f64) -> Self {
        Self {
            budget: Some(budget),
            ..self
        }
    }

    /// Returns whether the value exceeds the budget.
    pub fn exceeds_budget(&self) -> bool {
        self.budget.is_some_and(|budget| self.value > budget)
    }
}

/// Computes the rows of all roles.
pub fn rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let mut rows = entry::rows(findings)?;
    rows.extend(agent::rows(findings)?);
    rows.extend(change::rows(findings)?);
    rows.extend(recovery::rows(findings)?);
    Ok(rows)
}

const BYTES_PER_MEGABYTE: f64 = 1024.0 * 1024.0;

/// Creates a row in megabytes from a number of bytes.
fn memory_row(role: Role, what: &'static str, bytes: f64, from: &'static str) -> Row {
    Row::new(
        role,
        what,
        bytes / BYTES_PER_MEGABYTE,
        Unit::Megabytes,
        from,
    )
}

/// Creates a row in percent of a core from microseconds of processor time per second.
fn core_row(role: Role, what: &'static str, micros: f64, from: &'static str) -> Row {
    Row::new(role, what, micros / 1e4, Unit::CorePercent, from)
}

/// Returns the cost of the configuration at the target size, as the sum over teams, endpoints and
/// hosts. The line over teams was measured on a fleet that has the endpoints and hosts of
/// `BASE_SIZE`, so only the endpoints and hosts beyond these are added.
fn at_target_size(
    findings: &Findings,
    team: Cost,
    endpoint: Cost,
    host: Cost,
) -> Result<f64, CapacityError> {
    let base = crate::fleet::BASE_SIZE;
    let endpoints = target::ENGINES - base.endpoints as f64;
    let hosts = target::HOSTS - base.hosts as f64;
    Ok(findings.fit(team)?.estimate(target::TEAMS)
        + findings.fit(endpoint)?.slope * endpoints
        + findings.fit(host)?.slope * hosts)
}

/// Returns the bytes of memory that the assembled fleet takes in a process.
fn fleet_bytes(findings: &Findings) -> Result<f64, CapacityError> {
    at_target_size(
        findings,
        Cost::TeamMemory,
        Cost::EndpointMemory,
        Cost::HostMemory,
    )
}

/// Returns the bytes of the texts of all published documents.
fn documents_bytes(findings: &Findings) -> Result<f64, CapacityError> {
    at_target_size(findings, Cost::TeamText, Cost::EndpointText, Cost::HostText)
}

/// Returns the microseconds to read one changed document and assemble all documents.
fn apply_micros(findings: &Findings) -> Result<f64, CapacityError> {
    at_target_size(findings, Cost::TeamTime, Cost::EndpointTime, Cost::HostTime)
}

/// Returns the bytes of one of the documents that hold teams.
fn teams_document_bytes(findings: &Findings) -> Result<f64, CapacityError> {
    let teams = findings.fit(Cost::TeamText)?.slope * target::TEAMS;
    Ok(teams / target::TEAM_DOCUMENTS)
}

/// Returns the bytes of the document that holds endpoints and hosts.
fn fleet_document_bytes(findings: &Findings) -> Result<f64, CapacityError> {
    let endpoints = findings.fit(Cost::EndpointText)?.slope * target::ENGINES;
    Ok(endpoints + findings.fit(Cost::HostText)?.slope * target::HOSTS)
}

/// Returns the bytes per second that a process reads to follow the configuration: the changed
/// documents, each of `text` bytes, and its polls of the index.
fn config_byte_rate(text: f64) -> f64 {
    changes_per_second() * text + target::WATCH_BYTES / target::POLL_INTERVAL_S
}

/// Returns the bytes per second of exchanges with peers, both those that a process starts and those
/// that it answers.
fn peer_byte_rate(findings: &Findings) -> Result<f64, CapacityError> {
    let bytes = findings
        .fit(Cost::ExchangeBytes)?
        .estimate(target::DOCUMENTS);
    let processes = target::HOSTS + target::ENGINES;
    let idle = findings.fit(Cost::IdleExchanges)?.estimate(processes);
    let change = findings.fit(Cost::ChangeExchanges)?.estimate(processes);
    Ok(2.0 * bytes * (idle + change * changes_per_second()))
}

/// Returns the configuration changes per second, averaged over a day.
fn changes_per_second() -> f64 {
    target::CHANGES_PER_DAY / target::SECONDS_PER_DAY
}
