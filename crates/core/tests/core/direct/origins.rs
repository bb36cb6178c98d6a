//! Where a stream began is known at every entry, although datagrams get lost, entries are killed,
//! and entries know different members.

mod exchange;
mod joining;
mod replication;

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhaven_core::direct::{
    EndpointRecord, LookupResult, LookupStep, OriginSource, StreamDigest, StreamOrigins, Ticket,
};

use super::{at, endpoint_record};
use exchange::{Exchange, origin, stream};

const SIZES: [usize; 4] = [1, 3, 30, 100];

/// Time in which all entries discover each other, in milliseconds.
const SETTLING_TIME: u64 = 2_000;

const STREAMS: u64 = 200;

const LIFETIME: Duration = Duration::from_secs(20);

/// Longest time after which a lookup has to end, in milliseconds.
const LOOKUP_LIMIT: u64 = 160;

/// An entry that had not begun a stream placed the rest of it anywhere.
#[test]
fn an_origin_is_known_at_every_entry() {
    for count in SIZES {
        let mut exchange = Exchange::new(count, 0.0);
        exchange.begin_all();
        assert_eq!(exchange.known(), STREAMS, "{count} entries");
    }
}

/// One lost datagram made an origin unknown.
#[test]
fn an_origin_is_known_although_datagrams_get_lost() {
    for count in SIZES {
        for (loss, least) in [(0.02, 199), (0.2, 190)] {
            let mut exchange = Exchange::new(count, loss);
            exchange.begin_all();
            let known = exchange.known();
            assert!(known >= least, "{count} entries, loss {loss}: {known}");
        }
    }
}

/// A kill of the entry that had begun a stream lost its origin.
#[test]
fn an_origin_is_known_after_a_kill_of_the_entry_that_began_it() {
    for count in [3, 30, 100] {
        let mut exchange = Exchange::new(count, 0.0);
        for number in 0..STREAMS {
            exchange.begin(0, number);
        }
        exchange.fleet.kill(0);
        assert_eq!(exchange.known(), STREAMS, "{count} entries");
        exchange.fleet.start(0, 1);
        exchange.fleet.run(SETTLING_TIME);
        assert_eq!(exchange.known(), STREAMS, "{count} entries, one restarted");
    }
}

/// Kills of a third of the entries, before the others notice, lost the origins that these held.
#[test]
fn most_origins_are_known_after_a_kill_of_a_third() {
    for count in [30, 100] {
        let mut exchange = Exchange::new(count, 0.02);
        exchange.begin_all();
        for index in (0..count).step_by(3) {
            exchange.fleet.kill(index);
        }
        let known = exchange.known();
        assert!(known * 20 >= STREAMS * 19, "{count} entries: {known}");
        exchange.fleet.run(SETTLING_TIME);
        let known = exchange.known();
        assert!(
            known * 20 >= STREAMS * 19,
            "{count} entries, later: {known}"
        );
    }
}

/// Entries that knew other members asked other entries than those that had been told.
#[test]
fn origins_are_known_at_entries_that_know_other_members() {
    for count in [30, 100] {
        let mut exchange = Exchange::new(count, 0.0);
        // The streams begin while two entries that the others still ask are down.
        exchange.fleet.kill(1);
        exchange.fleet.kill(2);
        exchange.fleet.run(1_900);
        for number in 0..STREAMS {
            exchange.begin(3 + number as usize % (count - 3), number);
        }
        exchange.fleet.start(1, 1);
        exchange.fleet.start(2, 1);
        exchange.fleet.run(SETTLING_TIME);
        assert_eq!(exchange.known(), STREAMS, "{count} entries");
    }
}

/// An entry that had just started took its few peers for all, and guessed.
#[test]
fn an_entry_that_is_cut_off_or_knows_no_member_yet_does_not_guess() {
    let mut exchange = Exchange::new(30, 0.0);
    exchange.fleet.add_endpoint("e", 4, Duration::ZERO);
    exchange.fleet.run(31_000);
    exchange.begin(0, 1);
    exchange.fleet.groups[5] = 1;
    let (result, took) = exchange.look_up(5, Some(stream(1)));
    assert_eq!(result, LookupResult::Unknown);
    assert!(took <= LOOKUP_LIMIT);
    exchange.fleet.kill(6);
    exchange.fleet.start(6, 1);
    exchange.fleet.run(500);
    let (result, _) = exchange.look_up(6, Some(stream(9)));
    let entry = exchange.fleet.entries[6]
        .as_ref()
        .expect("the entry is down");
    assert!(entry.endpoints().get("e").is_none());
    // Its peers have seen one build for long enough.
    let is_known = matches!(result, LookupResult::Known(_, OriginSource::OnlyBuild));
    assert!(is_known || result == LookupResult::Unknown);
}

