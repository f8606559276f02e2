//! Members that join while the store turns the owner of shards away.

mod support;

use bamboocart_jobs::{MinionEntry, NewJob, Submission};
use support::site::Site;
use support::{entry, member, step, submission};
use yare::parameterized;

/// How long a run takes, in milliseconds; longer than each test.
const RUN_MS: u64 = 60_000;

/// The number of stored jobs, with two tasks each.
const JOBS: u64 = 24;

/// The number of minions in each failure domain. Each of them has room for two tasks, and
/// those of all domains for twice the tasks of the jobs.
const MINIONS_PER_DOMAIN: u64 = 16;

/// The time between the last answer of the store to the owner and the join of another
/// member. The group drops a member after 1,300 ms.
const JOIN_DELAY_MS: u64 = 1_400;

/// The time for which the owner keeps its other shards after that, and some more.
const STORE_LOST_MS: u64 = 4_000;

/// The instance that the store turns away.
const REFUSED: usize = 0;

/// The instance that joins.
const ADDED: usize = 3;

/// An instance joins while the store turns another one away.
#[derive(Debug, Copy, Clone)]
struct Case {
    /// Whether the two instances can reach each other.
    reachable: bool,
    /// How long the store turns the instance away after the other one has joined.
    refused_ms: u64,
}

/// Guards against two owners of a shard, and against two runs of its tasks: the member that
/// the store turns away owns its shards while all members that it knows receive its frames,
/// and the one that joins knows nothing of it.
#[parameterized(
    linked = { Case { reachable: true, refused_ms: 7_600 } },
    not_linked = { Case { reachable: false, refused_ms: 7_600 } },
)]
fn a_new_member_starts_no_task_beside_an_owner_without_the_store(case: Case) {
    let mut site = busy_site();
    site.refuse(REFUSED);
    site.pass(JOIN_DELAY_MS);
    if !case.reachable {
        site.cut(REFUSED, ADDED);
    }
    site.add(member("entry-4", "sahab"));
    for _ in 0..case.refused_ms / 20 {
        site.pass(20);
        assert_eq!(site.doubled(), [], "at {:?}", site.now);
    }
}

/// Guards against runs that are given up, because their new holder finds and announces them
/// before it has a link to their owner.
#[test]
fn runs_that_are_found_before_the_link_to_their_owner_go_on() {
    let mut site = busy_site();
    site.refuse(REFUSED);
    site.pass(JOIN_DELAY_MS);
    site.add(member("entry-4", "sahab"));
    site.pass(STORE_LOST_MS);
    assert_eq!(site.starts.len(), 2 * JOBS as usize);
}

/// Returns a site of three instances with an active run of each task of the stored jobs.
fn busy_site() -> Site {
    let members = [("entry-1", "marka"), ("entry-2", "sahab"), ("entry-3", "qastal")]
        .map(|(name, domain)| member(name, domain));
    let minions = ["marka", "sahab", "qastal"].into_iter().flat_map(|domain| {
        (0..MINIONS_PER_DOMAIN).map(move |it| entry(&format!("{domain}-{it}"), domain))
    });
    let minions: Vec<MinionEntry> = minions.collect();
    let mut site = Site::new(members.into(), minions);
    site.run_ms = RUN_MS;
    for number in 0..JOBS {
        let submission = submission(number, vec![step(2, &[])]);
        let id = format!("{number:016x}").parse().unwrap();
        let job = NewJob { id, best_effort: false, ..submission.job };
        site.submit(number as usize % 3, Submission { job, ..submission });
    }
    site.pass(500);
    assert_eq!(site.starts.len(), 2 * JOBS as usize, "all tasks run");
    site
}
