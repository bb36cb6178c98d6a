//! docs/CONFIGURATION.md names every value that the reader takes, and no other.

use std::collections::BTreeSet;

use comfreyhaven_config::names;

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

/// Names in the table under the heading of a section.
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
fn the_page_names_what_the_reader_takes() {
    for section in names::sections() {
        let taken: BTreeSet<_> = section.names.into_iter().collect();
        assert_eq!(documented(section.kind), taken, "[{}]", section.kind);
    }
}

#[test]
fn the_page_has_no_other_section() {
    let kinds: BTreeSet<_> = names::sections()
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
