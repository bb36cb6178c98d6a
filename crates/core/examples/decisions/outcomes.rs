//! How requests ended, and what that says.

use std::time::Duration;

use comfreyhaven_core::Timestamp;

use crate::workload::Request;

/// How one request ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub started: Option<Timestamp>,
    pub first: Option<Timestamp>,
    pub whole: Option<Timestamp>,
    /// Known to be lost or refused, and when.
    pub refused: Option<Timestamp>,
    pub broken: bool,
}

/// What an experiment showed.
#[derive(Debug)]
pub struct Outcomes {
    pub requests: Vec<(Request, Outcome)>,
    pub messages: u64,
    pub crashes: u32,
    pub prefill: u64,
    pub wasted: u64,
}

impl Outcomes {
    /// Share of a tier's requests that got their whole answer in time.
    pub fn goodput(&self, tier: u8) -> f64 {
        self.share(|request| request.kind.tier == tier)
    }

    /// A percentile of the time from arrival to the start of the run, in seconds, of the requests
    /// that `which` picks.
    pub fn wait(&self, percent: usize, which: impl Fn(&Request) -> bool) -> f64 {
        let chosen = self.requests.iter().filter(|(request, _)| which(request));
        let mut waits: Vec<_> = chosen
            .filter_map(|(request, outcome)| Some(outcome.started?.since(request.arrival)))
            .collect();
        waits.sort();
        let rank = waits.len().saturating_sub(1) * percent / 100;
        waits.get(rank).map_or(f64::NAN, Duration::as_secs_f64)
    }

    /// A percentile of the time between tokens, in seconds.
    pub fn gap(&self, percent: usize) -> f64 {
        let gap = |(request, outcome): &(Request, Outcome)| {
            let time = outcome.whole?.since(outcome.first?);
            (request.output > 1).then(|| time.as_secs_f64() / f64::from(request.output - 1))
        };
        let mut gaps: Vec<_> = self.requests.iter().filter_map(gap).collect();
        gaps.sort_by(f64::total_cmp);
        let rank = gaps.len().saturating_sub(1) * percent / 100;
        gaps.get(rank).copied().unwrap_or(f64::NAN)
    }

    /// Share of the requests that `which` picks that got their whole answer in time.
    pub fn share(&self, which: impl Fn(&Request) -> bool) -> f64 {
        let (mut sent, mut good) = (0.0, 0.0);
        for (request, outcome) in self.requests.iter().filter(|(request, _)| which(request)) {
            sent += 1.0;
            let end = request.arrival + request.kind.deadline;
            good += f64::from(outcome.whole.is_some_and(|time| time <= end));
        }
        good / f64::max(sent, 1.0)
    }

    /// Messages for each request.
    pub fn messages_each(&self) -> f64 {
        self.messages as f64 / self.requests.len() as f64
    }

    /// Part of the prefill that did not lead to an answer in time.
    pub fn waste(&self) -> f64 {
        self.wasted as f64 / (self.prefill.max(1)) as f64
    }
}
