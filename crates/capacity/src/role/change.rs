//! A change of configuration: the service that it is read from, and the time until it is in force.

use super::{Role, Row, Unit, apply_micros, teams_text, text_bytes};
use crate::error::CapacityError;
use crate::series::{Cost, Findings};
use crate::target;

pub(super) fn rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let processes = target::HOSTS + target::ENGINES;
    let apply_s = apply_micros(findings)? / 1e6;
    let known_s = findings.worst(Cost::InForceMillis)? / 1e3;
    let service = |what, cost, from| {
        let value = findings.fit(cost)?.at(processes);
        let row = Row::new(Role::Service, what, value, Unit::CallsPerSecond, from);
        Ok::<_, CapacityError>(row.with_budget(target::READS))
    };
    Ok(vec![
        service(
            "calls while nothing changes",
            Cost::IdleCalls,
            "idle_calls at 940; each watch that waits is one call",
        )?,
        service(
            "most calls in a second after a change",
            Cost::ChangePeak,
            "change_peak at 940",
        )?,
        service(
            "most calls in a second while all start in one instant",
            Cost::StartPeak,
            "start_peak at 940",
        )?,
        Row::new(
            Role::Fleet,
            "a change in force everywhere",
            known_s + apply_s,
            Unit::Seconds,
            "longest of in_force_millis, and an apply",
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
