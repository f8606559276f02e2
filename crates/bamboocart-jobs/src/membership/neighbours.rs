//! The choice of peers whose free capacity an instance receives.

use crate::membership::member::Member;

/// The number of neighbours in the instance's own failure domain, where it has as many.
const LOCAL_NEIGHBOURS: usize = 6;

/// The number of neighbours of an instance, where the site has as many. Reports to all
/// peers would grow with the square of their number; the capacity reports of this many
/// holders are enough to find the fastest free minions.
const NEIGHBOURS: usize = 8;

/// Chooses the neighbours of an instance among the members, which are sorted.
///
/// They are the next members in a ring, so that every instance is the neighbour of about
/// as many others. Each other failure domain contributes at least one, so that work can
/// leave a domain whose clients send more than its share. Members of evacuated domains hold
/// minions that get no work, so they are left out unless all domains are evacuated.
pub(crate) fn neighbours<'a>(
    own: &Member,
    members: &'a [Member],
    is_evacuated: impl Fn(&str) -> bool,
) -> Vec<&'a Member> {
    let all_evacuated = members.iter().all(|it| is_evacuated(&it.failure_domain));
    let is_left_out = |domain: &str| !all_evacuated && is_evacuated(domain);
    let mut domains: Vec<&str> =
        members.iter().map(|member| &*member.failure_domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let of_domain = |domain: &str| -> Vec<&'a Member> {
        members.iter().filter(|member| *member.failure_domain == *domain).collect()
    };
    let local = of_domain(&own.failure_domain);
    let position = local.iter().position(|&member| member == own).unwrap_or(0);
    let others: Vec<&&Member> = local.iter().filter(|&&member| member != own).collect();
    let local_count = match is_left_out(&own.failure_domain) {
        true => 0,
        false => LOCAL_NEIGHBOURS,
    };
    let mut chosen: Vec<&Member> =
        ring(&others, position, local_count).map(|&&member| member).collect();
    domains.retain(|domain| **domain != *own.failure_domain && !is_left_out(domain));
    let left = NEIGHBOURS.saturating_sub(chosen.len());
    let share = left.div_ceil(domains.len().max(1)).max(1);
    for domain in domains {
        let remote = of_domain(domain);
        chosen.extend(ring(&remote, position * share, share).copied());
    }
    chosen
}

/// Returns up to `count` entries of a ring, starting at `position`.
fn ring<T>(entries: &[T], position: usize, count: usize) -> impl Iterator<Item = &T> {
    let start = position % entries.len().max(1);
    entries.iter().cycle().skip(start).take(count.min(entries.len()))
}
