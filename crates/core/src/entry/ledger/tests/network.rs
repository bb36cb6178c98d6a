//! Simulated network of ledgers that loses, duplicates and delays messages. The network has one
//! clock; each process sees only the time since its own start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::{HANDOVER_TIME, Ledger, Loan, LoanRequest};
use super::step::Step;
use crate::fleet::{Fleet, Host, Team};
use crate::id::Generation;
use crate::name::{HostName, TeamName};
use crate::time::Timestamp;

pub(super) const RATE: u64 = 1_000;
pub(super) const BURST: u64 = 2_000;

/// Maximum delay of a message.
const DELAY_MAX: Duration = Duration::from_millis(3_000);

/// Bounds of the delivery of a configuration and of a suspension. Their sum must be less than
/// [`HANDOVER_TIME`], which assumes that every host has the configuration by then.
const CONFIGURE_MAX: Duration = Duration::from_millis(5_000);
const SUSPENSION_MAX: Duration = Duration::from_millis(4_000);
const _: () =
    assert!(CONFIGURE_MAX.as_millis() + SUSPENSION_MAX.as_millis() < HANDOVER_TIME.as_millis());

pub(super) fn team() -> TeamName {
    "kakheti".parse().expect("valid name")
}

pub(super) fn host(index: usize) -> HostName {
    format!("e{index}").parse().expect("valid name")
}

pub(super) fn fleet(hosts: &[usize], generation: usize) -> Fleet {
    let declared = |&index: &usize| Host {
        name: host(index),
        centre: "tb1".parse().expect("valid name"),
        control: ([127, 0, 0, 1], 1_000 + index as u16).into(),
    };
    let team = Team {
        name: team(),
        rate: RATE,
        burst: BURST,
        weight: 1,
        keys: BTreeSet::new(),
        routes: BTreeSet::new(),
    };
    let mut fleet = Fleet::default();
    fleet.generations = BTreeMap::from([("hosts".to_owned(), Generation(generation as u64))]);
    fleet.hosts = hosts
        .iter()
        .map(declared)
        .map(|h| (h.name.clone(), h))
        .collect();
    fleet.teams = BTreeMap::from([(team.name.clone(), team)]);
    fleet
}

/// Tokens that were used, out of those charged to the team.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spend {
    pub(super) time: Timestamp,
    pub(super) tokens: u64,
}

#[derive(Debug, Clone)]
enum Message {
    LoanRequest {
        from: usize,
        to: usize,
        request: LoanRequest,
    },
    Answer {
        to: usize,
        boot: u64,
        request: LoanRequest,
        loan: Option<Loan>,
    },
    Refund {
        host: usize,
        boot: u64,
        charge: super::super::Charge,
        unused: u64,
    },
    Configure {
        host: usize,
        version: usize,
    },
}

struct Process {
    ledger: Ledger,
    boot: u64,
    origin: Timestamp,
    version: usize,
    suspended_until: Timestamp,
}

/// The network, its processes and all tokens spent.
pub(super) struct Network {
    processes: BTreeMap<usize, Process>,
    configurations: Vec<Fleet>,
    messages: BTreeMap<(Timestamp, u64), Message>,
    random: ChaCha8Rng,
    loss: f64,
    now: Timestamp,
    next_number: u64,
    partition: Option<usize>,
    last_change: Timestamp,
    pub(super) requests: usize,
    pub(super) spends: Vec<Spend>,
}

impl Network {
    pub(super) fn new(hosts: &[usize], seed: u64) -> Self {
        let mut network = Self {
            processes: BTreeMap::new(),
            configurations: vec![fleet(hosts, 1)],
            messages: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.1,
            now: Timestamp::from_millis(1_000_000),
            next_number: 0,
            partition: None,
            last_change: Timestamp::ZERO,
            requests: 0,
            spends: Vec::new(),
        };
        for &index in hosts {
            network.start(index, 0);
        }
        network
    }

    pub(super) fn with_loss(mut self, loss: f64) -> Self {
        self.loss = loss;
        self
    }

    fn start(&mut self, index: usize, version: usize) {
        let boot = self.random.random();
        let mut ledger = Ledger::new(host(index), boot);
        ledger.configure(&self.configurations[version], Timestamp::ZERO);
        let process = Process {
            ledger,
            boot,
            origin: self.now,
            version,
            suspended_until: Timestamp::ZERO,
        };
        self.processes.insert(index, process);
        self.send_due(index);
    }

    fn send(&mut self, delay: Duration, message: Message) {
        self.next_number += 1;
        self.messages
            .insert((self.now + delay, self.next_number), message);
    }

