//! Checks the records of a finished run for violations of the rules on answers, releases, attempts and drains.

use super::caller::{ConnectionEnd, Request};
use super::hub::{HubEvent, HubEventKind};
use std::collections::{BTreeMap, HashMap};
use tokio::time::{Duration, Instant};

/// Recorded times may be this much late, in addition to the longest stall of the run itself.
const MEASUREMENT_TOLERANCE: Duration = Duration::from_millis(150);
/// Every time limit is extended by this much for transmission over sockets.
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// An answer that is late by up to this much counts as worthless, but not as a violation.
const LATE_ANSWER_TOLERANCE: Duration = Duration::from_millis(500);
/// Time limit for the release to the caller after the hub has sent its release.
const RELEASE_TIMEOUT_AFTER_HUB_RELEASE: Duration = Duration::from_secs(1);
/// Time limit for the release to the caller after the process of the hub has died.
const RELEASE_TIMEOUT_AFTER_HUB_DEATH: Duration = Duration::from_secs(8);
/// Set-ups may still reach a hub for this long after its drain is known.
const DRAIN_GRACE_TIME: Duration = Duration::from_secs(2);
/// An event in the change log counts as known after this time, even if no poll was answered.
const MAX_CHANGE_LOG_DELAY: Duration = Duration::from_secs(7);
/// A controller receives the events within this time after the change log responds again: one poll interval and one
/// connection set-up.
const CHANGE_LOG_RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Shortest time between a give-up and the next attempt.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// A set-up sent less than this before its connection closes may not be read any more; its caller is expected to repeat
/// it.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);

/// A period in which a controller or hub was in some state.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// Index of the controller or hub.
    pub index: usize,
    /// Start of the period.
    pub from: Instant,
    /// End of the period.
    pub to: Instant,
}

/// Facts about a run that the records of callers and hubs do not show.
#[derive(Default)]
pub struct RunFacts {
    /// Ends of controller processes, by SIGKILL or by themselves after SIGTERM: controller, time.
    pub process_ends: Vec<(usize, Instant)>,
    /// Planned shutdowns, from SIGTERM to the end of the process; that end is also in `process_ends`.
    pub planned_shutdowns: Vec<Period>,
    /// Faults of hubs, extended by the time in which their effects may still be recorded.
    pub hub_faults: Vec<Period>,
    /// Drains of hubs, from the event in the change log on.
    pub hub_drains: Vec<Period>,
    /// Periods in which the change log did not respond to polls.
    pub change_log_outages: Vec<(Instant, Instant)>,
    /// End of the run; anything due later is not checked.
    pub end: Option<Instant>,
    /// Longest stall of the run itself.
    pub max_stall: Duration,
}

impl RunFacts {
    /// Returns the tolerance for recorded times in this run.
    fn tolerance(&self) -> Duration {
        MEASUREMENT_TOLERANCE + self.max_stall
    }

    /// Returns when an event that is in the change log at `at` counts as known to the controllers.
    fn known_by(&self, at: Instant) -> Instant {
        let outage = self.change_log_outages.iter().find(|(from, to)| *from <= at && at <= *to);
        outage.map_or(at, |(_, to)| (*to + CHANGE_LOG_RECOVERY_TIME).min(at + MAX_CHANGE_LOG_DELAY))
    }
}

/// Result of an audit.
#[derive(Debug, Default)]
pub struct Findings {
    /// Descriptions of the violations.
    pub violations: Vec<String>,
    /// Number of set-ups sent.
    pub requests: usize,
    /// Number of set-ups with a final answer.
    pub answered: usize,
    /// Number of calls released to their caller in time.
    pub released: usize,
    /// Number of calls released to their caller before their hub ended them.
    pub released_early: usize,
}

