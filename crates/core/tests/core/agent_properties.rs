//! Feeds random events to one agent and checks each of its actions against an observer, which keeps
//! the whole history in plain lists.

use std::collections::BTreeSet;
use std::time::Duration;

use comfreyhaven_core::agent::{Action, Agent, Event, OFFER_LIFETIME, RunEnd, RunStatus};
use comfreyhaven_core::fleet::DataCentreState;
use comfreyhaven_core::refusal::{NotRunReason, ReturnReason};
use comfreyhaven_core::{
    BootNonce, Cost, OfferId, RequestId, Reservation, ReservationId, Timestamp,
};
use proptest::prelude::*;

use crate::support::{WARM, config, endpoint_name, fleet, reservation, reservation_id};

/// One random step. An index picks an item from the whole history, so that stale, repeated and
/// foreign messages occur.
#[derive(Debug, Clone)]
enum Step {
    Reserve {
        request: u128,
        attempt: u32,
        cost: Cost,
        remaining: Duration,
    },
    ReserveAgain(usize),
    Withdraw(usize),
    Release(usize),
    Claim {
        offer: usize,
        foreign: bool,
    },
    Inquire(usize),
    FirstToken(usize),
    Finish {
        run: usize,
        end: RunEnd,
    },
    EndpointUp {
        boot: u64,
        running: u32,
    },
    EndpointDown,
    Centre(DataCentreState),
    Restart,
    Advance(Duration),
}

fn cost() -> impl Strategy<Value = Cost> {
    prop_oneof![
        4 => (1_u32..40, 1_u32..20),
        1 => (200_u32..1_500, 200_u32..1_500),
    ]
    .prop_map(|(prompt, output)| Cost { prompt, output })
}

