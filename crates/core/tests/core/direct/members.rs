//! Discovery of entries through seeds, unresponsive members and restarts.

use std::time::Duration;

use comfreyhaven_core::direct::{Scheduler, split_limit};

use super::{address, at, scheduler};

fn send_report(from: &Scheduler, index: u8, to: &mut Scheduler, millis: u64) {
    let report = from.report(at(millis));
    to.apply_report(address(index), report, at(millis + 1));
}

#[test]
fn entries_discover_each_other_through_one_seed() {
    let mut entries: Vec<_> = (1..=4).map(|index| scheduler(index, &[2, 9])).collect();
    for round in 0..4 {
        for from in 0..4 {
            let reports = entries[from].reports(at(round * 50));
            let now = at(round * 50 + 1);
            for (to, report) in reports {
                let to = (0..4).find(|index| address(*index as u8 + 1) == to);
                if let Some(to) = to {
                    entries[to].apply_report(address(from as u8 + 1), report, now);
                }
            }
        }
    }
    for entry in &entries {
        assert_eq!(entry.peers().len(), 3);
    }
}

#[test]
fn late_and_duplicate_reports_are_ignored() {
    let (mut one, two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    let (early, late) = (two.report(at(0)), two.report(at(50)));
    one.apply_report(address(2), late.clone(), at(60));
    assert!(!one.apply_report(address(2), early, at(61)).started);
    assert!(!one.apply_report(address(2), late, at(62)).started);
    assert_eq!(one.peers().len(), 1);
}

#[test]
fn an_unresponsive_peer_is_removed_after_its_retention() {
    let (mut one, two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    send_report(&two, 2, &mut one, 0);
    assert!(one.expire_peers(at(5_000)).is_empty());
    assert_eq!(one.totals().members, 2);
    assert_eq!(one.expire_peers(at(30_000)), [address(2)]);
    assert_eq!(one.totals().members, 1);
}

#[test]
fn a_leaving_peer_is_removed_early() {
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    two.start_leaving();
    send_report(&two, 2, &mut one, 0);
    assert_eq!(one.expire_peers(at(2_000)), [address(2)]);
}

#[test]
fn the_load_of_an_unresponsive_peer_is_discarded() {
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    for entry in [&mut one, &mut two] {
        entry.upsert_endpoint(super::endpoint_record("x", 2), at(0));
    }
    for ticket in 0..2 {
        assert!(
            super::placed(two.submit(super::placement_request(ticket, 0, at(0)), at(0))).is_some()
        );
    }
    send_report(&two, 2, &mut one, 10);
    assert!(super::placed(one.submit(super::placement_request(9, 0, at(20)), at(20))).is_none());
    one.expire_peers(at(2_000));
    assert!(!one.process_queues(at(2_001)).is_empty() || one.totals().waiting == 0);
    assert!(
        super::placed(one.submit(super::placement_request(10, 0, at(2_010)), at(2_010))).is_some()
    );
}

/// The parts add up to the limit for any number of entries.
#[test]
fn parts_add_up_to_the_limit() {
    for members in 1..40 {
        for limit in [0.0, 1.0, 7.9, 30.4] {
            let sum: usize = (0..members)
                .map(|index| split_limit(limit, members, index))
                .sum();
            assert_eq!(sum, limit as usize, "{members} entries");
        }
    }
}

/// Guards against cutting teams' rates in a large fleet. With 250 entries, lists of the members are
/// 1.25 s apart, and every entry counted the others as unresponsive between two of them.
#[test]
fn members_of_a_large_fleet_stay_responsive_between_reports() {
    let mut one = scheduler(1, &[]);
    for index in 2..=250 {
        let other = scheduler(index, &[1]);
        send_report(&other, index, &mut one, 0);
    }
    let interval = Duration::from_millis(5) * 250;
    let team = super::team(1_000);
    let later = at(0) + interval * 2;
    assert!(one.charge(&team, 2_000, 0, later).is_ok());
    assert!(one.expire_peers(later).is_empty());
}

/// The number of reports per second of one entry does not grow with the fleet.
#[test]
fn reports_per_second_stay_bounded() {
    let mut one = scheduler(1, &[]);
    for index in 2..200 {
        let other = scheduler(index, &[1]);
        send_report(&other, index, &mut one, u64::from(index));
    }
    let reports = one.reports(at(250)).len() as f64 / one.report_interval().as_secs_f64();
    assert!(reports < 130.0, "{reports} per second");
    assert!(one.report_interval() >= Duration::from_millis(40));
}

/// An entry of another build may spend its part of every limit although its reports cannot be read.
#[test]
fn an_entry_that_cannot_be_read_keeps_its_part() {
    let (mut one, two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    send_report(&two, 2, &mut one, 0);
    one.observe_unreadable(address(3), at(10));
    assert_eq!(one.totals().members, 3);
    assert!((one.responsive_part(at(20)) - 2.0 / 3.0).abs() < 1e-9);
    // No other entry is told of it as of one that can be read.
    let report = one.reports(at(30)).pop().expect("no peer is known").1;
    assert!(
        report
            .members
            .iter()
            .all(|member| member.address != address(3))
    );
    // Its part stays reserved as long as its messages arrive, and for the retention after that.
    one.observe_unreadable(address(3), at(15_000));
    send_report(&two, 2, &mut one, 34_000);
    assert!(one.expire_peers(at(34_900)).is_empty());
    assert_eq!(one.expire_peers(at(35_000)), [address(3)]);
}

#[test]
fn an_entry_that_can_be_read_again_counts_as_any_other() {
    let (mut one, two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    one.observe_unreadable(address(2), at(0));
    send_report(&two, 2, &mut one, 10);
    // A message of an unknown kind from an entry that can be read changes nothing.
    one.observe_unreadable(address(2), at(20));
    assert!((one.responsive_part(at(30)) - 1.0).abs() < 1e-9);
}
