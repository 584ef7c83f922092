//! Who is connected, and which connection gets what the core or another connection has for a caller.

use super::release_tracker::Release;
use super::MAX_OPEN;
use crate::core::ToFront;
use crate::metrics;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant};

/// Messages that may wait for one connection: an answer to each of its set-ups, and as many releases.
const MAX_COMMANDS: usize = 2 * MAX_OPEN;
/// Releases that may wait for a connection, and how long they do.
const MAX_PARKED: usize = 8192;
const PARKED_FOR: Duration = Duration::from_secs(10);

/// What a connection is told.
pub enum Command {
    /// What the core has for a caller whose set-up came on this connection.
    Core(ToFront),
    /// A call that was not set up on this connection, or whose own connection could not take its release.
    Release(Release),
    /// Descriptors are short: end if no set-up is open.
    CloseIdle,
}

/// What is known of one connection outside its task.
pub struct Entry {
    sender: mpsc::Sender<Command>,
    /// When it was last read from, or told something.
    pub used: Instant,
    /// When something was last read from it, once a whole request came.
    pub heard: Option<Instant>,
    /// A release on it is overdue, and nothing has been read since.
    pub is_silent: bool,
    /// It takes no more bytes for now.
    pub is_full: bool,
    /// Set-ups are open on it, or a message is half there: it may not be closed to make room.
    pub busy: bool,
    /// Calls that were answered on it stand.
    pub carries: bool,
    /// It was asked to make room, and has not looked yet.
    pub asked: bool,
}

impl Entry {
    /// A connection that was just accepted.
    fn new(sender: mpsc::Sender<Command>) -> Entry {
        Entry {
            sender,
            used: Instant::now(),
            heard: None,
            is_silent: false,
            is_full: false,
            busy: false,
            carries: false,
            asked: false,
        }
    }
}

/// Who is connected, and what waits for a connection.
#[derive(Default)]
pub struct ConnectionRegistry {
    last: u64,
    connections: BTreeMap<u64, Entry>,
    /// Connections that are shut for writing, and read on for a little while.
    pub lingering: usize,
    parked: VecDeque<(Instant, Release)>,
}

impl ConnectionRegistry {
    /// Enters a connection that was just accepted, and gives it what waited for one. Its number, and where its
    /// commands come.
    pub fn enter(&mut self) -> (u64, mpsc::Receiver<Command>) {
        let (sender, commands) = mpsc::channel(MAX_COMMANDS);
        self.last += 1;
        self.connections.insert(self.last, Entry::new(sender));
        for (_, release) in std::mem::take(&mut self.parked) {
            self.release(release);
        }
        (self.last, commands)
    }

    /// What is known of a connection that has not ended.
    pub fn entry(&mut self, number: u64) -> Option<&mut Entry> {
        self.connections.get_mut(&number)
    }

    /// Forgets a connection that has ended; `lingers` if it is read on for a little while.
    pub fn remove(&mut self, number: u64, lingers: bool) {
        self.connections.remove(&number);
        self.lingering += usize::from(lingers);
    }

    /// How many descriptors the connections hold.
    pub fn count(&self) -> usize {
        self.connections.len() + self.lingering
    }

    /// Hands a message on; gives back an answer whose connection is gone.
    pub fn route(&mut self, message: ToFront) -> Option<ToFront> {
        let origin = match &message {
            ToFront::Answer(origin, ..)
            | ToFront::Refuse(origin, ..)
            | ToFront::Fail(origin, _)
            | ToFront::Media(origin, ..) => Some(*origin),
            ToFront::Release(origin, ..) => *origin,
        };
        let own = origin.and_then(|o| self.connections.get(&o.0));
        // What a silent connection would swallow need not wait there first.
        let is_release = matches!(message, ToFront::Release(..));
        let own = own.filter(|entry| !is_release || !entry.is_silent);
        let message = match own.map(|k| k.sender.try_send(Command::Core(message.clone()))) {
            Some(Ok(())) => return None,
            _ => message,
        };
        let ToFront::Release(_, call, cause) = message else { return Some(message) };
        self.release(Release::new(call, cause));
        None
    }

    /// Sends a release on any connection, or else on the next one: no connection owns a call that stands.
    pub fn release(&mut self, release: Release) {
        if self.release_on(&release, |_| true) {
            return;
        }
        // The oldest come first.
        while self.parked.front().is_some_and(|(since, _)| since.elapsed() >= PARKED_FOR) {
            let lost = self.parked.pop_front();
            metrics::RELEASES_LOST.increment();
            if let Some((_, release)) = lost {
                tracing::warn!(call = %release.call, "release lost: no caller connected");
            }
        }
        tracing::debug!(call = %release.call, parked = self.parked.len(), "release parked: no caller connected");
        if self.parked.len() < MAX_PARKED {
            self.parked.push_back((Instant::now(), release));
        } else {
            metrics::RELEASES_LOST.increment();
        }
    }

    /// Sends a release that was swallowed on another connection, if there is one that seems to live.
    pub fn repeat(&mut self, release: Release) -> bool {
        let sent = self.release_on(&release, |entry| !entry.is_silent && !entry.is_full);
        metrics::RELEASES_REPEATED.add(u64::from(sent));
        tracing::debug!(call = %release.call, tried = ?release.tried, sent, "release repeated");
        sent
    }

    /// Sends a release on one of these connections that did not swallow it before: best on one that is not
    /// silent, and of these on the one heard from last.
    fn release_on(&self, release: &Release, suits: impl Fn(&Entry) -> bool) -> bool {
        let others = self.connections.iter().filter(|(number, _)| !release.tried.contains(number));
        let suitable = others.filter(|(_, entry)| suits(entry));
        let mut ranked: BinaryHeap<_> =
            suitable.map(|(number, entry)| (Reverse(entry.is_silent), entry.heard, *number)).collect();
        while let Some((.., number)) = ranked.pop() {
            let sent = self.connections[&number].sender.try_send(Command::Release(release.clone()));
            if sent.is_ok() {
                return true;
            }
        }
        false
    }

    /// Asks `count` connections to end on which nothing is open: first those without a call that stands,
    /// and of these the ones used longest ago.
    pub fn shed(&mut self, count: usize) {
        let mut idle: Vec<&mut Entry> =
            self.connections.values_mut().filter(|k| !k.busy && !k.asked).collect();
        idle.sort_by_key(|k| (k.carries, k.used));
        for entry in idle.into_iter().take(count) {
            entry.asked = entry.sender.try_send(Command::CloseIdle).is_ok();
        }
    }
}

#[cfg(test)]
mod tests;
