//! Optional decisions of direct entries, which a deployment's settings switch on.

/// Which optional decisions are made. None is by default.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Policies {
    /// Whether waiting requests are ordered by the shares of their teams.
    pub team_shares: bool,
    /// Whether requests are refused on arrival if they cannot be served in time, and refused callers
    /// are told a time at which there is room for them.
    pub return_places: bool,
    /// Whether the slots of endpoints are divided among the entries.
    pub slot_shares: bool,
    /// Whether streams of routes with one attempt go on from a copy of their memory.
    pub stream_backups: bool,
    /// Requests that may be sent to a second endpoint because the first one is slow, as a part of all
    /// requests; zero for none.
    pub hedge_part: f64,
}
