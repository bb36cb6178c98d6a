//! Costs of an agent at the target size.

use super::{
    Role, Row, Unit, apply_micros, config_byte_rate, core_row, fleet_bytes, fleet_document_bytes,
    memory_row,
};
use super::{changes_per_second, documents_bytes, peer_byte_rate, teams_document_bytes};
use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::target;

/// Returns the requests per second at one agent.
fn requests_per_second() -> f64 {
    target::REQUESTS_PER_SECOND / target::ENGINES
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
    let text = documents_bytes(findings)?;
    let connections = findings.fit(Cost::ConnectionMemory)?.slope * target::HOSTS;
    let queue = findings.fit(Cost::ReservationMemory)?.slope * target::QUEUE_LIMIT;
    let history_length = requests_per_second() * target::HISTORY_S;
    let history = findings.fit(Cost::HistoryMemory)?.slope * history_length;
    let streams = target::streams() / target::ENGINES * findings.fit(Cost::AgentStream)?.slope;
    let control = process + 2.0 * fleet + 2.0 * text + connections + queue + history;
    let role = Role::Agent;
    Ok(vec![
        memory_row(
            role,
            "process without work",
            process,
            "base of agent_stream",
        ),
        memory_row(
            role,
            "fleet in force",
            fleet,
            "team, endpoint and host memory",
        ),
        memory_row(
            role,
            "texts of the documents",
            text,
            "team, endpoint and host text",
        ),
        memory_row(
            role,
            "control connections, all entries",
            connections,
            "connection_memory (both sides) x 330",
        ),
        memory_row(role, "a full queue", queue, "reservation_memory x 1,024"),
        memory_row(
            role,
            "requests remembered",
            history,
            "history_memory x 1.3/s x 600 s",
        ),
        memory_row(
            role,
            "memory for control",
            control,
            "the sum, fleet and texts twice during a change",
        )
        .with_budget(target::MEMORY_LIMIT_BYTES / super::BYTES_PER_MEGABYTE),
        memory_row(role, "open streams", streams, "agent_stream x 30,700 / 610"),
    ])
}

fn core_rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let reservations = requests_per_second() * target::FANOUT;
    let depth = reservations * target::FIRST_TOKEN_S;
    let decisions = reservations * findings.fit(Cost::AgentTime)?.estimate(depth);
    let calls = requests_per_second() * (2.0 * target::FANOUT - 1.0);
    let calls = calls * findings.fit(Cost::CallTime)?.slope;
    let change = changes_per_second() * apply_micros(findings)?;
    let role = Role::Agent;
    Ok(vec![
        core_row(role, "decisions", decisions, "agent_time x 3 x 1.3/s"),
        core_row(
            role,
            "calls from entries",
            calls,
            "call_time (both sides) x 5 calls x 1.3/s",
        ),
        core_row(
            role,
            "changes, mean of a day",
            change,
            "team, endpoint and host time x 530 / 86,400 s",
        ),
        core_row(
            role,
            "processor for control",
            decisions + calls + change,
            "the sum",
        )
        .with_budget(target::CORE_LIMIT_PERCENT),
    ])
}

fn message_rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let requests = requests_per_second() * super::entry::request_bytes(findings)?;
    let teams = config_byte_rate(teams_document_bytes(findings)?);
    let fleet = config_byte_rate(fleet_document_bytes(findings)?);
    let peers = peer_byte_rate(findings)?;
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
        .with_budget(target::CONTROL_LIMIT_BYTES),
        row(
            "control, changes in the fleet",
            requests + peers + fleet,
            "the sum",
        )
        .with_budget(target::CONTROL_LIMIT_BYTES),
    ])
}
