//! Faults as a short timed script: what a failing seed prints, and what plays it again.

use rand::rngs::StdRng;
use rand::RngExt;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Some of the processes, by number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Who(pub RangeInclusive<usize>);

impl Who {
    /// One process.
    pub fn one(n: usize) -> Who {
        Who(n..=n)
    }

    /// Whether it is one of them.
    pub fn has(&self, n: usize) -> bool {
        self.0.contains(&n)
    }
}

impl fmt::Display for Who {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.0.start(), self.0.end()) {
            (a, b) if a == b => write!(f, "{a}"),
            (a, b) => write!(f, "{a}-{b}"),
        }
    }
}

impl FromStr for Who {
    type Err = String;
    fn from_str(text: &str) -> Result<Who, String> {
        let (a, b) = text.split_once('-').unwrap_or((text, text));
        let number = |t: &str| t.parse().map_err(|_| format!("'{text}' is no process and no range of them"));
        Ok(Who(number(a)?..=number(b)?))
    }
}

/// One fault, or its end.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Nothing goes from the ones to the others.
    Cut(Who, Who),
    /// Nothing goes between these and all others, either way.
    Split(Who),
    /// All cuts and splits are over.
    Heal,
    /// This part of the datagrams is lost, in hundredths.
    Loss(u32),
    /// This part comes twice, in hundredths, the second time up to a second later.
    Double(u32),
    /// Datagrams take so many milliseconds, from and to: those of one moment overtake one another.
    Delay(u64, u64),
    /// It stands still, and its clock goes on.
    Pause(Who),
    /// It goes on.
    Resume(Who),
    /// It ends without a word.
    Kill(Who),
    /// It ends as planned.
    Leave(Who),
    /// It starts, knowing nothing.
    Start(Who),
    /// It gets the processor every so many milliseconds only; nought: always.
    Starve(Who, u64),
}

impl fmt::Display for Act {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Act::Cut(a, b) => write!(f, "cut {a} {b}"),
            Act::Split(a) => write!(f, "split {a}"),
            Act::Heal => write!(f, "heal"),
            Act::Loss(n) => write!(f, "loss {n}"),
            Act::Double(n) => write!(f, "double {n}"),
            Act::Delay(a, b) => write!(f, "delay {a} {b}"),
            Act::Pause(a) => write!(f, "pause {a}"),
            Act::Resume(a) => write!(f, "resume {a}"),
            Act::Kill(a) => write!(f, "kill {a}"),
            Act::Leave(a) => write!(f, "leave {a}"),
            Act::Start(a) => write!(f, "start {a}"),
            Act::Starve(a, ms) => write!(f, "starve {a} {ms}"),
        }
    }
}

impl FromStr for Act {
    type Err = String;
    fn from_str(text: &str) -> Result<Act, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let number = |t: &str| t.parse::<u64>().map_err(|_| format!("'{t}' is no number"));
        Ok(match words[..] {
            ["cut", a, b] => Act::Cut(a.parse()?, b.parse()?),
            ["split", a] => Act::Split(a.parse()?),
            ["heal"] => Act::Heal,
            ["loss", n] => Act::Loss(number(n)? as u32),
            ["double", n] => Act::Double(number(n)? as u32),
            ["delay", a, b] => Act::Delay(number(a)?, number(b)?),
            ["pause", a] => Act::Pause(a.parse()?),
            ["resume", a] => Act::Resume(a.parse()?),
            ["kill", a] => Act::Kill(a.parse()?),
            ["leave", a] => Act::Leave(a.parse()?),
            ["start", a] => Act::Start(a.parse()?),
            ["starve", a, ms] => Act::Starve(a.parse()?, number(ms)?),
            _ => return Err(format!("'{text}' is no fault")),
        })
    }
}

/// Acts with their times in milliseconds; one a line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(u64, Act)>);

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(at, act)| writeln!(f, "{at:>7} {act}"))
    }
}

impl FromStr for Script {
    type Err = String;
    fn from_str(text: &str) -> Result<Script, String> {
        let mut acts = Vec::new();
        for line in text.lines().map(str::trim).filter(|l| !l.is_empty()) {
            let (at, act) = line.split_once(' ').ok_or_else(|| format!("'{line}' has no fault"))?;
            let at = at.parse().map_err(|_| format!("'{at}' is no time in milliseconds"))?;
            acts.push((at, act.parse()?));
        }
        acts.sort_by_key(|(at, _)| *at);
        Ok(Script(acts))
    }
}

/// What the network does to datagrams now.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    cuts: Vec<(Who, Who)>,
    splits: Vec<Who>,
    loss: u32,
    double: u32,
    delay: Option<(u64, u64)>,
}

impl Faults {
    /// Takes up an act on the network; `false` for one on processes.
    pub fn take(&mut self, act: &Act) -> bool {
        match act {
            Act::Cut(a, b) => self.cuts.push((a.clone(), b.clone())),
            Act::Split(a) => self.splits.push(a.clone()),
            Act::Heal => {
                self.cuts.clear();
                self.splits.clear();
            }
            Act::Loss(n) => self.loss = *n,
            Act::Double(n) => self.double = *n,
            Act::Delay(a, b) => self.delay = Some((*a, *b)),
            _ => return false,
        }
        true
    }

    /// After how many microseconds each copy of a datagram comes; none: it is lost.
    pub fn fate(&self, from: usize, to: usize, rng: &mut StdRng) -> Vec<u64> {
        let cut = self.cuts.iter().any(|(a, b)| a.has(from) && b.has(to))
            || self.splits.iter().any(|s| s.has(from) != s.has(to));
        // Drawn in any case, so that a cut changes nothing else of a run.
        let (lost, doubled) = (rng.random_range(0..100) < self.loss, rng.random_range(0..100) < self.double);
        let (least, most) = self.delay.unwrap_or((0, 0));
        let after = rng.random_range(least * 1000..=most * 1000);
        let again = after + rng.random_range(0..1_000_000);
        match (cut || lost, doubled) {
            (true, _) => Vec::new(),
            (false, true) => vec![after, again],
            (false, false) => vec![after],
        }
    }
}
