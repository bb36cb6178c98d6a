//! Many entries and one store: few of them read it, and all know what is newest.

use std::time::Duration;

use comfreyhaven_core::direct::{Listing, Scheduler, Section};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{address, at, listing, plan, scheduler};

/// Time between two steps of the world, in milliseconds.
const STEP: u64 = 10;

/// A store that counts its calls, and entries that report to each other over a network that loses
/// some datagrams.
struct Fleet {
    entries: Vec<Scheduler>,
    /// Entries that do nothing.
    stopped: Vec<bool>,
    /// Entries that the store does not answer.
    refused: Vec<bool>,
    told: Vec<u64>,
    now: u64,
    /// The configuration's version, which is its revision too.
    version: u64,
    /// When that came.
    changed: u64,
    calls: usize,
    lost: f64,
    random: ChaCha8Rng,
}

impl Fleet {
    fn new(count: u8, lost: f64) -> Self {
        let seeds: Vec<u8> = (1..=count).collect();
        let count = usize::from(count);
        Self {
            entries: seeds
                .iter()
                .map(|index| scheduler(*index, &[1, 2]))
                .collect(),
            stopped: vec![false; count],
            refused: vec![false; count],
            told: vec![0; count],
            now: 0,
            version: 10,
            changed: 0,
            calls: 0,
            lost,
            random: ChaCha8Rng::seed_from_u64(11),
        }
    }

    fn publish(&mut self) {
        self.version += 3;
        self.changed = self.now;
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.entries.len() {
                if !self.stopped[index] {
                    self.read(index);
                    self.report(index);
                }
            }
        }
    }

    fn read(&mut self, index: usize) {
        let now = at(self.now);
        let entry = &mut self.entries[index];
        if !entry.rest(Section::Configuration, now).is_zero() {
            return;
        }
        self.calls += 1;
        entry.readings_mut().ask(Section::Configuration, now);
        if self.refused[index] {
            return;
        }
        entry.configure(plan(self.version), now);
        entry
            .readings_mut()
            .note(Section::Configuration, self.version, now);
        entry.confirm(self.version, now);
    }

    fn report(&mut self, from: usize) {
        let pause = self.entries[from].interval().as_millis() as u64;
        if self.now < self.told[from] + pause {
            return;
        }
        self.told[from] = self.now;
        let now = at(self.now);
        let report = self.entries[from].report(now);
        for to in 0..self.entries.len() {
            let lost = self.random.random_bool(self.lost);
            if to == from || self.stopped[to] || lost {
                continue;
            }
            let target = address(to as u8 + 1);
            let report = self.entries[from].addressed(&report, target);
            let heard = self.entries[to].hear(address(from as u8 + 1), report, now);
            if heard.newer {
                let held = self.entries[to].plan().version;
                let snapshot = self.entries[from].snapshot(held, 0, now);
                self.entries[to].take(snapshot, now);
            }
        }
    }

    /// The longest time for which a running entry has not known what is in force.
    fn oldest(&self) -> Duration {
        let now = at(self.now);
        let running = self
            .entries
            .iter()
            .zip(&self.stopped)
            .filter(|(_, stopped)| !**stopped);
        let ages = running.map(|(entry, _)| entry.currency().age(now).unwrap_or(Duration::MAX));
        ages.max().unwrap_or_default()
    }

    fn calls_a_second(&mut self, seconds: u64) -> f64 {
        let before = self.calls;
        self.run(seconds * 1_000);
        (self.calls - before) as f64 / seconds as f64
    }
}

#[test]
fn calls_to_the_store_do_not_grow_with_the_entries() {
    for count in [3, 25, 60] {
        let mut fleet = Fleet::new(count, 0.02);
        fleet.run(4_000);
        let rate = fleet.calls_a_second(10);
        assert!(rate < 8.0, "{count} entries make {rate} calls a second");
        assert!(
            fleet.oldest() < Duration::from_secs(2),
            "{count}: {:?}",
            fleet.oldest()
        );
    }
}

#[test]
fn a_new_configuration_reaches_every_entry_soon() {
    let mut fleet = Fleet::new(25, 0.1);
    fleet.run(4_000);
    for _ in 0..10 {
        fleet.publish();
        fleet.run(1_500);
        let versions: Vec<_> = fleet
            .entries
            .iter()
            .map(|entry| entry.plan().version)
            .collect();
        assert!(
            versions.iter().all(|version| *version == fleet.version),
            "{versions:?}"
        );
        fleet.run(700);
    }
}

#[test]
fn others_read_the_store_when_the_readers_stop_or_lose_it() {
    for losing in [false, true] {
        let mut fleet = Fleet::new(25, 0.0);
        fleet.run(4_000);
        let ranks = |entry: &Scheduler| entry.rest(Section::Configuration, at(4_000));
        // The readers are the entries that wait least.
        let mut order: Vec<_> = (0..25).collect();
        order.sort_by_key(|index| ranks(&fleet.entries[*index]));
        for index in &order[..2] {
            if losing {
                fleet.refused[*index] = true;
            } else {
                fleet.stopped[*index] = true;
            }
        }
        for _ in 0..60 {
            fleet.run(100);
            let oldest = fleet.oldest();
            assert!(
                oldest < Duration::from_millis(2_500),
                "losing {losing}: {oldest:?}"
            );
        }
        fleet.publish();
        fleet.run(3_000);
        let running = fleet
            .entries
            .iter()
            .zip(&fleet.stopped)
            .filter(|(_, stopped)| !**stopped);
        for (entry, _) in running {
            assert_eq!(entry.plan().version, fleet.version);
        }
    }
}

