use strum::IntoEnumIterator;

use super::{Ask, TraceError, parse};
use crate::fleet::Deployed;

#[test]
fn every_record_of_a_trace_fits_its_deployment() {
    for deployed in Deployed::iter() {
        let records = deployed.trace().expect("readable");
        assert!(records.is_sorted_by_key(|record| record.at_ms));
        for record in records {
            let route = deployed.route(&record.route).expect("a declared route");
            assert!(deployed.teams().contains(&record.team.as_str()));
            match record.ask {
                Ask::Chat { .. } => assert!(route.model.is_some()),
                Ask::Call { target, .. } => assert!(target.starts_with(route.path)),
            }
        }
    }
}

#[test]
fn a_line_that_is_no_record_is_named() {
    let text = "{\"kind\":\"prefix\",\"name\":\"a\",\"text\":\"b\"}\nnonsense";
    let error = parse(text).expect_err("nonsense");
    assert!(matches!(error, TraceError::Record { line: 2, .. }));
}

#[test]
fn a_chat_needs_a_known_prefix() {
    let text =
        r#"{"kind":"chat","at_ms":0,"team":"t","route":"r","prefix":"x","text":"y","tokens":1}"#;
    assert!(matches!(parse(text), Err(TraceError::Prefix(name)) if name == "x"));
}