/// Checks a run.
pub fn audit(
    requests: &HashMap<u64, Request>,
    ended: &[ConnectionEnd],
    events: &[HubEvent],
    facts: &RunFacts,
) -> Findings {
    let mut findings = Findings { requests: requests.len(), ..Findings::default() };
    let mut calls: BTreeMap<u64, Vec<HubEvent>> = BTreeMap::new();
    for event in events {
        calls.entry(event.call).or_default().push(*event);
    }
    let mut sorted: Vec<(&u64, &Request)> = requests.iter().collect();
    sorted.sort_by_key(|(_, request)| request.sent);
    for (call, request) in sorted {
        let events = calls.get(call).map_or(&[][..], |events| &events[..]);
        findings.answered += usize::from(!request.answers.is_empty());
        if let Some(violation) = check_answer(request, ended, facts) {
            findings.violations.push(format!("call {call:016x}: {violation}"));
        }
        match check_release(request, events, facts) {
            Ok(released) => findings.released += usize::from(released),
            Err(violation) => findings.violations.push(format!("call {call:016x}: {violation}")),
        }
        findings.released_early += usize::from(is_released_early(request, events));
    }
    for (call, events) in &calls {
        if let Some(violation) = check_attempts(events, facts) {
            findings.violations.push(format!("call {call:016x}: {violation}"));
        }
    }
    for drain in &facts.hub_drains {
        let during_drain =
            |e: &&HubEvent| e.hub == drain.index && e.kind == HubEventKind::SetUp && e.at < drain.to;
        let grace = facts.known_by(drain.from) + DRAIN_GRACE_TIME + SOCKET_TOLERANCE + facts.tolerance();
        let late = events.iter().filter(during_drain).filter(|e| e.at > grace).count();
        if late > 0 {
            findings.violations.push(format!("{late} set-ups to hub {} after its drain", drain.index));
        }
    }
    findings
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Describes the violation if a request did not get exactly one final answer in time.
fn check_answer(request: &Request, ended: &[ConnectionEnd], facts: &RunFacts) -> Option<String> {
    if request.answers.len() > 1 {
        return Some(format!("{} final answers", request.answers.len()));
    }
    if request.cancelled_at.is_some() {
        return None;
    }
    let due =
        request.sent + request.answer_timeout + LATE_ANSWER_TOLERANCE + SOCKET_TOLERANCE + facts.tolerance();
    if let Some((at, _)) = request.answers.first() {
        let late = at.saturating_duration_since(due);
        return (!late.is_zero()).then(|| format!("answered {:.2} s late", seconds(late)));
    }
    if facts.end.is_some_and(|end| due > end) {
        return None;
    }
    let generation = |e: &&ConnectionEnd| {
        (e.controller, e.connection, e.generation)
            == (request.controller, request.connection, request.generation)
    };
    let end = ended.iter().find(generation).map(|e| e.at);
    let is_race = end.is_some_and(|at| at.saturating_duration_since(request.sent) < CLOSE_RACE_WINDOW);
    let process_end =
        facts.process_ends.iter().find(|(c, at)| *c == request.controller && *at >= request.sent);
    let planned = process_end
        .is_some_and(|(c, at)| facts.planned_shutdowns.iter().any(|p| p.index == *c && p.to == *at));
    let time_to_end = process_end.map(|(_, at)| *at - request.sent);
    let is_excused = is_race
        || process_end.is_some_and(|(_, at)| *at < due && !planned)
        || planned && time_to_end.is_some_and(|before| before < CLOSE_RACE_WINDOW);
    let when = time_to_end.filter(|_| planned).map_or(String::new(), |before| {
        format!(", sent {:.3} s before the end of a planned shutdown", seconds(before))
    });
    let end = end.map_or(String::new(), |at| {
        format!(
            ", its connection was closed {:.3} s after it",
            seconds(at.saturating_duration_since(request.sent))
        )
    });
    (!is_excused).then(|| format!("never answered by controller {}{end}{when}", request.controller))
}

/// Whether an established call that has ended was released to its caller. `Ok(false)` if there is nothing to check.
///
/// # Errors
/// A description of the violation, if the release is late or missing.
fn check_release(request: &Request, events: &[HubEvent], facts: &RunFacts) -> Result<bool, String> {
    let Some((answered_at, 200)) = request.answers.first().copied() else { return Ok(false) };
    let ended = events.iter().rev().find_map(|event| match event.kind {
        HubEventKind::Ended { release_sent: true } => Some((event, RELEASE_TIMEOUT_AFTER_HUB_RELEASE)),
        HubEventKind::Died => Some((event, RELEASE_TIMEOUT_AFTER_HUB_DEATH)),
        _ => None,
    });
    let Some((event, time_limit)) = ended else { return Ok(false) };
    // A call may end at its hub before its answer reaches the caller.
    let due = event.at.max(answered_at) + time_limit + SOCKET_TOLERANCE + facts.tolerance();
    if let Some((at, _)) = request.releases.first() {
        let late = at.saturating_duration_since(due);
        let late =
            (!late.is_zero()).then(|| format!("released {:.2} s late ({:?})", seconds(late), event.kind));
        return late.map_or(Ok(true), Err);
    }
    let restarted =
        facts.process_ends.iter().any(|(c, at)| *c == request.controller && *at >= answered_at && *at <= due);
    let is_undecided = restarted || facts.end.is_some_and(|end| due > end);
    let frozen = event.kind != HubEventKind::Died
        && facts
            .hub_faults
            .iter()
            .any(|f| f.index == event.hub && f.from <= event.at + facts.tolerance() && event.at <= f.to);
    if is_undecided || frozen {
        return Ok(false);
    }
    Err(format!(
        "not released by controller {} after its end at hub {} ({:?})",
        request.controller, event.hub, event.kind
    ))
}

/// Whether a call was released to its caller before its hub ended it.
fn is_released_early(request: &Request, events: &[HubEvent]) -> bool {
    let ended = |e: &&HubEvent| matches!(e.kind, HubEventKind::Ended { .. } | HubEventKind::Died);
    match (request.releases.first(), events.iter().find(ended)) {
        (Some((at, _)), Some(event)) => *at + MEASUREMENT_TOLERANCE < event.at,
        _ => false,
    }
}

/// Describes the violation if two attempts of a call were outstanding at once, or a retry came too early.
fn check_attempts(events: &[HubEvent], facts: &RunFacts) -> Option<String> {
    let is_faulty = |hub: usize, from: Instant, to: Instant| {
        facts.hub_faults.iter().any(|f| f.index == hub && f.from <= to && from <= f.to)
    };
    // A frozen hub reads and records messages long after they were sent.
    let is_reliable = |event: &&HubEvent| !is_faulty(event.hub, event.at, event.at);
    let mut open_set_up: Option<&HubEvent> = None;
    let mut earliest_retry: Option<Instant> = None;
    for event in events.iter().filter(is_reliable) {
        match event.kind {
            HubEventKind::SetUp => {
                if let Some(before) = open_set_up.filter(|o| !is_faulty(o.hub, o.at, event.at)) {
                    return Some(format!(
                        "sent to hub {} while outstanding at hub {}",
                        event.hub, before.hub
                    ));
                }
                if earliest_retry.is_some_and(|at| event.at + facts.tolerance() < at) {
                    return Some("retried before the retry interval has passed".into());
                }
                open_set_up = Some(event);
            }
            HubEventKind::GivenUp if open_set_up.is_some_and(|o| o.hub == event.hub) => {
                (open_set_up, earliest_retry) = (None, Some(event.at + MIN_RETRY_INTERVAL));
            }
            HubEventKind::Refused
            | HubEventKind::Ended { .. }
            | HubEventKind::Died
            | HubEventKind::ReleasedByController
                if open_set_up.is_some_and(|o| o.hub == event.hub) =>
            {
                open_set_up = None;
            }
            _ => {}
        }
    }
    None
}
