//! Which streams get a copy of their memory while endpoints crash, and where it is kept.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::direct::{BackupPlan, BackupRequest, EndpointRecord, Policies, Scheduler};

use super::{SERVICE, at, endpoint_record, plan, scheduler};

/// An entry with endpoints of two builds in two data centres.
fn entry(memory_tokens: u64) -> Scheduler {
    let mut changed = (*plan(2)).clone();
    let service = changed.services.get_mut(SERVICE).expect("no such service");
    service.backup = Some(BackupPlan { memory_tokens });
    let policies = Policies {
        stream_backups: true,
        backup_tokens: 300,
        ..Policies::default()
    };
    let mut entry = scheduler(1, &[]).with_policies(policies);
    entry.configure(Arc::new(changed), at(0));
    for index in 0..12 {
        entry.upsert_endpoint(record(index), at(0));
    }
    entry
}

fn record(index: u8) -> EndpointRecord {
    EndpointRecord {
        address: ([10, 1, 0, index + 1], 80).into(),
        centre: if index % 2 == 0 { "a" } else { "b" }.into(),
        build: if index < 8 { "v1" } else { "v2" }.into(),
        ..endpoint_record(&format!("i-{index}"), 9)
    }
}

fn request(record: &EndpointRecord, rank: u8, length: u64) -> BackupRequest<'_> {
    BackupRequest {
        rank,
        prompt: 6_670,
        length,
        record,
    }
}

/// Draws the places of many copies of runs at the first endpoint.
fn places(entry: &mut Scheduler, rank: u8, length: u64) -> BTreeSet<String> {
    let own = record(0);
    let draw = |_| entry.choose_backup(&request(&own, rank, length), at(10));
    let drawn = (0..200).filter_map(draw);
    drawn.map(|place| place.id.to_string()).collect()
}

fn names(indices: &[u8]) -> BTreeSet<String> {
    indices.iter().map(|index| format!("i-{index}")).collect()
}

#[test]
fn copies_spread_over_the_build_in_another_data_centre() {
    assert_eq!(places(&mut entry(713_149), 0, 384), names(&[1, 3, 5, 7]));
}

#[test]
fn copies_stay_in_the_data_centre_if_no_other_has_the_build() {
    let mut entry = entry(713_149);
    for index in [1, 3, 5, 7] {
        let cold = EndpointRecord {
            cold: Duration::from_secs(3),
            sequence: 2,
            ..record(index)
        };
        entry.upsert_endpoint(cold, at(0));
    }
    assert_eq!(places(&mut entry, 0, 384), names(&[2, 4, 6]));
}

#[test]
fn short_and_less_urgent_streams_get_no_copy() {
    let mut entry = entry(713_149);
    assert!(places(&mut entry, 0, 299).is_empty());
    assert!(places(&mut entry, 1, 384).is_empty());
}

/// An endpoint crashes if what it holds exceeds its memory.
#[test]
fn no_copy_goes_where_the_memory_may_run_short() {
    let slots_and_copies = 2 * 9 * (6_670 + 384);
    assert!(places(&mut entry(slots_and_copies - 1), 0, 384).is_empty());
    assert!(!places(&mut entry(slots_and_copies), 0, 384).is_empty());
}

/// The next incarnation of an endpoint holds no copy.
#[test]
fn no_stream_goes_on_at_another_incarnation() {
    let mut entry = entry(713_149);
    assert!(entry.resume_at(&record(1), at(10)).is_some());
    let again = EndpointRecord {
        started_ms: 2,
        ..record(1)
    };
    entry.upsert_endpoint(again, at(20));
    assert!(entry.resume_at(&record(1), at(30)).is_none());
}
