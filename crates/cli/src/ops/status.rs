//! Shows the status of processes in one table.

use std::net::SocketAddr;

use comfy_table::{Cell, Color, Table};
use serde::Serialize;
use serde_json::Value;

use super::admin::{self, AdminResponse};
use crate::error::{AdminError, CliError};
use crate::output;

/// Status of one process. Fields that do not apply to the process are empty.
#[derive(Debug, Clone, Serialize)]
pub struct ProcessStatus {
    /// Admin address of the process.
    pub address: SocketAddr,
    /// `entry` or `agent`, or empty if the process could not be queried.
    pub role: &'static str,
    /// Lowest and highest generation of the documents in force.
    pub generations: Option<(u64, u64)>,
    /// Whether the process takes new work, and if not, why.
    pub condition: Condition,
    /// Waiting requests or reservations, by tier where the process reports tiers.
    pub waiting: String,
    /// Requests that are running at an agent, or dispatched by an entry.
    pub running: Option<u64>,
    /// Number of concurrent requests that the endpoint can handle now.
    pub limit: Option<u64>,
    /// Why the process could not be queried.
    pub error: Option<String>,
}

/// Whether a process takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The process takes new work. Its endpoint, if it has one, is warm.
    #[display("ready")]
    Ready,
    /// The endpoint has not reached its warm capacity yet.
    #[display("cold")]
    Cold,
    /// The endpoint does not respond.
    #[display("endpoint down")]
    Down,
    /// The process has no configuration that declares it.
    #[display("not configured")]
    Unconfigured,
    /// The process takes no new work and finishes running requests.
    #[display("leaving")]
    Leaving,
    /// The process could not be queried.
    #[display("no answer")]
    Lost,
}

/// Queries several processes in parallel.
///
/// # Errors
/// Returns a [`CliError`] if no process can be queried at all. A process that does not respond is
/// listed with its error instead.
pub fn status(addresses: &[SocketAddr]) -> Result<Vec<ProcessStatus>, CliError> {
    let responses = admin::get_all(addresses, "/state")?;
    let process = |response: AdminResponse| match response.result {
        Ok(state) => from_state(response.address, &state),
        Err(error) => unreachable(response.address, &error),
    };
    Ok(responses.into_iter().map(process).collect())
}

fn from_state(address: SocketAddr, state: &Value) -> ProcessStatus {
    let is_agent = state.get("limit").is_some();
    let running = if is_agent { "running" } else { "dispatched" };
    ProcessStatus {
        address,
        role: if is_agent { "agent" } else { "entry" },
        generations: generations(state),
        condition: condition(state, is_agent),
        waiting: waiting(state),
        running: state[running].as_u64(),
        limit: state["limit"].as_u64(),
        error: None,
    }
}

fn unreachable(address: SocketAddr, error: &AdminError) -> ProcessStatus {
    ProcessStatus {
        address,
        role: "",
        generations: None,
        condition: Condition::Lost,
        waiting: String::new(),
        running: None,
        limit: None,
        error: Some(error.to_string()),
    }
}

fn generations(state: &Value) -> Option<(u64, u64)> {
    let numbers = state["generations"].as_object()?.values();
    let numbers: Vec<u64> = numbers.filter_map(Value::as_u64).collect();
    Some((*numbers.iter().min()?, *numbers.iter().max()?))
}

fn condition(state: &Value, is_agent: bool) -> Condition {
    if state["leaving"] == true {
        Condition::Leaving
    } else if state["configured"] == false {
        Condition::Unconfigured
    } else if is_agent && state["endpoint"].is_null() {
        Condition::Down
    } else if is_agent && state["warm"] == false {
        Condition::Cold
    } else {
        Condition::Ready
    }
}

/// Returns the depth of each tier's queue, or the total if the process reports only that.
fn waiting(state: &Value) -> String {
    let Some(tiers) = state["queue"].as_array() else {
        return state["waiting"].as_u64().unwrap_or(0).to_string();
    };
    let tiers = tiers
        .iter()
        .filter(|tier| tier["depth"].as_u64() != Some(0))
        .map(|tier| format!("{}:{}", tier["tier"], tier["depth"]));
    let shown = tiers.collect::<Vec<_>>().join(" ");
    if shown.is_empty() {
        "0".to_owned()
    } else {
        shown
    }
}

/// Formats the statuses as a table. It is coloured only on a terminal.
#[must_use]
pub fn table(processes: &[ProcessStatus]) -> Table {
    let header = [
        "address",
        "role",
        "generation",
        "condition",
        "waiting",
        "running",
        "limit",
    ];
    let mut table = output::table(&header);
    for process in processes {
        let condition = match &process.error {
            Some(error) => format!("{}: {error}", process.condition),
            None => process.condition.to_string(),
        };
        table.add_row([
            Cell::new(process.address),
            Cell::new(process.role),
            Cell::new(format_generations(process.generations)),
            Cell::new(condition).fg(colour(process.condition)),
            Cell::new(&process.waiting),
            Cell::new(format_number(process.running)),
            Cell::new(format_number(process.limit)),
        ]);
    }
    table
}

fn colour(condition: Condition) -> Color {
    match condition {
        Condition::Ready => Color::Green,
        Condition::Cold | Condition::Leaving => Color::Yellow,
        Condition::Down | Condition::Unconfigured | Condition::Lost => Color::Red,
    }
}

fn format_generations(generations: Option<(u64, u64)>) -> String {
    match generations {
        None => "-".to_owned(),
        Some((low, high)) if low == high => low.to_string(),
        Some((low, high)) => format!("{low}-{high}"),
    }
}

fn format_number(value: Option<u64>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}
