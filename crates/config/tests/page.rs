//! docs/CONFIGURATION.md lists every section and key that the parser knows, and no others.

use std::collections::BTreeSet;

use comfreyhaven_config::schema;

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

/// Returns the keys in the table under the heading of a section.
fn documented(kind: &str) -> BTreeSet<&'static str> {
    let heading = |line: &str| {
        let title = line
            .strip_prefix("### [")
            .and_then(|rest| rest.strip_suffix(']'));
        title.is_some_and(|title| title.split(' ').next() == Some(kind))
    };
    let lines = PAGE.lines().skip_while(|line| !heading(line)).skip(1);
    let table = lines.take_while(|line| !line.starts_with('#'));
    table
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .collect()
}

#[test]
fn page_lists_exactly_the_known_keys() {
    for section in schema::sections() {
        let known: BTreeSet<_> = section.keys.into_iter().collect();
        assert_eq!(documented(section.kind), known, "[{}]", section.kind);
    }
}

#[test]
fn page_lists_exactly_the_known_sections() {
    let kinds: BTreeSet<_> = schema::sections()
        .iter()
        .map(|section| section.kind)
        .collect();
    let headings = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("### [")?.strip_suffix(']'));
    let headings: BTreeSet<_> = headings
        .filter_map(|title| title.split(' ').next())
        .collect();
    assert_eq!(headings, kinds);
}
