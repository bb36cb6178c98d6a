//! State machine of a direct entry. It decides which endpoint serves a request, and whether the
//! request waits or is refused.

mod admission;
mod availability;
mod containment;
mod hedging;
mod interruption;
mod limits;
mod message;
mod origins;
mod placement;
mod queueing;
mod report_sums;
mod reports;
mod request_limit;
mod restoration;
mod runs;
mod slot_shares;
mod snapshot;
mod store_reads;
mod team_shares;

pub use message::{Bounds, Ending, Outcome, Placement, PlacementRefusal, Reason, Totals};
pub use reports::ReportEffect;
pub use restoration::{Released, Restored};
pub use snapshot::Snapshot;
pub use team_shares::PressedTeam;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::confirmation::Confirmation;
use super::containment::Containment;
use super::departures::Departures;
use super::endpoint_table::EndpointTable;
use super::hedging::Hedging;
use super::lending::Lending;
use super::members::Members;
use super::origin_lookup::OriginLookup;
use super::origin_replication::OriginReplication;
use super::peer_notices::PeerNotices;
use super::placement_request::{PlacementRequest, Ticket};
use super::plan::{EndpointId, Plan};
use super::policies::Policies;
use super::rate_limit::RateLimiter;
use super::report::{Identity, ServiceLoad};
use super::restoration::Restoration;
use super::retry_budget::RetryBudget;
use super::source::Source;
use super::spending::Spending;
use super::store_progress::StoreProgress;
use super::stream_origins::StreamOrigins;
use super::team_shares::{PoolWork, TeamShares};
use super::topology::Topology;
use super::wait_queue::WaitQueue;
use crate::time::Timestamp;
use admission::Admissions;

/// Processor share of an entry whose share is not set, in thousandths of a core.
const DEFAULT_CAPACITY: u16 = 1_000;

/// Load by service that was reported of one source.
#[derive(Debug)]
struct Demand {
    services: Vec<ServiceLoad>,
    /// Work of teams in services without room for all.
    shares: Vec<PoolWork>,
    /// When the report arrived.
    received: Timestamp,
    /// When the loads of the source are discarded unless it reports again.
    expires: Timestamp,
    /// Time before which all that the source did is known.
    known: Timestamp,
    /// Number of entries that the source stands for.
    entries: usize,
}

/// State of a direct entry.
#[derive(Debug)]
pub struct Scheduler {
    own: SocketAddr,
    identity: Identity,
    centre: Arc<str>,
    seeds: Vec<SocketAddr>,
    bounds: Bounds,
    policies: Policies,
    shares: TeamShares,
    plan: Arc<Plan>,
    endpoints: EndpointTable,
    departures: Departures,
    closed: BTreeSet<Arc<str>>,
    /// Data centres that stay closed after a restoration of the store, and until when.
    kept_closed: BTreeMap<Arc<str>, Timestamp>,
    queues: BTreeMap<Arc<str>, WaitQueue>,
    admissions: Admissions,
    budgets: HashMap<Arc<str>, RetryBudget>,
    rate_limiters: HashMap<u64, RateLimiter>,
    spending: Spending,
    containment: Containment,
    peer_notices: PeerNotices,
    /// Average slot time in seconds, by kind of request.
    slot_times: HashMap<Arc<str>, f64>,
    members: Members,
    topology: Topology,
    /// Load by service, by source of the report.
    demand: HashMap<Source, Demand>,
    confirmation: Confirmation,
    store_progress: StoreProgress,
    lending: Lending,
    hedging: Hedging,
    origins: StreamOrigins,
    replication: OriginReplication,
    lookups: BTreeMap<Ticket, OriginLookup>,
    restoration: Restoration,
    /// A restoration of the store that has not been logged yet.
    restored: Option<Restored>,
    /// When a read was sent that confirms the configuration once a peer has reported.
    unconfirmed_read: Option<Timestamp>,
    random: ChaCha8Rng,
}

