//! An agent at the target size.

use super::{
    Role, Row, Unit, apply_micros, core, fleet_bytes, fleet_text, following_bytes, memory,
};
use super::{changes, exchange_bytes, teams_text, text_bytes};
use crate::error::CapacityError;
use crate::series::{Cost, Findings};
use crate::target;

/// Requests a second at one agent.
fn requests() -> f64 {
    target::REQUESTS / target::ENGINES
}

pub(super) fn rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let mut rows = memory_rows(findings)?;
    rows.extend(core_rows(findings)?);
    rows.extend(message_rows(findings)?);
    Ok(rows)
}

fn memory_rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let process = findings.fit(Cost::AgentStream)?.base;
    let fleet = fleet_bytes(findings)?;
    let text = text_bytes(findings)?;
    let links = findings.fit(Cost::ConnectionMemory)?.slope * target::HOSTS;
    let queue = findings.fit(Cost::ReservationMemory)?.slope * target::QUEUE_LIMIT;
    let remembered = requests() * target::HISTORY_S;
    let history = findings.fit(Cost::HistoryMemory)?.slope * remembered;
    let streams = target::streams() / target::ENGINES * findings.fit(Cost::AgentStream)?.slope;
    let control = process + 2.0 * fleet + 2.0 * text + links + queue + history;
    let role = Role::Agent;
    Ok(vec![
        memory(
            role,
            "process without work",
            process,
            "base of agent_stream",
        ),
        memory(
            role,
            "fleet in force",
            fleet,
            "team, endpoint and host memory",
        ),
        memory(
            role,
            "texts of the documents",
            text,
            "team, endpoint and host text",
        ),
        memory(
            role,
            "control connections, all entries",
            links,
            "connection_memory (both sides) x 330",
        ),
        memory(role, "a full queue", queue, "reservation_memory x 1,024"),
        memory(
            role,
            "requests remembered",
            history,
            "history_memory x 1.3/s x 600 s",
        ),
        memory(
            role,
            "memory for control",
            control,
            "the sum, fleet and texts twice during a change",
        )
        .with_budget(target::MEMORY_BYTES / super::MEGABYTE),
        memory(role, "open streams", streams, "agent_stream x 30,700 / 610"),
    ])
}

fn core_rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let reserved = requests() * target::FANOUT;
    let depth = reserved * target::FIRST_TOKEN_S;
    let decide = reserved * findings.fit(Cost::AgentTime)?.at(depth);
    let calls = requests() * (2.0 * target::FANOUT - 1.0);
    let calls = calls * findings.fit(Cost::CallTime)?.slope;
    let change = changes() * apply_micros(findings)?;
    let role = Role::Agent;
    Ok(vec![
        core(role, "decisions", decide, "agent_time x 3 x 1.3/s"),
        core(
            role,
            "calls from entries",
            calls,
            "call_time (both sides) x 5 calls x 1.3/s",
        ),
        core(
            role,
            "changes, mean of a day",
            change,
            "team, endpoint and host time x 530 / 86,400 s",
        ),
        core(
            role,
            "processor for control",
            decide + calls + change,
            "the sum",
        )
        .with_budget(target::CORE_PERCENT),
    ])
}

fn message_rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let requests = requests() * super::entry::request_bytes(findings)?;
    let teams = following_bytes(teams_text(findings)?);
    let fleet = following_bytes(fleet_text(findings)?);
    let peers = exchange_bytes(findings)?;
    let role = Role::Agent;
    let row = |what, value, from| Row::new(role, what, value, Unit::BytesPerSecond, from);
    Ok(vec![
        row(
            "reservations of requests",
            requests,
            "as an entry's, x 1.3/s",
        ),
        row(
            "exchanges with peers",
            peers,
            "exchange_bytes x 2 x (idle_exchanges + change_exchanges x 530 / 86,400 s)",
        ),
        row(
            "control, changes in teams",
            requests + peers + teams,
            "the sum",
        )
        .with_budget(target::CONTROL_BYTES),
        row(
            "control, changes in the fleet",
            requests + peers + fleet,
            "the sum",
        )
        .with_budget(target::CONTROL_BYTES),
    ])
}
