//! The origins of streams: which entries keep them, and how they are found.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::{Scheduler, Ticket};
use crate::direct::build_history::SeenBuilds;
use crate::direct::origin_lookup::{
    ASKED, HOLDERS, LookupResult, LookupStep, OriginLookup, OriginMessage, OriginSource, OwnView,
};
use crate::direct::plan::EndpointRecord;
use crate::direct::rendezvous::first_for;
use crate::direct::store_progress::Section;
use crate::direct::stream_origins::{Evidence, Origin, StreamDigest};
use crate::time::{Timestamp, whole_millis};

/// Most endpoints that a restarted entry asks for their runs; in a large fleet others ask the rest.
const SURVEYED_MAX: usize = 64;

/// Time for which the caller of a run that an endpoint lists may take its stream up.
const RUN_LIFETIME: Duration = Duration::from_secs(30);

impl Scheduler {
    /// Records where a stream began. Returns the message that tells its holders, and the holders.
    /// They are to be told before the caller receives the first event.
    pub fn begin_stream(
        &mut self,
        stream: StreamDigest,
        origin: Origin,
        lifetime: Duration,
        now: Timestamp,
    ) -> (OriginMessage, Vec<SocketAddr>) {
        let holders = self.record_origin(stream, origin.clone(), lifetime, now);
        let lifetime = whole_millis(lifetime);
        let message = OriginMessage::Began {
            stream,
            origin,
            lifetime,
        };
        (message, holders)
    }

    /// Starts a lookup of the origin of a stream. `services` are those at which it may have begun,
    /// the one first that a stream of unknown service goes on at.
    /// A request may not name its stream. The lookup is ended by [`Scheduler::end_lookup`].
    pub fn start_lookup(
        &mut self,
        ticket: Ticket,
        stream: Option<StreamDigest>,
        services: &[Arc<str>],
        now: Timestamp,
    ) {
        let Some(stream) = stream else {
            let lookup = OriginLookup::unnamed(services, now);
            self.lookups.insert(ticket, lookup);
            return;
        };
        let peers = first_for(stream.0, self.members.addresses().into_iter(), ASKED);
        let mut lookup = OriginLookup::new(stream, services, peers, now);
        if let Some((origin, evidence)) = self.origins.find(stream, now) {
            let source = match evidence {
                Evidence::Listed => OriginSource::Endpoint,
                Evidence::Received | Evidence::Contested => OriginSource::Memory,
            };
            lookup.find(origin.clone(), source);
        }
        self.lookups.insert(ticket, lookup);
    }

    /// Returns what a lookup does next.
    pub fn step_lookup(&mut self, ticket: Ticket, now: Timestamp) -> LookupStep {
        let Some(mut lookup) = self.lookups.remove(&ticket) else {
            return LookupStep::Done(LookupResult::Unknown);
        };
        let own = self.own_view(&lookup, now);
        let step = lookup.step(&own, now);
        self.lookups.insert(ticket, lookup);
        match step {
            LookupStep::Done(LookupResult::Known(origin, _)) if !self.is_certain(&origin) => {
                LookupStep::Done(LookupResult::Unknown)
            }
            step => step,
        }
    }

    /// Returns what this entry knows of the builds that may have begun the stream of a lookup.
    fn own_view(&self, lookup: &OriginLookup, now: Timestamp) -> OwnView {
        let seen = match &lookup.services[..] {
            [service] => self.seen_builds(service, now),
            services if !lookup.named => self.seen_builds_of_all(services, now),
            _ => SeenBuilds::None,
        };
        OwnView {
            seen,
            confirmed: self.store_progress.confirmed(Section::Endpoints),
        }
    }

    /// Returns whether the endpoint that began a stream has not come back under its id with another
    /// build. If it has, the stream may have begun at either build, since entries learn of that
    /// late.
    #[must_use]
    pub fn is_certain(&self, origin: &Origin) -> bool {
        let endpoint = origin.endpoint.as_ref();
        let state = endpoint.and_then(|id| self.endpoints.get(id));
        state.is_none_or(|state| state.record().build == origin.build)
    }

    /// Returns where a stream begins whose first event has arrived from the endpoint with this
    /// record. An endpoint that still answers is the one listed last under its id.
    #[must_use]
    pub fn origin_at(&self, record: &EndpointRecord) -> Origin {
        let listed = self.endpoints.get(&record.id);
        let record = listed.map_or(record, |state| state.record());
        Origin {
            service: Arc::clone(&record.service),
            build: Arc::clone(&record.build),
            endpoint: Some(Arc::clone(&record.id)),
        }
    }

    /// Returns the endpoints that this entry asks after a restart which requests they run. Their runs
    /// are what is left of the streams that were under way when all entries were killed.
    ///
    /// Returns `None` while the configuration or the endpoints are not known.
    pub fn surveyed_endpoints(&mut self, now: Timestamp) -> Option<Vec<EndpointRecord>> {
        if !self.is_restarted() {
            return Some(Vec::new());
        }
        if self.plan.version == 0 || self.endpoints.is_empty() {
            return None;
        }
        let resumable = self.plan.resumable_services();
        let states = resumable
            .iter()
            .flat_map(|name| self.endpoints.of_service(name));
        let able = states.filter(|s| !s.record().leaving && !s.is_unlisted() && !s.is_cold(now));
        let mut records: Vec<_> = able.map(|state| state.record().clone()).collect();
        records.shuffle(&mut self.random);
        records.truncate(SURVEYED_MAX);
        Some(records)
    }

