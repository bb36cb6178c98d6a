use strum::IntoEnumIterator;

use super::{RequestKind, TraceError, parse};
use crate::fleet::SampleFleet;

#[test]
fn every_recorded_request_matches_a_route_and_team_of_its_fleet() {
    for fleet in SampleFleet::iter() {
        let records = fleet.trace().expect("readable");
        assert!(records.is_sorted_by_key(|record| record.at_ms));
        for record in records {
            let route = fleet.route(&record.route).expect("a declared route");
            assert!(fleet.teams().contains(&record.team.as_str()));
            match record.kind {
                RequestKind::Chat { .. } => assert!(route.model.is_some()),
                RequestKind::Call { target, .. } => assert!(target.starts_with(route.path)),
            }
        }
    }
}

#[test]
fn the_error_gives_the_number_of_an_invalid_line() {
    let text = "{\"kind\":\"prefix\",\"name\":\"a\",\"text\":\"b\"}\nnonsense";
    let error = parse(text).expect_err("nonsense");
    assert!(matches!(error, TraceError::Record { line: 2, .. }));
}

#[test]
fn rejects_a_chat_with_an_undefined_prefix() {
    let text =
        r#"{"kind":"chat","at_ms":0,"team":"t","route":"r","prefix":"x","text":"y","tokens":1}"#;
    assert!(matches!(parse(text), Err(TraceError::Prefix(name)) if name == "x"));
}