#[test]
fn entries_that_hear_nobody_read_the_store_themselves() {
    let mut fleet = Fleet::new(6, 1.0);
    fleet.run(5_000);
    fleet.publish();
    fleet.run(600);
    assert!(
        fleet
            .entries
            .iter()
            .all(|entry| entry.plan().version == fleet.version)
    );
}

#[test]
fn an_endpoint_that_lapses_at_a_peer_lapses_here_at_the_same_time() {
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    for id in ["e1", "e2", "e3"] {
        one.list(listing(id, 4), at(0));
        two.list(listing(id, 4), at(0));
    }
    one.list(listing("e4", 4), at(0));
    one.lapse("e1", at(900));
    one.note_reading(Section::Endpoints, 20, at(0));
    two.take(one.snapshot(0, 0, at(100)), at(100));
    assert_eq!(two.book().ids().len(), 4);
    assert!(two.book().get("e1").expect("still used").is_lapsed());
    assert_eq!(two.drop_lapsed(at(899)), Vec::<std::sync::Arc<str>>::new());
    assert_eq!(two.drop_lapsed(at(900)), ["e1".into()]);
    // What a peer says that knows no more changes nothing.
    one.lapse("e2", at(1_000));
    two.take(one.snapshot(0, 20, at(950)), at(950));
    assert!(!two.book().get("e2").expect("listed").is_lapsed());
}

#[test]
fn a_snapshot_holds_what_changed_since_and_names_what_is_left() {
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    for id in ["e1", "e2", "e3"] {
        one.list(listing(id, 4), at(0));
    }
    one.note_reading(Section::Endpoints, 20, at(0));
    assert_eq!(one.snapshot(0, 0, at(1)).endpoints.len(), 3);
    two.take(one.snapshot(0, 0, at(1)), at(1));
    assert!(one.snapshot(0, 20, at(1)).endpoints.is_empty());
    let leaving = Listing {
        leaving: true,
        sequence: 2,
        ..listing("e2", 4)
    };
    one.list(leaving, at(10));
    one.list(listing("e4", 4), at(10));
    one.lapse("e1", at(10));
    one.drop_lapsed(at(11));
    one.note_reading(Section::Endpoints, 23, at(11));
    let snapshot = one.snapshot(0, 20, at(12));
    assert_eq!(snapshot.endpoints.len(), 2);
    two.take(snapshot, at(12));
    two.drop_lapsed(at(12));
    let names: Vec<_> = two.book().ids().iter().map(ToString::to_string).collect();
    assert_eq!(names, ["e2", "e3", "e4"]);
    assert!(!two.book().get("e2").expect("known").is_usable(at(12)));
    // What it took it can pass on.
    assert_eq!(two.snapshot(0, 20, at(13)).endpoints.len(), 2);
    assert!(two.snapshot(0, 23, at(13)).endpoints.is_empty());
}

#[test]
fn an_answer_of_the_store_that_a_peer_overtook_is_passed_over() {
    let mut entry = scheduler(1, &[2]);
    let readings = entry.readings_mut();
    readings.note(Section::Endpoints, 20, at(0));
    assert!(readings.adopt(Section::Endpoints, 26));
    assert!(!readings.adopt(Section::Endpoints, 24));
    assert!(readings.covers(Section::Endpoints, false, 23, 24));
    assert!(!readings.covers(Section::Endpoints, false, 28, 28));
    // A whole reading may tell of removals although its newest item is old.
    assert!(!readings.covers(Section::Endpoints, true, 20, 27));
    assert!(readings.covers(Section::Endpoints, true, 20, 25));
}

/// What a peer says counts from when it was asked: in a large fleet, or where answers to an entry's own
/// reports are lost, it knows that nothing is newer and not how current that is.
#[test]
fn an_entry_whose_confirmation_is_old_reads_the_store_whatever_peers_say() {
    let mut fleet = Fleet::new(4, 0.0);
    fleet.run(3_000);
    let rest = |entry: &Scheduler, now| entry.rest(Section::Configuration, at(now));
    let last = (0..4).max_by_key(|index| rest(&fleet.entries[*index], 3_000));
    let last = last.expect("an entry");
    for now in (3_000..5_500).step_by(50) {
        for peer in (0..4).filter(|peer| *peer != last) {
            let mut report = fleet.entries[peer].report(at(now));
            report.readings[0].age = Some(0);
            fleet.entries[last].hear(address(peer as u8 + 1), report, at(now));
        }
        let old = fleet.entries[last].currency().age(at(now)) > Some(Duration::from_secs(2));
        assert_eq!(rest(&fleet.entries[last], now).is_zero(), old, "at {now}");
    }
}