impl Scheduler {
    /// Creates the scheduler of the entry that peers reach at `own`, in the data centre `centre`.
    /// `boot` identifies this process and seeds its random choices.
    #[must_use]
    pub fn new(
        own: SocketAddr,
        centre: Arc<str>,
        seeds: Vec<SocketAddr>,
        bounds: Bounds,
        boot: u64,
    ) -> Self {
        let identity = Identity {
            boot,
            started: 0,
            centre: super::digest::digest(&centre),
            capacity: DEFAULT_CAPACITY,
            leaving: false,
        };
        Self {
            own,
            identity,
            centre,
            seeds,
            bounds,
            policies: Policies::default(),
            shares: TeamShares::default(),
            plan: Arc::default(),
            endpoints: EndpointTable::default(),
            departures: Departures::default(),
            closed: BTreeSet::new(),
            kept_closed: BTreeMap::new(),
            queues: BTreeMap::new(),
            admissions: Admissions::default(),
            budgets: HashMap::new(),
            rate_limiters: HashMap::new(),
            spending: Spending::default(),
            containment: Containment::default(),
            peer_notices: PeerNotices::default(),
            slot_times: HashMap::new(),
            members: Members::new(own),
            topology: Topology::new(own, &identity),
            demand: HashMap::new(),
            confirmation: Confirmation::default(),
            store_progress: StoreProgress::default(),
            lending: Lending::default(),
            hedging: Hedging::default(),
            origins: StreamOrigins::default(),
            replication: OriginReplication::default(),
            lookups: BTreeMap::new(),
            restoration: Restoration::default(),
            restored: None,
            unconfirmed_read: None,
            random: ChaCha8Rng::seed_from_u64(boot),
        }
    }

    /// Sets the processor share of this entry, in thousandths of a core.
    #[must_use]
    pub fn with_capacity(mut self, capacity: u16) -> Self {
        self.identity.capacity = capacity;
        self.topology = Topology::new(self.own, &self.identity);
        self
    }

    /// Sets the optional decisions.
    #[must_use]
    pub fn with_policies(mut self, policies: Policies) -> Self {
        self.policies = policies;
        self.hedging.set_part(policies.hedge_part);
        self
    }

    /// Sets the time at which this process started.
    #[must_use]
    pub const fn with_start(mut self, started: Timestamp) -> Self {
        self.identity.started = started.as_micros();
        self
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Returns the version in force and when it was last confirmed.
    #[must_use]
    pub const fn confirmation(&self) -> &Confirmation {
        &self.confirmation
    }

    /// Records that a read sent at `read_at` found `version` in force.
    pub fn confirm(&mut self, version: u64, read_at: Timestamp) {
        self.confirmation.confirm(version, read_at);
    }

    /// Applies a configuration if it is newer than the one in force. It is not confirmed yet. Returns
    /// whether it was applied.
    pub fn configure(&mut self, plan: Arc<Plan>, now: Timestamp) -> bool {
        if plan.version <= self.plan.version {
            return false;
        }
        for team in &plan.teams {
            let (rate, burst) = (team.rate, team.burst);
            let policy = self.bounds.rate_policy;
            let limiter = self.rate_limiters.entry(super::digest::digest(&team.name));
            limiter
                .and_modify(|limiter| limiter.configure(rate, burst))
                .or_insert_with(|| RateLimiter::new(rate, burst, policy, now));
        }
        self.confirmation.adopt(plan.version);
        self.plan = plan;
        true
    }

    /// Returns the table of endpoints.
    #[must_use]
    pub const fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Marks an endpoint as no longer listed. It may be used until `until`.
    pub fn mark_unlisted(&mut self, id: &str, until: Timestamp) {
        self.endpoints.mark_unlisted(id, until);
    }

    /// Removes the unlisted endpoints whose time has expired, and returns their ids.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<EndpointId> {
        self.endpoints.remove_expired(now)
    }

    /// Closes or reopens a data centre. Its endpoints may be cold when it is reopened, so all of
    /// them are marked as cold then.
    pub fn set_centre_closed(&mut self, centre: &Arc<str>, closed: bool, now: Timestamp) {
        self.kept_closed.remove(centre);
        self.apply_closed(centre, closed, now);
    }

    fn apply_closed(&mut self, centre: &Arc<str>, closed: bool, now: Timestamp) {
        if closed {
            self.closed.insert(Arc::clone(centre));
        } else if self.closed.remove(centre) {
            for id in self.endpoints.ids() {
                let record = self.endpoints.get(&id).map(|state| state.record().clone());
                if let Some(record) = record.filter(|record| record.centre == *centre) {
                    let service = self.plan.services.get(&record.service);
                    let warmup = service.map_or(Duration::ZERO, |service| service.warmup);
                    self.endpoints.mark_cold(&id, warmup, now);
                }
            }
        }
    }

    /// Returns the closed data centres.
    #[must_use]
    pub const fn closed(&self) -> &BTreeSet<Arc<str>> {
        &self.closed
    }

    /// Picks one service of a split route at random, by weight.
    pub fn pick_service(&mut self, split: &[super::plan::WeightedService]) -> Option<Arc<str>> {
        let total: u32 = split.iter().map(|part| part.weight).sum();
        if total == 0 {
            return split.first().map(|part| Arc::clone(&part.service));
        }
        let mut drawn = self.random.random_range(0..total);
        for part in split {
            if drawn < part.weight {
                return Some(Arc::clone(&part.service));
            }
            drawn -= part.weight;
        }
        None
    }
}
