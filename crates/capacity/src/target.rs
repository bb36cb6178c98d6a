//! The size that the design must carry, and what the present design uses of it.

/// Entry hosts.
pub const HOSTS: f64 = 330.0;
/// Engines, each with an agent.
pub const ENGINES: f64 = 610.0;
/// Requests a second at the peak.
pub const REQUESTS: f64 = 790.0;
/// Tokens generated a second at the peak.
pub const TOKENS: f64 = 390_000.0;
/// Seconds to the first token, for 95 in 100.
pub const FIRST_TOKEN_S: f64 = 0.84;
/// Seconds between tokens, for 95 in 100.
pub const TOKEN_GAP_S: f64 = 0.077;
/// Teams in steady use.
pub const TEAMS: f64 = 4_900.0;
/// Models, each with a route.
pub const MODELS: f64 = 36.0;
/// Data centres.
pub const CENTRES: f64 = 9.0;
/// Regions.
pub const REGIONS: f64 = 3.0;
/// Hosts that one rack or switch takes with it.
pub const RACK_HOSTS: f64 = 20.0;
/// Changes of configuration a day.
pub const CHANGES_PER_DAY: f64 = 530.0;
/// Reads a second that the configuration service allows, waiting watches included.
pub const READS: f64 = 2_000.0;

/// Seconds in which a change must be in force.
pub const CHANGE_S: f64 = 3.0;
/// Part of a core that a node may spend for control, in hundredths.
pub const CORE_PERCENT: f64 = 2.2;
/// Bytes of memory that a node may take for control.
pub const MEMORY_BYTES: f64 = 128.0 * 1024.0 * 1024.0;
/// Bytes a second that a node may send and receive for control.
pub const CONTROL_BYTES: f64 = 3.0 * 1024.0;

/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;
/// Documents among which teams are spread.
pub const TEAM_DOCUMENTS: f64 = 16.0;
/// All documents.
pub const DOCUMENTS: f64 = 18.0;
/// Prefix digests of a typical reservation.
pub const PREFIXES: f64 = 4.0;

/// Reservations that the present design places for a request.
pub const FANOUT: f64 = 3.0;
/// Seconds between two looks at the index by a process that does not watch.
pub const POLL_S: f64 = 60.0;
/// Bytes of a watch's request and answer: headers, and an index of all documents.
pub const WATCH_BYTES: f64 = 800.0;
/// Bytes of the IP and TCP headers of one segment, time stamps included.
pub const HEADER_BYTES: f64 = 52.0;
/// Seconds that an agent remembers a request.
pub const HISTORY_S: f64 = 600.0;
/// Reservations that wait at one agent at most.
pub const QUEUE_LIMIT: f64 = 1_024.0;
/// Requests that a typical engine bears just started.
pub const COLD_REQUESTS: f64 = 4.0;
/// Requests that a typical engine bears warm.
pub const WARM_REQUESTS: f64 = 64.0;

/// Tokens of a mean answer.
pub fn answer_tokens() -> f64 {
    TOKENS / REQUESTS
}

/// Seconds that a mean stream is open, at the slowest pace allowed.
pub fn stream_s() -> f64 {
    FIRST_TOKEN_S + answer_tokens() * TOKEN_GAP_S
}

/// Streams that are open in the whole fleet.
pub fn streams() -> f64 {
    REQUESTS * stream_s()
}
