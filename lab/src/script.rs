//! Timed fault scripts. A failing run prints its script in the text form that is parsed here, so that it can be
//! replayed.

use rand::rngs::StdRng;
use rand::RngExt;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// A contiguous range of processes, by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessRange(pub RangeInclusive<usize>);

impl ProcessRange {
    /// A range of one process.
    pub fn single(n: usize) -> ProcessRange {
        ProcessRange(n..=n)
    }

    /// Whether the range contains a process.
    pub fn contains(&self, n: usize) -> bool {
        self.0.contains(&n)
    }
}

impl fmt::Display for ProcessRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.0.start(), self.0.end()) {
            (a, b) if a == b => write!(f, "{a}"),
            (a, b) => write!(f, "{a}-{b}"),
        }
    }
}

impl FromStr for ProcessRange {
    type Err = String;
    fn from_str(text: &str) -> Result<ProcessRange, String> {
        let (a, b) = text.split_once('-').unwrap_or((text, text));
        let parse_number =
            |t: &str| t.parse().map_err(|_| format!("'{text}' is not a process index or a range of indices"));
        Ok(ProcessRange(parse_number(a)?..=parse_number(b)?))
    }
}

/// A fault, or the end of one, on the network or on processes.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Blocks all datagrams from the first range to the second, in this direction only.
    Cut(ProcessRange, ProcessRange),
    /// Blocks all datagrams between this range and all other processes, in both directions.
    Split(ProcessRange),
    /// Ends all cuts and splits.
    Heal,
    /// Drops this percentage of the datagrams.
    Loss(u32),
    /// Duplicates this percentage of the datagrams; the copy follows up to a second after the original.
    Duplicate(u32),
    /// Delays each datagram by a random time between these bounds in milliseconds, which also reorders them.
    Delay(u64, u64),
    /// Suspends processes; their clocks keep running.
    Pause(ProcessRange),
    /// Resumes suspended processes.
    Resume(ProcessRange),
    /// Kills processes without a notice to the fleet.
    Kill(ProcessRange),
    /// Shuts processes down; they tell the fleet that they leave.
    Leave(ProcessRange),
    /// Starts processes with an empty membership view.
    Start(ProcessRange),
    /// Schedules processes only once in this many milliseconds; 0 ends it.
    Starve(ProcessRange, u64),
}

impl fmt::Display for FaultAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultAction::Cut(a, b) => write!(f, "cut {a} {b}"),
            FaultAction::Split(a) => write!(f, "split {a}"),
            FaultAction::Heal => write!(f, "heal"),
            FaultAction::Loss(n) => write!(f, "loss {n}"),
            FaultAction::Duplicate(n) => write!(f, "double {n}"),
            FaultAction::Delay(a, b) => write!(f, "delay {a} {b}"),
            FaultAction::Pause(a) => write!(f, "pause {a}"),
            FaultAction::Resume(a) => write!(f, "resume {a}"),
            FaultAction::Kill(a) => write!(f, "kill {a}"),
            FaultAction::Leave(a) => write!(f, "leave {a}"),
            FaultAction::Start(a) => write!(f, "start {a}"),
            FaultAction::Starve(a, ms) => write!(f, "starve {a} {ms}"),
        }
    }
}

impl FromStr for FaultAction {
    type Err = String;
    fn from_str(text: &str) -> Result<FaultAction, String> {
        let fields: Vec<&str> = text.split_whitespace().collect();
        let parse_number = |t: &str| t.parse::<u64>().map_err(|_| format!("'{t}' is not a number"));
        Ok(match fields[..] {
            ["cut", a, b] => FaultAction::Cut(a.parse()?, b.parse()?),
            ["split", a] => FaultAction::Split(a.parse()?),
            ["heal"] => FaultAction::Heal,
            ["loss", n] => FaultAction::Loss(parse_number(n)? as u32),
            ["double", n] => FaultAction::Duplicate(parse_number(n)? as u32),
            ["delay", a, b] => FaultAction::Delay(parse_number(a)?, parse_number(b)?),
            ["pause", a] => FaultAction::Pause(a.parse()?),
            ["resume", a] => FaultAction::Resume(a.parse()?),
            ["kill", a] => FaultAction::Kill(a.parse()?),
            ["leave", a] => FaultAction::Leave(a.parse()?),
            ["start", a] => FaultAction::Start(a.parse()?),
            ["starve", a, ms] => FaultAction::Starve(a.parse()?, parse_number(ms)?),
            _ => return Err(format!("'{text}' is not a fault action")),
        })
    }
}

/// Fault actions with their times in milliseconds from the start of the script; one per line in text form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(u64, FaultAction)>);

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(at, action)| writeln!(f, "{at:>7} {action}"))
    }
}

impl FromStr for Script {
    type Err = String;
    fn from_str(text: &str) -> Result<Script, String> {
        let mut actions = Vec::new();
        for line in text.lines().map(str::trim).filter(|l| !l.is_empty()) {
            let (at, action) =
                line.split_once(' ').ok_or_else(|| format!("'{line}' has a time but no fault action"))?;
            let at = at.parse().map_err(|_| format!("'{at}' is not a time in milliseconds"))?;
            actions.push((at, action.parse()?));
        }
        actions.sort_by_key(|(at, _)| *at);
        Ok(Script(actions))
    }
}

/// The faults that are in effect on the network.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    cuts: Vec<(ProcessRange, ProcessRange)>,
    splits: Vec<ProcessRange>,
    loss_percent: u32,
    duplicate_percent: u32,
    delay_ms: Option<(u64, u64)>,
}

impl NetworkFaults {
    /// Applies a network action; returns `false` for an action on processes.
    pub fn apply(&mut self, action: &FaultAction) -> bool {
        match action {
            FaultAction::Cut(a, b) => self.cuts.push((a.clone(), b.clone())),
            FaultAction::Split(a) => self.splits.push(a.clone()),
            FaultAction::Heal => {
                self.cuts.clear();
                self.splits.clear();
            }
            FaultAction::Loss(n) => self.loss_percent = *n,
            FaultAction::Duplicate(n) => self.duplicate_percent = *n,
            FaultAction::Delay(a, b) => self.delay_ms = Some((*a, *b)),
            _ => return false,
        }
        true
    }

    /// Draws the delay in microseconds of each delivered copy of a datagram; empty when the datagram is dropped.
    pub fn delivery_delays(&self, from: usize, to: usize, rng: &mut StdRng) -> Vec<u64> {
        let blocked = self.cuts.iter().any(|(a, b)| a.contains(from) && b.contains(to))
            || self.splits.iter().any(|s| s.contains(from) != s.contains(to));
        // Drawn for blocked datagrams too, so that a cut doesn't change the random sequence of the rest of the run.
        let (lost, duplicated) =
            (rng.random_range(0..100) < self.loss_percent, rng.random_range(0..100) < self.duplicate_percent);
        let (min_ms, max_ms) = self.delay_ms.unwrap_or((0, 0));
        let delay_us = rng.random_range(min_ms * 1000..=max_ms * 1000);
        let copy_delay_us = delay_us + rng.random_range(0..1_000_000);
        match (blocked || lost, duplicated) {
            (true, _) => Vec::new(),
            (false, true) => vec![delay_us, copy_delay_us],
            (false, false) => vec![delay_us],
        }
    }
}
