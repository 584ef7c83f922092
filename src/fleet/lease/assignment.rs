//! Whom a task is asked of first: rendezvous hashing with bounded loads, so that a fleet shares its tasks evenly and
//! a member that comes or goes moves few of them. A preference only: it may differ between members and harms nothing.

use super::Task;
use std::collections::BTreeMap;
use std::hash::Hash;

/// A member takes this many times the mean at limit, in hundredths.
const MAX_LOAD_PERCENT: usize = 115;

/// A score that all members reckon alike (the finalizer of MurmurHash3 over both).
fn score(task: u64, member: u64) -> u64 {
    let mut h = task ^ member.rotate_left(32);
    for by in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        h = (h ^ (h >> 33)).wrapping_mul(by);
    }
    h ^ (h >> 33)
}

fn task_hash(task: &Task) -> u64 {
    use super::{BoundedTask, FencedTask};
    match task {
        Task::Fenced(FencedTask::Plan(hub)) => score(*hub, 1),
        Task::Bounded(BoundedTask::Probe(hub)) => score(*hub, 2),
    }
}

/// How many tasks one member may have.
pub fn max_tasks_per_member(tasks: usize, members: usize) -> usize {
    (tasks * MAX_LOAD_PERCENT).div_ceil(100 * members.max(1)).max(1)
}

/// Who is to have each task. `current` is who has it now: it stays there while that one is a member and not over its
/// part, so that joins do not reshuffle. Members are known by numbers that all agree on.
pub fn assign<M: Copy + Ord + Hash>(
    tasks: &[Task],
    members: &BTreeMap<M, u64>,
    current: &BTreeMap<Task, M>,
) -> BTreeMap<Task, M> {
    let limit = max_tasks_per_member(tasks.len(), members.len());
    let mut loads: BTreeMap<M, usize> = members.keys().map(|m| (*m, 0)).collect();
    let mut assigned = BTreeMap::new();
    let mut assign_to = |task: &Task, member: M, loads: &mut BTreeMap<M, usize>| {
        *loads.entry(member).or_default() += 1;
        assigned.insert(*task, member);
    };
    // In an order of their own, so that whose part is full does not depend on the order of the list.
    let mut sorted: Vec<&Task> = tasks.iter().collect();
    sorted.sort_by_key(|t| (task_hash(t), **t));
    let mut unassigned = Vec::new();
    for task in sorted {
        let keeper = current.get(task).filter(|m| loads.get(m).is_some_and(|l| *l < limit));
        match keeper.copied() {
            Some(member) => assign_to(task, member, &mut loads),
            None => unassigned.push(task),
        }
    }
    for task in unassigned {
        let free = members.iter().filter(|(m, _)| loads.get(m).is_some_and(|l| *l < limit));
        let best = free.max_by_key(|(m, n)| (score(task_hash(task), **n), **m)).map(|(m, _)| *m);
        if let Some(member) = best {
            assign_to(task, member, &mut loads);
        }
    }
    assigned
}

#[cfg(test)]
mod tests;
