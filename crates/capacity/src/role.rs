//! Each role at the target size, worked out from the measured slopes.

mod agent;
mod change;
mod entry;
mod recovery;

use serde::Serialize;
use strum::Display;

use crate::error::CapacityError;
use crate::series::{Cost, Findings};
use crate::target;

/// Who spends.
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

/// A unit of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
pub enum Unit {
    /// Megabytes of 2^20 bytes.
    #[strum(serialize = "MB")]
    Megabytes,
    /// Bytes a second.
    #[strum(serialize = "B/s")]
    BytesPerSecond,
    /// Hundredths of a core.
    #[strum(serialize = "% core")]
    CorePercent,
    /// Seconds.
    #[strum(serialize = "s")]
    Seconds,
    /// Calls a second.
    #[strum(serialize = "calls/s")]
    CallsPerSecond,
    /// A number of things.
    #[strum(serialize = "")]
    Count,
}

/// One cost of a role at the target size.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Who spends.
    pub role: Role,
    /// On what.
    pub what: &'static str,
    /// How much.
    pub value: f64,
    /// In which unit.
    pub unit: Unit,
    /// How much the target allows.
    pub budget: Option<f64>,
    /// How it is worked out.
    pub from: &'static str,
}

impl Row {
    /// A row without a budget of its own.
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

    /// The same row with what the target allows.
    fn with_budget(self, budget: f64) -> Self {
        Self {
            budget: Some(budget),
            ..self
        }
    }

    /// Whether the row is over its budget.
    pub fn misses(&self) -> bool {
        self.budget.is_some_and(|budget| self.value > budget)
    }
}

/// Every row.
pub fn rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let mut rows = entry::rows(findings)?;
    rows.extend(agent::rows(findings)?);
    rows.extend(change::rows(findings)?);
    rows.extend(recovery::rows(findings)?);
    Ok(rows)
}

const MEGABYTE: f64 = 1024.0 * 1024.0;

/// A row in megabytes, given bytes.
fn memory(role: Role, what: &'static str, bytes: f64, from: &'static str) -> Row {
    Row::new(role, what, bytes / MEGABYTE, Unit::Megabytes, from)
}

/// A row in hundredths of a core, given microseconds a second.
fn core(role: Role, what: &'static str, micros: f64, from: &'static str) -> Row {
    Row::new(role, what, micros / 1e4, Unit::CorePercent, from)
}

/// Sum of a cost over the declared parts at the target size.
fn declared(
    findings: &Findings,
    team: Cost,
    endpoint: Cost,
    host: Cost,
) -> Result<f64, CapacityError> {
    let small = crate::fleet::SMALL;
    let endpoints = target::ENGINES - small.endpoints as f64;
    let hosts = target::HOSTS - small.hosts as f64;
    Ok(findings.fit(team)?.at(target::TEAMS)
        + findings.fit(endpoint)?.slope * endpoints
        + findings.fit(host)?.slope * hosts)
}

/// Bytes of the fleet in a process's memory.
fn fleet_bytes(findings: &Findings) -> Result<f64, CapacityError> {
    declared(
        findings,
        Cost::TeamMemory,
        Cost::EndpointMemory,
        Cost::HostMemory,
    )
}

/// Bytes of all published texts.
fn text_bytes(findings: &Findings) -> Result<f64, CapacityError> {
    declared(findings, Cost::TeamText, Cost::EndpointText, Cost::HostText)
}

/// Microseconds to read one changed document and assemble all.
fn apply_micros(findings: &Findings) -> Result<f64, CapacityError> {
    declared(findings, Cost::TeamTime, Cost::EndpointTime, Cost::HostTime)
}

/// Bytes of one teams document.
fn teams_text(findings: &Findings) -> Result<f64, CapacityError> {
    let teams = findings.fit(Cost::TeamText)?.slope * target::TEAMS;
    Ok(teams / target::TEAM_DOCUMENTS)
}

/// Bytes of the fleet document.
fn fleet_text(findings: &Findings) -> Result<f64, CapacityError> {
    let endpoints = findings.fit(Cost::EndpointText)?.slope * target::ENGINES;
    Ok(endpoints + findings.fit(Cost::HostText)?.slope * target::HOSTS)
}

/// Bytes a second that a process reads of changes, each in a document of `text` bytes, with its
/// looks at the index.
fn following_bytes(text: f64) -> f64 {
    changes() * text + target::WATCH_BYTES / target::POLL_S
}

/// Bytes a second of exchanges with peers, those that a process begins and those that it answers.
fn exchange_bytes(findings: &Findings) -> Result<f64, CapacityError> {
    let bytes = findings.fit(Cost::ExchangeBytes)?.at(target::DOCUMENTS);
    let processes = target::HOSTS + target::ENGINES;
    let idle = findings.fit(Cost::IdleExchanges)?.at(processes);
    let change = findings.fit(Cost::ChangeExchanges)?.at(processes);
    Ok(2.0 * bytes * (idle + change * changes()))
}

/// Changes a second, as a mean of a day.
fn changes() -> f64 {
    target::CHANGES_PER_DAY / target::DAY_S
}
