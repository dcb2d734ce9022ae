//! Ranges of a listing, by the hash of the names of targets.
//!
//! Routers compare the digests of ranges to find in which of them their listings differ.
//!
//! Invariant: the number of ranges is a power of two, so that targets ordered by the hash
//! of their names are ordered by range, whatever the number.

use entity::Name;

use crate::direct::target::Target;

/// The mean number of targets in a range.
const TARGETS_PER_RANGE: usize = 16;

/// The maximum number of ranges; their digests fit a datagram.
const MAX_RANGES: usize = 1_024;

/// The number of ranges into which a listing of this size is divided.
pub(super) fn count(targets: usize) -> usize {
    let count = targets.div_ceil(TARGETS_PER_RANGE);
    count.next_power_of_two().min(MAX_RANGES)
}

/// Whether a listing can be divided into this number of ranges.
pub(super) fn is_valid(count: usize) -> bool {
    count.is_power_of_two() && count <= MAX_RANGES
}

/// The range to which a name belongs.
pub(super) fn range_of(name: &Name, count: usize) -> usize {
    ((u128::from(name.tag().0) * count as u128) >> u64::BITS) as usize
}

/// Divides a listing. Targets keep their order within a range.
pub(super) fn split(targets: &[Target], count: usize) -> Vec<Vec<&Target>> {
    let mut ranges = vec![Vec::new(); count];
    for target in targets {
        ranges[range_of(&target.name, count)].push(target);
    }
    ranges
}

/// The digests of all ranges of a listing.
pub(super) fn digests(
    targets: &[Target],
    count: usize,
    digest_of: fn(&[Target]) -> u64,
) -> Vec<u32> {
    let digest = |range: Vec<&Target>| {
        let targets: Vec<Target> = range.into_iter().cloned().collect();
        digest_of(&targets) as u32
    };
    split(targets, count).into_iter().map(digest).collect()
}
