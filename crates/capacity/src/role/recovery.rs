//! Effects of the loss of a rack, a data centre or a region, and the cost of the recovery.

use super::{Role, Row, Unit};
use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::target;

/// Hosts and engines that fail together.
struct FailureDomain {
    hosts: f64,
    engines: f64,
    labels: [&'static str; 4],
}

pub(super) fn rows(findings: &Findings) -> Result<Vec<Row>, CapacityError> {
    let all = target::HOSTS + target::ENGINES;
    let rack = target::RACK_HOSTS / all;
    let domains = [
        (
            rack,
            [
                "a rack: requests cut off",
                "a rack: connections opened again",
                "a rack: core of a surviving entry to connect",
                "a rack: shares without a holder, in hundredths",
            ],
        ),
        (
            1.0 / target::CENTRES,
            [
                "a data centre: requests cut off",
                "a data centre: connections opened again",
                "a data centre: core of a surviving entry to connect",
                "a data centre: shares without a holder, in hundredths",
            ],
        ),
        (
            1.0 / target::REGIONS,
            [
                "a region cut off: requests cut off",
                "a region cut off: connections opened again",
                "a region cut off: core of a surviving entry to connect",
                "a region cut off: shares out of reach, in hundredths",
            ],
        ),
    ];
    let mut rows = Vec::new();
    for (fraction, labels) in domains {
        let domain = FailureDomain {
            hosts: target::HOSTS * fraction,
            engines: target::ENGINES * fraction,
            labels,
        };
        rows.extend(domain.rows(findings)?);
    }
    rows.push(warm_up());
    Ok(rows)
}

impl FailureDomain {
    fn rows(&self, findings: &Findings) -> Result<Vec<Row>, CapacityError> {
        let streams = target::streams();
        // A stream survives only if both its entry and its engine do.
        let surviving = (1.0 - self.hosts / target::HOSTS) * (1.0 - self.engines / target::ENGINES);
        let pairs =
            self.hosts * target::ENGINES + self.engines * target::HOSTS - self.hosts * self.engines;
        let opening = findings.fit(Cost::ConnectionTime)?.slope * self.engines / 1e6;
        let row = |index: usize, value, unit, from| {
            Row::new(Role::Fleet, self.labels[index], value, unit, from)
        };
        Ok(vec![
            row(
                0,
                streams * (1.0 - surviving),
                Unit::Count,
                "30,700 streams x fraction with an end in the part",
            ),
            row(
                1,
                pairs,
                Unit::Count,
                "pairs of entry and agent with an end in the part, if all were open",
            ),
            row(
                2,
                opening,
                Unit::Seconds,
                "connection_time (both sides) x agents in the part",
            ),
            row(
                3,
                100.0 * self.hosts / target::HOSTS,
                Unit::Count,
                "entries in the part / 330",
            ),
        ])
    }
}

/// Returns the time in seconds until a cold engine is warm: each completed request raises its limit
/// by one.
fn warm_up() -> Row {
    let steps = target::COLD_CAPACITY as u32..target::WARM_CAPACITY as u32;
    let seconds = steps
        .map(|limit| target::stream_s() / f64::from(limit))
        .sum();
    Row::new(
        Role::Fleet,
        "a cold engine to be warm",
        seconds,
        Unit::Seconds,
        "sum of 38.9 s / limit, from 4 to 64 requests",
    )
}
