use comfreyhaven_core::config_sync::Outcome;

use super::{Offer, Store};

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

fn generations(offer: &Offer) -> Vec<(&str, u64)> {
    let fleet = offer.fleet.as_ref().expect("a fleet is in force");
    let generations = fleet.generations.iter();
    generations
        .map(|(name, generation)| (name.as_str(), generation.0))
        .collect()
}

fn store() -> Store {
    let mut store = Store::default();
    store.offer("fleet", &fleet(1, "high"));
    let offer = store.offer("routes", &routes(1, "high"));
    assert_eq!(generations(&offer), [("fleet", 1), ("routes", 1)]);
    store
}

#[test]
fn a_document_waits_for_the_one_it_refers_to() {
    let mut store = store();
    assert!(store.offer("routes", &routes(2, "low")).fleet.is_none());
    assert_eq!(store.waiting().collect::<Vec<_>>(), ["routes"]);
    assert!(!store.problems().is_empty());
    let offer = store.offer("fleet", &fleet(2, "low"));
    assert_eq!(generations(&offer), [("fleet", 2), ("routes", 2)]);
    assert!(store.problems().is_empty());
}

#[test]
fn an_older_document_is_not_taken() {
    let mut store = store();
    store.offer("routes", &routes(5, "high"));
    let offer = store.offer("routes", &routes(4, "high"));
    assert!(offer.fleet.is_none());
    assert_eq!(
        offer.outcome,
        Outcome::Known(store.version("routes").unwrap())
    );
    assert_eq!(store.text("routes"), Some(routes(5, "high").as_str()));
}

#[test]
fn a_faulty_document_does_not_displace_one_that_waits() {
    let mut store = store();
    store.offer("routes", &routes(2, "low"));
    let faulty = routes(3, "low").replace("model", "modle");
    let offer = store.offer("routes", &faulty);
    assert!(
        matches!(offer.outcome, Outcome::Rejected(_)),
        "{:?}",
        offer.outcome
    );
    let offer = store.offer("fleet", &fleet(2, "low"));
    assert_eq!(generations(&offer), [("fleet", 2), ("routes", 2)]);
}

#[test]
fn a_document_that_does_not_fit_does_not_keep_others_out() {
    let mut store = store();
    store.offer("routes", &routes(2, "low"));
    let team = "[document]\nname = teams-0\ngeneration = 1\n\
                [team kakheti]\nrate = 10/s\nburst tokens = 10\nroutes = plan\n";
    let offer = store.offer("teams-0", team);
    assert_eq!(
        generations(&offer),
        [("fleet", 1), ("routes", 1), ("teams-0", 1)]
    );
    assert_eq!(store.waiting().collect::<Vec<_>>(), ["routes"]);
}

#[test]
fn two_texts_of_one_generation_end_in_the_same_one_in_any_order() {
    let texts = [
        fleet(2, "high"),
        fleet(2, "high") + "[data-centre tb2]\nregion = west\n",
    ];
    let mut ends = Vec::new();
    for order in [[0, 1], [1, 0]] {
        let mut store = store();
        for index in order {
            store.offer("fleet", &texts[index]);
        }
        assert_eq!(store.conflicts().collect::<Vec<_>>(), ["fleet"]);
        ends.push(store.text("fleet").map(str::to_owned));
    }
    assert_eq!(ends[0], ends[1]);
}

#[test]
fn a_document_under_another_name_is_kept_out() {
    let mut store = store();
    assert_eq!(
        store.offer("routes", &fleet(9, "high")).outcome,
        Outcome::Missing
    );
    assert_eq!(store.text("fleet"), Some(fleet(1, "high").as_str()));
    assert!(!store.problems().is_empty());
}
