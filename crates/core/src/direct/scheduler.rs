//! The one state machine of a direct entry: where each request goes, waits, or is turned away.

mod message;
mod placing;
mod sharing;
mod snapshot;

pub use message::{Ask, Bounds, Ending, Outcome, Placement, Reason, Ticket, Totals, Turned};
pub use sharing::Heard;
pub use snapshot::Snapshot;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::allowance::{Allowance, Excess, Fleet};
use super::book::{Book, Run};
use super::budget::Budget;
use super::currency::Currency;
use super::members::Members;
use super::plan::{EndpointId, Listing, Plan, PlanTeam};
use super::readings::Readings;
use super::suspects::Suspects;
use super::waiting::{Line, Place};
use crate::time::Timestamp;

/// Range of the time after which a request that was turned away may come back; drawn at random, so
/// that a crowd does not return as one.
const RETURN_RANGE: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(3_400));

/// Part of a new request in the average of its kind.
const TYPICAL_GAIN: f64 = 0.03;

/// How long a request of a short kind that can no longer be on time may wait for a place.
const LATE_PATIENCE: Duration = Duration::from_millis(1_600);

/// The state of a direct entry.
#[derive(Debug)]
pub struct Scheduler {
    own: SocketAddr,
    boot: u64,
    centre: Arc<str>,
    seeds: Vec<SocketAddr>,
    bounds: Bounds,
    plan: Arc<Plan>,
    book: Book,
    closed: BTreeSet<Arc<str>>,
    lines: BTreeMap<Arc<str>, Line>,
    budgets: HashMap<Arc<str>, Budget>,
    allowances: HashMap<u64, Allowance>,
    spent: HashMap<u64, i64>,
    suspects: Suspects,
    /// Seconds that requests hold a place on average, by kind.
    typical: HashMap<Arc<str>, f64>,
    members: Members,
    currency: Currency,
    readings: Readings,
    leaving: bool,
    random: ChaCha8Rng,
}

impl Scheduler {
    /// A scheduler of the entry that peers reach at `own`, in the data centre `centre`. `boot` names
    /// this process and seeds its choices.
    #[must_use]
    pub fn new(
        own: SocketAddr,
        centre: Arc<str>,
        seeds: Vec<SocketAddr>,
        bounds: Bounds,
        boot: u64,
    ) -> Self {
        Self {
            own,
            boot,
            centre,
            seeds,
            bounds,
            plan: Arc::default(),
            book: Book::default(),
            closed: BTreeSet::new(),
            lines: BTreeMap::new(),
            budgets: HashMap::new(),
            allowances: HashMap::new(),
            spent: HashMap::new(),
            suspects: Suspects::default(),
            typical: HashMap::new(),
            members: Members::default(),
            currency: Currency::default(),
            readings: Readings::default(),
            leaving: false,
            random: ChaCha8Rng::seed_from_u64(boot),
        }
    }

