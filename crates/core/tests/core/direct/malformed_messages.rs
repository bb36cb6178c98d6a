//! Messages of peers whose fields hold any values: of another version, damaged, or made up.

use std::net::SocketAddr;

use comfreyhaven_core::direct::{
    BrokenRequest, ContainmentReport, CrashStatement, Echo, EndpointLoad, EndpointNotice, Fate,
    Fingerprint, HoldStatement, Identity, KindTimes, LendingMessage, LimitStatement, MemberStatus,
    Policies, Pool, PoolWork, Report, RequestLimit, Scheduler, Scope, SectionStatus, ServiceLoad,
    SoundStatement, StoreRevision, TeamWork, TimeCount, digest,
};
use comfreyhaven_core::request::{BodyDigest, PartDigest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::availability::{record, submit};
use super::{SERVICE, address, at, scheduler, team};

/// Draws numbers at the limits of their types as often as any others.
struct Values(ChaCha8Rng);

impl Values {
    fn number(&mut self) -> u64 {
        match self.0.random_range(0..6) {
            0 => 0,
            1 => 1,
            2 => u64::MAX,
            3 => i64::MAX as u64,
            4 => self.0.random_range(0..2_000_000_000),
            _ => self.0.random(),
        }
    }

    fn signed(&mut self) -> i64 {
        match self.0.random_range(0..4) {
            0 => i64::MIN,
            1 => i64::MAX,
            _ => self.number() as i64,
        }
    }

    fn small(&mut self) -> u32 {
        self.number() as u32
    }

    fn tiny(&mut self) -> u16 {
        self.number() as u16
    }

    fn flag(&mut self) -> bool {
        self.0.random()
    }

    fn list<T>(&mut self, mut value: impl FnMut(&mut Self) -> T) -> Vec<T> {
        let count = self.0.random_range(0..4);
        (0..count).map(|_| value(self)).collect()
    }

    fn address(&mut self) -> SocketAddr {
        address(self.0.random_range(1..=14))
    }

    /// A digest of something that the entry knows, or any number.
    fn known(&mut self, name: &str) -> u64 {
        if self.flag() {
            digest(name)
        } else {
            self.number()
        }
    }

    fn identity(&mut self) -> Identity {
        Identity {
            boot: self.0.random_range(1_000..1_006),
            started: self.number(),
            centre: self.known("a"),
            capacity: self.tiny(),
            leaving: self.flag(),
        }
    }

    fn revision(&mut self) -> StoreRevision {
        StoreRevision::new(self.number(), self.number())
    }

    fn limit(&mut self) -> Option<LimitStatement> {
        self.flag().then(|| LimitStatement {
            limit: self
                .flag()
                .then(|| RequestLimit::new(self.number() as f64 / 1_000.0)),
            age: self.small(),
        })
    }

    fn report(&mut self) -> Report {
        let scopes = [Scope::Entry, Scope::Centre, Scope::Fleet];
        Report {
            scope: scopes[self.0.random_range(0..3)],
            identity: self.identity(),
            sent: self.number(),
            interval: self.tiny(),
            expects: self.flag(),
            echo: self.flag().then(|| Echo {
                boot: self.0.random_range(1_000..1_006),
                sent: self.number(),
            }),
            lag: self.small(),
            version: self.number(),
            age: self.flag().then(|| self.small()),
            sections: [self.section(), self.section()],
            loads: self.list(|values| EndpointLoad {
                endpoint: values.known("x"),
                running: values.tiny(),
                pending: values.small(),
                event_interval: values.tiny(),
                held: values.small(),
            }),
            services: self.list(|values| ServiceLoad {
                service: values.known(SERVICE),
                running: values.tiny(),
                waiting: values.tiny(),
                urgent: values.tiny(),
            }),
            spent: self.list(|values| (values.known("kakheti"), values.signed())),
            containment: self.containment(),
            members: self.list(|values| MemberStatus {
                address: values.address(),
                identity: values.identity(),
                sent: values.number(),
                age: values.small(),
            }),
            notices: self.list(|values| EndpointNotice {
                endpoint: values.known("x"),
                started_ms: if values.flag() { 1 } else { values.number() },
                leaving: values.flag(),
                pause: values.small(),
                limit: values.limit(),
            }),
            answer_times: self.list(|values| KindTimes {
                kind: values.known(SERVICE),
                counts: values.list(|values| TimeCount {
                    bucket: values.number() as u8,
                    answered: values.small(),
                    cancelled: values.small(),
                }),
            }),
            shares: self.list(|values| PoolWork {
                pool: Pool {
                    service: values.known(SERVICE),
                    team_rank: values.tiny() as u8,
                    rank: values.tiny() as u8,
                },
                owed: values.tiny(),
                teams: values.list(Values::team_work),
                rest: values.team_work(),
            }),
        }
    }

    fn team_work(&mut self) -> TeamWork {
        TeamWork {
            team: self.known("kakheti"),
            used: self.small(),
            unmet: self.small(),
        }
    }

    fn parts(&mut self) -> Vec<PartDigest> {
        self.list(|values| PartDigest(values.number()))
    }

    fn containment(&mut self) -> ContainmentReport {
        let fates = [Fate::Unknown, Fate::Lives, Fate::Ended];
        ContainmentReport {
            crashes: self.list(|values| CrashStatement {
                incarnation: values.number(),
                age: values.small(),
                fate: fates[values.0.random_range(0..3)],
                requests: values.list(|values| BrokenRequest {
                    body: BodyDigest(values.number()),
                    parts: values.parts(),
                    begun: values.flag(),
                }),
            }),
            sound: self.list(|values| SoundStatement {
                digest: values.number(),
                age: values.small(),
            }),
            holds: self.list(|values| HoldStatement {
                parts: values.parts(),
                tests: values.small(),
                age: values.small(),
                span: values.small(),
                evidence: values.small(),
            }),
        }
    }

    fn section(&mut self) -> SectionStatus {
        SectionStatus {
            revision: self.revision(),
            age: self.flag().then(|| self.small()),
        }
    }

    fn lending(&mut self) -> LendingMessage {
        let endpoint = (self.known("x"), 1);
        let number = self.0.random_range(0..4);
        match self.0.random_range(0..3) {
            0 => LendingMessage::Ask { endpoint, number },
            1 => LendingMessage::Lent { endpoint, number },
            _ => LendingMessage::Denied {
                endpoint,
                number,
                wait: self.small(),
            },
        }
    }
}

/// Does all that a running entry does between two messages.
fn go_on(entry: &mut Scheduler, step: u64) {
    let now = at(step * 20);
    let request = Fingerprint {
        body: BodyDigest(step % 2),
        parts: [PartDigest(0), PartDigest(1), PartDigest(u64::MAX)].into(),
    };
    let _ = entry.admit(&request, now);
    let containment = entry.containment_mut();
    containment.record_break(&request, step % 4, false, now);
    containment.record_end(step % 4, now);
    containment.record_sound(&request, at(step * 19), now);
    let team = team(1_000);
    let _ = entry.charge(&team, 100, 0, now);
    let _ = submit(entry, step, step * 20);
    entry.process_queues(now);
    entry.lending_questions(now);
    entry.reports(now);
    entry.expire_peers(now);
    entry.remove_expired(now);
    entry.release_kept(now);
    let _ = entry.report_lag(now);
}

/// Guards against one message that ends a process, or the task that receives messages: overflows are
/// errors here.
#[test]
fn no_message_of_a_peer_ends_an_entry() {
    for seed in 0..60 {
        let mut values = Values(ChaCha8Rng::seed_from_u64(seed));
        // In a fleet of over eight entries, this one may be an aggregator.
        let capacity = values.tiny();
        let policies = Policies {
            team_shares: seed % 2 == 1,
            ..Policies::default()
        };
        let mut entry = scheduler(1, &[2, 3])
            .with_capacity(capacity)
            .with_policies(policies);
        entry.upsert_endpoint(record("x", 1), at(0));
        for step in 1..200 {
            let from = values.address();
            let now = at(step * 20);
            if values.flag() {
                let report = values.report();
                entry.apply_report(from, report, now);
            } else {
                let message = values.lending();
                entry.apply_lending_message(from, message, now);
            }
            go_on(&mut entry, step);
        }
    }
}
