//! Messages of other builds: recorded ones of earlier commits, and ones that this build does not know.
//!
//! `fixtures/COMMIT` holds what the build of that commit sent for the messages of [`message`] and
//! [`snapshot`]. `fixtures/current` holds what this build sends.

use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::KeyDigest;
use comfreyhaven_core::direct::{
    Access, BrokenRequest, ContainmentReport, CrashStatement, DepartedEndpoint, Echo, EndpointLoad,
    EndpointNotice, EndpointRecord, Fate, HoldStatement, Identity, KindTimes, LendingMessage,
    LimitStatement, MemberStatus, Origin, OriginMessage, Plan, PlanTeam, Pool, PoolWork, Report,
    RequestLimit, RetryPolicy, Route, Scope, SectionStatus, ServiceLoad, ServicePlan, Snapshot,
    SoundStatement, StoreRevision, StreamDigest, TeamWork, TimeCount, Unit, WeightedService,
};
use comfreyhaven_core::request::{BodyDigest, PartDigest};
use rand::{Rng, SeedableRng};

use super::{MessageFault, PeerMessage, decode, encode};

/// Earlier builds whose messages are recorded, oldest first.
const EARLIER: [&str; 2] = ["7527256", "230e1a1"];

/// Builds whose messages hold all facts of the current ones.
const COMPLETE: [&str; 1] = ["230e1a1"];

const KINDS: [&str; 3] = ["report", "origin", "lending"];

fn identity(boot: u64) -> Identity {
    Identity {
        boot,
        started: 1_500_000,
        centre: 0x00c0_ffee,
        capacity: 500,
        leaving: boot == 2,
    }
}

fn containment() -> ContainmentReport {
    ContainmentReport {
        crashes: vec![CrashStatement {
            incarnation: 7,
            age: 900,
            fate: Fate::Ended,
            requests: vec![BrokenRequest {
                body: BodyDigest(11),
                parts: vec![PartDigest(12), PartDigest(u64::MAX)],
                begun: true,
            }],
        }],
        sound: vec![SoundStatement {
            digest: 13,
            age: 70_000,
        }],
        holds: vec![HoldStatement {
            parts: vec![PartDigest(12)],
            tests: 2,
            age: 100,
            span: 8_000,
            evidence: 3,
        }],
    }
}

fn report() -> Report {
    Report {
        scope: Scope::Centre,
        identity: identity(1),
        sent: 9_000_000,
        interval: 200,
        expects: true,
        echo: Some(Echo {
            boot: 2,
            sent: 8_900_000,
        }),
        lag: 120,
        version: 41,
        age: Some(350),
        sections: [
            SectionStatus {
                revision: StoreRevision::new(1, 40),
                age: Some(200),
            },
            SectionStatus {
                revision: StoreRevision::new(1, 44),
                age: None,
            },
        ],
        loads: vec![
            EndpointLoad {
                endpoint: u64::MAX - 1,
                running: 12,
                pending: 70_000,
                event_interval: 243,
                held: 0,
            },
            EndpointLoad {
                endpoint: 5,
                running: 1,
                pending: 0,
                event_interval: 0,
                held: 0,
            },
        ],
        services: vec![ServiceLoad {
            service: 6,
            running: 13,
            waiting: 4,
            urgent: 1,
        }],
        spent: vec![(21, 400_000), (22, -5)],
        containment: containment(),
        members: vec![MemberStatus {
            address: ([10, 0, 0, 2], 7_600).into(),
            identity: identity(2),
            sent: 8_900_000,
            age: 40,
        }],
        notices: vec![EndpointNotice {
            endpoint: 5,
            started_ms: 1_700_000_000_000,
            leaving: false,
            pause: 1_500,
            limit: Some(LimitStatement {
                limit: Some(RequestLimit::new(2.5)),
                age: 30,
            }),
        }],
        shares: vec![PoolWork {
            pool: Pool {
                service: 6,
                team_rank: 1,
                rank: 2,
            },
            owed: 3,
            teams: vec![TeamWork {
                team: 21,
                used: 5,
                unmet: 6,
            }],
            rest: TeamWork::default(),
        }],
        answer_times: vec![KindTimes {
            kind: 8,
            counts: vec![TimeCount {
                bucket: 9,
                answered: 10,
                cancelled: 11,
            }],
        }],
    }
}

