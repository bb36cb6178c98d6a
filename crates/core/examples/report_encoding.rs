//! Bytes of a report and the time to read it, for fleets of three sizes, in three encodings: arrays by
//! position, names for the fields of the report alone, and names throughout.

use std::hint::black_box;
use std::time::Instant;

use comfreyhaven_core::direct::{
    EndpointLoad, Identity, MemberStatus, Report, Scope, SectionStatus, ServiceLoad,
};
use serde::ser::{Serialize, SerializeSeq, Serializer};

/// Reports that are read for one measurement.
const ROUNDS: u32 = 2_000;

/// The fields of a report by position.
struct Positions<'a>(&'a Report);

impl Serialize for Positions<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        const FIELDS: usize = 18;
        let report = self.0;
        let mut fields = serializer.serialize_seq(Some(FIELDS))?;
        fields.serialize_element(&report.scope)?;
        fields.serialize_element(&report.identity)?;
        fields.serialize_element(&report.sent)?;
        fields.serialize_element(&report.interval)?;
        fields.serialize_element(&report.expects)?;
        fields.serialize_element(&report.echo)?;
        fields.serialize_element(&report.lag)?;
        fields.serialize_element(&report.version)?;
        fields.serialize_element(&report.age)?;
        fields.serialize_element(&report.sections)?;
        fields.serialize_element(&report.loads)?;
        fields.serialize_element(&report.services)?;
        fields.serialize_element(&report.spent)?;
        fields.serialize_element(&report.containment)?;
        fields.serialize_element(&report.members)?;
        fields.serialize_element(&report.notices)?;
        fields.serialize_element(&report.shares)?;
        fields.serialize_element(&report.answer_times)?;
        fields.end()
    }
}

fn identity(boot: u64) -> Identity {
    Identity {
        boot: boot.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        started: 1_000_000,
        centre: 0x1234_5678_9abc_def0,
        capacity: 190,
        leaving: false,
    }
}

/// Returns a report on `endpoints` endpoints and `teams` teams that lists `members` entries.
fn report(endpoints: u64, teams: u64, members: u64) -> Report {
    Report {
        scope: Scope::Fleet,
        identity: identity(1),
        sent: 30_000_000,
        interval: 200,
        expects: true,
        echo: None,
        lag: 150,
        version: 40,
        age: Some(300),
        sections: [SectionStatus::default(); 2],
        loads: (0..endpoints)
            .map(|index| EndpointLoad {
                endpoint: identity(index).boot,
                running: 9,
                pending: 12_000,
                event_interval: 240,
                held: 0,
            })
            .collect(),
        services: vec![ServiceLoad::default(); 2],
        spent: (0..teams)
            .map(|team| (identity(team).boot, 400_000))
            .collect(),
        containment: Default::default(),
        members: (0..members)
            .map(|index| MemberStatus {
                address: ([10, 0, 0, index as u8], 7_600).into(),
                identity: identity(index),
                sent: 30_000_000,
                age: 40,
            })
            .collect(),
        notices: Vec::new(),
        shares: Vec::new(),
        answer_times: Vec::new(),
    }
}

/// Returns the microseconds that one read of `bytes` takes.
fn read_us(bytes: &[u8]) -> f64 {
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let report: Report = rmp_serde::from_slice(bytes).expect("the report cannot be read");
        black_box(report);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn main() {
    println!("entries, endpoints: encoding, bytes, us to read");
    for (entries, endpoints, teams, members) in [
        (3, 12, 5, 0),
        (30, 50, 16, 0),
        (300, 610, 60, 0),
        (300, 610, 60, 100),
    ] {
        let report = report(endpoints, teams, members);
        let positions = rmp_serde::to_vec(&Positions(&report)).expect("not encoded");
        let names = rmp_serde::to_vec(&report).expect("not encoded");
        let throughout = rmp_serde::to_vec_named(&report).expect("not encoded");
        for (way, bytes) in [
            ("positions", positions),
            ("names", names),
            ("throughout", throughout),
        ] {
            let us = read_us(&bytes);
            println!(
                "{entries}, {endpoints} ({members} listed): {way}, {}, {us:.1}",
                bytes.len()
            );
        }
    }
}
