//! Which rules the records of a run show broken, judged after the run.

use super::caller::{Ended, Request};
use super::hub::{Event, Seen};
use std::collections::{BTreeMap, HashMap};
use tokio::time::{Duration, Instant};

/// Times are measured late by up to this, and by as much as the run itself was held up.
const MEASURED: Duration = Duration::from_millis(150);
/// PROTOCOL, 'The rules on sockets': each time limit is this much longer.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Up to this after its time an answer only earns nothing.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
const RELEASE_AFTER_RELEASE: Duration = Duration::from_secs(1);
const RELEASE_AFTER_END: Duration = Duration::from_secs(8);
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// PROTOCOL, 'Figures': what the change log has to tell counts as told so much later, heard or not.
const TOLD_UNHEARD: Duration = Duration::from_secs(7);
/// A change log that answers again is heard within this: a pause and a dial.
const HEARD_AGAIN: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// A set-up that crosses the end of its connection within this is sent again by its caller.
const CROSSING: Duration = Duration::from_millis(50);

/// A span of time in which something was so.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub whose: usize,
    pub from: Instant,
    pub to: Instant,
}

/// What is known of a run beside the records.
#[derive(Default)]
pub struct Known {
    /// When each controller's process ended: by SIGKILL, or by itself after SIGTERM.
    pub kills: Vec<(usize, Instant)>,
    /// Planned ends among them.
    pub planned: Vec<Span>,
    /// Hubs that were frozen, cut off or reset, up to a while after.
    pub faults: Vec<Span>,
    /// Hubs that drained, from when that was in the change log.
    pub drains: Vec<Span>,
    /// When the change log left polls without an answer.
    pub silences: Vec<(Instant, Instant)>,
    /// The run's end: what is due later is not judged.
    pub end: Option<Instant>,
    /// By how much the run itself was held up.
    pub held_up: Duration,
}

impl Known {
    fn measured(&self) -> Duration {
        MEASURED + self.held_up
    }

    /// When news that were in the change log at `at` count as told.
    fn told(&self, at: Instant) -> Instant {
        let silence = self.silences.iter().find(|(from, to)| *from <= at && at <= *to);
        silence.map_or(at, |(_, to)| (*to + HEARD_AGAIN).min(at + TOLD_UNHEARD))
    }
}

/// What the audit found.
#[derive(Debug, Default)]
pub struct Findings {
    pub broken: Vec<String>,
    pub requests: usize,
    pub answered: usize,
    pub released: usize,
    /// Calls that were released towards their caller while their hub still had them.
    pub released_early: usize,
}

