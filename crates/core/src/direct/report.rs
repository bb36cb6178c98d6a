//! The reports that entries send to each other.
//!
//! In a small fleet every entry reports to every other one. In a large fleet an entry reports to the
//! aggregators of its data centre, which sum the reports and pass the sums on.
//!
//! Entries of several builds exchange reports during an upgrade. A report is therefore a map from
//! names to values: a reader skips the names that it does not know. The elements of its lists are
//! arrays without names, since they make up most of a report; their fields never change, and a new
//! fact of an element gets a list of its own.

use std::net::SocketAddr;

use serde::ser::SerializeMap;
use serde::{Deserialize, Serialize, Serializer};

use super::containment::ContainmentReport;
use super::hedging::KindTimes;
use super::request_limit::LimitStatement;
use super::source::Scope;
use super::store_progress::SectionStatus;
use super::team_shares::PoolWork;

/// Load of the reporter at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Requests of the reporter that run at the endpoint.
    pub running: u16,
    /// Prompt tokens of these requests that are not processed yet.
    pub pending: u32,
    /// Time between two events that the reporter observed there, in tenths of milliseconds; 0 if
    /// none.
    #[serde(rename = "tempo")]
    pub event_interval: u16,
    /// Tokens that these requests may hold in the endpoint's memory, if the reporter counts them.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub held: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
const fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Load of the reporter for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Digest of the service's name.
    pub service: u64,
    /// Running requests.
    pub running: u16,
    /// Requests that wait for a slot and can still meet their objective.
    pub waiting: u16,
    /// Waiting requests of the highest rank among these.
    pub urgent: u16,
}

/// An endpoint's incarnation in messages between entries: the digest of its id, and its start time on
/// its own clock, in milliseconds.
pub type Incarnation = (u64, u64);

/// What an endpoint has said of itself to the reporter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Start time of the incarnation that said it, on the endpoint's own clock, in milliseconds.
    pub started_ms: u64,
    /// Whether the endpoint leaves.
    pub leaving: bool,
    /// Milliseconds for which the endpoint wants no more requests of the reporter.
    pub pause: u32,
    /// The requests that the endpoint takes from all entries, if it limits or has limited them.
    pub limit: Option<LimitStatement>,
}

impl EndpointNotice {
    /// Returns whether the endpoint has said nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        !self.leaving && self.pause == 0 && self.limit.is_none()
    }
}

/// Identifies the last report that the reporter received from the recipient.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The recipient's process.
    pub boot: u64,
    /// Time of that report on the recipient's own clock, in microseconds.
    pub sent: u64,
}

/// What identifies an entry's process, and what its peers need to know to choose aggregators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Identifies the process.
    pub boot: u64,
    /// Time at which the process started on its own clock, in microseconds.
    pub started: u64,
    /// Digest of the name of the entry's data centre.
    pub centre: u64,
    /// Processor share of the entry, in thousandths of a core.
    pub capacity: u16,
    /// Whether the process is leaving.
    pub leaving: bool,
}

/// What a reporter knows of another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Address of the entry.
    pub address: SocketAddr,
    /// The entry's process.
    pub identity: Identity,
    /// Time of the newest report of the entry that the reporter knows of, on that entry's own
    /// clock, in microseconds.
    pub sent: u64,
    /// Milliseconds since the reporter learned of that report.
    pub age: u32,
}

/// The report that an entry sends to a peer several times a second.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Report {
    /// Which entries the loads, units and crashes are of.
    pub scope: Scope,
    /// The reporting process.
    pub identity: Identity,
    /// Time of the report on the reporter's own clock, in microseconds.
    pub sent: u64,
    /// Milliseconds until the reporter's next report.
    pub interval: u16,
    /// Whether the reporter expects reports from the recipient.
    pub expects: bool,
    /// The last report that the reporter received from the recipient.
    pub echo: Option<Echo>,
    /// Average time, in milliseconds, by which the reporter's knowledge of the entries that it speaks
    /// for lags behind.
    pub lag: u32,
    /// Version of the configuration in force.
    pub version: u64,
    /// Milliseconds since that version was confirmed, if it ever was.
    pub age: Option<u32>,
    /// The reporter's knowledge of the store, by section.
    #[serde(rename = "readings")]
    pub sections: [SectionStatus; 2],
    /// Load by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Load by service.
    pub services: Vec<ServiceLoad>,
    /// Units admitted since the reporter started, less those that were returned, by digest of the
    /// team.
    pub spent: Vec<(u64, i64)>,
    /// What is known of requests that crash endpoints.
    pub containment: ContainmentReport,
    /// Entries that the reporter knows; not in every report.
    pub members: Vec<MemberStatus>,
    /// What endpoints have said of themselves.
    #[serde(default)]
    pub notices: Vec<EndpointNotice>,
    /// Work of teams in services without room for all.
    #[serde(default)]
    pub shares: Vec<PoolWork>,
    /// Times to the first answer, for hedges; not in every report.
    #[serde(default)]
    pub answer_times: Vec<KindTimes>,
}

/// Adds fields of a report to a map, under their names.
macro_rules! serialize_fields {
    ($map:ident, $report:ident: $($field:ident)+) => {
        $($map.serialize_entry(stringify!($field), &$report.$field)?;)+
    };
}

/// Adds those lists of a report to a map that are not empty. Readers of every build know a list that
/// is missing as empty.
macro_rules! serialize_lists {
    ($map:ident, $report:ident: $($field:ident)+) => {
        $(if !$report.$field.is_empty() {
            $map.serialize_entry(stringify!($field), &$report.$field)?;
        })+
    };
}

impl Serialize for Report {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        const FIELDS: usize = 15;
        let lists = [
            self.notices.is_empty(),
            self.shares.is_empty(),
            self.answer_times.is_empty(),
        ];
        let lists = lists.into_iter().filter(|empty| !empty).count();
        let mut map = serializer.serialize_map(Some(FIELDS + lists))?;
        serialize_fields!(map, self: scope identity sent interval expects echo lag version age);
        map.serialize_entry("readings", &self.sections)?;
        serialize_fields!(map, self: loads services spent containment members);
        serialize_lists!(map, self: notices shares answer_times);
        map.end()
    }
}
