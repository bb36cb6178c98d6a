//! Endpoints of another build join while some entry does not learn of it.

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhaven_core::direct::{EndpointRecord, LookupResult, OriginSource};

use super::super::fleet_network::FleetNetwork;
use super::super::{at, endpoint_record};
use super::exchange::{Exchange, origin, stream};
use super::{LIFETIME, SETTLING_TIME};

/// Time after which an entry may say that it has seen one build only, in milliseconds.
const HISTORY: u64 = 31_000;

fn newer() -> EndpointRecord {
    EndpointRecord {
        build: "v2".into(),
        address: SocketAddr::from(([10, 1, 0, 2], 80)),
        ..endpoint_record("f", 4)
    }
}

/// Returns a fleet that has seen one build for long.
fn settled(count: usize) -> Exchange {
    let mut exchange = Exchange::new(count, 0.0);
    exchange.fleet.add_endpoint("e", 4, Duration::ZERO);
    exchange.run(HISTORY);
    exchange
}

fn list_at(fleet: &mut FleetNetwork, index: usize) {
    let now = at(fleet.now);
    let entry = fleet.entries[index].as_mut();
    entry
        .expect("the entry is down")
        .upsert_endpoint(newer(), now);
}

/// Lists the newer build, and begins a stream there, at the first entry.
fn begin_at_newer(exchange: &mut Exchange) {
    exchange.store_lists = vec![newer()];
    list_at(&mut exchange.fleet, 0);
    let now = at(exchange.fleet.now);
    let entry = exchange.fleet.entries[0]
        .as_mut()
        .expect("the entry is down");
    let began = entry.origin_at(&newer());
    assert_eq!(&*began.build, "v2");
    let (message, holders) = entry.begin_stream(stream(1), began, LIFETIME, now);
    for holder in holders {
        exchange.deliver(0, holder, message.clone(), exchange.fleet.now);
    }
}

/// An entry of the larger side of a cut, where nobody knew that another build had joined, let a stream
/// of it go on at the older one.
#[test]
fn a_stream_of_a_joining_build_does_not_go_on_at_another_beyond_a_cut() {
    for key in [Some(stream(1)), None] {
        for store_up in [true, false] {
            let mut exchange = settled(7);
            exchange.fleet.groups[..3].fill(1);
            exchange.fleet.store_up = store_up;
            begin_at_newer(&mut exchange);
            for index in 3..7 {
                let found = exchange.look_up(index, key).0;
                assert_eq!(found, LookupResult::Unknown, "store up: {store_up}");
            }
        }
    }
}

/// The same at an entry that stood still until it had forgotten all others.
#[test]
fn an_entry_that_stood_still_does_not_guess_by_its_old_view() {
    for store_up in [true, false] {
        let mut exchange = settled(3);
        exchange.fleet.groups[2] = 1;
        exchange.run(30_000);
        exchange.fleet.store_up = store_up;
        begin_at_newer(&mut exchange);
        for key in [Some(stream(1)), None] {
            assert_eq!(exchange.look_up(2, key).0, LookupResult::Unknown);
        }
    }
}

/// Guards against refusing streams of a fleet with one build, since nobody knows where they began.
#[test]
fn a_stream_of_the_only_build_goes_on_once_the_store_confirms_that() {
    let mut exchange = settled(3);
    exchange.run(SETTLING_TIME);
    let only = LookupResult::Known(origin(1), OriginSource::OnlyBuild);
    for key in [Some(stream(1)), None] {
        exchange.fleet.store_up = true;
        assert_eq!(exchange.look_up(0, key).0, only);
        exchange.run(100);
        exchange.fleet.store_up = false;
        assert_eq!(exchange.look_up(0, key).0, LookupResult::Unknown);
    }
}
