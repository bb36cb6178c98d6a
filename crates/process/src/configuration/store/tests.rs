use comfreyhaven_core::config_sync::Outcome;

use super::{DocumentSet, InsertResult};

fn fleet(generation: u64, tier: &str) -> String {
    format!(
        "[document]\nname = fleet\ngeneration = {generation}\n[tier {tier}]\nrank = 0\n\
         [data-centre tb1]\nregion = east\n"
    )
}

fn routes(generation: u64, tier: &str) -> String {
    format!(
        "[document]\nname = routes\ngeneration = {generation}\n\
         [route plan]\npath = /v1/\nmodel = hive\ntier = {tier}\n"
    )
}

fn generations(result: &InsertResult) -> Vec<(&str, u64)> {
    let fleet = result.fleet.as_ref().expect("a fleet is in force");
    let generations = fleet.generations.iter();
    generations
        .map(|(name, generation)| (name.as_str(), generation.0))
        .collect()
}

fn documents() -> DocumentSet {
    let mut documents = DocumentSet::default();
    documents.insert("fleet", &fleet(1, "high"));
    let result = documents.insert("routes", &routes(1, "high"));
    assert_eq!(generations(&result), [("fleet", 1), ("routes", 1)]);
    documents
}

#[test]
fn a_document_waits_for_the_one_that_it_refers_to() {
    let mut documents = documents();
    assert!(
        documents
            .insert("routes", &routes(2, "low"))
            .fleet
            .is_none()
    );
    assert_eq!(documents.waiting().collect::<Vec<_>>(), ["routes"]);
    assert!(!documents.problems().is_empty());
    let result = documents.insert("fleet", &fleet(2, "low"));
    assert_eq!(generations(&result), [("fleet", 2), ("routes", 2)]);
    assert!(documents.problems().is_empty());
}

#[test]
fn ignores_an_older_document() {
    let mut documents = documents();
    documents.insert("routes", &routes(5, "high"));
    let result = documents.insert("routes", &routes(4, "high"));
    assert!(result.fleet.is_none());
    assert_eq!(
        result.outcome,
        Outcome::Known(documents.version("routes").unwrap())
    );
    assert_eq!(documents.text("routes"), Some(routes(5, "high").as_str()));
}

#[test]
fn a_rejected_document_does_not_replace_a_waiting_one() {
    let mut documents = documents();
    documents.insert("routes", &routes(2, "low"));
    let faulty = routes(3, "low").replace("model", "modle");
    let result = documents.insert("routes", &faulty);
    assert!(
        matches!(result.outcome, Outcome::Rejected(_)),
        "{:?}",
        result.outcome
    );
    let result = documents.insert("fleet", &fleet(2, "low"));
    assert_eq!(generations(&result), [("fleet", 2), ("routes", 2)]);
}

#[test]
fn a_waiting_document_does_not_block_others() {
    let mut documents = documents();
    documents.insert("routes", &routes(2, "low"));
    let team = "[document]\nname = teams-0\ngeneration = 1\n\
                [team kakheti]\nrate = 10/s\nburst tokens = 10\nroutes = plan\n";
    let result = documents.insert("teams-0", team);
    assert_eq!(
        generations(&result),
        [("fleet", 1), ("routes", 1), ("teams-0", 1)]
    );
    assert_eq!(documents.waiting().collect::<Vec<_>>(), ["routes"]);
}

#[test]
fn texts_with_the_same_generation_resolve_alike_in_any_order() {
    let texts = [
        fleet(2, "high"),
        fleet(2, "high") + "[data-centre tb2]\nregion = west\n",
    ];
    let mut texts_kept = Vec::new();
    for order in [[0, 1], [1, 0]] {
        let mut documents = documents();
        for index in order {
            documents.insert("fleet", &texts[index]);
        }
        assert_eq!(documents.conflicts().collect::<Vec<_>>(), ["fleet"]);
        texts_kept.push(documents.text("fleet").map(str::to_owned));
    }
    assert_eq!(texts_kept[0], texts_kept[1]);
}

#[test]
fn rejects_a_document_published_under_another_name() {
    let mut documents = documents();
    assert_eq!(
        documents.insert("routes", &fleet(9, "high")).outcome,
        Outcome::Missing
    );
    assert_eq!(documents.text("fleet"), Some(fleet(1, "high").as_str()));
    assert!(!documents.problems().is_empty());
}
