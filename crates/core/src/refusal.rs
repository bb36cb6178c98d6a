//! Outcomes of requests without a complete answer, and what is known of their execution.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use strum::{EnumIter, EnumString, IntoStaticStr};

/// Whether an endpoint has run a request that got no complete answer.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No endpoint has run the request or will run it.
    NotRun,
    /// An endpoint ran part of the request.
    InPart,
    /// An endpoint ran the request to completion.
    Complete,
    /// The request may have run, be running or still run.
    Unknown,
}

/// Reason why a request got no complete answer.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The key is missing, unknown or withdrawn.
    Unauthenticated,
    /// The team may not use the route.
    Forbidden,
    /// No route matches the path and model.
    NoRoute,
    /// The request cannot be parsed.
    Malformed,
    /// The header or the body exceeds its limit.
    TooLarge,
    /// The team has exceeded its rate and burst.
    RateExceeded,
    /// Every eligible endpoint is fully occupied by work that is at least as urgent.
    Overloaded,
    /// The deadline has passed or can no longer be met.
    DeadlineExceeded,
    /// No endpoint of the route is reachable.
    NoEndpoint,
    /// Requests with the same body have crashed endpoints.
    Quarantined,
    /// Requests that share their body or parts of their prompts with this one have crashed endpoints.
    Contained,
    /// A request with this idempotency key is running, has run, or has an unknown outcome.
    Duplicate,
    /// The process is leaving or has no confirmed configuration.
    Unavailable,
    /// The endpoint failed while it was running the request.
    EndpointFailed,
    /// The connection broke and the agent could not determine whether the request ran.
    OutcomeUnknown,
}

impl RefusalKind {
    /// Returns the HTTP status code sent to the caller.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NoRoute => 404,
            Self::Malformed => 400,
            Self::TooLarge => 413,
            Self::RateExceeded => 429,
            Self::Duplicate => 409,
            Self::Quarantined => 422,
            Self::Overloaded | Self::NoEndpoint | Self::Contained | Self::Unavailable => 503,
            Self::EndpointFailed | Self::OutcomeUnknown => 502,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// The final answer to a request that got no complete answer.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{kind} ({execution})")]
pub struct Refusal {
    kind: RefusalKind,
    execution: Execution,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    retry: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that has not run.
    ///
    /// ```
    /// use comfreyhaven_core::refusal::{Execution, Refusal, RefusalKind};
    /// use std::time::Duration;
    ///
    /// let refusal = Refusal::new(RefusalKind::Overloaded).with_retry(Duration::from_secs(2));
    /// assert_eq!(refusal.execution(), Execution::NotRun);
    /// assert_eq!(refusal.kind().status(), 503);
    /// ```
    #[must_use]
    pub const fn new(kind: RefusalKind) -> Self {
        Self {
            kind,
            execution: Execution::NotRun,
            retry: None,
        }
    }

    /// Sets what is known of the execution.
    #[must_use]
    pub const fn with_execution(self, execution: Execution) -> Self {
        Self { execution, ..self }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub const fn with_retry(self, retry: Duration) -> Self {
        Self {
            retry: Some(retry),
            ..self
        }
    }

    /// Returns the reason why there is no complete answer.
    #[must_use]
    pub const fn kind(&self) -> RefusalKind {
        self.kind
    }

    /// Returns whether the request has run.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        self.execution
    }

    /// Returns the time after which the caller may retry, if a retry can help.
    #[must_use]
    pub const fn retry(&self) -> Option<Duration> {
        self.retry
    }
}

/// Reason why an agent returns a reservation without an offer.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum ReturnReason {
    /// The queue is full and holds no less urgent reservation.
    Full,
    /// A more urgent reservation took its position in the queue.
    Displaced,
    /// The deadline has passed, or cannot be met given the work ahead.
    Late,
    /// The agent is leaving or its data centre is closed.
    Leaving,
    /// The endpoint does not answer.
    EndpointDown,
    /// The body is quarantined.
    Quarantined,
    /// The agent's configuration does not know the route, team or entry yet.
    NotConfigured,
    /// The entry withdrew the reservation.
    Withdrawn,
    /// A call with the same idempotency key is running.
    KeyRunning,
    /// A call with the same idempotency key ran to completion.
    KeyComplete,
    /// A call with the same idempotency key may have run.
    KeyUnknown,
}

/// Reason why an agent did not run a body that was sent to it.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// The offer is from another agent process, or has expired, been used or been released.
    OfferVoid,
    /// The agent is leaving or its data centre is closed.
    Leaving,
    /// The deadline has passed.
    Late,
    /// The endpoint refused the connection before anything was sent.
    EndpointDown,
    /// The endpoint answered that it is full, before it ran anything.
    EndpointFull,
    /// The body is quarantined.
    Quarantined,
    /// A call with the same idempotency key was sent before.
    KeyUsed,
    /// The message could not be parsed or exceeds its limit.
    Malformed,
}
