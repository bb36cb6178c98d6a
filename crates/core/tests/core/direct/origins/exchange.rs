//! Exchanges the origins of a fleet's streams through a network that drops datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{
    EndpointRecord, LookupResult, LookupStep, Origin, OriginMessage, Section, StreamDigest, Ticket,
    digest,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::fleet_network::{FleetNetwork, entry_address};
use super::super::{SERVICE, at};
use super::{LIFETIME, LOOKUP_LIMIT, SETTLING_TIME, STREAMS};

/// Interval at which entries replicate origins, in milliseconds.
const REPLICATION_STEP: u64 = 20;

/// Origins of a fleet's streams, exchanged through a network that drops datagrams.
pub struct Exchange {
    pub fleet: FleetNetwork,
    pub loss: f64,
    /// Time from a stream's begin to its deadline.
    pub lifetime: Duration,
    random: ChaCha8Rng,
    tickets: u64,
    /// Endpoints that only a read of the store shows.
    pub store_lists: Vec<EndpointRecord>,
    /// Messages by which origins were replicated.
    pub replicated: usize,
}

fn millis(time: Timestamp) -> u64 {
    (time.as_micros() - at(0).as_micros()) / 1_000
}

pub fn origin(number: u64) -> Origin {
    Origin {
        service: SERVICE.into(),
        build: format!("v{}", number % 3).into(),
        endpoint: None,
    }
}

pub fn stream(number: u64) -> StreamDigest {
    StreamDigest(digest(&number))
}

impl Exchange {
    pub fn new(count: usize, loss: f64) -> Self {
        let mut fleet = FleetNetwork::new(count);
        fleet.run(SETTLING_TIME);
        Self {
            fleet,
            loss,
            lifetime: LIFETIME,
            random: ChaCha8Rng::seed_from_u64(11),
            tickets: 0,
            store_lists: Vec::new(),
            replicated: 0,
        }
    }

    /// Delivers a datagram, unless it is lost or nobody receives it. Returns the answer.
    pub fn deliver(
        &mut self,
        from: usize,
        to: SocketAddr,
        message: OriginMessage,
        now: u64,
    ) -> Option<OriginMessage> {
        let index = (0..self.fleet.len()).find(|index| entry_address(*index) == to)?;
        let is_cut = self.fleet.groups[index] != self.fleet.groups[from];
        if is_cut || self.random.random_bool(self.loss) {
            return None;
        }
        let recipient = self.fleet.entries[index].as_mut()?;
        recipient.apply_origin_message(entry_address(from), message, at(now))
    }

    pub fn begin(&mut self, index: usize, number: u64) {
        let now = self.fleet.now;
        let entry = self.fleet.entries[index]
            .as_mut()
            .expect("the entry is down");
        let (message, holders) =
            entry.begin_stream(stream(number), origin(number), self.lifetime, at(now));
        for holder in holders {
            self.deliver(index, holder, message.clone(), now);
        }
    }

    /// Begins all streams, each at another entry in turn.
    pub fn begin_all(&mut self) {
        for number in 0..STREAMS {
            self.begin(number as usize % self.fleet.len(), number);
        }
    }

    /// Runs for `millis`. Entries tell origins to holders that lack them meanwhile.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / REPLICATION_STEP {
            self.fleet.run(REPLICATION_STEP);
            let running: Vec<_> = self.fleet.running().map(|(index, _)| index).collect();
            for index in running {
                self.replicate(index);
            }
        }
    }

    fn replicate(&mut self, index: usize) {
        let now = self.fleet.now;
        let entry = self.fleet.entries[index].as_mut();
        let messages = entry.map_or_else(Vec::new, |entry| entry.replicate_origins(at(now)));
        self.replicated += messages.len();
        for (to, message) in messages {
            let answer = self.deliver(index, to, message, now);
            let from = (0..self.fleet.len()).find(|i| entry_address(*i) == to);
            if let (Some(answer), Some(from)) = (answer, from) {
                self.deliver(from, entry_address(index), answer, now);
            }
        }
    }

    /// Looks an origin up at an entry, and returns the result and the milliseconds it took.
    pub fn look_up(&mut self, index: usize, key: Option<StreamDigest>) -> (LookupResult, u64) {
        self.tickets += 1;
        let (ticket, started) = (Ticket(self.tickets), self.fleet.now);
        let services = [Arc::from(SERVICE)];
        let mut now = started;
        let entry = self.fleet.entries[index]
            .as_mut()
            .expect("the entry is down");
        entry.start_lookup(ticket, key, &services, at(now));
        loop {
            let entry = self.fleet.entries[index]
                .as_mut()
                .expect("the entry is down");
            match entry.step_lookup(ticket, at(now)) {
                LookupStep::Done(result) => {
                    entry.end_lookup(ticket);
                    return (result, now - started);
                }
                LookupStep::Confirm { until } => {
                    now = if self.fleet.store_up {
                        self.read_store(index, now);
                        now + 1
                    } else {
                        millis(until)
                    };
                }
                LookupStep::Ask {
                    peers,
                    query,
                    until,
                } => {
                    let mut progress = false;
                    for peer in peers {
                        let answer = self.deliver(index, peer, query.clone(), now + 1);
                        let Some(answer) = answer else { continue };
                        progress = true;
                        let from = (0..self.fleet.len()).find(|i| entry_address(*i) == peer);
                        let own = entry_address(index);
                        self.deliver(from.expect("unknown peer"), own, answer, now + 2);
                    }
                    now = if progress {
                        now + 2
                    } else {
                        now.max(millis(until))
                    };
                }
            }
        }
    }

    /// Reads the endpoints at an entry.
    fn read_store(&mut self, index: usize, now: u64) {
        let entry = self.fleet.entries[index].as_mut();
        let entry = entry.expect("the entry is down");
        for record in &self.store_lists {
            entry.upsert_endpoint(record.clone(), at(now));
        }
        let revision = entry.store_progress().revision(Section::Endpoints);
        entry.record_store_answer(Section::Endpoints, revision, at(now));
    }

    /// Looks all origins up at random running entries. Returns how many were known. None may be
    /// wrong, and each lookup has to end in time.
    pub fn known(&mut self) -> u64 {
        let mut known = 0;
        for number in 0..STREAMS {
            let running: Vec<_> = self.fleet.running().map(|(index, _)| index).collect();
            let index = running[self.random.random_range(0..running.len())];
            let (result, took) = self.look_up(index, Some(stream(number)));
            assert!(took <= LOOKUP_LIMIT, "the lookup took {took} ms");
            if let LookupResult::Known(found, _) = result {
                assert_eq!(found, origin(number), "stream {number}");
                known += 1;
            }
        }
        known
    }
}
