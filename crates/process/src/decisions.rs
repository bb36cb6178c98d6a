//! Recent decisions of a process on each request, for operators.

use std::collections::{HashMap, VecDeque};

use comfreyhaven_core::{RequestId, Timestamp};
use serde::Serialize;

/// Maximum number of requests recorded; the oldest is evicted first.
const REQUEST_LIMIT: usize = 2_048;

/// Maximum number of steps of one request. Further steps replace the last one, so that the first
/// steps and the final one are kept.
const STEP_LIMIT: usize = 32;

/// One event or decision. It contains neither keys nor bodies of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Time in microseconds on the clock of the process.
    pub at_us: u64,
    /// Description of the event or decision.
    #[serde(rename = "what")]
    pub text: String,
}

/// Steps of recent requests, limited in number.
///
/// ```
/// use comfreyhaven_core::{RequestId, Timestamp};
/// use comfreyhaven_process::decisions::DecisionLog;
///
/// let mut decisions = DecisionLog::default();
/// let request = RequestId::new(7);
/// decisions.record(request, Timestamp::from_micros(5), "arrived".to_owned());
/// assert_eq!(decisions.steps(request).unwrap()[0].at_us, 5);
/// assert!(decisions.steps(RequestId::new(8)).is_none());
/// ```
#[derive(Debug, Default)]
pub struct DecisionLog {
    requests: HashMap<RequestId, Vec<Step>>,
    order: VecDeque<RequestId>,
}

impl DecisionLog {
    /// Adds a step to a request, and evicts the oldest request if the limit is reached.
    pub fn record(&mut self, request: RequestId, now: Timestamp, text: String) {
        if !self.requests.contains_key(&request) {
            self.evict_oldest();
            self.order.push_back(request);
        }
        let steps = self.requests.entry(request).or_default();
        if steps.len() >= STEP_LIMIT {
            steps.pop();
        }
        steps.push(Step {
            at_us: now.as_micros(),
            text,
        });
    }

    /// Steps of a request, oldest first, or `None` for a request without a record.
    #[must_use]
    pub fn steps(&self, request: RequestId) -> Option<&[Step]> {
        self.requests.get(&request).map(Vec::as_slice)
    }

    fn evict_oldest(&mut self) {
        if self.order.len() >= REQUEST_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.requests.remove(&oldest);
        }
    }
}