/// A stream of unknown origin went on although another build could have begun it.
#[test]
fn an_unknown_stream_goes_on_only_if_no_other_build_can_have_begun_it() {
    let mut exchange = Exchange::new(3, 0.0);
    exchange.fleet.add_endpoint("e", 4, Duration::ZERO);
    let only = LookupResult::Known(origin(1), OriginSource::OnlyBuild);
    // Nobody can exclude yet that another build began a stream that has a name; its origin was told
    // and is lost. A request without its stream's name is served by what this entry knows.
    assert_eq!(
        exchange.look_up(0, Some(stream(1))).0,
        LookupResult::Unknown
    );
    assert_eq!(exchange.look_up(0, None).0, only);
    exchange.fleet.run(31_000);
    for key in [None, Some(stream(1))] {
        assert_eq!(exchange.look_up(0, key).0, only);
    }
    // One peer has seen another build, which has gone since.
    let record = EndpointRecord {
        build: "v2".into(),
        address: SocketAddr::from(([10, 1, 0, 2], 80)),
        ..endpoint_record("f", 4)
    };
    let now = at(exchange.fleet.now);
    let peer = exchange.fleet.entries[1]
        .as_mut()
        .expect("the entry is down");
    peer.upsert_endpoint(record, now);
    peer.mark_unlisted("f", now);
    peer.remove_expired(now);
    assert_eq!(
        exchange.look_up(0, Some(stream(1))).0,
        LookupResult::Unknown
    );
    for key in [None, Some(stream(1))] {
        assert_eq!(exchange.look_up(1, key).0, LookupResult::Unknown);
    }
}

/// An endpoint came back under its id with another build; what began there before and after its
/// return, while entries had the older record, could not be told apart.
#[test]
fn a_stream_whose_endpoint_returned_with_another_build_is_unknown() {
    let mut exchange = Exchange::new(3, 0.0);
    exchange.fleet.add_endpoint("e", 4, Duration::ZERO);
    let now = at(exchange.fleet.now);
    let entry = exchange.fleet.entries[0]
        .as_mut()
        .expect("the entry is down");
    let began = entry.origin_at(&endpoint_record("e", 4));
    let (message, holders) = entry.begin_stream(stream(1), began.clone(), LIFETIME, now);
    for holder in holders {
        exchange.deliver(0, holder, message.clone(), exchange.fleet.now);
    }
    let known = LookupResult::Known(began, OriginSource::Memory);
    assert_eq!(exchange.look_up(1, Some(stream(1))).0, known);
    let returned = EndpointRecord {
        build: "v2".into(),
        started_ms: 2,
        ..endpoint_record("e", 4)
    };
    for entry in exchange.fleet.entries.iter_mut().flatten() {
        entry.upsert_endpoint(returned.clone(), now);
        // What begins there now, begins at the new build, whatever record the request was placed by.
        assert_eq!(&*entry.origin_at(&endpoint_record("e", 4)).build, "v2");
    }
    for index in 0..3 {
        let found = exchange.look_up(index, Some(stream(1))).0;
        assert_eq!(found, LookupResult::Unknown);
    }
}

/// Two requests that took the same stream up shared one lookup, and ended together.
#[test]
fn lookups_of_one_stream_end_independently() {
    let mut exchange = Exchange::new(3, 0.0);
    exchange.begin(0, 1);
    let now = at(exchange.fleet.now);
    let entry = exchange.fleet.entries[1]
        .as_mut()
        .expect("the entry is down");
    for ticket in [Ticket(901), Ticket(902)] {
        entry.start_lookup(ticket, Some(stream(1)), &[], now);
    }
    entry.end_lookup(Ticket(901));
    let done = LookupResult::Known(origin(1), OriginSource::Memory);
    assert_eq!(entry.step_lookup(Ticket(902), now), LookupStep::Done(done));
}

/// Origins of streams that had ended filled the memory.
#[test]
fn origins_are_bounded_in_number_and_time() {
    let mut origins = StreamOrigins::default();
    for number in 0..60_000 {
        origins.record(StreamDigest(number), origin(number), LIFETIME, at(number));
    }
    assert!(origins.len() <= 50_000, "{}", origins.len());
    let newest = StreamDigest(59_999);
    assert_eq!(origins.get(newest, at(59_999)), Some(&origin(59_999)));
    assert_eq!(origins.get(newest, at(100_000)), None);
    origins.record(StreamDigest(1), origin(1), LIFETIME, at(100_000));
    assert_eq!(origins.len(), 1);
}
