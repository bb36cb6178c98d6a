//! Entries that nobody lists: found from seeds, silent, back, and started anew.

use std::time::Duration;

use comfreyhaven_core::direct::{Scheduler, part};

use super::{address, at, scheduler};

fn tell(from: &Scheduler, index: u8, to: &mut Scheduler, millis: u64) {
    let report = from.report(at(millis));
    to.hear(address(index), report, at(millis + 1));
}

#[test]
fn entries_find_each_other_through_one_seed() {
    let mut entries: Vec<_> = (1..=4).map(|index| scheduler(index, &[2, 9])).collect();
    for round in 0..4 {
        for from in 0..4 {
            let report = entries[from].report(at(round * 50));
            let targets = entries[from].targets();
            let now = at(round * 50 + 1);
            for (to, entry) in entries.iter_mut().enumerate() {
                if to != from && targets.contains(&address(to as u8 + 1)) {
                    entry.hear(address(from as u8 + 1), report.clone(), now);
                }
            }
        }
    }
    for entry in &entries {
        assert_eq!(entry.peers().len(), 3);
    }
}

#[test]
fn reports_that_are_late_or_repeated_count_once() {
    let (mut one, two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    let (early, late) = (two.report(at(0)), two.report(at(50)));
    one.hear(address(2), late.clone(), at(60));
    assert!(!one.hear(address(2), early, at(61)).started);
    assert!(!one.hear(address(2), late, at(62)).started);
    assert_eq!(one.peers().len(), 1);
}

#[test]
fn a_silent_peer_is_forgotten_only_after_a_while() {
    let (mut one, two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    tell(&two, 2, &mut one, 0);
    assert!(one.forget(at(5_000)).is_empty());
    assert_eq!(one.totals().members, 2);
    assert_eq!(one.forget(at(30_000)), [address(2)]);
    assert_eq!(one.totals().members, 1);
}

#[test]
fn a_peer_that_says_that_it_leaves_is_forgotten_soon() {
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    two.leave();
    tell(&two, 2, &mut one, 0);
    assert_eq!(one.forget(at(2_000)), [address(2)]);
}

#[test]
fn what_a_silent_peer_ran_is_no_longer_counted() {
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    for entry in [&mut one, &mut two] {
        entry.list(super::listing("x", 2), at(0));
    }
    for ticket in 0..2 {
        assert!(super::placed(two.ask(super::ask(ticket, 0, at(0)), at(0))).is_some());
    }
    tell(&two, 2, &mut one, 10);
    assert!(super::placed(one.ask(super::ask(9, 0, at(20)), at(20))).is_none());
    one.forget(at(2_000));
    assert!(!one.settle(at(2_001)).is_empty() || one.totals().waiting == 0);
    assert!(super::placed(one.ask(super::ask(10, 0, at(2_010)), at(2_010))).is_some());
}

/// Whatever the number of entries, their parts never make more than the whole.
#[test]
fn parts_make_no_more_than_the_whole() {
    for members in 1..40 {
        for limit in [0.0, 1.0, 7.9, 30.4] {
            let sum: usize = (0..members).map(|place| part(limit, members, place)).sum();
            assert_eq!(sum, limit as usize, "{members} entries");
        }
    }
}

/// Found by a sweep over 300 entries: their reports come every 2.5 s, and each counted the others as
/// silent all the time, so that teams' rates were cut.
#[test]
fn members_of_a_large_fleet_are_not_silent_between_reports() {
    let mut one = scheduler(1, &[]);
    for index in 2..=250 {
        let other = scheduler(index, &[1]);
        tell(&other, index, &mut one, 0);
    }
    let pause = one.interval();
    assert!(pause > Duration::from_secs(2));
    let team = super::team(1_000);
    let later = at(0) + pause * 2;
    assert!(one.charge(&team, 2_000, 0, later).is_ok());
    assert!(one.forget(later).is_empty());
}

/// The reports of one entry stay flat as the fleet grows.
#[test]
fn reports_a_second_stay_bounded() {
    let mut one = scheduler(1, &[]);
    for index in 2..200 {
        let other = scheduler(index, &[1]);
        tell(&other, index, &mut one, u64::from(index));
    }
    let reports = one.targets().len() as f64 / one.interval().as_secs_f64();
    assert!(reports < 130.0, "{reports} a second");
    assert!(one.interval() >= Duration::from_millis(40));
}
