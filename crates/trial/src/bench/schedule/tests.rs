use std::collections::HashSet;

use super::requests;
use crate::bench::Scenario;
use crate::bench::capacity::Capacity;
use crate::fleet::SampleFleet;
use crate::load::ScheduledRequest;

fn draw(seed: u64) -> Vec<ScheduledRequest> {
    let fleet = SampleFleet::Hivecraft;
    let records = fleet.trace().expect("readable");
    let capacity = Capacity::new(fleet, &records);
    requests(fleet, &records, &capacity, Scenario::Light, seed)
}

#[test]
fn equal_seeds_draw_equal_loads() {
    let times = |seed| -> Vec<_> { draw(seed).iter().map(|request| request.at).collect() };
    assert_eq!(times(7), times(7));
    assert_ne!(times(7), times(8));
}

#[test]
fn all_requests_are_distinct() {
    let load = draw(7);
    let texts: HashSet<_> = load
        .iter()
        .map(|request| format!("{:?}", request.record.kind))
        .collect();
    assert_eq!(texts.len(), load.len());
}
