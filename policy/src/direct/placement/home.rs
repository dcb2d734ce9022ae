//! The homes of shared prompt parts.
//!
//! Invariant: routers with the same eligible targets compute the same homes.

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
        (xxh3_64(&bytes), target)
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
        first.map(|(_, target)| target),
        second.map(|(_, target)| target),
    )
}
