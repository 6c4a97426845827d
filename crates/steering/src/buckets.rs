//! Rendezvous hashing: orders the members of a generation for each bucket of flow hashes.

use crate::hash::rendezvous_score;
use loftdrift_configuration::{Generation, Member, Site};

const BUCKETS_PER_MEMBER: usize = 16;
const MIN_BUCKETS: usize = 64;

/// Number of buckets of a generation: a power of two that grows with the number of members.
pub(crate) fn bucket_count(generation: &Generation) -> usize {
    (generation.members.len() * BUCKETS_PER_MEMBER).next_power_of_two().max(MIN_BUCKETS)
}

/// Indices in `generation.members` of the `limit` members with the highest scores in a bucket,
/// highest first. If `site` is given and has members, only those are used.
///
/// Adding or removing a member does not change the order of the others (rendezvous hashing).
pub(crate) fn best_members(
    generation: &Generation,
    site: Option<Site>,
    bucket: usize,
    limit: usize,
) -> Vec<usize> {
    let on_site = |member: &Member| site.is_none_or(|site| member.site == site);
    let any_on_site = generation.members.iter().any(on_site);
    let mut scored: Vec<(u64, usize)> = generation
        .members
        .iter()
        .enumerate()
        .filter(|(_, member)| !any_on_site || on_site(member))
        .map(|(index, member)| (rendezvous_score(bucket, member.backend), index))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.truncate(limit);
    scored.into_iter().map(|(_, index)| index).collect()
}