fn origin() -> Origin {
    Origin {
        service: "app".into(),
        build: "v1".into(),
        endpoint: Some("i-1".into()),
    }
}

fn message(kind: &str) -> PeerMessage {
    match kind {
        "report" => PeerMessage::Report(Box::new(report())),
        "origin" => PeerMessage::Origin(OriginMessage::Known {
            stream: StreamDigest(77),
            origin: origin(),
            lifetime: 12_000,
        }),
        _ => PeerMessage::Lending(LendingMessage::Denied {
            endpoint: (5, 1_700_000_000_000),
            number: 3,
            wait: 250,
        }),
    }
}

fn plan() -> Plan {
    let mut plan = Plan {
        version: 41,
        services: BTreeMap::from([(
            Arc::from("app"),
            ServicePlan {
                name: "app".into(),
                cold_capacity: 20.0,
                warmup: Duration::from_secs(3),
                reservation: Duration::from_millis(400),
                event_tokens: 8.0,
                memory_tokens: 0,
            },
        )]),
        teams: vec![Arc::new(PlanTeam {
            name: "kakheti".into(),
            rank: Some(1),
            unit: Unit::Tokens,
            plain_units: 200,
            rate: 36_000,
            burst: 72_000,
        })],
        keys: HashMap::from([(KeyDigest::of_key("key"), 0)]),
        keyed: true,
        header_bytes: 8_192,
        body_bytes: 65_536,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
        ..Plan::default()
    };
    plan.add_route(Route {
        name: "look".into(),
        host: "callers.example".into(),
        prefix: "/look/".into(),
        split: vec![WeightedService {
            service: "app".into(),
            weight: 1,
        }],
        access: Access::Keyed,
        retry: RetryPolicy::Resumable,
        streaming: true,
        timeout: Duration::from_secs(12),
        objective: Duration::from_millis(300),
        event_gap: Some(Duration::from_millis(300)),
        rank: 1,
        max_attempts: 2,
    });
    plan
}

fn snapshot() -> Snapshot {
    let record = EndpointRecord {
        id: "i-1".into(),
        service: "app".into(),
        address: ([10, 0, 1, 1], 8_080).into(),
        centre: "a".into(),
        build: "v1".into(),
        slots: 13,
        leaving: false,
        cold: Duration::from_millis(1_200),
        sequence: 4,
        started_ms: 1_700_000_000_000,
    };
    Snapshot {
        plan: Some(plan()),
        endpoints: vec![(record, Some(900))],
        known: vec![1, 2],
        departed: vec![DepartedEndpoint {
            id: "i-2".into(),
            started_ms: 1_600_000_000_000,
            sequence: 9,
        }],
        closed: vec!["b".into()],
        kept: vec![("c".into(), 700)],
        revisions: [StoreRevision::new(1, 40), StoreRevision::new(1, 44)],
        version: 41,
        age: Some(350),
        shown: 41,
    }
}

fn fixture(build: &str, name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/peers/fixtures");
    folder.join(build).join(format!("{name}.msgpack"))
}

