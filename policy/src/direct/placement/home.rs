//! The homes of shared prompt parts.
//!
//! A target is the home of a number of parts in proportion to its weight: a fast engine
//! reads more prompts in the same time. The score of a target with hash `u` in (0, 1) and
//! weight `w` is `-w / ln(u)`, which does not depend on other targets, so a changed weight
//! moves only parts from or to that target.
//!
//! Invariant: routers with the same eligible targets and weights compute the same homes.

use xxhash_rust::xxh3::xxh3_64;

use crate::direct::target_table::{Prompt, TargetEntryId, TargetTable};

/// The two targets with the highest rendezvous hash for the prompt's shared part:
/// the home, which caches it, and the second home, which takes the overflow.
pub(super) fn home_targets(
    table: &TargetTable,
    prompt: &Prompt,
    eligible: &[TargetEntryId],
) -> (Option<TargetEntryId>, Option<TargetEntryId>) {
    let Some(part) = prompt.shared_part() else {
        return (None, None);
    };
    let score = |target: TargetEntryId| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&part.id.to_le_bytes());
        bytes[8..].copy_from_slice(&table.target(target).tag.to_le_bytes());
        let hash = xxh3_64(&bytes);
        // 53 bits are exact in the mantissa; the half keeps the fraction within (0, 1).
        let fraction = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        let score = table.target(target).home_weight() / -fraction.ln();
        (score.to_bits(), hash, target)
    };
    let (mut first, mut second) = (None, None);
    for &target in eligible {
        let candidate = Some(score(target));
        if candidate > first {
            second = first;
            first = candidate;
        } else if candidate > second {
            second = candidate;
        }
    }
    (
        first.map(|(.., target)| target),
        second.map(|(.., target)| target),
    )
}