fn end() -> impl Strategy<Value = RunEnd> {
    prop_oneof![
        6 => (0_u32..40, 0_u32..40).prop_map(|(output, prefill)| RunEnd::Whole { output, prefill }),
        1 => Just(RunEnd::NotRun(NotRunReason::EndpointFull)),
        1 => Just(RunEnd::NotRun(NotRunReason::EndpointDown)),
        1 => Just(RunEnd::Cancelled),
        1 => Just(RunEnd::Broken),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let reserve = (0_u128..60, 0_u32..3, cost(), 1_u64..30_000).prop_map(
        |(request, attempt, cost, remaining)| Step::Reserve {
            request,
            attempt,
            cost,
            remaining: Duration::from_millis(remaining),
        },
    );
    let pick = 0_usize..1_000;
    prop_oneof![
        30 => reserve,
        2 => pick.clone().prop_map(Step::ReserveAgain),
        3 => pick.clone().prop_map(Step::Withdraw),
        2 => pick.clone().prop_map(Step::Release),
        20 => (pick.clone(), prop::bool::weighted(0.1))
            .prop_map(|(offer, foreign)| Step::Claim { offer, foreign }),
        3 => pick.clone().prop_map(Step::Inquire),
        5 => pick.clone().prop_map(Step::FirstToken),
        15 => (pick, end()).prop_map(|(run, end)| Step::Finish { run, end }),
        3 => (0_u64..2, 0_u32..4).prop_map(|(boot, running)| Step::EndpointUp { boot, running }),
        1 => Just(Step::EndpointDown),
        1 => prop_oneof![Just(DataCentreState::Out), Just(DataCentreState::In)]
            .prop_map(Step::Centre),
        1 => Just(Step::Restart),
        10 => (0_u64..400).prop_map(|ms| Step::Advance(Duration::from_millis(ms))),
    ]
}

#[derive(Debug, Clone)]
struct Offered {
    id: ReservationId,
    offer: OfferId,
    cost: Cost,
    expiry: Timestamp,
    deadline: Timestamp,
    void: bool,
}

/// The agent under test and a complete record of its reservations, offers and runs.
struct Observer {
    agent: Agent,
    boot: u64,
    now: Timestamp,
    centre: DataCentreState,
    up: bool,
    reservations: Vec<Reservation>,
    waiting: Vec<(Reservation, Timestamp)>,
    offers: Vec<Offered>,
    /// Every run of every boot: offer, request, and whether the run is active.
    runs: Vec<(OfferId, RequestId, bool)>,
    /// Offers whose bodies the agent has reported never to run.
    never_run: BTreeSet<OfferId>,
}

impl Observer {
    fn new() -> Self {
        let mut observer = Self {
            agent: Agent::new(endpoint_name(0), BootNonce::new(0)),
            boot: 0,
            now: Timestamp::ZERO,
            centre: DataCentreState::In,
            up: false,
            reservations: Vec::new(),
            waiting: Vec::new(),
            offers: Vec::new(),
            runs: Vec::new(),
            never_run: BTreeSet::new(),
        };
        observer.start();
        observer
    }

    fn start(&mut self) {
        self.feed(Event::Configured(fleet(1, self.centre)));
        self.up = true;
        self.feed(Event::EndpointUp {
            boot: 0,
            running: 0,
        });
    }

    fn restart(&mut self) {
        self.boot += 1;
        self.agent = Agent::new(endpoint_name(0), BootNonce::new(self.boot));
        self.waiting.clear();
        for offer in &mut self.offers {
            offer.void = true;
        }
        for run in &mut self.runs {
            run.2 = false;
        }
        self.start();
    }

    fn valid_offers(&self) -> impl Iterator<Item = &Offered> {
        self.offers
            .iter()
            .filter(|o| !o.void && self.now < o.expiry)
    }

    fn active(&self) -> usize {
        self.runs.iter().filter(|run| run.2).count()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Reserve {
                request,
                attempt,
                cost,
                remaining,
            } => {
                let (tier, team) = ((request % 3) as u8, (request / 3 % 4) as usize);
                let mut wanted = reservation(reservation_id(request, attempt), tier, team, cost);
                wanted.remaining = remaining;
                self.reserve(wanted);
            }
            Step::ReserveAgain(pick) => {
                if let Some(earlier) = pick_of(&self.reservations, pick) {
                    self.reserve(earlier);
                }
            }
            Step::Withdraw(pick) => {
                if let Some(reservation) = pick_of(&self.reservations, pick) {
                    self.withdraw(reservation.id);
                }
            }
            Step::Release(pick) => {
                if let Some(offer) = pick_of(&self.offers, pick) {
                    self.void(|o| o.offer == offer.offer);
                    self.feed(Event::Release(offer.offer));
                }
            }
            Step::Claim { offer, foreign } => {
                if let Some(offer) = pick_of(&self.offers, offer) {
                    let own = offer.id.request;
                    let request = if foreign { RequestId::new(9_999) } else { own };
                    self.feed(Event::Claim {
                        offer: offer.offer,
                        request,
                    });
                }
            }
            Step::Inquire(pick) => {
                if let Some(offer) = pick_of(&self.offers, pick) {
                    let request = offer.id.request;
                    self.feed(Event::Inquire {
                        offer: offer.offer,
                        request,
                    });
                }
            }
            Step::FirstToken(pick) => {
                if let Some(run) = pick_of(&self.runs, pick) {
                    self.feed(Event::FirstToken(run.1));
                }
            }
            Step::Finish { run, end } => self.finish(run, end),
            Step::EndpointUp { boot, running } => {
                self.up = true;
                self.feed(Event::EndpointUp { boot, running });
            }
            Step::EndpointDown => {
                self.up = false;
                self.feed(Event::EndpointDown);
            }
            Step::Centre(state) => {
                self.centre = state;
                self.feed(Event::Configured(fleet(1, state)));
            }
            Step::Restart => self.restart(),
            Step::Advance(span) => {
                self.now = self.now + span;
                self.feed(Event::Tick);
            }
        }
    }

    fn reserve(&mut self, wanted: Reservation) {
        self.reservations.push(wanted.clone());
        let deadline = self.now + wanted.remaining;
        let request = wanted.id.request;
        let supersedes =
            |id: ReservationId| id.request == request && id.attempt >= wanted.id.attempt;
        let known = self.waiting.iter().any(|(other, _)| supersedes(other.id))
            || self.valid_offers().any(|offer| supersedes(offer.id));
        if !known {
            self.void(|offer| offer.id.request == request);
            self.waiting.push((wanted.clone(), deadline));
        }
        self.feed(Event::Reserve(wanted));
    }

    fn withdraw(&mut self, id: ReservationId) {
        self.void(|offer| offer.id == id);
        self.feed(Event::Withdraw(id));
        assert!(self.waiting.iter().all(|(waiting, _)| waiting.id != id));
    }

    fn finish(&mut self, pick: usize, end: RunEnd) {
        let active: Vec<_> = self
            .runs
            .iter()
            .filter(|run| run.2)
            .map(|run| run.1)
            .collect();
        let Some(request) = pick_of(&active, pick) else {
            return;
        };
        let position = self
            .runs
            .iter()
            .position(|run| run.2 && run.1 == request)
            .unwrap();
        match end {
            RunEnd::NotRun(_) => drop(self.runs.remove(position)),
            _ => self.runs[position].2 = false,
        }
        self.feed(Event::Finished { request, end });
    }

    fn void(&mut self, which: impl Fn(&Offered) -> bool) {
        self.offers
            .iter_mut()
            .filter(|o| which(o))
            .for_each(|o| o.void = true);
    }

    fn feed(&mut self, event: Event) {
        for action in self.agent.handle(event.clone(), self.now) {
            self.check(&event, action);
        }
        assert!(
            self.waiting
                .iter()
                .all(|(_, deadline)| self.now < *deadline),
            "a reservation waits past its deadline"
        );
        let next = self.waiting.iter().map(|(_, deadline)| *deadline).min();
        assert!(
            self.agent.wake() <= next.unwrap_or(Timestamp::NEVER),
            "the agent wakes after the earliest deadline"
        );
    }

    fn check(&mut self, event: &Event, action: Action) {
        match action {
            Action::Offer {
                id,
                offer,
                lifetime,
            } => self.offered(id, offer, lifetime),
            Action::Return { id, reason } => self.returned(event, id, reason),
            Action::Run(offer) => self.ran(event, offer),
            Action::Reject { offer, .. } => {
                let Event::Claim { request, .. } = event else {
                    panic!("rejection without a claim")
                };
                self.void(|other| other.offer == offer && other.id.request == *request);
            }
            Action::Close(offer) => {
                let Event::Claim { request, .. } = event else {
                    panic!("connection closed without a claim")
                };
                assert!(
                    self.runs.iter().any(|run| run.1 == *request),
                    "connection closed for a request that never ran"
                );
                self.void(|other| other.offer == offer);
            }
            Action::Report { request, status } => self.reported(event, request, status),
        }
    }

    fn offered(&mut self, id: ReservationId, offer: OfferId, lifetime: Duration) {
        assert_eq!(lifetime, OFFER_LIFETIME);
        assert!(
            self.up && self.centre == DataCentreState::In,
            "offer while the endpoint or the data centre is unavailable"
        );
        let (chosen, deadline) = self
            .remove_waiting(id)
            .expect("offer for a reservation that does not wait");
        assert!(self.now < deadline, "offer after the deadline");
        let limit = serde_json::to_value(self.agent.state()).unwrap()["limit"]
            .as_u64()
            .unwrap();
        let active = (self.active() + self.valid_offers().count()) as u64;
        let outranks = |other: &&(Reservation, _)| other.0.tier.outranks(chosen.tier);
        let passed_over = self.waiting.iter().find(outranks);
        let last_slots = active >= limit - limit / 4;
        assert!(
            passed_over.is_none() || last_slots,
            "{chosen:?} is served before {passed_over:?}"
        );
        let used: u64 = self.valid_offers().map(|o| o.cost.total()).sum();
        let active = self.active() + self.valid_offers().count();
        assert!(
            active < WARM as usize,
            "more requests than the warm capacity of the endpoint"
        );
        let alone = active == 0;
        assert!(
            alone || used + chosen.cost.total() <= crate::support::KV_TOKENS,
            "more KV tokens than the endpoint can hold"
        );
        assert!(
            self.offers.iter().all(|other| other.offer != offer),
            "two offers with the same id"
        );
        let expiry = self.now + lifetime;
        self.offers.push(Offered {
            id,
            offer,
            cost: chosen.cost,
            expiry,
            deadline,
            void: false,
        });
    }

    fn returned(&mut self, event: &Event, id: ReservationId, reason: ReturnReason) {
        let Some((returned, _)) = self.remove_waiting(id) else {
            assert!(
                matches!(event, Event::Reserve(r) if r.id == id),
                "unknown {id} returned"
            );
            return;
        };
        if matches!(reason, ReturnReason::Full | ReturnReason::Displaced) {
            let lower = self
                .waiting
                .iter()
                .find(|(other, _)| returned.tier.outranks(other.tier));
            assert!(lower.is_none(), "{returned:?} returned before {lower:?}");
        }
    }

    fn ran(&mut self, event: &Event, offer: OfferId) {
        let Event::Claim { request, .. } = event else {
            panic!("run without a claim")
        };
        let known = self
            .offers
            .iter_mut()
            .find(|o| o.offer == offer)
            .expect("unknown offer");
        assert!(!known.void, "run under a void or used offer");
        assert!(self.now < known.expiry, "run under an expired offer");
        assert!(self.now < known.deadline, "run after the deadline");
        assert_eq!(known.id.request, *request, "run under a foreign offer");
        known.void = true;
        assert!(
            !self.never_run.contains(&offer),
            "run after a report that it never runs"
        );
        let boot = offer.boot;
        let twice = self
            .runs
            .iter()
            .any(|run| run.0.boot == boot && run.1 == *request);
        assert!(!twice, "{request} runs twice");
        assert!(
            self.up && self.centre == DataCentreState::In,
            "run while the endpoint or the data centre is unavailable"
        );
        self.runs.push((offer, *request, true));
        let request = *request;
        self.void(|other| other.id.request == request);
    }

    fn reported(&mut self, event: &Event, request: RequestId, status: RunStatus) {
        let Event::Inquire { offer, .. } = event else {
            panic!("report without an inquiry")
        };
        if status == RunStatus::NeverRuns {
            let ran = self.runs.iter().any(|run| run.0 == *offer);
            assert!(!ran, "{request} ran but is reported never to run");
            self.never_run.insert(*offer);
            let offer = *offer;
            self.void(|other| other.offer == offer);
        }
    }

    fn remove_waiting(&mut self, id: ReservationId) -> Option<(Reservation, Timestamp)> {
        let position = self
            .waiting
            .iter()
            .position(|(waiting, _)| waiting.id == id)?;
        Some(self.waiting.remove(position))
    }
}

fn pick_of<T: Clone>(list: &[T], pick: usize) -> Option<T> {
    (!list.is_empty()).then(|| list[list.len() - 1 - pick % list.len()].clone())
}

proptest! {
    #![proptest_config(config(400, "tests/proptest-regressions/agent.txt"))]

    /// The invariants hold for any events in any order, and no reservation waits indefinitely.
    #[test]
    fn agent_invariants_hold_for_random_events(steps in prop::collection::vec(step(), 1..250)) {
        let mut observer = Observer::new();
        for step in steps {
            observer.step(step);
        }
        observer.step(Step::Advance(Duration::from_secs(60)));
        prop_assert!(observer.waiting.is_empty());
    }
}
