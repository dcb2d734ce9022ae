//! What the time to first events shows of the engines.

use std::time::Duration;

use knapweed_policy::direct::speed::{LEAST_FACTOR, MOST_FACTOR, Speed};
use proptest::prelude::*;

const STATED: f64 = 50.0;

/// The first step of an engine and the way there and back.
const STEP: Duration = Duration::from_millis(12);

/// What is believed after many prompts of 5,000 tokens at a rate.
fn learned(rate: f64) -> f64 {
    let mut speed = Speed::default();
    for _ in 0..200 {
        let read = Duration::from_secs_f64(5_000.0 / rate / 1e3);
        speed.read(5_000.0, read + STEP);
    }
    speed.rate(STATED)
}

#[test]
fn a_rate_near_the_stated_one_changes_nothing_and_one_far_from_it_counts() {
    for rate in [28.0, 40.0, 50.0, 70.0] {
        assert_eq!(learned(rate), STATED);
    }
    for rate in [8.0, 15.0, 150.0, 250.0] {
        let learned = learned(rate);
        assert!((learned / rate - 1.0).abs() < 0.25, "{learned} for {rate}");
    }
}

#[test]
fn short_prompts_tell_nothing() {
    let mut speed = Speed::default();
    for _ in 0..200 {
        speed.read(300.0, Duration::from_millis(400));
    }
    assert_eq!(speed, Speed::default());
}

proptest! {
    #[test]
    fn the_rate_stays_within_its_bounds_and_follows_what_is_seen(
        samples in prop::collection::vec((0.0..1e6_f64, 0_u64..100_000), 0..100),
    ) {
        let mut speed = Speed::default();
        for (tokens, millis) in samples {
            speed.read(tokens, Duration::from_millis(millis));
        }
        let rate = speed.rate(STATED);
        prop_assert!((STATED * LEAST_FACTOR..=STATED * MOST_FACTOR).contains(&rate));
    }
}