/// Judges a run.
pub fn audit(requests: &HashMap<u64, Request>, ended: &[Ended], record: &[Event], known: &Known) -> Findings {
    let mut findings = Findings { requests: requests.len(), ..Findings::default() };
    let mut calls: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    for event in record {
        calls.entry(event.call).or_default().push(*event);
    }
    let mut sorted: Vec<(&u64, &Request)> = requests.iter().collect();
    sorted.sort_by_key(|(_, request)| request.sent);
    for (call, request) in sorted {
        let events = calls.get(call).map_or(&[][..], |events| &events[..]);
        findings.answered += usize::from(!request.answers.is_empty());
        if let Some(broken) = lost(request, ended, known) {
            findings.broken.push(format!("call {call:016x}: {broken}"));
        }
        match left_standing(request, events, known) {
            Ok(released) => findings.released += usize::from(released),
            Err(broken) => findings.broken.push(format!("call {call:016x}: {broken}")),
        }
        findings.released_early += usize::from(released_early(request, events));
    }
    for (call, events) in &calls {
        if let Some(broken) = attempts(events, known) {
            findings.broken.push(format!("call {call:016x}: {broken}"));
        }
    }
    for drain in &known.drains {
        let to_hub = |e: &&Event| e.hub == drain.whose && e.seen == Seen::SetUp && e.at < drain.to;
        let grace = known.told(drain.from) + DRAIN_GRACE + SOCKET_SLACK + known.measured();
        let late = record.iter().filter(to_hub).filter(|e| e.at > grace).count();
        if late > 0 {
            findings.broken.push(format!("{late} set-ups to hub {} after its drain", drain.whose));
        }
    }
    findings
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// A request that did not get its one final answer in time.
fn lost(request: &Request, ended: &[Ended], known: &Known) -> Option<String> {
    if request.answers.len() > 1 {
        return Some(format!("{} final answers", request.answers.len()));
    }
    if request.gave_up.is_some() {
        return None;
    }
    let due = request.sent + request.within + ANSWER_GRACE + SOCKET_SLACK + known.measured();
    if let Some((at, _)) = request.answers.first() {
        let late = at.saturating_duration_since(due);
        return (!late.is_zero()).then(|| format!("answered {:.2} s late", seconds(late)));
    }
    if known.end.is_some_and(|end| due > end) {
        return None;
    }
    let life = |e: &&Ended| {
        (e.controller, e.connection, e.life) == (request.controller, request.connection, request.life)
    };
    let end = ended.iter().find(life).map(|e| e.at);
    let crossed = end.is_some_and(|at| at.saturating_duration_since(request.sent) < CROSSING);
    let killed = known.kills.iter().find(|(c, at)| *c == request.controller && *at >= request.sent);
    let planned = killed.is_some_and(|(c, at)| known.planned.iter().any(|p| p.whose == *c && p.to == *at));
    let before_kill = killed.map(|(_, at)| *at - request.sent);
    let excused = crossed
        || killed.is_some_and(|(_, at)| *at < due && !planned)
        || planned && before_kill.is_some_and(|before| before < CROSSING);
    let when = before_kill.filter(|_| planned).map_or(String::new(), |before| {
        format!(", sent {:.3} s before the end of a planned end", seconds(before))
    });
    let end = end.map_or(String::new(), |at| {
        format!(
            ", its connection ended {:.3} s after it",
            seconds(at.saturating_duration_since(request.sent))
        )
    });
    (!excused).then(|| format!("never answered by controller {}{end}{when}", request.controller))
}

/// Whether a call that stood and is over was released in time; `Ok(false)`: it does not apply.
fn left_standing(request: &Request, events: &[Event], known: &Known) -> Result<bool, String> {
    let Some((stood, 200)) = request.answers.first().copied() else { return Ok(false) };
    let over = events.iter().rev().find_map(|event| match event.seen {
        Seen::Ended { told: true } => Some((event, RELEASE_AFTER_RELEASE)),
        Seen::Died => Some((event, RELEASE_AFTER_END)),
        _ => None,
    });
    let Some((event, within)) = over else { return Ok(false) };
    // A call may end while its answer is on its way.
    let due = event.at.max(stood) + within + SOCKET_SLACK + known.measured();
    if let Some((at, _)) = request.releases.first() {
        let late = at.saturating_duration_since(due);
        let late =
            (!late.is_zero()).then(|| format!("released {:.2} s late ({:?})", seconds(late), event.seen));
        return late.map_or(Ok(true), Err);
    }
    let restarted = known.kills.iter().any(|(c, at)| *c == request.controller && *at >= stood && *at <= due);
    let unjudged = restarted || known.end.is_some_and(|end| due > end);
    let frozen = event.seen != Seen::Died
        && known
            .faults
            .iter()
            .any(|f| f.whose == event.hub && f.from <= event.at + known.measured() && event.at <= f.to);
    if unjudged || frozen {
        return Ok(false);
    }
    Err(format!("left standing at hub {} by controller {} ({:?})", event.hub, request.controller, event.seen))
}

fn released_early(request: &Request, events: &[Event]) -> bool {
    let ended = |e: &&Event| matches!(e.seen, Seen::Ended { .. } | Seen::Died);
    match (request.releases.first(), events.iter().find(ended)) {
        (Some((at, _)), Some(event)) => *at + MEASURED < event.at,
        _ => false,
    }
}

/// Attempts that were out together, or began within the pause.
fn attempts(events: &[Event], known: &Known) -> Option<String> {
    let disturbed = |hub: usize, from: Instant, to: Instant| {
        known.faults.iter().any(|f| f.whose == hub && f.from <= to && from <= f.to)
    };
    // A hub that stands still reads, and says, what was written to it long before.
    let sound = |event: &&Event| !disturbed(event.hub, event.at, event.at);
    let mut out: Option<&Event> = None;
    let mut not_before: Option<Instant> = None;
    for event in events.iter().filter(sound) {
        match event.seen {
            Seen::SetUp => {
                if let Some(before) = out.filter(|o| !disturbed(o.hub, o.at, event.at)) {
                    return Some(format!("sent to hub {} while out at hub {}", event.hub, before.hub));
                }
                if not_before.is_some_and(|at| event.at + known.measured() < at) {
                    return Some("sent again within the pause".into());
                }
                out = Some(event);
            }
            Seen::GivenUp if out.is_some_and(|o| o.hub == event.hub) => {
                (out, not_before) = (None, Some(event.at + RETRY_PAUSE));
            }
            Seen::Refused | Seen::Ended { .. } | Seen::Died | Seen::ReleasedByController
                if out.is_some_and(|o| o.hub == event.hub) =>
            {
                out = None;
            }
            _ => {}
        }
    }
    None
}