    /// Takes other seeds.
    pub fn reseed(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// The configuration in force.
    #[must_use]
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// How current it is.
    #[must_use]
    pub const fn currency(&self) -> &Currency {
        &self.currency
    }

    /// Notes that the version in force was confirmed by a read that was sent at `asked`.
    pub fn confirm(&mut self, version: u64, asked: Timestamp) {
        self.currency.confirm(version, asked);
    }

    /// Takes a configuration. Returns whether it is newer than the one in force.
    pub fn configure(&mut self, plan: Arc<Plan>, now: Timestamp) -> bool {
        if plan.version <= self.plan.version {
            return false;
        }
        for team in &plan.teams {
            let (rate, burst) = (team.rate, team.burst);
            let terms = self.bounds.rates;
            let allowance = self.allowances.entry(super::book::digest(&team.name));
            allowance
                .and_modify(|allowance| allowance.configure(rate, burst))
                .or_insert_with(|| Allowance::new(rate, burst, terms, now));
        }
        self.plan = plan;
        true
    }

    /// The endpoints.
    #[must_use]
    pub const fn book(&self) -> &Book {
        &self.book
    }

    /// Takes a listing.
    pub fn list(&mut self, listing: Listing, now: Timestamp) {
        self.book.list(listing, now);
    }

    /// Notes that an endpoint is no longer listed; it may be used until `until`.
    pub fn lapse(&mut self, id: &str, until: Timestamp) {
        self.book.lapse(id, until);
    }

    /// Removes the endpoints that lapsed and did not come back.
    pub fn drop_lapsed(&mut self, now: Timestamp) -> Vec<EndpointId> {
        self.book.drop_lapsed(now)
    }

    /// Takes a data centre out, or back. An endpoint there may be cold when it comes back.
    pub fn close(&mut self, centre: &Arc<str>, closed: bool, now: Timestamp) {
        if closed {
            self.closed.insert(Arc::clone(centre));
        } else if self.closed.remove(centre) {
            for id in self.book.ids() {
                let known = self.book.get(&id).map(|known| known.listing().clone());
                if let Some(listing) = known.filter(|listing| listing.centre == *centre) {
                    let service = self.plan.services.get(&listing.service);
                    let warmup = service.map_or(Duration::ZERO, |service| service.warmup);
                    self.book.chill(&id, warmup, now);
                }
            }
        }
    }

    /// The data centres that are taken out.
    #[must_use]
    pub const fn closed(&self) -> &BTreeSet<Arc<str>> {
        &self.closed
    }

    /// Takes a request's units from its team.
    ///
    /// # Errors
    /// Returns an [`Excess`] if the team is over its rate and burst.
    pub fn charge(
        &mut self,
        team: &PlanTeam,
        units: u64,
        rank: u8,
        now: Timestamp,
    ) -> Result<(), Excess> {
        let fleet = Fleet {
            heard: self.members.heard_part(now),
            members: self.members.count(),
            interval: self.members.interval(),
        };
        let digest = super::book::digest(&team.name);
        if let Some(allowance) = self.allowances.get_mut(&digest) {
            allowance.take(units, rank, &fleet, now)?;
            *self.spent.entry(digest).or_default() += i64::try_from(units).unwrap_or(i64::MAX / 4);
        }
        Ok(())
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, team: &PlanTeam, units: u64, now: Timestamp) {
        let digest = super::book::digest(&team.name);
        let units = i64::try_from(units).unwrap_or(i64::MAX / 4);
        if let Some(allowance) = self.allowances.get_mut(&digest) {
            allowance.note(-units, now);
            *self.spent.entry(digest).or_default() -= units;
        }
    }

    /// Counts a request for a service, whether or not it is sent.
    pub fn count(&mut self, service: &Arc<str>, now: Timestamp) {
        self.budget(service).request(now);
    }

    /// Takes a repeat from the service's budget.
    pub fn repeat(&mut self, service: &Arc<str>, now: Timestamp) -> bool {
        let members = self.members.count();
        self.budget(service).take(members, now)
    }

    /// Whether a repeat would be allowed now and an endpoint outside of `excluded` has room for it.
    pub fn may_repeat(
        &mut self,
        service: &Arc<str>,
        excluded: &[EndpointId],
        streaming: bool,
        now: Timestamp,
    ) -> bool {
        let members = self.members.count();
        self.budget(service).has_left(members, now)
            && self.has_other(service, excluded, streaming, now)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut Budget {
        let bounds = &self.bounds;
        self.budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| Budget::new(bounds.window, bounds.ratio, bounds.slack))
    }

    /// Requests that crash endpoints.
    #[must_use]
    pub const fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Requests that crash endpoints.
    pub const fn suspects_mut(&mut self) -> &mut Suspects {
        &mut self.suspects
    }

    /// Chooses a service of a split route.
    pub fn pick(&mut self, split: &[super::plan::Weighted]) -> Option<Arc<str>> {
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

    /// Takes a request. Returns nothing if it waits; [`Scheduler::settle`] then tells what became of
    /// it.
    pub fn ask(&mut self, mut ask: Ask, now: Timestamp) -> Option<Outcome> {
        ask.typical = self.typical(&ask);
        let late = self.is_late(&ask, now);
        if self.is_empty(&ask, now) {
            return Some(self.turn(&ask, Reason::NoEndpoint, now));
        }
        let place = Place::new(&ask, late);
        let line = self.lines.get(&ask.service);
        let ahead = line.map_or(0, |line| line.ahead(&place));
        if ahead == 0
            && let Some(placed) = self.place(&ask, late, now)
        {
            return Some(placed);
        }
        if late && self.patience(&ask) <= now {
            return Some(self.turn(&ask, Reason::Overloaded, now));
        }
        let service = Arc::clone(&ask.service);
        self.lines.entry(service).or_default().add(ask, late);
        None
    }

    /// How long requests of a kind hold a place on average, with this one counted.
    fn typical(&mut self, ask: &Ask) -> Duration {
        let hold = ask.hold().as_secs_f64();
        let typical = self.typical.entry(Arc::clone(&ask.kind)).or_insert(hold);
        *typical += TYPICAL_GAIN * (hold - *typical);
        Duration::from_secs_f64(*typical)
    }

    /// Takes a waiting request back.
    pub fn withdraw(&mut self, service: &str, ticket: Ticket) {
        if let Some(line) = self.lines.get_mut(service) {
            line.remove(ticket);
        }
    }

    /// Places what can be placed and turns away what has waited too long.
    pub fn settle(&mut self, now: Timestamp) -> Vec<(Ticket, Outcome)> {
        let mut outcomes = Vec::new();
        let services: Vec<_> = self
            .lines
            .iter()
            .filter(|(_, line)| !line.is_empty())
            .map(|(s, _)| Arc::clone(s))
            .collect();
        for service in services {
            self.settle_line(&service, &mut outcomes, now);
        }
        outcomes
    }

    fn settle_line(
        &mut self,
        service: &Arc<str>,
        outcomes: &mut Vec<(Ticket, Outcome)>,
        now: Timestamp,
    ) {
        let places = self.lines.get(service).map(Line::places);
        let mut full = false;
        for place in places.unwrap_or_default() {
            let Some(ask) = self.lines.get(service).and_then(|line| line.get(&place)) else {
                continue;
            };
            let over = self.is_overdue(&place, ask, now);
            if full && !over {
                continue;
            }
            let ask = ask.clone();
            let placed = if full {
                None
            } else {
                self.place(&ask, place.is_late(), now)
            };
            full |= placed.is_none();
            let turned = || over.then(|| self.turn(&ask, Reason::Overloaded, now));
            if let Some(outcome) = placed.or_else(turned) {
                outcomes.push((ask.ticket, outcome));
                if let Some(line) = self.lines.get_mut(service) {
                    line.take(&place);
                }
            }
        }
    }

    /// Whether the time of a request that still waits is over.
    fn is_overdue(&self, place: &Place, ask: &Ask, now: Timestamp) -> bool {
        if place.is_late() {
            self.patience(ask) <= now
        } else {
            self.is_late(ask, now)
        }
    }

    /// Until when a request that is late anyway may wait: its answer still has to come. One of a long
    /// kind comes after all that are in time, and waits in vain while there are such; it is told at
    /// once when to come back.
    fn patience(&self, ask: &Ask) -> Timestamp {
        if !ask.is_short() {
            return ask.arrived;
        }
        let need = ask.hold() * 2;
        let left = ask.deadline.since(ask.arrived).saturating_sub(need);
        ask.arrived + LATE_PATIENCE.min(left)
    }

    fn turn(&mut self, ask: &Ask, reason: Reason, now: Timestamp) -> Outcome {
        let span = RETURN_RANGE.1 - RETURN_RANGE.0;
        let drawn = RETURN_RANGE.0 + span.mul_f64(self.random.random());
        let left = ask.deadline.since(now);
        Outcome::Turned(Turned {
            reason,
            retry: drawn.min(left / 3),
        })
    }

    /// Notes the first byte of an answer.
    pub fn begin(&mut self, run: &mut Run, now: Timestamp) {
        self.book.begin(run, now);
    }

    /// Notes how long an answer's events took, from the first to the last.
    pub fn stream(&mut self, run: &Run, events: u32, span: Duration) {
        self.book.stream(run, events, span);
    }

    /// Notes that an endpoint broke off, could not be reached, or has been silent for too long.
    pub fn blame(&mut self, run: &Run, now: Timestamp) {
        self.book.fail(run);
        self.book.suspect(run, now);
    }

    /// Notes that a request is over at its endpoint.
    pub fn end(&mut self, run: &Run, ending: Ending, now: Timestamp) {
        self.book.end(run);
        match ending {
            Ending::Whole => self.book.succeed(run),
            Ending::Failed | Ending::Rejected => self.book.fail(run),
            Ending::Broken => self.blame(run, now),
            Ending::Cancelled => {}
        }
    }

    /// Notes that this process is about to end.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Counts for metrics.
    #[must_use]
    pub fn totals(&self) -> Totals {
        Totals {
            waiting: self.lines.values().map(Line::len).sum(),
            running: self.book.running(),
            endpoints: self.book.len(),
            members: self.members.count(),
        }
    }
}
