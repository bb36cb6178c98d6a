//! A configuration that the builder prints is read back unchanged.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use comfreyhaven_config::builder::{
    Configuration, DataCentre, Endpoint, Host, Route, Team, Tier, team_document,
};
use comfreyhaven_config::{DOCUMENT_LIMIT_BYTES, assemble};
use comfreyhaven_core::fleet::{DataCentreState, RouteAccess};
use comfreyhaven_core::{Generation, KeyDigest, TeamName};
use proptest::collection::{btree_map, btree_set, vec};
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::sample::Index;

fn name() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9._-]{1,12}"
}

fn parse<T: std::str::FromStr<Err: std::fmt::Debug>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("a valid name")
}

/// Returns an address that is unique to the index.
fn address(index: usize) -> SocketAddr {
    let low = u16::try_from(index).expect("a small index");
    SocketAddr::new(Ipv4Addr::new(10, 1, 0, 1).into(), 1_000 + low)
}

type TeamParts = (u64, u64, u32, Vec<String>, Vec<Index>);
type RouteParts = (bool, bool, bool, u64, u32, Index);

fn configuration() -> impl Strategy<Value = Configuration> {
    let team = (
        1..1_000_000u64,
        1..1_000_000u64,
        1..100u32,
        vec("[a-z]{8}", 0..3),
        vec(any::<Index>(), 0..3),
    );
    let route = (
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
        1..3_600_000u64,
        1..100_000u32,
        any::<Index>(),
    );
    let endpoint = (
        any::<bool>(),
        1..9u32,
        0..9u32,
        0..1_000_000u64,
        any::<Index>(),
    );
    let parts = (
        btree_set(name(), 1..4),
        btree_map(name(), (any::<bool>(), name()), 1..4),
        btree_map(name(), any::<Index>(), 0..5),
        btree_map(name(), endpoint, 0..5),
        btree_map(name(), route, 0..5),
        btree_map(
            name().prop_filter("reserved", |name| name != "open"),
            team,
            0..8,
        ),
    );
    parts.prop_map(|(tiers, centres, hosts, endpoints, routes, teams)| {
        let tiers: Vec<_> = tiers.into_iter().collect();
        let names: Vec<_> = centres.keys().cloned().collect();
        let mut built = Configuration::new();
        for (rank, tier) in (0..).zip(&tiers) {
            built = built.with_tier(Tier::new(parse(tier), rank));
        }
        for (name, (out, region)) in &centres {
            let state = if *out {
                DataCentreState::Out
            } else {
                DataCentreState::In
            };
            let centre = DataCentre::new(parse(name), parse(region)).with_state(state);
            built = built.with_centre(centre);
        }
        for (index, (name, centre)) in hosts.iter().enumerate() {
            let centre = parse(centre.get(&names));
            built = built.with_host(Host::new(parse(name), centre, address(index)));
        }
        for (index, (name, (service, cold, extra, tokens, centre))) in endpoints.iter().enumerate()
        {
            let centre = parse(centre.get(&names));
            let ip = Ipv4Addr::new(10, 2, 0, u8::try_from(index).expect("a small index") + 1);
            let endpoint = if *service {
                Endpoint::new_service(parse(name), centre, ip.into()).with_model(parse("plain"))
            } else {
                Endpoint::new_engine(parse(name), centre, ip.into())
                    .with_model(parse("model"))
                    .with_cache(*tokens)
            };
            built = built.with_endpoint(endpoint.with_requests(*cold, cold + extra));
        }
        add_teams(add_routes(built, &routes, &tiers), &teams, &routes)
    })
}

fn add_routes(
    mut built: Configuration,
    routes: &BTreeMap<String, RouteParts>,
    tiers: &[String],
) -> Configuration {
    for (index, (name, (service, open, idempotent, millis, output, tier))) in
        routes.iter().enumerate()
    {
        let (path, tier) = (format!("/{index}/path"), parse(tier.get(tiers)));
        let route = if *service {
            Route::new_service(parse(name), &path, parse("plain"), tier)
                .with_idempotent(*idempotent)
        } else {
            Route::new_model(parse(name), &path, parse("model"), tier)
        };
        let access = if *open {
            RouteAccess::Open
        } else {
            RouteAccess::Teams
        };
        let route = route.with_access(access).with_output(*output);
        built = built.with_route(route.with_deadline(Duration::from_millis(*millis)));
    }
    built
}

