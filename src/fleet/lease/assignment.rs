//! Preferred assignment of tasks to members: rendezvous hashing with bounded loads. It balances the tasks and moves
//! few of them when a member joins or leaves. It is only a preference: members may disagree on it without harm.

use super::Task;
use std::collections::BTreeMap;
use std::hash::Hash;

/// Maximum load of a member in percent of the mean.
const MAX_LOAD_PERCENT: usize = 115;

/// A score on which all members agree (the finalizer of MurmurHash3 over both hashes).
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

/// Maximum number of tasks of one member.
pub fn max_tasks_per_member(tasks: usize, members: usize) -> usize {
    (tasks * MAX_LOAD_PERCENT).div_ceil(100 * members.max(1)).max(1)
}

/// Assigns each task to a member. A task stays with its holder in `current` while that is a member and not over its
/// limit, so that joins move no tasks needlessly. `members` maps each member to a hash on which all members agree.
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
    // Sorted by hash, so that the result does not depend on the order of the list when a member reaches its limit.
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
