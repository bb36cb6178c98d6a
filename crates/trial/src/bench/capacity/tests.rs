use super::{Capacity, cost, work};
use crate::fleet::{Deployed, ENGINES, engine_spec};
use crate::trace::Ask;

#[test]
fn capacity_of_requests_that_are_decoding_alone_is_that_of_full_batches() {
    let ask = Ask::Chat {
        prompt: "shared".to_owned(),
        shared: 6,
        tokens: 100,
    };
    let batches = (0..ENGINES).map(engine_spec).map(|spec| {
        let step = spec.step_time(0, spec.batch_size).as_secs_f64();
        f64::from(u32::try_from(spec.batch_size).unwrap()) / step
    });
    let tokens: f64 = batches.sum();
    let engines = f64::from(u32::try_from(ENGINES).unwrap());
    assert!((work(&ask) - engines * 75.0 / tokens).abs() < 1e-9);
}

#[test]
fn rates_count_prompt_and_largest_answer() {
    let ask = Ask::Chat {
        prompt: "12345".to_owned(),
        shared: 0,
        tokens: 10,
    };
    assert_eq!(cost(&ask), 12);
}

#[test]
fn the_recorded_mixes_have_a_capacity() {
    for deployed in [Deployed::Hivecraft, Deployed::Bancada] {
        let capacity = Capacity::new(deployed, &deployed.trace().expect("readable"));
        assert!(capacity.requests() > 0.0 && capacity.tokens() > 0);
    }
}
