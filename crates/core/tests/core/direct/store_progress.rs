//! Many entries with one store: a few entries read it, and all learn of its newest revision.

use std::time::Duration;

use comfreyhaven_core::direct::{EndpointRecord, Scheduler, Section};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{address, at, endpoint_record, plan, revision, scheduler};

/// Time between two steps of the simulation, in milliseconds.
const STEP: u64 = 10;

/// Entries that report to each other over a network that drops some datagrams, and a store that
/// counts its calls.
struct Fleet {
    entries: Vec<Scheduler>,
    /// Entries that do not run.
    stopped: Vec<bool>,
    /// Entries that receive no answers from the store.
    disconnected: Vec<bool>,
    reported_at: Vec<u64>,
    now: u64,
    /// Version of the configuration, which is also its revision.
    version: u64,
    /// Time at which the version changed.
    changed: u64,
    calls: usize,
    loss: f64,
    random: ChaCha8Rng,
}

impl Fleet {
    fn new(count: u8, loss: f64) -> Self {
        let seeds: Vec<u8> = (1..=count).collect();
        let count = usize::from(count);
        Self {
            entries: seeds
                .iter()
                .map(|index| scheduler(*index, &[1, 2]))
                .collect(),
            stopped: vec![false; count],
            disconnected: vec![false; count],
            reported_at: vec![0; count],
            now: 0,
            version: 10,
            changed: 0,
            calls: 0,
            loss,
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
        if !entry.read_delay(Section::Configuration, now).is_zero() {
            return;
        }
        self.calls += 1;
        entry
            .store_progress_mut()
            .record_read(Section::Configuration, now);
        if self.disconnected[index] {
            return;
        }
        entry.configure(plan(self.version), now);
        entry.store_progress_mut().record_answer(
            Section::Configuration,
            revision(self.version),
            now,
        );
        entry.confirm(self.version, now);
    }

    fn report(&mut self, from: usize) {
        let interval = self.entries[from].report_interval().as_millis() as u64;
        if self.now < self.reported_at[from] + interval {
            return;
        }
        self.reported_at[from] = self.now;
        let now = at(self.now);
        for (target, report) in self.entries[from].reports(now) {
            let to = (0..self.entries.len()).find(|to| address(*to as u8 + 1) == target);
            let dropped = self.random.random_bool(self.loss);
            let Some(to) = to.filter(|to| !self.stopped[*to] && !dropped) else {
                continue;
            };
            let effect = self.entries[to].apply_report(address(from as u8 + 1), report, now);
            if effect.newer {
                let held = self.entries[to].plan().version;
                let snapshot = self.entries[from].snapshot(held, revision(0), now);
                self.entries[to].apply_snapshot(snapshot, now, now);
            }
        }
        for index in 0..self.entries.len() {
            if !self.stopped[index] {
                self.entries[index].expire_peers(now);
            }
        }
    }

    /// Returns the greatest age of a running entry's confirmation.
    fn oldest_confirmation(&self) -> Duration {
        let now = at(self.now);
        let running = self
            .entries
            .iter()
            .zip(&self.stopped)
            .filter(|(_, stopped)| !**stopped);
        let ages = running.map(|(entry, _)| entry.confirmation().age(now).unwrap_or(Duration::MAX));
        ages.max().unwrap_or_default()
    }

    fn calls_per_second(&mut self, seconds: u64) -> f64 {
        let before = self.calls;
        self.run(seconds * 1_000);
        (self.calls - before) as f64 / seconds as f64
    }
}

#[test]
fn calls_to_the_store_do_not_grow_with_the_fleet() {
    for count in [3, 25, 60] {
        let mut fleet = Fleet::new(count, 0.02);
        fleet.run(4_000);
        let rate = fleet.calls_per_second(10);
        assert!(rate < 8.0, "{count} entries make {rate} calls per second");
        assert!(
            fleet.oldest_confirmation() < Duration::from_secs(2),
            "{count}: {:?}",
            fleet.oldest_confirmation()
        );
    }
}

/// Guards against a call for each change while all endpoints start: each watch returned at once, and
/// the two readers of a large fleet made 600 calls in 14 s.
#[test]
fn watches_that_return_at_once_do_not_follow_each_other_without_a_pause() {
    let mut entry = scheduler(1, &[]);
    entry.confirm(1, at(0));
    let mut watches = 0;
    for now in (0..2_000).step_by(10).map(at) {
        if entry.read_delay(Section::Endpoints, now).is_zero() {
            entry
                .store_progress_mut()
                .record_read(Section::Endpoints, now);
            entry.record_store_answer(Section::Endpoints, revision(20), now);
            watches += 1;
        }
    }
    assert!((4..=6).contains(&watches), "{watches} watches in 2 s");
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
fn stand_ins_read_the_store_when_readers_stop_or_lose_it() {
    for store_lost in [false, true] {
        let mut fleet = Fleet::new(25, 0.0);
        fleet.run(4_000);
        let delay = |entry: &Scheduler| entry.read_delay(Section::Configuration, at(4_000));
        // The readers have the shortest delays.
        let mut order: Vec<_> = (0..25).collect();
        order.sort_by_key(|index| delay(&fleet.entries[*index]));
        for index in &order[..2] {
            if store_lost {
                fleet.disconnected[*index] = true;
            } else {
                fleet.stopped[*index] = true;
            }
        }
        for _ in 0..60 {
            fleet.run(100);
            let oldest = fleet.oldest_confirmation();
            assert!(
                oldest < Duration::from_millis(2_500),
                "store lost: {store_lost}, oldest confirmation: {oldest:?}"
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
fn entries_without_peer_reports_read_the_store() {
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
fn an_unlisted_endpoint_expires_at_all_peers_at_the_same_time() {
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    for id in ["e1", "e2", "e3"] {
        one.upsert_endpoint(endpoint_record(id, 4), at(0));
        two.upsert_endpoint(endpoint_record(id, 4), at(0));
    }
    one.upsert_endpoint(endpoint_record("e4", 4), at(0));
    one.mark_unlisted("e1", at(900));
    one.record_store_answer(Section::Endpoints, revision(20), at(0));
    two.apply_snapshot(one.snapshot(0, revision(0), at(100)), at(100), at(100));
    assert_eq!(two.endpoints().ids().len(), 4);
    assert!(
        two.endpoints()
            .get("e1")
            .expect("still in the table")
            .is_unlisted()
    );
    assert_eq!(
        two.remove_expired(at(899)),
        Vec::<std::sync::Arc<str>>::new()
    );
    assert_eq!(two.remove_expired(at(900)), ["e1".into()]);
    // A snapshot without a newer revision changes nothing.
    one.mark_unlisted("e2", at(1_000));
    two.apply_snapshot(one.snapshot(0, revision(20), at(950)), at(950), at(950));
    assert!(!two.endpoints().get("e2").expect("listed").is_unlisted());
}

#[test]
fn a_snapshot_holds_recent_changes_and_all_ids() {
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    for id in ["e1", "e2", "e3"] {
        one.upsert_endpoint(endpoint_record(id, 4), at(0));
    }
    one.record_store_answer(Section::Endpoints, revision(20), at(0));
    assert_eq!(one.snapshot(0, revision(0), at(1)).endpoints.len(), 3);
    two.apply_snapshot(one.snapshot(0, revision(0), at(1)), at(1), at(1));
    assert!(one.snapshot(0, revision(20), at(1)).endpoints.is_empty());
    let leaving = EndpointRecord {
        leaving: true,
        sequence: 2,
        ..endpoint_record("e2", 4)
    };
    one.upsert_endpoint(leaving, at(10));
    one.upsert_endpoint(endpoint_record("e4", 4), at(10));
    one.mark_unlisted("e1", at(10));
    one.remove_expired(at(11));
    one.record_store_answer(Section::Endpoints, revision(23), at(11));
    let snapshot = one.snapshot(0, revision(20), at(12));
    assert_eq!(snapshot.endpoints.len(), 2);
    two.apply_snapshot(snapshot, at(12), at(12));
    two.remove_expired(at(12));
    let names: Vec<_> = two
        .endpoints()
        .ids()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(names, ["e2", "e3", "e4"]);
    assert!(!two.endpoints().get("e2").expect("known").is_usable(at(12)));
    // Changes fetched from a peer are included in later snapshots.
    assert_eq!(two.snapshot(0, revision(20), at(13)).endpoints.len(), 2);
    assert!(two.snapshot(0, revision(23), at(13)).endpoints.is_empty());
}

#[test]
fn an_answer_older_than_a_peers_snapshot_is_covered() {
    let mut entry = scheduler(1, &[2]);
    let progress = entry.store_progress_mut();
    progress.record_answer(Section::Endpoints, revision(20), at(0));
    assert!(progress.adopt(Section::Endpoints, revision(26)));
    assert!(!progress.adopt(Section::Endpoints, revision(24)));
    assert!(progress.covers(Section::Endpoints, false, revision(23), revision(24)));
    assert!(!progress.covers(Section::Endpoints, false, revision(28), revision(28)));
    // A complete answer may reflect removals although its newest record is old.
    assert!(!progress.covers(Section::Endpoints, true, revision(20), revision(27)));
    assert!(progress.covers(Section::Endpoints, true, revision(20), revision(25)));
}

/// A peer's confirmation counts from the time of the entry's own report. In a large fleet, or where
/// the answers to an entry's reports are lost, the entry knows that nothing is newer, but not how
/// old that knowledge is.
#[test]
fn an_entry_with_an_old_confirmation_reads_the_store_despite_reports() {
    let mut fleet = Fleet::new(4, 0.0);
    fleet.run(3_000);
    let read_delay = |entry: &Scheduler, now| entry.read_delay(Section::Configuration, at(now));
    let last = (0..4).max_by_key(|index| read_delay(&fleet.entries[*index], 3_000));
    let last = last.expect("there is an entry");
    for now in (3_000..5_500).step_by(50) {
        for peer in (0..4).filter(|peer| *peer != last) {
            let mut report = fleet.entries[peer].report(at(now));
            report.sections[0].age = Some(0);
            fleet.entries[last].apply_report(address(peer as u8 + 1), report, at(now));
        }
        let old = fleet.entries[last].confirmation().age(at(now)) > Some(Duration::from_secs(2));
        assert_eq!(
            read_delay(&fleet.entries[last], now).is_zero(),
            old,
            "at {now} ms"
        );
    }
}
