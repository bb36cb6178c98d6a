//! Costs of a configuration change: load of the configuration service, and time until the change is
//! in force.

use super::{Role, Row, Unit, apply_micros, documents_bytes, teams_document_bytes};
use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::target;

pub(super) fn rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let processes = target::HOSTS + target::ENGINES;
    let apply_s = apply_micros(findings)? / 1e6;
    let known_s = findings.largest(Cost::InForceMillis)? / 1e3;
    let service = |what, cost, from| {
        let value = findings.fit(cost)?.estimate(processes);
        let row = Row::new(Role::Service, what, value, Unit::CallsPerSecond, from);
        Ok::<_, CapacityError>(row.with_budget(target::SERVICE_READS_PER_SECOND))
    };
    Ok(vec![
        service(
            "calls while nothing changes",
            Cost::IdleCalls,
            "idle_calls at 940; each pending watch is one call",
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
            "longest of in_force_millis, plus one apply",
        )
        .with_budget(target::CHANGE_LIMIT_S),
        Row::new(
            Role::Tool,
            "check of all documents",
            apply_s,
            Unit::Seconds,
            "team, endpoint and host time",
        ),
        super::memory_row(
            Role::Tool,
            "documents and fleet",
            super::fleet_bytes(findings)? + documents_bytes(findings)?,
            "team, endpoint and host memory and text",
        ),
        Row::new(
            Role::Tool,
            "bytes of one teams document",
            teams_document_bytes(findings)?,
            Unit::Count,
            "team_text x 4,900 / 16",
        )
        .with_budget(comfreyhaven_config::DOCUMENT_LIMIT_BYTES as f64),
        full_mesh(findings)?,
    ])
}

/// Returns the memory that control connections between every entry and every agent would take.
fn full_mesh(findings: &Findings) -> Result<Row, CapacityError> {
    let connections = target::HOSTS * target::ENGINES;
    let bytes = connections * findings.fit(Cost::ConnectionMemory)?.slope;
    let from = "connection_memory (both sides) x 330 x 610";
    Ok(super::memory_row(
        Role::Fleet,
        "a full mesh of control connections",
        bytes,
        from,
    ))
}
