//! Costs of an entry at the target size.

use super::{
    Role, Row, Unit, apply_micros, config_byte_rate, core_row, fleet_bytes, fleet_document_bytes,
    memory_row,
};
use super::{changes_per_second, documents_bytes, peer_byte_rate, teams_document_bytes};
use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::target;

/// Returns the requests per second at one entry.
fn requests_per_second() -> f64 {
    target::REQUESTS_PER_SECOND / target::HOSTS
}

pub(super) fn rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let mut rows = memory_rows(findings)?;
    rows.extend(core_rows(findings)?);
    rows.extend(message_rows(findings)?);
    Ok(rows)
}

fn memory_rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let process = findings.fit(Cost::EntryStream)?.base;
    let fleet = fleet_bytes(findings)?;
    let text = documents_bytes(findings)?;
    let shares = findings.fit(Cost::ShareMemory)?.slope * target::TEAMS;
    let connections = findings.fit(Cost::ConnectionMemory)?.slope * target::ENGINES;
    let waiting = requests_per_second() * target::FIRST_TOKEN_S;
    let waiting = waiting * findings.fit(Cost::WaitingMemory)?.slope;
    let streams = target::streams() / target::HOSTS * findings.fit(Cost::EntryStream)?.slope;
    let control = process + 2.0 * fleet + 2.0 * text + shares + connections + waiting;
    let role = Role::Entry;
    Ok(vec![
        memory_row(
            role,
            "process without work",
            process,
            "base of entry_stream",
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
        memory_row(role, "shares of the teams", shares, "share_memory x 4,900"),
        memory_row(
            role,
            "control connections, all agents",
            connections,
            "connection_memory (both sides) x 610",
        ),
        memory_row(
            role,
            "waiting requests",
            waiting,
            "waiting_memory x 2.4/s x 0.84 s",
        ),
        memory_row(
            role,
            "memory for control",
            control,
            "the sum, fleet and texts twice during a change",
        )
        .with_budget(target::MEMORY_LIMIT_BYTES / super::BYTES_PER_MEGABYTE),
        memory_row(role, "open streams", streams, "entry_stream x 30,700 / 330"),
        Row::new(
            role,
            "agents that may serve one model",
            target::ENGINES / target::MODELS,
            Unit::Count,
            "610 / 36",
        ),
    ])
}

fn core_rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let rate = requests_per_second();
    let placement = findings.fit(Cost::PlacementTime)?.estimate(target::ENGINES);
    let waiting = rate * target::FIRST_TOKEN_S;
    let decisions = rate * (placement + findings.fit(Cost::EntryTime)?.slope * waiting);
    let calls = rate * (2.0 * target::FANOUT - 1.0) * findings.fit(Cost::CallTime)?.slope;
    let change = changes_per_second() * apply_micros(findings)?;
    let role = Role::Entry;
    Ok(vec![
        core_row(
            role,
            "decisions",
            decisions,
            "(placement_time at 610) x 2.4/s",
        ),
        core_row(
            role,
            "calls to agents",
            calls,
            "call_time (both sides) x 5 calls x 2.4/s",
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
        core_row(
            role,
            "processor in a second with a change",
            decisions + calls + apply_micros(findings)?,
            "one apply in addition to the requests",
        ),
        core_row(
            role,
            "tokens passed on, no control",
            target::TOKENS_PER_SECOND / target::HOSTS * findings.fit(Cost::EntryToken)?.slope,
            "entry_token x 390,000 / 330",
        ),
    ])
}

fn message_rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let requests = self::requests_per_second() * request_bytes(findings)?;
    let teams = config_byte_rate(teams_document_bytes(findings)?);
    let fleet = config_byte_rate(fleet_document_bytes(findings)?);
    let peers = peer_byte_rate(findings)?;
    // Only a few entries hold a share of a team, so most requests arrive at an entry that must
    // borrow.
    let borrowed = 2.0 * self::requests_per_second() * findings.figure(Cost::BorrowBytes)?;
    let role = Role::Entry;
    let row = |what, value, from| Row::new(role, what, value, Unit::BytesPerSecond, from);
    Ok(vec![
        row(
            "reservations of requests",
            requests,
            "(3 reservations, 1 offer, 2 withdrawals and returns) x 2.4/s",
        ),
        row(
            "changes, all in teams documents",
            teams,
            "team_text x 4,900 / 16 x 530 / 86,400 s, plus polls of the index",
        ),
        row(
            "changes, all in the fleet document",
            fleet,
            "endpoint_text x 610 + host_text x 330, likewise",
        ),
        row(
            "exchanges with peers",
            peers,
            "exchange_bytes x 2 x (idle_exchanges + change_exchanges x 530 / 86,400 s)",
        ),
        row(
            "borrowing, asked and lent",
            borrowed,
            "borrow_bytes x 2 x 2.4/s, a loan for each request",
        ),
        row(
            "control, changes in teams",
            requests + peers + borrowed + teams,
            "the sum",
        )
        .with_budget(target::CONTROL_LIMIT_BYTES),
        row(
            "control, changes in the fleet",
            requests + peers + borrowed + fleet,
            "the sum",
        )
        .with_budget(target::CONTROL_LIMIT_BYTES),
        row(
            "control with TCP and IP headers, changes in teams",
            requests + peers + borrowed + header_byte_rate() + teams,
            "plus 14 segments of 52 bytes for each request",
        )
        .with_budget(target::CONTROL_LIMIT_BYTES),
    ])
}

/// Returns the bytes per second of TCP and IP headers. Each call takes two segments, since each
/// segment carries the acknowledgement of the other one.
fn header_byte_rate() -> f64 {
    let calls = 2.0 * target::FANOUT - 1.0;
    // Each request also causes one loan to be requested and one to be granted.
    requests_per_second() * (calls + 2.0) * 2.0 * target::SEGMENT_HEADER_BYTES
}

/// Returns the size of the control messages for one request in bytes.
pub(super) fn request_bytes(findings: &Findings) -> Result<f64, CapacityError> {
    let reservation = findings
        .fit(Cost::ReservationBytes)?
        .estimate(target::PREFIX_DIGESTS);
    let others = target::FANOUT - 1.0;
    let withdrawn = findings.figure(Cost::WithdrawBytes)? + findings.figure(Cost::ReturnBytes)?;
    Ok(target::FANOUT * reservation + findings.figure(Cost::OfferBytes)? + others * withdrawn)
}
