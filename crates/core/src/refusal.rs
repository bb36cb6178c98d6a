//! Outcomes other than a whole answer, and what each says about execution.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use strum::{EnumIter, EnumString, IntoStaticStr};

/// Whether an endpoint has run a request that got no whole answer.
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
    /// No endpoint has run it or will run it.
    NotRun,
    /// An endpoint ran a part of it.
    InPart,
    /// An endpoint ran it to its end.
    Complete,
    /// It may have run, be running or run yet.
    Unknown,
}

/// Why a request got no whole answer.
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
    /// The request cannot be read.
    Malformed,
    /// The header or the body is over its limit.
    TooLarge,
    /// The team is over its rate and burst.
    RateExceeded,
    /// Every eligible endpoint is full of work that is at least as urgent.
    Overloaded,
    /// The deadline has passed or can no longer be met.
    DeadlineExceeded,
    /// No endpoint of the route can be reached.
    NoEndpoint,
    /// The same body has crashed endpoints.
    Quarantined,
    /// A request with this idempotency key is running, has run, or its outcome is not known.
    Duplicate,
    /// The process is leaving or has no confirmed configuration.
    Unavailable,
    /// The endpoint failed while it ran the request.
    EndpointFailed,
    /// The connection broke and the agent could not say whether the request ran.
    OutcomeUnknown,
}

impl RefusalKind {
    /// HTTP status that a caller receives.
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
            Self::Overloaded | Self::NoEndpoint | Self::Unavailable => 503,
            Self::EndpointFailed | Self::OutcomeUnknown => 502,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// A truthful answer to a request that got no whole answer.
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
    /// A refusal of a request that has not run.
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

    /// The same refusal with what is known of execution.
    #[must_use]
    pub const fn with_execution(self, execution: Execution) -> Self {
        Self { execution, ..self }
    }

    /// The same refusal with the time after which the caller may try again.
    #[must_use]
    pub const fn with_retry(self, retry: Duration) -> Self {
        Self {
            retry: Some(retry),
            ..self
        }
    }

    /// Why there is no whole answer.
    #[must_use]
    pub const fn kind(&self) -> RefusalKind {
        self.kind
    }

    /// Whether the request has run.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        self.execution
    }

    /// When the caller may try again, if that can help.
    #[must_use]
    pub const fn retry(&self) -> Option<Duration> {
        self.retry
    }
}

/// Why an agent gives a reservation back without an offer.
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
    /// The queue is full and nothing less urgent waits in it.
    Full,
    /// A more urgent reservation took the place.
    Displaced,
    /// The deadline passed, or cannot be met behind the work that is ahead.
    Late,
    /// The agent is leaving or its data centre is out.
    Leaving,
    /// The endpoint does not answer.
    EndpointDown,
    /// The body is quarantined.
    Quarantined,
    /// The agent's configuration does not know the route, team or entry yet.
    NotConfigured,
    /// The entry took the reservation back.
    Withdrawn,
    /// A call with the same idempotency key is running.
    KeyRunning,
    /// A call with the same idempotency key ran to its end.
    KeyComplete,
    /// A call with the same idempotency key may have run.
    KeyUnknown,
}

/// Why an agent did not run a body that was sent to it.
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
    /// The offer is of another agent process, expired, used or released.
    OfferVoid,
    /// The agent is leaving or its data centre is out.
    Leaving,
    /// The deadline passed.
    Late,
    /// The endpoint refused the connection before anything was sent.
    EndpointDown,
    /// The endpoint answered that it is full, before it ran anything.
    EndpointFull,
    /// The body is quarantined.
    Quarantined,
    /// A call with the same idempotency key was sent before.
    KeyUsed,
    /// The message could not be read or is over its limit.
    Malformed,
}
