//! Endpoints whose records are removed without notice, in fleets that learn of it late. An endpoint
//! serves for its drain time after the removal, however late an entry learns of that.

use std::time::Duration;

use super::fleet_network::FleetNetwork;
use super::{at, bounds, endpoint_record};

const SIZES: [usize; 3] = [3, 30, 100];

/// Time in which a fleet is in order after its start, in milliseconds.
const SETTLING_TIME: u64 = 2_500;

/// Time for which the entries are observed after the removal, in milliseconds.
const OBSERVED_TIME: u64 = 6_000;

/// Starts a fleet that knows two endpoints.
fn fleet_with_endpoints(count: usize) -> FleetNetwork {
    let mut fleet = FleetNetwork::new(count);
    fleet.list(vec![
        endpoint_record("stays", 4),
        endpoint_record("leaves", 4),
    ]);
    fleet.run(SETTLING_TIME);
    assert!(
        fleet
            .running()
            .all(|(_, entry)| entry.endpoints().get("leaves").is_some())
    );
    fleet
}

/// Removes the record of one endpoint.
fn remove_record(fleet: &mut FleetNetwork) {
    fleet.list(vec![endpoint_record("stays", 4)]);
}

/// Checks that none of the entries that `is_bound` accepts uses the endpoint longer than it serves,
/// which began `ago` milliseconds before, and that all of them keep the other one.
fn check_drain(fleet: &mut FleetNetwork, ago: u64, is_bound: impl Fn(usize) -> bool) {
    let last = fleet.now - ago + bounds().drain.as_millis() as u64;
    let count = fleet.len();
    fleet.run_with(OBSERVED_TIME, |fleet| {
        let now = at(fleet.now);
        for (index, entry) in fleet.running().filter(|(index, _)| is_bound(*index)) {
            let is_usable = |id: &str| {
                let state = entry.endpoints().get(id);
                state.is_some_and(|state| state.is_usable(now))
            };
            assert!(is_usable("stays"), "{count} entries");
            assert!(
                fleet.now <= last || !is_usable("leaves"),
                "entry {index} of {count} uses the endpoint {} ms too long",
                fleet.now - last
            );
        }
    });
}

#[test]
fn no_request_reaches_an_unlisted_endpoint_after_its_drain_time_when_the_readers_are_killed() {
    for count in SIZES {
        let mut fleet = fleet_with_endpoints(count);
        let readers = fleet.watchers();
        assert_eq!(readers.len(), 2, "{count} entries");
        readers.into_iter().for_each(|reader| fleet.kill(reader));
        remove_record(&mut fleet);
        check_drain(&mut fleet, 0, |_| true);
    }
}

#[test]
fn no_request_reaches_an_unlisted_endpoint_after_its_drain_time_when_messages_are_late() {
    for count in SIZES {
        let mut fleet = fleet_with_endpoints(count);
        fleet.delay = Duration::from_millis(250);
        fleet.run(1_000);
        remove_record(&mut fleet);
        check_drain(&mut fleet, 0, |_| true);
    }
}

#[test]
fn no_request_reaches_an_unlisted_endpoint_after_its_drain_time_when_the_store_is_slow() {
    for count in SIZES {
        let mut fleet = fleet_with_endpoints(count);
        fleet.store_delay = Duration::from_millis(900);
        fleet.run(1_000);
        remove_record(&mut fleet);
        check_drain(&mut fleet, 0, |_| true);
    }
}

/// An entry that alone has lost the store finds on its return that the record is missing. Endpoints
/// that the store serves renew their records meanwhile, so the others learn nothing new of it.
#[test]
fn an_entry_that_has_lost_the_store_alone_does_not_prolong_the_use_of_an_unlisted_endpoint() {
    for count in SIZES {
        let mut fleet = fleet_with_endpoints(count);
        let lost = fleet.watchers()[0];
        fleet.groups[lost] = 1;
        fleet.without_store = Some(1);
        fleet.run(3_000);
        remove_record(&mut fleet);
        fleet.run(1_000);
        fleet.without_store = None;
        fleet.groups[lost] = 0;
        check_drain(&mut fleet, 1_000, |index| index != lost);
    }
}

/// While the store is unavailable for all, records of running endpoints expire; they are written
/// again after its return.
#[test]
fn endpoints_stay_usable_after_an_outage_until_their_records_are_written_again() {
    for count in SIZES {
        let mut fleet = fleet_with_endpoints(count);
        fleet.store_up = false;
        fleet.run(5_000);
        remove_record(&mut fleet);
        fleet.store_up = true;
        fleet.run_with(1_500, |fleet| {
            let now = at(fleet.now);
            for (index, entry) in fleet.running() {
                let state = entry.endpoints().get("leaves");
                assert!(
                    state.is_some_and(|state| state.is_usable(now)),
                    "entry {index} of {count} at {}",
                    fleet.now
                );
            }
        });
        let both = vec![endpoint_record("stays", 4), endpoint_record("leaves", 4)];
        fleet.list(both);
        fleet.run(3_000);
        assert!(
            fleet
                .running()
                .all(|(_, entry)| entry.endpoints().get("leaves").is_some())
        );
    }
}
