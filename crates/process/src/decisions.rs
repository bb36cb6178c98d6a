//! What a process lately decided on each request, for operators.

use std::collections::{HashMap, VecDeque};

use comfreyhaven_core::{RequestId, Timestamp};
use serde::Serialize;

/// Requests remembered; the oldest is forgotten first.
const REQUESTS_LIMIT: usize = 2_048;

/// Steps of one request; later ones replace the last, so that its beginning and end are kept.
const STEPS_LIMIT: usize = 32;

/// One event or decision. It holds neither a key nor a body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Step {
    /// When, in microseconds on the process's clock.
    pub at_us: u64,
    /// What happened or was decided.
    pub what: String,
}

/// Steps by request, bounded in number.
///
/// ```
/// use comfreyhaven_core::{RequestId, Timestamp};
/// use comfreyhaven_process::decisions::Decisions;
///
/// let mut decisions = Decisions::default();
/// let request = RequestId::new(7);
/// decisions.note(request, Timestamp::from_micros(5), "arrived".to_owned());
/// assert_eq!(decisions.of(request).unwrap()[0].at_us, 5);
/// assert!(decisions.of(RequestId::new(8)).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Decisions {
    requests: HashMap<RequestId, Vec<Step>>,
    order: VecDeque<RequestId>,
}

impl Decisions {
    /// Notes one step of a request.
    pub fn note(&mut self, request: RequestId, now: Timestamp, what: String) {
        if !self.requests.contains_key(&request) {
            self.make_room();
            self.order.push_back(request);
        }
        let steps = self.requests.entry(request).or_default();
        if steps.len() >= STEPS_LIMIT {
            steps.pop();
        }
        steps.push(Step {
            at_us: now.as_micros(),
            what,
        });
    }

    /// The steps of a request, oldest first, if it is remembered.
    #[must_use]
    pub fn of(&self, request: RequestId) -> Option<&[Step]> {
        self.requests.get(&request).map(Vec::as_slice)
    }

    fn make_room(&mut self) {
        if self.order.len() >= REQUESTS_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.requests.remove(&oldest);
        }
    }
}
