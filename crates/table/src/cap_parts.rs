//! Divides a cap between shards so that the parts add up to it exactly.

use ospreywing_types::Resources;

/// Returns part `index` of `whole` divided into `parts_count` parts.
///
/// The parts differ by at most one and add up to `whole`. Zero means no cap, so
/// that each part is zero too.
///
/// # Panics
///
/// Panics if `parts_count` is zero.
pub fn part_of(whole: u32, index: u32, parts_count: u32) -> u32 {
    whole / parts_count + u32::from(index < whole % parts_count)
}

/// Returns part `index` of `whole`, with each resource divided by [`part_of`].
///
/// # Panics
///
/// Panics if `parts_count` is zero.
pub fn part_of_resources(whole: Resources, index: u32, parts_count: u32) -> Resources {
    Resources::new(
        part_of(whole.cores_milli, index, parts_count),
        part_of(whole.memory_mib, index, parts_count),
        part_of(whole.accelerators_count, index, parts_count),
    )
}
