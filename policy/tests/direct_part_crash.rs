//! Tests of the detection of prompt parts that crash targets.

use std::time::{Duration, Instant};

use knapweed_policy::direct::part_crash::{MIN_ROUNDS, PART_TTL, PartCrash, PartHistory};
use knapweed_policy::direct::prompt::{Prompt, PromptPart};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The first part of all prompts, the part that crashes targets, and a sound neighbour.
const FIRST: u64 = 1;
const FATAL: u64 = 2;
const SOUND: u64 = 3;

/// The rule of the users: the crashes after which a part is to be known.
const KNOWN_CRASHES: u64 = 5;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn prompt(parts: &[u64]) -> Prompt {
    let parts = parts.iter().map(|&id| PromptPart { id, tokens: 100 });
    Prompt {
        parts: parts.collect(),
        ..Prompt::default()
    }
}

/// A crash 50 ms after its request was sent.
fn crash(part: u64, target: u64, broken_at: Instant) -> PartCrash {
    PartCrash {
        part,
        target,
        sent_at: broken_at - millis(50),
        broken_at,
    }
}

/// Adds crashes of successive targets, one a second, under these parts.
fn crash_in_sequence(history: &mut PartHistory, parts: &[u64], targets: u64, start: Instant) {
    for target in 0..targets {
        let at = start + millis(1_000 * (target + 1));
        for &part in parts {
            history.add_crash(crash(part, target, at), at);
        }
    }
}

#[test]
fn a_part_that_crashes_targets_is_rejected_and_its_neighbours_are_not() {
    let start = Instant::now();
    let mut history = PartHistory::default();
    for target in 0..KNOWN_CRASHES {
        let at = start + millis(1_000 * (target + 1));
        for part in [FIRST, FATAL] {
            history.add_crash(crash(part, target, at), at);
        }
        // Sound requests with the first part complete before the next target dies.
        history.record_run(&[FIRST, SOUND], at + millis(300));
    }
    let now = start + millis(6_000);
    assert!(
        history
            .rejected_for(&prompt(&[FIRST, FATAL, 77]), now)
            .is_some()
    );
    assert_eq!(
        history.rejected_for(&prompt(&[FIRST, SOUND, 78]), now),
        None
    );
    assert_eq!(
        history.rejected_for(&prompt(&[FIRST, FATAL]), now),
        None,
        "the last part"
    );
}

#[test]
fn targets_that_die_together_convict_no_part() {
    let start = Instant::now();
    let mut history = PartHistory::default();
    for target in 0..20 {
        let broken_at = start + millis(1_000 + target);
        let crash = PartCrash {
            part: SOUND,
            target,
            sent_at: start + millis(900),
            broken_at,
        };
        history.add_crash(crash, broken_at);
    }
    let now = start + millis(2_000);
    assert_eq!(
        history.rejected_for(&prompt(&[FIRST, SOUND, 77]), now),
        None
    );
}

#[test]
fn a_part_that_shares_some_crashes_is_not_rejected_beside_the_one_that_explains_them() {
    let start = Instant::now();
    let mut history = PartHistory::default();
    let rounds = MIN_ROUNDS as u64;
    // A rare part is hit by the last crashes and did not complete meanwhile.
    crash_in_sequence(&mut history, &[FATAL], rounds + 2, start);
    for target in 2..rounds + 2 {
        let at = start + millis(1_000 * (target + 1));
        history.add_crash(crash(SOUND, target, at), at);
    }
    let now = start + millis(1_000 * (rounds + 3));
    assert!(
        history
            .rejected_for(&prompt(&[FIRST, FATAL, 77]), now)
            .is_some()
    );
    assert_eq!(
        history.rejected_for(&prompt(&[FIRST, SOUND, 78]), now),
        None
    );
}

#[test]
fn parts_with_the_same_crashes_are_rejected_together_until_one_is_cleared() {
    let start = Instant::now();
    let mut history = PartHistory::default();
    crash_in_sequence(&mut history, &[FATAL, SOUND], MIN_ROUNDS as u64, start);
    let now = start + millis(10_000);
    assert!(
        history
            .rejected_for(&prompt(&[FATAL, SOUND, 77]), now)
            .is_some()
    );
    assert_eq!(history.rejected_for(&prompt(&[FATAL, 78]), now), None);
    assert_eq!(history.rejected_for(&prompt(&[SOUND, 79]), now), None);
    assert_eq!(history.record_run(&[SOUND], now).as_slice(), [SOUND]);
    assert!(history.rejected_for(&prompt(&[FATAL, 80]), now).is_some());
    assert_eq!(history.rejected_for(&prompt(&[SOUND, 81]), now), None);
}

#[test]
fn a_part_is_accepted_again_after_a_completed_run_and_after_a_while() {
    let start = Instant::now();
    for is_cleared in [true, false] {
        let mut history = PartHistory::default();
        crash_in_sequence(&mut history, &[FATAL], KNOWN_CRASHES, start);
        let prompt = prompt(&[FATAL, 77]);
        let now = start + millis(6_000);
        assert!(history.rejected_for(&prompt, now).is_some());
        let changes = history.take_changes(now);
        assert_eq!(changes[0].parts.as_slice(), [FATAL]);
        let later = match is_cleared {
            true => {
                history.record_peer_run(FATAL, now, now);
                now
            }
            false => start + millis(5_000) + PART_TTL,
        };
        assert_eq!(history.rejected_for(&prompt, later), None);
        history.expire(later);
        let changes = history.take_changes(later);
        assert_eq!(changes.last().map(|it| it.crashes), Some(0));
        assert_eq!(history.rejected_count(), 0);
    }
}