    /// Records that the endpoint with this record lists a run of each of these streams, and that each
    /// has brought an event.
    pub fn record_runs(
        &mut self,
        record: &EndpointRecord,
        streams: &[StreamDigest],
        now: Timestamp,
    ) {
        let origin = self.origin_at(record);
        for stream in streams {
            self.origins
                .record_listed(*stream, origin.clone(), RUN_LIFETIME, now);
        }
    }

    /// Ends a lookup.
    pub fn end_lookup(&mut self, ticket: Ticket) {
        self.lookups.remove(&ticket);
    }

    /// Applies a message of a peer about an origin. Returns the answer to a query.
    pub fn apply_origin_message(
        &mut self,
        from: SocketAddr,
        message: OriginMessage,
        now: Timestamp,
    ) -> Option<OriginMessage> {
        match message {
            OriginMessage::Began {
                stream,
                origin,
                lifetime,
            } => {
                let lifetime = Duration::from_millis(lifetime.into());
                self.keep_origin(from, stream, origin, lifetime, now);
                None
            }
            OriginMessage::Query { stream, service } => {
                Some(self.answer_query(stream, service.as_deref(), now))
            }
            OriginMessage::Known {
                stream,
                origin,
                lifetime,
            } => {
                for lookup in self.lookups.values_mut().filter(|l| l.stream == stream) {
                    lookup.find(origin.clone(), OriginSource::Peer);
                }
                let lifetime = Duration::from_millis(lifetime.into());
                self.keep_origin(from, stream, origin, lifetime, now);
                None
            }
            OriginMessage::Unknown { stream, seen } => {
                for lookup in self.lookups.values_mut().filter(|l| l.stream == stream) {
                    lookup.record_unknown(from, seen.clone());
                }
                None
            }
        }
    }

    /// Records an origin that its holders are told now, by this entry or another one. Returns the holders.
    fn record_origin(
        &mut self,
        stream: StreamDigest,
        origin: Origin,
        lifetime: Duration,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        self.origins.record(stream, origin, lifetime, now);
        let holders = self.members.live(now).first(stream.0, HOLDERS);
        let processes = holders.iter().map(|holder| holder.process());
        self.origins.add_holders(stream, processes);
        holders.iter().map(|holder| holder.address).collect()
    }

    /// Keeps an origin that `from` keeps too.
    fn keep_origin(
        &mut self,
        from: SocketAddr,
        stream: StreamDigest,
        origin: Origin,
        lifetime: Duration,
        now: Timestamp,
    ) {
        if self.origins.find(stream, now).is_none() {
            self.record_origin(stream, origin, lifetime, now);
        } else {
            self.origins.record(stream, origin, lifetime, now);
        }
        let process = self.members.process_at(from);
        self.origins.add_holders(stream, process);
    }

    /// Returns messages that tell origins to holders which lack them, some at a time: since the fleet
    /// has changed, or a message was lost. Has to be called every few milliseconds.
    pub fn replicate_origins(&mut self, now: Timestamp) -> Vec<(SocketAddr, OriginMessage)> {
        if !self.replication.is_due(now) {
            return Vec::new();
        }
        let members = self.members.live(now);
        self.replication.step(&self.origins, &members, now)
    }

    /// Returns whether every holder is known to keep the origins that this entry knows.
    #[must_use]
    pub const fn are_origins_replicated(&self) -> bool {
        self.replication.is_complete()
    }

    /// Marks this process as leaving in its reports. What only its memory holds has to be confirmed
    /// by those that stay, see [`Scheduler::replicate_origins`].
    pub fn start_leaving(&mut self) {
        self.identity.leaving = true;
        self.origins.forget_holders();
        self.replication.restart();
    }

    fn answer_query(
        &self,
        stream: StreamDigest,
        service: Option<&str>,
        now: Timestamp,
    ) -> OriginMessage {
        if let Some(origin) = self.origins.get(stream, now) {
            return OriginMessage::Known {
                stream,
                origin: origin.clone(),
                lifetime: whole_millis(self.origins.lifetime(stream, now)),
            };
        }
        let seen = service.map_or(SeenBuilds::None, |service| self.seen_builds(service, now));
        OriginMessage::Unknown { stream, seen }
    }

    /// Returns the builds of several services, as if they were one.
    fn seen_builds_of_all(&self, services: &[Arc<str>], now: Timestamp) -> SeenBuilds {
        let mut all = services
            .iter()
            .map(|service| self.seen_builds(service, now));
        let Some(first) = all.next() else {
            return SeenBuilds::None;
        };
        if all.all(|seen| seen.only() == first.only()) {
            first
        } else {
            SeenBuilds::Several
        }
    }

    fn seen_builds(&self, service: &str, now: Timestamp) -> SeenBuilds {
        let listed = self.endpoints.of_service(service);
        let listed = listed.map(|state| &state.record().build);
        self.endpoints.builds().seen(service, listed, now)
    }
}
