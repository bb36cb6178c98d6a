//! The fleet in one table.

use std::net::SocketAddr;

use comfy_table::{Cell, Color, Table};
use serde::Serialize;
use serde_json::Value;

use super::ask::{self, Asked};
use crate::error::{AskError, CliError};
use crate::output;

/// What one process says of itself. A part that it does not have is empty.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// Its operators' port.
    pub address: SocketAddr,
    /// `entry` or `agent`.
    pub role: &'static str,
    /// Generations in force, lowest and highest.
    pub generations: Option<(u64, u64)>,
    /// Whether it takes new work, and if not, why.
    pub condition: Condition,
    /// Requests or reservations that wait, by tier where the process tells.
    pub waiting: String,
    /// Requests that are running or passed on.
    pub running: Option<u64>,
    /// Requests that the endpoint bears now.
    pub limit: Option<u64>,
    /// Why it could not be asked.
    pub error: Option<String>,
}

/// Whether a process takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// It takes new work. Its endpoint, if it has one, is warm.
    #[display("ready")]
    Ready,
    /// Its endpoint bears only a part of what it bears warm.
    #[display("cold")]
    Cold,
    /// Its endpoint does not answer.
    #[display("endpoint down")]
    Down,
    /// It has no configuration that declares it.
    #[display("not configured")]
    Unconfigured,
    /// It takes no new work and finishes what runs.
    #[display("leaving")]
    Leaving,
    /// It could not be asked.
    #[display("no answer")]
    Lost,
}

/// Asks processes at once.
///
/// # Errors
/// Returns a [`CliError`] if nothing can be asked at all. A process that does not answer has a line
/// that says so.
pub fn status(addresses: &[SocketAddr]) -> Result<Vec<Line>, CliError> {
    let answers = ask::get_all(addresses, "/state")?;
    let line = |asked: Asked| match asked.answer {
        Ok(state) => answered(asked.address, &state),
        Err(error) => lost(asked.address, &error),
    };
    Ok(answers.into_iter().map(line).collect())
}

fn answered(address: SocketAddr, state: &Value) -> Line {
    let is_agent = state.get("limit").is_some();
    let running = if is_agent { "running" } else { "dispatched" };
    Line {
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

fn lost(address: SocketAddr, error: &AskError) -> Line {
    Line {
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

/// The depth of each tier's queue, or one number.
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

/// The lines as a table. Colours stand only on a terminal.
#[must_use]
pub fn table(lines: &[Line]) -> Table {
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
    for line in lines {
        let condition = match &line.error {
            Some(error) => format!("{}: {error}", line.condition),
            None => line.condition.to_string(),
        };
        table.add_row([
            Cell::new(line.address),
            Cell::new(line.role),
            Cell::new(range(line.generations)),
            Cell::new(condition).fg(colour(line.condition)),
            Cell::new(&line.waiting),
            Cell::new(number(line.running)),
            Cell::new(number(line.limit)),
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

fn range(generations: Option<(u64, u64)>) -> String {
    match generations {
        None => "-".to_owned(),
        Some((low, high)) if low == high => low.to_string(),
        Some((low, high)) => format!("{low}-{high}"),
    }
}

fn number(value: Option<u64>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}
