//! The admission window.

use std::time::{Duration, Instant};

use knapweed_policy::window::{AdmissionWindow, ColdSign, Report};
use proptest::prelude::*;
use rules::Window;

const BOUNDS: Window = Window { cold: 2, max: 6 };

fn complete(window: &mut AdmissionWindow, now: Instant, count: u32) {
    for _ in 0..count {
        let limit = window.limit();
        window.completed(now, limit);
    }
}

fn report(running: u32, queued: u32, generation: u64) -> Report {
    Report {
        running,
        queued,
        generation,
        age: Duration::from_millis(100),
    }
}

#[test]
fn grows_by_completions_to_the_greatest_size() {
    let mut window = AdmissionWindow::new(BOUNDS);
    let step = |_| {
        complete(&mut window, Instant::now(), 1);
        window.limit()
    };
    let sizes: Vec<_> = (0..20).map(step).collect();
    insta::assert_snapshot!(format!("{sizes:?}"), @"[2, 3, 3, 3, 4, 4, 4, 4, 5, 5, 5, 5, 5, 6, 6, 6, 6, 6, 6, 6]");
}

#[test]
fn does_not_grow_while_slots_are_free() {
    let mut window = AdmissionWindow::new(BOUNDS);
    for _ in 0..20 {
        window.completed(Instant::now(), 1);
    }
    assert_eq!(window.limit(), BOUNDS.cold);
}

#[test]
fn shrinks_on_a_new_generation_and_holds() {
    let start = Instant::now();
    let mut window = AdmissionWindow::new(BOUNDS);
    complete(&mut window, start, 20);
    assert!(!window.reported(start, report(0, 0, 1)));
    assert!(window.reported(start, report(0, 0, 2)));
    assert_eq!(window.limit(), BOUNDS.cold);
    complete(&mut window, start + Duration::from_millis(1_900), 20);
    assert_eq!(window.limit(), BOUNDS.cold);
    complete(&mut window, start + Duration::from_millis(2_500), 20);
    assert_eq!(window.limit(), BOUNDS.max);
}

/// Guards against retrying a cold target at a fixed rate: the target crashes whenever its
/// window grows above 2 within 20 s of its start.
#[test]
fn growth_attempts_back_off_while_a_target_stays_cold() {
    let start = Instant::now();
    let mut window = AdmissionWindow::new(BOUNDS);
    window.record(start, 0);
    let mut failures = Vec::new();
    let mut restarted = start;
    for step in 0..1_200u64 {
        let now = start + Duration::from_millis(100 * step);
        let limit = window.limit();
        match limit {
            0..=2 => window.completed(now, limit),
            _ if now < restarted + Duration::from_secs(20) => {
                failures.push(step / 10);
                window.down(now);
                window.up(now);
                restarted = now;
            }
            _ => window.completed(now, limit),
        }
    }
    insta::assert_snapshot!(format!("{failures:?} {}", window.limit()), @"[1, 3, 7, 15, 32] 6");
}

#[test]
fn shrinks_on_the_third_slow_first_token_in_a_row() {
    let now = Instant::now();
    let mut window = AdmissionWindow::new(BOUNDS);
    complete(&mut window, now, 20);
    window.first_token(now, Duration::from_millis(100));
    let slow = Duration::from_millis(900);
    let shrinks: Vec<_> = (0..3).map(|_| window.first_token(now, slow)).collect();
    assert_eq!(shrinks, [false, false, true]);
    assert_eq!(window.limit(), BOUNDS.cold);
}

#[test]
fn reported_external_load_lowers_the_window() {
    let start = Instant::now();
    let mut window = AdmissionWindow::new(BOUNDS);
    complete(&mut window, start, 20);
    window.record(start, 3);
    let later = start + Duration::from_secs(1);
    window.reported(later, report(5, 0, 1));
    assert_eq!(window.limit(), BOUNDS.max - 2);
}

proptest! {
    #[test]
    fn stays_within_its_bounds(
        steps in prop::collection::vec((0u8..7, 0u32..10, 0u64..3), 0..200),
    ) {
        let mut now = Instant::now();
        let mut window = AdmissionWindow::new(BOUNDS);
        for (kind, number, generation) in steps {
            now += Duration::from_millis(100);
            match kind {
                0 => complete(&mut window, now, number),
                1 => {
                    window.first_token(now, Duration::from_millis(u64::from(number) * 200));
                }
                2 => window.down(now),
                3 => window.up(now),
                4 => window.shrink(now, ColdSign::Refused),
                5 => window.record(now, number),
                _ => {
                    window.reported(now, report(number, number / 3, generation));
                }
            }
            prop_assert!(window.limit() <= BOUNDS.max);
        }
    }
}
