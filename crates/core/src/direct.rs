//! Scheduling decisions of a direct entry, which reaches its endpoints without agents beside them.
//!
//! Every entry keeps a table of the endpoints: its own load there, the load that its peers report,
//! and the measured speed of each endpoint. A request is placed where its answer is expected to
//! start soonest, waits in the entry while all endpoints are full, and is refused at once if it
//! cannot start in time. Entries exchange load reports and share no other state.

mod admission;
mod buffer_limit;
mod build_history;
mod confirmation;
mod containment;
mod departures;
mod digest;
mod drain;
mod endpoint_table;
mod event_interval;
mod freed_slots;
mod hedging;
mod latency_model;
mod lending;
mod load_sum;
mod members;
mod origin_lookup;
mod origin_replication;
mod peer_notices;
mod placement_request;
mod plan;
mod plan_check;
mod plan_diff;
mod plan_draft;
mod policies;
mod process_lag;
mod rate_limit;
mod reaction_limit;
mod read_cursor;
mod rendezvous;
mod report;
mod request_limit;
mod restoration;
mod retry_budget;
mod return_places;
mod scheduler;
mod send_window;
mod source;
mod spending;
pub mod stall;
mod store_progress;
mod store_revision;
mod stream_origins;
mod team_shares;
mod topology;
mod wait_queue;

pub use admission::Admission;
pub use buffer_limit::{BufferLimit, BufferSizes, HoldError, HolderId, Holding};
pub use build_history::{BuildHistory, SeenBuilds};
pub use confirmation::Confirmation;
pub use containment::{
    BrokenRequest, Contained, Containment, ContainmentReport, CrashStatement, Fate, Fingerprint,
    HoldStatement, SOUND_TIME, SoundStatement,
};
pub use departures::DepartedEndpoint;
pub use digest::digest;
pub use drain::{Ahead, Class, Drain, Turn};
pub use endpoint_table::{
    Availability, EndpointState, EndpointTable, Load, Notice, NoticeEffect, PAUSE_LIMIT, Pause, Run,
};
pub use event_interval::EventInterval;
pub use freed_slots::{FreedSlots, Probe};
pub use hedging::{
    AnswerTimes, HedgeLimit, Hedging, KindTimes, ServiceUse, TimeCount, TimeHistogram, WaitEnd,
    Withheld, answer_kind,
};
pub use latency_model::LatencyModel;
pub use lending::LendingMessage;
pub use members::Members;
pub use origin_lookup::{LookupResult, LookupStep, OriginMessage, OriginSource};
pub use placement_request::{PlacementRequest, Ticket};
pub use plan::{
    Access, EndpointId, EndpointRecord, Plan, PlanTeam, RecordFault, RetryPolicy, Route,
    ServicePlan, Unit, WeightedService,
};
pub use plan_check::{
    Finding, LimitField, Place, Problem, RouteField, ServiceField, Severity, Surroundings,
    TeamField, check_plan,
};
pub use plan_diff::{Difference, Risk, diff_plans};
pub use plan_draft::{PlanDraft, ServiceDraft, TeamDraft};
pub use policies::Policies;
pub use process_lag::ProcessLag;
pub use rate_limit::{FleetView, RateExceeded, RateLimiter, RatePolicy};
pub use reaction_limit::ReactionLimit;
pub use read_cursor::ReadCursor;
pub use report::{
    Echo, EndpointLoad, EndpointNotice, Identity, Incarnation, MemberStatus, Report, ServiceLoad,
};
pub use request_limit::{LimitChange, LimitNotice, LimitStatement, RequestLimit};
pub use restoration::{RECOVERY_TIME, Restoration};
pub use retry_budget::{RetryBudget, RetryUsage};
pub use return_places::{Refused, ReturnPlaces, Returned};
pub use scheduler::{
    Bounds, Ending, Outcome, Placement, PlacementRefusal, PressedTeam, Reason, Released,
    ReportEffect, Restored, Scheduler, Snapshot, Totals,
};
pub use send_window::{SendWindow, split_limit};
pub use source::{Scope, Source};
pub use store_progress::{Section, SectionStatus, StoreProgress};
pub use store_revision::StoreRevision;
pub use stream_origins::{Origin, StreamDigest, StreamOrigins};
pub use team_shares::{
    Claim, Pool, PoolWork, Standing, TeamShares, TeamStatus, TeamWork, Weights, Work, water_level,
};
pub use topology::Role;
