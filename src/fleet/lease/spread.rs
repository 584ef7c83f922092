//! Whom a task is asked of first: rendezvous hashing with bounded loads, so that a fleet shares its tasks evenly and
//! a member that comes or goes moves few of them. A preference only: it may differ between members and harms nothing.

use super::Task;
use std::collections::BTreeMap;
use std::hash::Hash;

/// A member takes this many times the mean at most, in hundredths.
const OVER_MEAN: usize = 115;

/// A score that all members reckon alike (the finalizer of MurmurHash3 over both).
fn score(task: u64, member: u64) -> u64 {
    let mut h = task ^ member.rotate_left(32);
    for by in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        h = (h ^ (h >> 33)).wrapping_mul(by);
    }
    h ^ (h >> 33)
}

fn number(task: &Task) -> u64 {
    use super::{BoundedTask, FencedTask};
    match task {
        Task::Fenced(FencedTask::Plan(hub)) => score(*hub, 1),
        Task::Bounded(BoundedTask::Probe(hub)) => score(*hub, 2),
    }
}

/// How many tasks one member may have.
pub fn most(tasks: usize, members: usize) -> usize {
    (tasks * OVER_MEAN).div_ceil(100 * members.max(1)).max(1)
}

/// Who is to have each task. `holds` is who has it now: it stays there while that one is a member and not over its
/// part, so that joins do not reshuffle. Members are known by numbers that all agree on.
pub fn assign<M: Copy + Ord + Hash>(
    tasks: &[Task],
    members: &BTreeMap<M, u64>,
    holds: &BTreeMap<Task, M>,
) -> BTreeMap<Task, M> {
    let most = most(tasks.len(), members.len());
    let mut loads: BTreeMap<M, usize> = members.keys().map(|m| (*m, 0)).collect();
    let mut given = BTreeMap::new();
    let mut give = |task: &Task, member: M, loads: &mut BTreeMap<M, usize>| {
        *loads.entry(member).or_default() += 1;
        given.insert(*task, member);
    };
    // In an order of their own, so that whose part is full does not depend on the order of the list.
    let mut sorted: Vec<&Task> = tasks.iter().collect();
    sorted.sort_by_key(|t| (number(t), **t));
    let mut left = Vec::new();
    for task in sorted {
        let keeps = holds.get(task).filter(|m| loads.get(m).is_some_and(|l| *l < most));
        match keeps.copied() {
            Some(member) => give(task, member, &mut loads),
            None => left.push(task),
        }
    }
    for task in left {
        let free = members.iter().filter(|(m, _)| loads.get(m).is_some_and(|l| *l < most));
        let best = free.max_by_key(|(m, n)| (score(number(task), **n), **m)).map(|(m, _)| *m);
        if let Some(member) = best {
            give(task, member, &mut loads);
        }
    }
    given
}

#[cfg(test)]
mod tests;
