//! Tests of the estimated prefill rate.

use std::time::Duration;

use knapweed_policy::direct::prefill_rate::{MAX_RATE_FACTOR, MIN_RATE_FACTOR, PrefillRate};
use proptest::prelude::*;

const CONFIGURED_RATE: f64 = 50.0;

/// The first step of an engine and the network round trip.
const OVERHEAD: Duration = Duration::from_millis(12);

/// The estimate after 200 prompts of 5,000 tokens at a rate.
fn estimated_rate(rate: f64) -> f64 {
    let mut prefill_rate = PrefillRate::default();
    for _ in 0..200 {
        let prefill_time = Duration::from_secs_f64(5_000.0 / rate / 1e3);
        prefill_rate.record_prefill(5_000.0, prefill_time + OVERHEAD);
        prefill_rate.end_interval(true);
    }
    prefill_rate.tokens_per_milli(CONFIGURED_RATE)
}

#[test]
fn observations_near_the_configured_rate_are_ignored_and_distant_ones_are_applied() {
    for rate in [28.0, 40.0, 50.0, 70.0] {
        assert_eq!(estimated_rate(rate), CONFIGURED_RATE);
    }
    for rate in [8.0, 15.0, 150.0, 250.0] {
        let estimated_rate = estimated_rate(rate);
        assert!(
            (estimated_rate / rate - 1.0).abs() < 0.25,
            "{estimated_rate} for {rate}"
        );
    }
}

#[test]
fn short_prompts_are_ignored() {
    let mut prefill_rate = PrefillRate::default();
    for _ in 0..200 {
        prefill_rate.record_prefill(300.0, Duration::from_millis(400));
    }
    assert_eq!(prefill_rate, PrefillRate::default());
}

/// The estimate after prompts of 5,000 tokens of which one in five met an idle engine
/// and the others waited 400 ms for prompts of other routers.
fn rate_under_load() -> f64 {
    let mut prefill_rate = PrefillRate::default();
    for number in 0..200 {
        let wait = Duration::from_millis(if number % 5 == 0 { 0 } else { 400 });
        let prefill_time = Duration::from_secs_f64(5_000.0 / CONFIGURED_RATE / 1e3);
        prefill_rate.record_prefill(5_000.0, prefill_time + OVERHEAD + wait);
        prefill_rate.end_interval(true);
    }
    prefill_rate.tokens_per_milli(CONFIGURED_RATE)
}

#[test]
fn waits_for_prompts_of_other_routers_do_not_lower_the_estimate() {
    assert_eq!(rate_under_load(), CONFIGURED_RATE);
}

#[test]
fn observations_of_an_interval_in_which_the_router_was_late_do_not_count() {
    let mut prefill_rate = PrefillRate::default();
    for _ in 0..200 {
        prefill_rate.record_prefill(5_000.0, Duration::from_millis(800));
        prefill_rate.end_interval(false);
    }
    assert_eq!(prefill_rate, PrefillRate::default());
}

proptest! {
    #[test]
    fn the_estimate_stays_within_its_bounds(
        samples in prop::collection::vec((0.0..1e6_f64, 0_u64..100_000), 0..100),
    ) {
        let mut prefill_rate = PrefillRate::default();
        for (tokens, millis) in samples {
            prefill_rate.record_prefill(tokens, Duration::from_millis(millis));
            prefill_rate.end_interval(true);
        }
        let rate = prefill_rate.tokens_per_milli(CONFIGURED_RATE);
        prop_assert!((CONFIGURED_RATE * MIN_RATE_FACTOR..=CONFIGURED_RATE * MAX_RATE_FACTOR).contains(&rate));
    }
}
