//! Where in a configuration a finding is.

/// A value of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteField {
    /// The host.
    Host,
    /// The prefix of the path.
    Prefix,
    /// The only service, wherever the route names it.
    Service,
    /// The service of one part of a split, by its index.
    SplitService(usize),
    /// The weight of one part of a split, by its index.
    SplitWeight(usize),
    /// The time limit of a request.
    Timeout,
    /// The time in which an answer has to arrive.
    Objective,
    /// The longest interval between two events.
    EventGap,
    /// The number of endpoints that may run a request.
    Attempts,
}

/// A value of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServiceField {
    /// The name.
    Name,
    /// The connections that an endpoint accepts.
    Connections,
}

/// A value of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TeamField {
    /// The name.
    Name,
    /// The list of keys.
    Keys,
    /// One key, by its index.
    Key(usize),
    /// The units per second.
    Rate,
    /// The units that may be used at once.
    Burst,
}

/// A limit on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitField {
    /// The size of a request header.
    Header,
    /// The size of a request body.
    Body,
    /// The time for receiving a request header.
    HeaderTimeout,
    /// The idle time of a connection.
    IdleTimeout,
}

/// A value of a configuration; lists are counted from zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// The version.
    Version,
    /// A value of a route.
    Route(usize, RouteField),
    /// A value of a service.
    Service(usize, ServiceField),
    /// The list of teams.
    Teams,
    /// A value of a team.
    Team(usize, TeamField),
    /// A limit.
    Limit(LimitField),
}
