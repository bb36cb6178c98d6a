//! Outcomes of the requests of an experiment, and the figures derived from them.

use std::time::Duration;

use comfreyhaven_core::Timestamp;

use crate::workload::Request;

/// Outcome of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub started: Option<Timestamp>,
    /// Time of the first token.
    pub first: Option<Timestamp>,
    /// Time at which the answer was complete.
    pub complete: Option<Timestamp>,
    /// Time at which the request was refused.
    pub refused: Option<Timestamp>,
    /// Whether an engine crashed while it ran the request.
    pub broken: bool,
}

/// Results of one experiment.
#[derive(Debug)]
pub struct Outcomes {
    pub requests: Vec<(Request, Outcome)>,
    pub messages: u64,
    pub crashes: u32,
    /// Prompt tokens that the engines computed.
    pub prefill: u64,
    /// Computed prompt tokens that did not lead to an answer in time.
    pub wasted: u64,
}

impl Outcomes {
    /// Returns the fraction of a tier's requests that got a complete answer in time.
    pub fn goodput(&self, tier: u8) -> f64 {
        self.share(|request| request.kind.tier == tier)
    }

    /// Returns a percentile of the time from arrival to the start of the run, in seconds, over the
    /// requests that `which` selects.
    pub fn wait(&self, percent: usize, which: impl Fn(&Request) -> bool) -> f64 {
        let chosen = self.requests.iter().filter(|(request, _)| which(request));
        let mut waits: Vec<_> = chosen
            .filter_map(|(request, outcome)| Some(outcome.started?.since(request.arrival)))
            .collect();
        waits.sort();
        let rank = waits.len().saturating_sub(1) * percent / 100;
        waits.get(rank).map_or(f64::NAN, Duration::as_secs_f64)
    }

    /// Returns a percentile of the mean time between tokens of an answer, in seconds.
    pub fn gap(&self, percent: usize) -> f64 {
        let gap = |(request, outcome): &(Request, Outcome)| {
            let time = outcome.complete?.since(outcome.first?);
            (request.output > 1).then(|| time.as_secs_f64() / f64::from(request.output - 1))
        };
        let mut gaps: Vec<_> = self.requests.iter().filter_map(gap).collect();
        gaps.sort_by(f64::total_cmp);
        let rank = gaps.len().saturating_sub(1) * percent / 100;
        gaps.get(rank).copied().unwrap_or(f64::NAN)
    }

    /// Returns the fraction of the requests selected by `which` that got a complete answer in time.
    pub fn share(&self, which: impl Fn(&Request) -> bool) -> f64 {
        let (mut sent, mut good) = (0.0, 0.0);
        for (request, outcome) in self.requests.iter().filter(|(request, _)| which(request)) {
            sent += 1.0;
            let end = request.arrival + request.kind.deadline;
            good += f64::from(outcome.complete.is_some_and(|time| time <= end));
        }
        good / f64::max(sent, 1.0)
    }

    /// Returns the mean number of messages per request.
    pub fn messages_per_request(&self) -> f64 {
        self.messages as f64 / self.requests.len() as f64
    }

    /// Returns the fraction of the computed prompt tokens that did not lead to an answer in time.
    pub fn waste(&self) -> f64 {
        self.wasted as f64 / (self.prefill.max(1)) as f64
    }
}
