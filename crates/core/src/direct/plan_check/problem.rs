//! What can be wrong with a configuration, why it matters, and what mends it.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use strum::IntoStaticStr;

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The configuration does not do what it says.
    Error,
    /// The configuration may not do what its operators expect.
    Warning,
}

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Problem {
    /// The version is zero.
    #[display("the version is 0")]
    NoVersion,
    /// The version is not above that in force.
    #[display("the version is not above {_0}, which is in force")]
    OldVersion(u64),
    /// A host is empty or has a port.
    #[display("{_0:?} is not the name of a host")]
    BadHost(Arc<str>),
    /// A prefix does not begin and end with a slash.
    #[display("prefix {_0:?} does not begin and end with a slash")]
    BadPrefix(Arc<str>),
    /// A prefix has characters that no path has.
    #[display("prefix {_0:?} contains a character that no path contains")]
    ImpossiblePrefix(Arc<str>),
    /// An earlier route has the same host and prefix.
    #[display("route {_0:?} has the same host and prefix")]
    HiddenRoute(Arc<str>),
    /// A route leads nowhere.
    #[display("the route names no service")]
    NoService,
    /// A route leads to a service that is not declared.
    #[display("no service is called {_0:?}")]
    UnknownService(Arc<str>),
    /// A part of a split has no weight.
    #[display("the weight is 0")]
    NoWeight,
    /// Every part of a split has no weight.
    #[display("all weights are 0")]
    NoWeights,
    /// A service has no endpoints.
    #[display("service {_0:?} has no endpoint")]
    NoEndpoints(Arc<str>),
    /// A route has no time for its requests.
    #[display("the time limit is 0")]
    NoTimeout,
    /// A time has to be within another one.
    #[display("{} ms is above the time limit of {} ms", _0.as_millis(), _1.as_millis())]
    AboveTimeout(Duration, Duration),
    /// A gap between events is declared for answers without events.
    #[display("the route's answers are not streams")]
    GapWithoutStream,
    /// A request may be sent nowhere.
    #[display("no endpoint may run a request")]
    NoAttempts,
    /// A request that may not be repeated may be sent to several endpoints.
    #[display("{_0} endpoints may run a request that may not be repeated")]
    UnusedAttempts(u32),
    /// More endpoints may run a request than there are.
    #[display("{_0} endpoints may run a request, and its services have {_1}")]
    AttemptsAboveEndpoints(u32, usize),
    /// A name is declared before.
    #[display("{_0:?} is declared twice")]
    DeclaredTwice(Arc<str>),
    /// No route leads to a service.
    #[display("no route leads to service {_0:?}")]
    UnusedService(Arc<str>),
    /// An endpoint has more slots than connections.
    #[display("an endpoint accepts {_0} connections and has {_1} slots")]
    FewConnections(u32, u32),
    /// Routes need keys, and no team is declared.
    #[display("routes need keys, and there is no team")]
    NoTeams,
    /// A team has no key.
    #[display("team {_0:?} has no key")]
    NoKeys(Arc<str>),
    /// A key is empty.
    #[display("the key is empty")]
    EmptyKey,
    /// An earlier team has the same key.
    #[display("team {_0:?} has the same key")]
    SharedKey(Arc<str>),
    /// A burst is below one request.
    #[display("the burst of {_0} is below the {_1} units of a request that declares no tokens")]
    SmallBurst(u64, u64),
    /// A team has a burst and no rate.
    #[display("the burst of {_0} has no effect without a rate")]
    BurstWithoutRate(u64),
    /// A limit lets nothing through.
    #[display("the limit is 0")]
    NoLimit,
}

