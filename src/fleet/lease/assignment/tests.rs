//! Tests of the balance and stability of the assignment of tasks.

use super::super::BoundedTask;
use super::*;

fn tasks(count: u64) -> Vec<Task> {
    (0..count).map(|n| Task::Bounded(BoundedTask::Probe(n * 7_919))).collect()
}

fn members(range: std::ops::Range<u64>) -> BTreeMap<u64, u64> {
    range.map(|n| (n, n * 104_729)).collect()
}

fn loads(assigned: &BTreeMap<Task, u64>) -> BTreeMap<u64, usize> {
    assigned.values().fold(BTreeMap::new(), |mut l, m| {
        *l.entry(*m).or_default() += 1;
        l
    })
}

#[test]
fn tasks_are_balanced_over_three_hundred_members() {
    let assigned = assign(&tasks(1_024), &members(0..300), &BTreeMap::new());
    assert_eq!(assigned.len(), 1_024, "every task is assigned");
    let (max_load, mean) = (loads(&assigned).values().copied().max().unwrap_or(0), 1_024.0 / 300.0);
    assert!(max_load as f64 / mean <= 1.3, "{max_load} against a mean of {mean:.2}");
}

#[test]
fn the_assignment_does_not_depend_on_the_order_of_the_tasks() {
    let mut reversed = tasks(200);
    reversed.reverse();
    let (a, b) = (tasks(200), reversed);
    assert_eq!(assign(&a, &members(0..9), &BTreeMap::new()), assign(&b, &members(0..9), &BTreeMap::new()));
}

#[test]
fn a_join_or_leave_moves_few_tasks() {
    let before = assign(&tasks(1_024), &members(0..300), &BTreeMap::new());
    let moved = |after: &BTreeMap<Task, u64>| before.iter().filter(|(t, m)| after.get(t) != Some(m)).count();
    let joined = assign(&tasks(1_024), &members(0..301), &before);
    assert_eq!(moved(&joined), 0, "no member is over its limit, so that a join moves nothing");
    let left = assign(&tasks(1_024), &members(1..300), &before);
    assert_eq!(
        moved(&left),
        loads(&before).get(&0).copied().unwrap_or(0),
        "only the tasks of the member that left"
    );
    let doubled = assign(&tasks(1_024), &members(0..600), &before);
    assert!(
        loads(&doubled).values().all(|l| *l <= max_tasks_per_member(1_024, 600)),
        "members over their limit give up tasks"
    );
}

#[test]
fn without_members_no_task_is_assigned() {
    assert!(assign::<u64>(&tasks(3), &BTreeMap::new(), &BTreeMap::new()).is_empty());
    assert_eq!(assign(&tasks(1), &members(0..5), &BTreeMap::new()).len(), 1);
}
