//! An entry at the target size.

use super::{
    Role, Row, Unit, apply_micros, core, fleet_bytes, fleet_text, following_bytes, memory,
};
use super::{changes, exchange_bytes, teams_text, text_bytes};
use crate::error::CapacityError;
use crate::series::{Cost, Findings};
use crate::target;

/// Requests a second at one entry.
fn requests() -> f64 {
    target::REQUESTS / target::HOSTS
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
    let text = text_bytes(findings)?;
    let shares = findings.fit(Cost::ShareMemory)?.slope * target::TEAMS;
    let links = findings.fit(Cost::ConnectionMemory)?.slope * target::ENGINES;
    let waiting = requests() * target::FIRST_TOKEN_S;
    let waiting = waiting * findings.fit(Cost::WaitingMemory)?.slope;
    let streams = target::streams() / target::HOSTS * findings.fit(Cost::EntryStream)?.slope;
    let control = process + 2.0 * fleet + 2.0 * text + shares + links + waiting;
    let role = Role::Entry;
    Ok(vec![
        memory(
            role,
            "process without work",
            process,
            "base of entry_stream",
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
        memory(role, "shares of the teams", shares, "share_memory x 4,900"),
        memory(
            role,
            "control connections, all agents",
            links,
            "connection_memory (both sides) x 610",
        ),
        memory(
            role,
            "waiting requests",
            waiting,
            "waiting_memory x 2.4/s x 0.84 s",
        ),
        memory(
            role,
            "memory for control",
            control,
            "the sum, fleet and texts twice during a change",
        )
        .with_budget(target::MEMORY_BYTES / super::MEGABYTE),
        memory(role, "open streams", streams, "entry_stream x 30,700 / 330"),
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
    let rate = requests();
    let placement = findings.fit(Cost::PlacementTime)?.at(target::ENGINES);
    let waiting = rate * target::FIRST_TOKEN_S;
    let decide = rate * (placement + findings.fit(Cost::EntryTime)?.slope * waiting);
    let calls = rate * (2.0 * target::FANOUT - 1.0) * findings.fit(Cost::CallTime)?.slope;
    let change = changes() * apply_micros(findings)?;
    let role = Role::Entry;
    Ok(vec![
        core(role, "decisions", decide, "(placement_time at 610) x 2.4/s"),
        core(
            role,
            "calls to agents",
            calls,
            "call_time (both sides) x 5 calls x 2.4/s",
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
        core(
            role,
            "processor in a second with a change",
            decide + calls + apply_micros(findings)?,
            "one apply beside the requests",
        ),
        core(
            role,
            "tokens passed on, no control",
            target::TOKENS / target::HOSTS * findings.fit(Cost::EntryToken)?.slope,
            "entry_token x 390,000 / 330",
        ),
    ])
}

fn message_rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let requests = self::requests() * request_bytes(findings)?;
    let teams = following_bytes(teams_text(findings)?);
    let fleet = following_bytes(fleet_text(findings)?);
    let peers = exchange_bytes(findings)?;
    // Few entries hold a share of a team, so that most requests come to one that borrows.
    let borrowed = 2.0 * self::requests() * findings.value(Cost::BorrowBytes)?;
    let role = Role::Entry;
    let row = |what, value, from| Row::new(role, what, value, Unit::BytesPerSecond, from);
    Ok(vec![
        row(
            "reservations of requests",
            requests,
            "(3 reservations, 1 offer, 2 withdrawn and given back) x 2.4/s",
        ),
        row(
            "changes, all in teams documents",
            teams,
            "team_text x 4,900 / 16 x 530 / 86,400 s, and looks at the index",
        ),
        row(
            "changes, all in the fleet document",
            fleet,
            "endpoint_text x 610 + host_text x 330, the same",
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
        .with_budget(target::CONTROL_BYTES),
        row(
            "control, changes in the fleet",
            requests + peers + borrowed + fleet,
            "the sum",
        )
        .with_budget(target::CONTROL_BYTES),
        row(
            "control with TCP and IP headers, changes in teams",
            requests + peers + borrowed + headers() + teams,
            "14 segments a request, 52 bytes each, more",
        )
        .with_budget(target::CONTROL_BYTES),
    ])
}

/// Bytes a second of TCP and IP headers: each call is two segments, which carry the
/// acknowledgements of each other.
fn headers() -> f64 {
    let calls = 2.0 * target::FANOUT - 1.0;
    // And a loan that is asked for, and one that is given.
    requests() * (calls + 2.0) * 2.0 * target::HEADER_BYTES
}

/// Bytes of control messages for one request.
pub(super) fn request_bytes(findings: &Findings) -> Result<f64, CapacityError> {
    let reservation = findings.fit(Cost::ReservationBytes)?.at(target::PREFIXES);
    let others = target::FANOUT - 1.0;
    let withdrawn = findings.value(Cost::WithdrawBytes)? + findings.value(Cost::ReturnBytes)?;
    Ok(target::FANOUT * reservation + findings.value(Cost::OfferBytes)? + others * withdrawn)
}