impl Problem {
    /// Returns how much the problem matters.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::NoVersion
            | Self::OldVersion(_)
            | Self::BadHost(_)
            | Self::BadPrefix(_)
            | Self::ImpossiblePrefix(_)
            | Self::HiddenRoute(_)
            | Self::NoService
            | Self::UnknownService(_)
            | Self::NoWeights
            | Self::NoTimeout
            | Self::DeclaredTwice(_)
            | Self::NoTeams
            | Self::EmptyKey
            | Self::SharedKey(_)
            | Self::NoLimit => Severity::Error,
            Self::NoWeight
            | Self::NoEndpoints(_)
            | Self::AboveTimeout(..)
            | Self::GapWithoutStream
            | Self::NoAttempts
            | Self::UnusedAttempts(_)
            | Self::AttemptsAboveEndpoints(..)
            | Self::UnusedService(_)
            | Self::FewConnections(..)
            | Self::NoKeys(_)
            | Self::SmallBurst(..)
            | Self::BurstWithoutRate(_) => Severity::Warning,
        }
    }

    /// Returns why the problem matters.
    #[must_use]
    pub const fn effect(&self) -> &'static str {
        match self {
            Self::NoVersion | Self::OldVersion(_) => "no entry puts it in force",
            Self::BadHost(_)
            | Self::BadPrefix(_)
            | Self::ImpossiblePrefix(_)
            | Self::HiddenRoute(_) => "the route never matches as it is written",
            Self::NoService | Self::UnknownService(_) | Self::NoEndpoints(_) => {
                "requests sent there are refused"
            }
            Self::NoWeight => "this part gets no request",
            Self::NoWeights => "the first part gets all requests",
            Self::NoTimeout => "every request is refused at once",
            Self::AboveTimeout(..) => "the time limit ends answers that this value accepts",
            Self::GapWithoutStream | Self::UnusedAttempts(_) | Self::BurstWithoutRate(_) => {
                "the value has no effect"
            }
            Self::NoAttempts => "a request runs once all the same",
            Self::AttemptsAboveEndpoints(..) => "a request runs at each endpoint at most once",
            Self::DeclaredTwice(_) => "only the last one counts",
            Self::UnusedService(_) => "its endpoints get no request",
            Self::FewConnections(..) => "the endpoint's slots cannot all be used",
            Self::NoTeams => "every request of these routes is refused as unauthenticated",
            Self::NoKeys(_) => "nobody can send requests as this team",
            Self::EmptyKey => "no caller can send it",
            Self::SharedKey(_) => "requests with it count for the last team alone",
            Self::SmallBurst(..) => "one such request is more than the team may use at once",
            Self::NoLimit => "every request is refused",
        }
    }

    /// Returns what mends the problem.
    #[must_use]
    pub const fn remedy(&self) -> &'static str {
        match self {
            Self::NoVersion | Self::OldVersion(_) => "give it a version above the one in force",
            Self::BadHost(_) => "write the host alone, without a port",
            Self::BadPrefix(_) => "write the prefix as in /look/",
            Self::ImpossiblePrefix(_) => "take out the query, the fragment or the space",
            Self::HiddenRoute(_) => "remove one of the two, or give it another prefix",
            Self::NoService | Self::UnknownService(_) => "name a service of this configuration",
            Self::NoWeight => "remove the part, or give it a weight",
            Self::NoWeights => "give at least one part a weight",
            Self::NoEndpoints(_) => "start endpoints of this service first",
            Self::NoTimeout => "give the route a time limit",
            Self::AboveTimeout(..) => "lower the value, or raise the time limit",
            Self::GapWithoutStream => "remove the value, or make the route a streaming one",
            Self::NoAttempts | Self::UnusedAttempts(_) => "write 1",
            Self::AttemptsAboveEndpoints(..) => "lower the value, or start more endpoints",
            Self::DeclaredTwice(_) => "remove one of the two",
            Self::UnusedService(_) => "remove it, or lead a route there",
            Self::FewConnections(..) => "allow at least as many connections as slots",
            Self::NoTeams => "declare teams, or make the routes public",
            Self::NoKeys(_) => "give the team a key, or remove it",
            Self::EmptyKey => "remove the key",
            Self::SharedKey(_) => "give each team keys of its own",
            Self::SmallBurst(..) => "raise the burst to at least one request",
            Self::BurstWithoutRate(_) => "give the team a rate, or remove the burst",
            Self::NoLimit => "raise the limit",
        }
    }
}
