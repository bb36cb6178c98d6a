use std::collections::HashSet;

use super::shots;
use crate::bench::Scenario;
use crate::bench::capacity::Capacity;
use crate::fleet::Deployed;
use crate::load::Shot;

fn drawn(seed: u64) -> Vec<Shot> {
    let deployed = Deployed::Hivecraft;
    let records = deployed.trace().expect("readable");
    let capacity = Capacity::new(deployed, &records);
    shots(deployed, &records, &capacity, Scenario::Light, seed)
}

#[test]
fn the_same_seed_draws_the_same_load() {
    let times = |seed| -> Vec<_> { drawn(seed).iter().map(|shot| shot.at).collect() };
    assert_eq!(times(7), times(7));
    assert_ne!(times(7), times(8));
}

#[test]
fn no_two_requests_are_alike() {
    let load = drawn(7);
    let texts: HashSet<_> = load
        .iter()
        .map(|shot| format!("{:?}", shot.record.ask))
        .collect();
    assert_eq!(texts.len(), load.len());
}
