//! A stream of events from one endpoint.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{EndpointRecord, SOUND_TIME};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;

use super::Dispatch;
use crate::clock;
use crate::events::{Event, Splitter};
use crate::slot_guard::SlotGuard;
use crate::upstream::{Lease, Reply};

/// The next thing that happens on a stream.
pub(super) enum Next {
    Event(Event),
    /// The stream is complete.
    End,
    /// The connection broke or the stream is malformed.
    Broken,
}

/// A stream that an endpoint has begun: its first event has arrived, or its end.
pub(super) struct StreamStart {
    /// Head of the caller's answer.
    pub(super) head: Response<()>,
    pub(super) source: Source,
    /// What followed the head.
    pub(super) first: Next,
}

/// The streamed answer of one endpoint.
pub(super) struct Source {
    body: Incoming,
    pub(super) lease: Lease,
    pub(super) slot: SlotGuard,
    pub(super) record: EndpointRecord,
    /// When the request was sent.
    pub(super) sent: Timestamp,
    splitter: Splitter,
    /// Whether each event has to have an id, since the stream goes on after the caller's last one.
    numbered: bool,
    /// How long the next event may take.
    pub(super) event_timeout: Duration,
    /// Events received from this endpoint; `first` is when the first one arrived.
    events: u32,
    first: Timestamp,
    /// Whether events have arrived for so long that the run is sound.
    sound: bool,
}

impl Source {
    pub(super) fn new(
        reply: Reply,
        sent: Timestamp,
        slot: SlotGuard,
        dispatch: &Dispatch,
        record: EndpointRecord,
    ) -> (Response<()>, Self) {
        let (response, lease) = reply.split();
        let (parts, body) = response.into_parts();
        let source = Self {
            body,
            lease,
            slot,
            record,
            sent,
            splitter: Splitter::default(),
            numbered: false,
            event_timeout: dispatch.first_byte_timeout(),
            events: 0,
            first: Timestamp::ZERO,
            sound: false,
        };
        (Response::from_parts(parts, ()), source)
    }

    /// Sets whether each event has to have an id.
    pub(super) const fn with_numbered_events(mut self, numbered: bool) -> Self {
        self.numbered = numbered;
        self
    }

    /// Returns when the first event arrived, if one has.
    pub(super) fn begun(&self) -> Option<Timestamp> {
        (self.events > 0).then_some(self.first)
    }

    /// Returns the number of events received from this endpoint.
    pub(super) const fn events(&self) -> u32 {
        self.events
    }

    /// Counts an event. At each power of two it also records the endpoint's event interval.
    /// Returns whether this event shows that the run is sound.
    pub(super) fn record_event(&mut self) -> bool {
        let now = clock::now();
        if self.events == 0 {
            self.first = now;
            self.slot.record_first_byte();
        }
        self.events += 1;
        if self.events.is_power_of_two() {
            self.slot.record_events(self.events, now.since(self.first));
        }
        let is_sound = self.first + SOUND_TIME <= now;
        is_sound && !std::mem::replace(&mut self.sound, true)
    }

    /// Waits for the next event. Nothing is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> Next {
        loop {
            if let Some(event) = self.splitter.next() {
                if self.numbered && event.id.is_none() && !event.is_comment() {
                    log::warn!(endpoint:% = self.record.id; "a resumed stream holds an event without an id");
                    return Next::Broken;
                }
                return Next::Event(event);
            }
            match self.body.frame().await {
                None if self.splitter.is_empty() => return Next::End,
                None => return Next::Broken,
                Some(Err(error)) => {
                    log::info!(endpoint:% = self.record.id; "stream failed: {error}");
                    return Next::Broken;
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data()
                        && let Err(error) = self.splitter.add(&bytes)
                    {
                        log::warn!(endpoint:% = self.record.id; "{error}");
                        return Next::Broken;
                    }
                }
            }
        }
    }
}