    /// Sends a message that may be lost, delayed or duplicated.
    fn transmit(&mut self, message: Message) {
        let copies = if self.random.random_bool(self.loss) {
            0
        } else {
            1 + usize::from(self.random.random_bool(self.loss / 2.0))
        };
        for _ in 0..copies {
            let slow = self.random.random_bool(self.loss / 2.0);
            let max_delay = if slow {
                DELAY_MAX
            } else {
                Duration::from_millis(20)
            };
            let delay = max_delay.mul_f64(self.random.random());
            self.send(delay, message.clone());
        }
    }

    fn clock(&self, index: usize) -> Timestamp {
        Timestamp::ZERO + self.now.since(self.processes[&index].origin)
    }

    fn send_due(&mut self, index: usize) {
        let now = self.clock(index);
        let Some(process) = self.processes.get_mut(&index) else {
            return;
        };
        let mut requests = process.ledger.confirmation_requests(now);
        requests.extend(process.ledger.flush(now));
        self.send_requests(index, requests);
    }

    fn send_requests(&mut self, from: usize, requests: Vec<LoanRequest>) {
        for request in requests {
            self.requests += 1;
            let to = request.peer.as_str()[1..].parse().expect("host index");
            self.transmit(Message::LoanRequest { from, to, request });
        }
    }

