//! Finds the origin of a stream that this entry does not know, by asking the stream's holders.
//!
//! Datagrams get lost and holders may be dead, so all holders are asked at once, and those that
//! have not answered are asked again. One holder that knows the origin suffices.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use super::build_history::SeenBuilds;
use super::stream_origins::{Origin, StreamDigest};
use crate::time::Timestamp;

/// Entries that are told the origin of a stream, besides the one that began it.
pub(super) const HOLDERS: usize = 4;

/// Entries that are asked for an origin. They are more than [`HOLDERS`], since the entry that began
/// the stream may have known other members, and may have passed over some that did not respond.
pub(super) const ASKED: usize = 9;

/// Time after which the entries that have not answered are asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(45);

/// Time after which a lookup ends.
const LOOKUP_TIME: Duration = Duration::from_millis(150);

/// How long the store may take to confirm which endpoints are listed.
const CONFIRM_TIME: Duration = Duration::from_millis(300);

/// A message between entries about the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// The recipient is to keep an origin.
    #[serde(rename = "b")]
    Began {
        /// The stream.
        stream: StreamDigest,
        /// Where it began.
        origin: Origin,
        /// Milliseconds until the stream's deadline.
        lifetime: u32,
    },
    /// Asks for an origin.
    #[serde(rename = "q")]
    Query {
        /// The stream.
        stream: StreamDigest,
        /// The service that the stream must have begun at, if there is only one.
        service: Option<Arc<str>>,
    },
    /// Answers a query: the origin is known.
    #[serde(rename = "k")]
    Known {
        /// The stream.
        stream: StreamDigest,
        /// Where it began.
        origin: Origin,
        /// Milliseconds until the stream's deadline.
        lifetime: u32,
    },
    /// Answers a query: the origin is not known.
    #[serde(rename = "u")]
    Unknown {
        /// The stream.
        stream: StreamDigest,
        /// What the sender has seen of the service's builds.
        seen: SeenBuilds,
    },
}

/// From where an origin is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OriginSource {
    /// This entry kept it.
    Memory,
    /// A holder kept it.
    Peer,
    /// An endpoint listed a run of the stream after this entry had restarted.
    Endpoint,
    /// No other build can have begun the stream.
    OnlyBuild,
}

/// The result of a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupResult {
    /// The stream began there.
    Known(Origin, OriginSource),
    /// No entry that answered knows the origin.
    Unknown,
}

/// What a lookup does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupStep {
    /// These entries are to be sent a query; the lookup goes on at `until`, or with an answer.
    Ask {
        /// Recipients of the query; none while answers are awaited.
        peers: Vec<SocketAddr>,
        /// The query.
        query: OriginMessage,
        /// When the lookup goes on without an answer.
        until: Timestamp,
    },
    /// The endpoints are to be read from the store once more; the lookup goes on when that is done, or at
    /// `until`.
    Confirm {
        /// When the lookup ends without it.
        until: Timestamp,
    },
    /// The lookup has ended.
    Done(LookupResult),
}

/// What an entry knows of the builds of the services at which a stream may have begun.
#[derive(Debug)]
pub(super) struct OwnView {
    pub(super) seen: SeenBuilds,
    /// Time as of which the store has confirmed that, if it ever has.
    pub(super) confirmed: Option<Timestamp>,
}

/// One search for an origin.
#[derive(Debug)]
pub(super) struct OriginLookup {
    pub(super) stream: StreamDigest,
    /// The services at which the stream may have begun, the one first that it goes on at if its origin is
    /// not known.
    pub(super) services: Vec<Arc<str>>,
    /// Whether the request names its stream.
    pub(super) named: bool,
    /// The entries asked, with their answers.
    asked: BTreeMap<SocketAddr, Option<SeenBuilds>>,
    found: Option<(Origin, OriginSource)>,
    started: Timestamp,
    ask_at: Timestamp,
    /// When the store has to have confirmed the endpoints, once that is waited for.
    confirm_by: Option<Timestamp>,
}

