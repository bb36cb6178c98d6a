use super::{Capacity, cost, engine_time};
use crate::fleet::{ENGINES, SampleFleet, engine_spec};
use crate::trace::RequestKind;

#[test]
fn requests_without_prefill_take_the_time_of_full_decode_batches() {
    let kind = RequestKind::Chat {
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
    assert!((engine_time(&kind) - engines * 75.0 / tokens).abs() < 1e-9);
}

#[test]
fn cost_is_the_prompt_and_the_answer_limit() {
    let kind = RequestKind::Chat {
        prompt: "12345".to_owned(),
        shared: 0,
        tokens: 10,
    };
    assert_eq!(cost(&kind), 12);
}

#[test]
fn the_recorded_mixes_have_a_positive_capacity() {
    for fleet in [SampleFleet::Hivecraft, SampleFleet::Bancada] {
        let capacity = Capacity::new(fleet, &fleet.trace().expect("readable"));
        assert!(capacity.requests() > 0.0 && capacity.tokens() > 0);
    }
}