fn recorded(build: &str, name: &str) -> Vec<u8> {
    let path = fixture(build, name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns what this build sends, by the names of the fixtures.
fn sent() -> Vec<(&'static str, Vec<u8>)> {
    let messages = KINDS.map(|kind| (kind, encode(&message(kind)).expect("not encoded")));
    let snapshot = rmp_serde::to_vec_named(&snapshot()).expect("not encoded");
    messages
        .into_iter()
        .chain([("snapshot", snapshot)])
        .collect()
}

#[test]
fn messages_of_earlier_builds_are_read() {
    for build in EARLIER {
        for kind in KINDS {
            let mut expected = message(kind);
            if let PeerMessage::Report(report) = &mut expected
                && !COMPLETE.contains(&build)
            {
                report.shares.clear();
                report.answer_times.clear();
            }
            let read = decode(&recorded(build, kind)).expect("cannot be read");
            assert_eq!(read, expected, "{kind} of {build}");
        }
        let read: Snapshot =
            rmp_serde::from_slice(&recorded(build, "snapshot")).expect("cannot be read");
        assert_eq!(read, snapshot(), "{build}");
    }
}

/// The builds of [`EARLIER`] were seen to read the files in `fixtures/current`. If this build is to
/// send anything else, see CONTRIBUTING, "Messages between entries".
#[test]
fn what_earlier_builds_read_is_sent() {
    for (name, bytes) in sent() {
        assert_eq!(recorded("current", name), bytes, "{name}");
    }
}

/// A map with one more name, as a later build may send it.
fn with_unknown_name(map: &[u8]) -> Vec<u8> {
    const MAP_16: u8 = 0xde;
    const FIX_MAP: u8 = 0x80;
    let (entries, rest) = match map {
        [MAP_16, high, low, rest @ ..] => (u16::from_be_bytes([*high, *low]), rest),
        [first, rest @ ..] => (u16::from(first - FIX_MAP), rest),
        [] => panic!("no map"),
    };
    let mut changed = vec![MAP_16];
    changed.extend((entries + 1).to_be_bytes());
    changed.extend(rmp_serde::to_vec(&("later", vec![(1, "x")])).expect("not encoded")[1..].iter());
    changed.extend(rest);
    changed
}

#[test]
fn unknown_names_are_skipped() {
    let bytes = encode(&message("report")).expect("not encoded");
    // The report follows the map of the kind, `{"r": report}`.
    let (kind, report) = bytes.split_at(3);
    let changed = [kind, &with_unknown_name(report)].concat();
    assert_eq!(decode(&changed).expect("cannot be read"), message("report"));
    let bytes = rmp_serde::to_vec_named(&snapshot()).expect("not encoded");
    let read: Snapshot = rmp_serde::from_slice(&with_unknown_name(&bytes)).expect("cannot be read");
    assert_eq!(read, snapshot());
}

#[test]
fn an_unknown_kind_is_told_from_content_that_cannot_be_read() {
    let later = HashMap::from([("n", vec![("later", 1)])]);
    let bytes = rmp_serde::to_vec(&later).expect("not encoded");
    let fault = decode(&bytes).expect_err("known");
    assert!(
        matches!(&fault, MessageFault::Kind(kind) if **kind == *"n"),
        "{fault}"
    );
    let content = HashMap::from([("r", 5)]);
    let bytes = rmp_serde::to_vec(&content).expect("not encoded");
    let fault = decode(&bytes).expect_err("known");
    assert!(matches!(fault, MessageFault::Content(_)), "{fault}");
}

/// Damaged messages of every build are read or rejected; none ends the process.
#[test]
fn damaged_messages_are_read_or_rejected() {
    let mut random = rand::rngs::StdRng::seed_from_u64(1);
    for build in EARLIER.into_iter().chain(["current"]) {
        for kind in KINDS.into_iter().chain(["snapshot"]) {
            let bytes = recorded(build, kind);
            for _ in 0..2_000 {
                let mut damaged = bytes.clone();
                for _ in 0..random.random_range(1..4) {
                    let index = random.random_range(0..damaged.len());
                    damaged[index] = random.random();
                }
                if random.random_bool(0.3) {
                    damaged.truncate(random.random_range(0..damaged.len()));
                }
                drop(decode(&damaged));
                drop(rmp_serde::from_slice::<Snapshot>(&damaged));
            }
        }
    }
}