impl OriginLookup {
    pub(super) fn new(
        stream: StreamDigest,
        services: &[Arc<str>],
        peers: Vec<SocketAddr>,
        now: Timestamp,
    ) -> Self {
        Self {
            stream,
            services: services.to_vec(),
            named: true,
            asked: peers.into_iter().map(|peer| (peer, None)).collect(),
            found: None,
            started: now,
            ask_at: now,
            confirm_by: None,
        }
    }

    /// Creates the lookup of a request that does not name its stream, which no peer can know.
    pub(super) fn unnamed(services: &[Arc<str>], now: Timestamp) -> Self {
        Self {
            named: false,
            ..Self::new(StreamDigest(0), services, Vec::new(), now)
        }
    }

    pub(super) fn find(&mut self, origin: Origin, source: OriginSource) {
        self.found.get_or_insert((origin, source));
    }

    /// Records that an entry does not know the origin.
    pub(super) fn record_unknown(&mut self, from: SocketAddr, seen: SeenBuilds) {
        if let Some(answer) = self.asked.get_mut(&from) {
            *answer = Some(seen);
        }
    }

    pub(super) fn step(&mut self, own: &OwnView, now: Timestamp) -> LookupStep {
        if let Some((origin, source)) = self.found.clone() {
            return LookupStep::Done(LookupResult::Known(origin, source));
        }
        let unanswered = self.asked.iter().filter(|(_, answer)| answer.is_none());
        let unanswered: Vec<_> = unanswered.map(|(peer, _)| *peer).collect();
        let deadline = self.started + LOOKUP_TIME;
        if unanswered.is_empty() || deadline <= now {
            return self.end_unfound(own, now);
        }
        let peers = if self.ask_at <= now {
            self.ask_at = now + RETRY_INTERVAL;
            unanswered
        } else {
            Vec::new()
        };
        LookupStep::Ask {
            peers,
            query: OriginMessage::Query {
                stream: self.stream,
                service: self.only_service().cloned(),
            },
            until: self.ask_at.min(deadline),
        }
    }

    /// Returns the service at which the stream must have begun, if there is only one.
    fn only_service(&self) -> Option<&Arc<str>> {
        match &self.services[..] {
            [service] => Some(service),
            _ => None,
        }
    }

    /// Decides without an origin: the stream goes on only where one build alone can have begun it.
    /// Endpoints of another build may have joined unnoticed, so the store has to confirm those that are
    /// known as of the request's arrival.
    fn end_unfound(&mut self, own: &OwnView, now: Timestamp) -> LookupStep {
        let Some(origin) = self.only_origin(&own.seen) else {
            return LookupStep::Done(LookupResult::Unknown);
        };
        if own.confirmed >= Some(self.started) {
            let known = LookupResult::Known(origin, OriginSource::OnlyBuild);
            return LookupStep::Done(known);
        }
        let until = *self.confirm_by.get_or_insert(now + CONFIRM_TIME);
        if until <= now {
            LookupStep::Done(LookupResult::Unknown)
        } else {
            LookupStep::Confirm { until }
        }
    }

    /// Returns the only origin that the stream can have.
    fn only_origin(&self, own: &SeenBuilds) -> Option<Origin> {
        let (service, build) = if self.named {
            (self.only_service()?, self.only_build(own)?)
        } else {
            (self.services.first()?, own.only()?)
        };
        Some(Origin {
            service: Arc::clone(service),
            build: Arc::clone(build),
            endpoint: None,
        })
    }

    /// Returns the build that this entry and those that answered have seen alone. An entry that most
    /// others do not answer may be cut off and know old builds only.
    fn only_build<'a>(&'a self, own: &'a SeenBuilds) -> Option<&'a Arc<str>> {
        let answers: Vec<_> = self.asked.values().flatten().collect();
        if answers.len() * 2 < self.asked.len() {
            return None;
        }
        let mut seen = answers.into_iter().chain([own]);
        let only = seen.clone().find_map(|seen| match seen {
            SeenBuilds::One(build) => Some(build),
            _ => None,
        })?;
        let agrees = |seen: &SeenBuilds| *seen == SeenBuilds::None || seen.only() == Some(only);
        seen.all(agrees).then_some(only)
    }
}