fn add_teams(
    mut built: Configuration,
    teams: &BTreeMap<String, TeamParts>,
    routes: &BTreeMap<String, RouteParts>,
) -> Configuration {
    let names: Vec<_> = routes.keys().collect();
    let mut keys = BTreeSet::new();
    for (name, (rate, burst, weight, team_keys, team_routes)) in teams {
        let mut team = Team::new(parse(name), *rate, *burst).with_weight(*weight);
        for key in team_keys.iter().filter(|key| keys.insert((*key).clone())) {
            team = team.with_key(KeyDigest::of_key(key));
        }
        for route in team_routes.iter().filter(|_| !names.is_empty()) {
            team = team.with_route(parse(route.get(&names)));
        }
        built = built.with_team(team);
    }
    built
}

proptest! {
    #[test]
    fn published_documents_read_back_equal(built in configuration(), generation in 1..u64::MAX) {
        let documents = built.publish(Generation(generation)).expect("a valid configuration");
        let fleet = assemble(&documents).expect("published documents are accepted");
        prop_assert_eq!(&Configuration::from(&fleet), &built);
        let reprinted = Configuration::from(&fleet).publish(Generation(generation));
        prop_assert_eq!(reprinted.expect("a valid configuration"), documents);
    }

    #[test]
    fn parsing_never_panics(text in "(\\[|\\]|=|:|;|#|\\\\|\"|\n|\r| |[a-z]|\u{feff}){0,60}") {
        let document = format!("[document]\nname = teams-0\ngeneration = 1\n{text}");
        // An accepted text can be published again.
        if let Ok(fleet) = comfreyhaven_config::check([("text", document.as_str())]) {
            prop_assert!(Configuration::from(&fleet).publish(Generation(1)).is_ok());
        }
    }
}

#[test]
fn publish_rejects_an_invalid_configuration() {
    let configuration = Configuration::new()
        .with_tier(Tier::new(parse("high"), 0))
        .with_route(Route::new_model(
            parse("a"),
            "/a",
            parse("hive"),
            parse("high"),
        ))
        .with_route(Route::new_model(
            parse("b"),
            "/a",
            parse("hive"),
            parse("low"),
        ))
        .with_team(Team::new(parse("kakheti"), 0, 5).with_route(parse("nowhere")))
        .with_team(Team::new(parse("kakheti"), 1, 5));
    let problems = configuration.publish(Generation(1)).unwrap_err();
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn publish_rejects_a_path_with_a_line_break() {
    let route = Route::new_model(
        parse("a"),
        "/a\naccess = open",
        parse("hive"),
        parse("high"),
    );
    let configuration = Configuration::new().with_route(route);
    let problems = configuration.publish(Generation(1)).unwrap_err();
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn documents_stay_small_with_4_900_teams() {
    let mut configuration = Configuration::new();
    for index in 0..4_900 {
        let name: TeamName = parse(format!("team-{index:04}"));
        let team = Team::new(name, 1_000, 60_000)
            .with_key(KeyDigest::of_key(&format!("one {index}")))
            .with_key(KeyDigest::of_key(&format!("two {index}")));
        configuration = configuration.with_team(team);
    }
    let documents = configuration
        .publish(Generation(1))
        .expect("a valid configuration");
    for document in documents {
        let (name, length) = (document.name(), document.text().len());
        assert!(
            length < DOCUMENT_LIMIT_BYTES / 8,
            "{name} has {length} bytes"
        );
    }
}

#[test]
fn team_documents_do_not_change_between_versions() {
    let names = ["kakheti", "imereti", "lisbon"];
    let documents = names.map(|name| team_document(&parse(name)));
    insta::assert_snapshot!(documents.join(" "));
}