/// Plays a pool whose targets die under a part, and counts the requests with it that reach
/// targets after it must be known, and the sound ones that are refused after that.
fn play(seed: u64) -> (u64, u64, u64) {
    const TARGETS: usize = 9;
    const DOWN_TIME: Duration = Duration::from_millis(4_000);
    const NOTICE_TIME: Duration = Duration::from_millis(300);
    const KNOWN_TIME: Duration = Duration::from_millis(3_000);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut history = PartHistory::default();
    let mut down_until = [start; TARGETS];
    // The end of each run, its target and parts, and whether it kills the target.
    let mut runs: Vec<(Instant, usize, Vec<u64>, Instant)> = Vec::new();
    let mut noticed: Vec<(Instant, PartCrash)> = Vec::new();
    let (mut incarnation, mut crashes, mut known_at) = (0, 0, None);
    let (mut late, mut refused, mut sound) = (0, 0, 0);
    for step in 0..3_000_u64 {
        let now = start + millis(10 * step);
        let due = noticed.extract_if(.., |(at, _)| *at <= now);
        for (_, crash) in due.collect::<Vec<_>>() {
            history.add_crash(crash, now);
        }
        for _ in 0..2 {
            let is_fatal = rng.random_bool(0.01);
            let rare = 10 + rng.random_range(0..150_u64);
            let own = 1_000 + step;
            let parts = match is_fatal {
                true => vec![FIRST, FATAL, own],
                false => vec![FIRST, rare, own],
            };
            let prompt = prompt(&parts);
            let is_known = known_at.is_some_and(|at| now > at + KNOWN_TIME);
            if !is_fatal && is_known {
                sound += 1;
            }
            if history.rejected_for(&prompt, now).is_some() {
                refused += u64::from(!is_fatal && is_known);
                continue;
            }
            let up: Vec<usize> = (0..TARGETS).filter(|&it| down_until[it] <= now).collect();
            let Some(&target) = up.get(rng.random_range(0..up.len().max(1))) else {
                continue;
            };
            late += u64::from(is_fatal && is_known);
            let lasts = if is_fatal {
                60
            } else {
                rng.random_range(100..900)
            };
            runs.push((now + millis(lasts), target, parts, now));
        }
        let ended = runs.extract_if(.., |(end, ..)| *end <= now);
        for (_, target, parts, _) in ended.collect::<Vec<_>>() {
            if parts[1] != FATAL {
                history.record_run(&parts[..2], now);
                continue;
            }
            if down_until[target] > now {
                continue;
            }
            (incarnation, crashes) = (incarnation + 1, crashes + 1);
            if crashes == KNOWN_CRASHES {
                known_at = Some(now);
            }
            down_until[target] = now + DOWN_TIME;
            let broken = runs.extract_if(.., |(_, it, ..)| *it == target);
            let mut broken: Vec<_> = broken
                .map(|(_, _, parts, sent_at)| (parts, sent_at))
                .collect();
            broken.push((parts, now - millis(60)));
            for (parts, sent_at) in broken {
                for &part in &parts[..2] {
                    let crash = PartCrash {
                        part,
                        target: incarnation,
                        sent_at,
                        broken_at: now,
                    };
                    noticed.push((now + NOTICE_TIME, crash));
                }
            }
        }
    }
    (late, refused, sound)
}

#[test]
fn under_load_the_part_is_known_in_time_and_nearly_no_sound_request_is_refused() {
    for seed in 0..20 {
        let (late, refused, sound) = play(seed);
        assert!(late <= 3, "seed {seed}: {late} requests with the part");
        assert!(
            2 * refused <= sound,
            "seed {seed}: {refused} of {sound} refused"
        );
    }
}

proptest! {
    #[test]
    fn the_order_of_records_does_not_matter(
        records in prop::collection::vec((0_u64..4, 0_u64..8, 0_u64..40, 0_u64..40), 1..40),
        seed in any::<u64>(),
    ) {
        let start = Instant::now();
        let end = start + millis(10_000);
        let fill = |records: &[(u64, u64, u64, u64)]| {
            let mut history = PartHistory::default();
            for &(part, target, sent, time) in records {
                let broken_at = start + millis(100 * time + 100);
                if target == 0 {
                    history.record_peer_run(part, broken_at, end);
                    continue;
                }
                let sent_at = start + millis(100 * sent.min(time));
                history.add_crash(PartCrash { part, target, sent_at, broken_at }, end);
            }
            history
        };
        let mut shuffled = records.clone();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, rng.random_range(0..=index));
        }
        shuffled.extend(records.clone());
        let (mut first, mut second) = (fill(&records), fill(&shuffled));
        for a in 0..4 {
            for b in 0..4 {
                let prompt = prompt(&[a, b, 99]);
                prop_assert_eq!(first.rejected_for(&prompt, end), second.rejected_for(&prompt, end));
            }
        }
    }
}
