//! Ledgers joined by a network that loses, duplicates and delays, on one clock that only the
//! network sees.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::{Ask, HANDOVER, Ledger, Loan};
use super::step::Step;
use crate::fleet::{Fleet, Host, Team};
use crate::id::Generation;
use crate::name::{HostName, TeamName};
use crate::time::Timestamp;

pub(super) const RATE: u64 = 1_000;
pub(super) const BURST: u64 = 2_000;

/// Longest delay of a message.
const DELAY_MAX: Duration = Duration::from_millis(3_000);

/// A configuration reaches each host, and a pause ends, well within [`HANDOVER`].
const CONFIGURE_MAX: Duration = Duration::from_millis(5_000);
const PAUSE_MAX: Duration = Duration::from_millis(4_000);
const _: () = assert!(CONFIGURE_MAX.as_millis() + PAUSE_MAX.as_millis() < HANDOVER.as_millis());

pub(super) fn team() -> TeamName {
    "kakheti".parse().expect("a name")
}

pub(super) fn host(index: usize) -> HostName {
    format!("e{index}").parse().expect("a name")
}

pub(super) fn fleet(hosts: &[usize], generation: usize) -> Fleet {
    let declared = |&index: &usize| Host {
        name: host(index),
        centre: "tb1".parse().expect("a name"),
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

/// Tokens that were used of what a team was charged.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spend {
    pub(super) time: Timestamp,
    pub(super) tokens: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Ask {
        from: usize,
        to: usize,
        ask: Ask,
    },
    Answer {
        to: usize,
        boot: u64,
        ask: Ask,
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
    paused: Timestamp,
}

/// The network, its hosts and everything that was spent.
pub(super) struct Network {
    processes: BTreeMap<usize, Process>,
    configurations: Vec<Fleet>,
    messages: BTreeMap<(Timestamp, u64), Message>,
    random: ChaCha8Rng,
    loss: f64,
    now: Timestamp,
    next: u64,
    apart: Option<usize>,
    last_change: Timestamp,
    pub(super) asks: usize,
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
            next: 0,
            apart: None,
            last_change: Timestamp::ZERO,
            asks: 0,
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
            paused: Timestamp::ZERO,
        };
        self.processes.insert(index, process);
        self.confirm(index);
    }

    fn send(&mut self, delay: Duration, message: Message) {
        self.next += 1;
        self.messages.insert((self.now + delay, self.next), message);
    }

    /// Sends a message over the network, which may lose, delay or repeat it.
    fn transmit(&mut self, message: Message) {
        let copies = if self.random.random_bool(self.loss) {
            0
        } else {
            1 + usize::from(self.random.random_bool(self.loss / 2.0))
        };
        for _ in 0..copies {
            let slow = self.random.random_bool(self.loss / 2.0);
            let most = if slow {
                DELAY_MAX
            } else {
                Duration::from_millis(20)
            };
            let delay = most.mul_f64(self.random.random());
            self.send(delay, message.clone());
        }
    }

    fn clock(&self, index: usize) -> Timestamp {
        Timestamp::ZERO + self.now.since(self.processes[&index].origin)
    }

    fn confirm(&mut self, index: usize) {
        let now = self.clock(index);
        let Some(process) = self.processes.get_mut(&index) else {
            return;
        };
        let mut asks = process.ledger.confirmations(now);
        asks.extend(process.ledger.flush(now));
        self.ask(index, asks);
    }

    fn ask(&mut self, from: usize, asks: Vec<Ask>) {
        for ask in asks {
            self.asks += 1;
            let to = ask.peer.as_str()[1..].parse().expect("a number");
            self.transmit(Message::Ask { from, to, ask });
        }
    }

    /// Lets time pass and delivers what is due.
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
            if !self.is_paused(index) {
                self.confirm(index);
            }
        }
    }

    fn is_paused(&self, index: usize) -> bool {
        self.processes
            .get(&index)
            .is_some_and(|p| self.now < p.paused)
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.apart
            .is_some_and(|apart| (one < apart) != (other < apart))
    }

    fn deliver(&mut self, message: Message) {
        let target = match &message {
            Message::Ask { to, .. } | Message::Answer { to, .. } => *to,
            Message::Refund { host, .. } | Message::Configure { host, .. } => *host,
        };
        let Some(process) = self.processes.get(&target) else {
            return;
        };
        if self.is_paused(target) {
            let delay = process.paused.since(self.now);
            return self.send(delay, message);
        }
        let now = self.clock(target);
        match message {
            Message::Ask { from, to, ask } if !self.is_cut(from, to) => {
                self.answer(from, to, ask, now);
            }
            Message::Ask { .. } => {}
            Message::Answer {
                to,
                boot,
                ask,
                loan,
            } => {
                let process = self.processes.get_mut(&to).filter(|p| p.boot == boot);
                if let Some(process) = process {
                    process.ledger.lent(&ask, loan, now);
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

    fn answer(&mut self, from: usize, to: usize, ask: Ask, now: Timestamp) {
        let Some(lender) = self.processes.get_mut(&to) else {
            return;
        };
        let asked = Ask {
            peer: host(from),
            ..ask.clone()
        };
        let loan = lender.ledger.lend(&asked, None, now);
        let boot = self.processes.get(&from).map_or(0, |p| p.boot);
        if !self.is_cut(from, to) {
            self.transmit(Message::Answer {
                to: from,
                boot,
                ask,
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
        if self.is_paused(index) || !self.processes.contains_key(&index) {
            return;
        }
        let now = self.clock(index);
        let process = self.processes.get_mut(&index);
        let asks = process.map(|p| p.ledger.asks(&team(), tokens, tokens, now));
        self.ask(index, asks.unwrap_or_default());
    }

    fn drain(&mut self) {
        for index in self.processes.keys().copied().collect::<Vec<_>>() {
            if self.is_paused(index) {
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

    /// Charges a request or asks for what it lacks, without waiting for the answers.
    pub(super) fn spend_or_ask(&mut self, index: usize, tokens: u64) {
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
            let asks = process.ledger.asks(&team(), tokens, tokens, now);
            self.ask(index, asks);
        }
    }

    /// Charges a request, borrowing for half a second if need be. Returns whether it may run.
    pub(super) fn spend(&mut self, index: usize, tokens: u64, used: u64) -> bool {
        self.spend_and_hold(index, tokens, used, 0)
    }

    fn spend_and_hold(&mut self, index: usize, tokens: u64, used: u64, hold: u64) -> bool {
        for _ in 0..25 {
            if self.is_paused(index) || !self.processes.contains_key(&index) {
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
            let asks = process.ledger.asks(&team(), tokens, tokens, now);
            self.ask(index, asks);
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
                let until = self.now + Duration::from_millis(millis).min(PAUSE_MAX);
                if let Some(process) = self.processes.get_mut(&host) {
                    process.paused = process.paused.max(until);
                }
            }
            Step::Restart(host) => {
                if let Some(version) = self.processes.get(&host).map(|p| p.version) {
                    self.start(host, version);
                }
            }
            Step::Partition(apart) => self.apart = Some(apart),
            Step::Heal => self.apart = None,
            Step::Hosts(hosts) => self.publish(&hosts),
        }
    }

    /// Publishes another set of hosts. Each host learns of it after a time of its own.
    fn publish(&mut self, hosts: &BTreeSet<usize>) {
        if self.now < self.last_change + HANDOVER {
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

    /// Compares what was spent with one exact bucket that was full at the start.
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