    /// Advances the clock and delivers the messages that are due.
    pub(super) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((&(time, _), _)) = self.messages.first_key_value()
            && time <= end
        {
            let Some((_, message)) = self.messages.pop_first() else {
                break;
            };
            self.now = self.now.max(time);
            self.deliver(message);
        }
        self.now = end;
        for index in self.processes.keys().copied().collect::<Vec<_>>() {
            if !self.is_suspended(index) {
                self.send_due(index);
            }
        }
    }

    fn is_suspended(&self, index: usize) -> bool {
        self.processes
            .get(&index)
            .is_some_and(|p| self.now < p.suspended_until)
    }

    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        self.partition
            .is_some_and(|partition| (one < partition) != (other < partition))
    }

    fn deliver(&mut self, message: Message) {
        let target = match &message {
            Message::LoanRequest { to, .. } | Message::Answer { to, .. } => *to,
            Message::Refund { host, .. } | Message::Configure { host, .. } => *host,
        };
        let Some(process) = self.processes.get(&target) else {
            return;
        };
        if self.is_suspended(target) {
            let delay = process.suspended_until.since(self.now);
            return self.send(delay, message);
        }
        let now = self.clock(target);
        match message {
            Message::LoanRequest { from, to, request } if !self.is_partitioned(from, to) => {
                self.answer(from, to, request, now);
            }
            Message::LoanRequest { .. } => {}
            Message::Answer {
                to,
                boot,
                request,
                loan,
            } => {
                let process = self.processes.get_mut(&to).filter(|p| p.boot == boot);
                if let Some(process) = process {
                    process.ledger.apply_answer(&request, loan, now);
                }
            }
            Message::Refund {
                host,
                boot,
                charge,
                unused,
            } => {
                let process = self.processes.get_mut(&host).filter(|p| p.boot == boot);
                if let Some(process) = process {
                    process.ledger.refund(&team(), &charge, unused, now);
                }
            }
            Message::Configure { host, version } => self.configure(host, version, now),
        }
    }

    fn answer(&mut self, from: usize, to: usize, request: LoanRequest, now: Timestamp) {
        let Some(lender) = self.processes.get_mut(&to) else {
            return;
        };
        let received = LoanRequest {
            peer: host(from),
            ..request.clone()
        };
        let loan = lender.ledger.lend(&received, None, now);
        let boot = self.processes.get(&from).map_or(0, |p| p.boot);
        if !self.is_partitioned(from, to) {
            self.transmit(Message::Answer {
                to: from,
                boot,
                request,
                loan: Some(loan),
            });
        }
    }

    fn configure(&mut self, index: usize, version: usize, now: Timestamp) {
        let Some(process) = self.processes.get_mut(&index) else {
            return;
        };
        if process.version < version {
            process.version = version;
            process.ledger.configure(&self.configurations[version], now);
        }
    }

    fn borrow(&mut self, index: usize, tokens: u64) {
        if self.is_suspended(index) || !self.processes.contains_key(&index) {
            return;
        }
        let now = self.clock(index);
        let process = self.processes.get_mut(&index);
        let requests = process.map(|p| p.ledger.loan_requests(&team(), tokens, tokens, now));
        self.send_requests(index, requests.unwrap_or_default());
    }

    fn drain(&mut self) {
        for index in self.processes.keys().copied().collect::<Vec<_>>() {
            if self.is_suspended(index) {
                continue;
            }
            let now = self.clock(index);
            let time = self.now;
            let Some(process) = self.processes.get_mut(&index) else {
                continue;
            };
            for tokens in (0..12).rev().map(|bit| 1 << bit) {
                while process.ledger.take(&team(), tokens, now).is_ok() {
                    self.spends.push(Spend { time, tokens });
                }
            }
        }
    }

    /// Charges a request, or sends loan requests for the missing tokens without waiting for the
    /// answers.
    pub(super) fn spend_or_borrow(&mut self, index: usize, tokens: u64) {
        let now = self.clock(index);
        let Some(process) = self.processes.get_mut(&index) else {
            return;
        };
        if process.ledger.take(&team(), tokens, now).is_ok() {
            self.spends.push(Spend {
                time: self.now,
                tokens,
            });
        } else {
            let requests = process.ledger.loan_requests(&team(), tokens, tokens, now);
            self.send_requests(index, requests);
        }
    }

    /// Charges a request, borrowing for up to half a second. Returns whether it was charged.
    pub(super) fn spend(&mut self, index: usize, tokens: u64, used: u64) -> bool {
        self.spend_and_hold(index, tokens, used, 0)
    }

    fn spend_and_hold(&mut self, index: usize, tokens: u64, used: u64, hold: u64) -> bool {
        for _ in 0..25 {
            if self.is_suspended(index) || !self.processes.contains_key(&index) {
                return false;
            }
            let now = self.clock(index);
            let Some(process) = self.processes.get_mut(&index) else {
                return false;
            };
            let boot = process.boot;
            if let Ok(charge) = process.ledger.take(&team(), tokens, now) {
                self.spends.push(Spend {
                    time: self.now,
                    tokens: used,
                });
                let unused = tokens - used;
                let refund = Message::Refund {
                    host: index,
                    boot,
                    charge,
                    unused,
                };
                self.send(Duration::from_millis(hold), refund);
                return true;
            }
            let requests = process.ledger.loan_requests(&team(), tokens, tokens, now);
            self.send_requests(index, requests);
            self.advance(Duration::from_millis(20));
        }
        false
    }

    pub(super) fn perform(&mut self, step: Step) {
        match step {
            Step::Spend {
                host,
                tokens,
                used,
                hold,
            } => {
                self.spend_and_hold(host, tokens, used, hold);
            }
            Step::Borrow { host, tokens } => self.borrow(host, tokens),
            Step::Drain => self.drain(),
            Step::Wait(millis) => self.advance(Duration::from_millis(millis)),
            Step::Pause { host, millis } => {
                let until = self.now + Duration::from_millis(millis).min(SUSPENSION_MAX);
                if let Some(process) = self.processes.get_mut(&host) {
                    process.suspended_until = process.suspended_until.max(until);
                }
            }
            Step::Restart(host) => {
                if let Some(version) = self.processes.get(&host).map(|p| p.version) {
                    self.start(host, version);
                }
            }
            Step::Partition(partition) => self.partition = Some(partition),
            Step::Heal => self.partition = None,
            Step::Hosts(hosts) => self.publish(&hosts),
        }
    }

    /// Publishes another set of hosts. It reaches each host after a random delay.
    fn publish(&mut self, hosts: &BTreeSet<usize>) {
        if self.now < self.last_change + HANDOVER_TIME {
            return;
        }
        self.last_change = self.now;
        let version = self.configurations.len();
        let hosts: Vec<usize> = hosts.iter().copied().collect();
        self.configurations.push(fleet(&hosts, version + 1));
        for index in self.processes.keys().copied().collect::<Vec<_>>() {
            let delay = CONFIGURE_MAX.mul_f64(self.random.random());
            self.send(
                delay,
                Message::Configure {
                    host: index,
                    version,
                },
            );
        }
        for index in hosts {
            if !self.processes.contains_key(&index) {
                self.start(index, version);
            }
        }
    }

    /// Checks the tokens spent against one exact bucket that was full at the start.
    pub(super) fn check(&mut self) {
        self.spends.sort_by_key(|spend| spend.time);
        let (mut level, mut updated) = (u128::from(BURST) * 1_000_000, Timestamp::ZERO);
        for spend in &self.spends {
            let filled = spend.time.since(updated).as_micros() * u128::from(RATE);
            level = (level + filled).min(u128::from(BURST) * 1_000_000);
            updated = spend.time;
            let need = u128::from(spend.tokens) * 1_000_000;
            assert!(need <= level, "over rate and burst at {}", spend.time);
            level -= need;
        }
    }
}
