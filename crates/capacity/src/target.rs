//! Target size and budgets that the design must meet, and parameters of the present design.

/// Number of entry hosts.
pub const HOSTS: f64 = 330.0;
/// Number of engines, each with an agent.
pub const ENGINES: f64 = 610.0;
/// Requests per second at peak load.
pub const REQUESTS_PER_SECOND: f64 = 790.0;
/// Generated tokens per second at peak load.
pub const TOKENS_PER_SECOND: f64 = 390_000.0;
/// 95th percentile of the time to the first token, in seconds.
pub const FIRST_TOKEN_S: f64 = 0.84;
/// 95th percentile of the time between two tokens, in seconds.
pub const TOKEN_GAP_S: f64 = 0.077;
/// Number of teams that send requests regularly.
pub const TEAMS: f64 = 4_900.0;
/// Number of models, each with a route.
pub const MODELS: f64 = 36.0;
/// Number of data centres.
pub const CENTRES: f64 = 9.0;
/// Number of regions.
pub const REGIONS: f64 = 3.0;
/// Number of hosts that fail together with one rack or switch.
pub const RACK_HOSTS: f64 = 20.0;
/// Configuration changes per day.
pub const CHANGES_PER_DAY: f64 = 530.0;
/// Reads per second that the configuration service allows, including pending watches.
pub const SERVICE_READS_PER_SECOND: f64 = 2_000.0;

/// Time in seconds within which a change must be in force everywhere.
pub const CHANGE_LIMIT_S: f64 = 3.0;
/// Processor time that one process may use for control, in percent of a core.
pub const CORE_LIMIT_PERCENT: f64 = 2.2;
/// Memory that one process may use for control, in bytes.
pub const MEMORY_LIMIT_BYTES: f64 = 128.0 * 1024.0 * 1024.0;
/// Control traffic that one process may send and receive, in bytes per second.
pub const CONTROL_LIMIT_BYTES: f64 = 3.0 * 1024.0;

/// Length of a day in seconds.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Number of documents over which the teams are distributed.
pub const TEAM_DOCUMENTS: f64 = 16.0;
/// Number of all documents.
pub const DOCUMENTS: f64 = 18.0;
/// Number of prefix digests in a typical reservation.
pub const PREFIX_DIGESTS: f64 = 4.0;

/// Number of reservations that an entry places for a request.
pub const FANOUT: f64 = 3.0;
/// Interval in seconds at which a process that does not watch the index polls it.
pub const POLL_INTERVAL_S: f64 = 60.0;
/// Size of the request and response of a watch in bytes: headers and the index of all documents.
pub const WATCH_BYTES: f64 = 800.0;
/// Size of the IP and TCP headers of one segment in bytes, including TCP timestamps.
pub const SEGMENT_HEADER_BYTES: f64 = 52.0;
/// Time in seconds for which an agent keeps the record of a request.
pub const HISTORY_S: f64 = 600.0;
/// Maximum number of reservations that wait at one agent.
pub const QUEUE_LIMIT: f64 = 1_024.0;
/// Number of concurrent requests that a typical engine can handle right after its start.
pub const COLD_CAPACITY: f64 = 4.0;
/// Number of concurrent requests that a typical engine can handle when warm.
pub const WARM_CAPACITY: f64 = 64.0;

/// Returns the mean length of an answer in tokens.
pub fn answer_tokens() -> f64 {
    TOKENS_PER_SECOND / REQUESTS_PER_SECOND
}

/// Returns the time in seconds for which an average stream is open at the slowest allowed token
/// rate.
pub fn stream_s() -> f64 {
    FIRST_TOKEN_S + answer_tokens() * TOKEN_GAP_S
}

/// Returns the number of open streams in the whole fleet at peak load.
pub fn streams() -> f64 {
    REQUESTS_PER_SECOND * stream_s()
}
