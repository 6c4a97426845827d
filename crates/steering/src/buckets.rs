//! Bucket tables: for each bucket of flow hashes the members of one generation, best first.

use crate::hash::rendezvous_score;
use loftdrift_configuration::{Generation, Member, Site};

const BUCKETS_PER_MEMBER: usize = 16;
const FEWEST_BUCKETS: usize = 64;

/// How many buckets a generation has: a power of two, sized by its members.
pub(crate) fn bucket_count(generation: &Generation) -> usize {
    (generation.members.len() * BUCKETS_PER_MEMBER).next_power_of_two().max(FEWEST_BUCKETS)
}

/// Places in `generation.members` of the `most` best members of a bucket, best first.
///
/// Rendezvous hashing: adding or removing a member moves no other pair of bucket and member.
/// Members on `site` alone when there are any.
pub(crate) fn best_members(
    generation: &Generation,
    site: Option<Site>,
    bucket: usize,
    most: usize,
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
    scored.truncate(most);
    scored.into_iter().map(|(_, index)| index).collect()
}
