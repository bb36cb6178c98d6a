//! A change of configuration: the service that it is read from, and the time until it is in force.

use super::{Role, Row, Unit, apply_micros, teams_text, text_bytes};
use crate::error::CapacityError;
use crate::series::{Cost, Findings};
use crate::target;

pub(super) fn rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let watchers = target::HOSTS + target::ENGINES;
    let idle = watchers / target::WATCH_HOLD_S;
    // Each process waits for a random part between half and all of the spread, then reads the
    // document and watches again.
    let burst = 2.0 * watchers / (target::READ_SPREAD_S / 2.0);
    let start = watchers * (target::DOCUMENTS + 1.0);
    let apply_s = apply_micros(findings)? / 1e6;
    let service =
        |what, value, from| Row::new(Role::Service, what, value, Unit::CallsPerSecond, from);
    let fleet = |what, value, unit, from| Row::new(Role::Fleet, what, value, unit, from);
    Ok(vec![
        service(
            "watches that wait",
            idle,
            "940 watchers / 20 s, without a change",
        )
        .with_budget(target::READS),
        service(
            "reads just after a change",
            burst,
            "2 calls x 940 in 0.25 s, the random part of the spread",
        )
        .with_budget(target::READS),
        service(
            "reads when all start in one second",
            start,
            "19 calls x 940",
        )
        .with_budget(target::READS),
        service(
            "reads when a data centre starts in one second",
            start / target::CENTRES,
            "19 calls x 104",
        )
        .with_budget(target::READS),
        fleet(
            "a change in force everywhere",
            target::READ_SPREAD_S + apply_s,
            Unit::Seconds,
            "spread and apply, with the service up and not over its rate",
        )
        .with_budget(target::CHANGE_S),
        fleet(
            "a change at the service's rate alone",
            2.0 * watchers / target::READS + apply_s,
            Unit::Seconds,
            "2 calls x 940 at 2,000/s, and apply",
        )
        .with_budget(target::CHANGE_S),
        Row::new(
            Role::Tool,
            "check of all documents",
            apply_s,
            Unit::Seconds,
            "team, endpoint and host time",
        ),
        super::memory(
            Role::Tool,
            "documents and fleet",
            super::fleet_bytes(findings)? + text_bytes(findings)?,
            "team, endpoint and host memory and text",
        ),
        Row::new(
            Role::Tool,
            "bytes of one teams document",
            teams_text(findings)?,
            Unit::Count,
            "team_text x 4,900 / 16",
        )
        .with_budget(comfreyhaven_config::DOCUMENT_LIMIT_BYTES as f64),
        mesh(findings)?,
    ])
}

/// What every entry connected to every agent would take.
fn mesh(findings: &Findings) -> Result<Row, CapacityError> {
    let connections = target::HOSTS * target::ENGINES;
    let bytes = connections * findings.fit(Cost::ConnectionMemory)?.slope;
    let from = "connection_memory (both sides) x 330 x 610";
    Ok(super::memory(
        Role::Fleet,
        "a full mesh of control connections",
        bytes,
        from,
    ))
}
