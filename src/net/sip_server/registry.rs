//! Registry of open connections, which chooses the connection for each message to a caller.

use super::release_tracker::Release;
use super::MAX_OPEN_SET_UPS;
use crate::core::{CallName, ToFront};
use crate::metrics;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant};

/// Maximum number of commands queued for one connection: an answer to each of its set-ups and as many releases.
const MAX_QUEUED_COMMANDS: usize = 2 * MAX_OPEN_SET_UPS;
/// Maximum number of releases queued while no connection can take them.
const MAX_QUEUED_RELEASES: usize = 8192;
/// Time after its last use in which a connection without calls is not evicted before those with calls. A caller that
/// has just connected is about to send its first request, and one that was just answered may send the next.
const RECENT_USE: Duration = Duration::from_millis(100);

/// How soon an idle connection is closed when descriptors are short, the first one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Nothing is due on it.
    WithoutCalls,
    /// The releases of its calls are sent on other connections anyway.
    Unresponsive,
    /// The releases of its calls would have to be sent on other connections.
    WithCalls,
    /// A request is likely to be on its way to it.
    RecentlyUsed,
}

/// A command to a connection's task.
pub enum Command {
    /// A message from the core for a caller whose set-up came on this connection.
    FromCore(ToFront),
    /// The release of a call that was set up on another connection, or that the call's own connection could not take.
    Release(Release),
    /// Close if no set-up is open, because descriptors are short.
    CloseIdle,
    /// No call that was answered on the connection is up any more, so that it may become idle.
    LastCallEnded,
}

/// State of one connection that is shared with the other tasks.
pub struct Entry {
    sender: mpsc::Sender<Command>,
    /// When the connection last read something or was sent a message.
    pub last_used: Instant,
    /// When something was last read; `None` until a whole request has been received.
    pub last_received: Option<Instant>,
    /// A release on it is overdue and nothing has been read since.
    pub is_unresponsive: bool,
    /// The socket accepts no more bytes for now.
    pub is_write_blocked: bool,
    /// It has open set-ups or a partial message, so that it may not be closed to free a descriptor.
    pub is_busy: bool,
    /// Calls that were answered on it and are up.
    answered_calls: HashSet<CallName>,
    /// It was asked to close and has not handled that yet.
    pub close_requested: bool,
}

impl Entry {
    /// Creates the entry of a connection that was just accepted.
    fn new(sender: mpsc::Sender<Command>) -> Entry {
        Entry {
            sender,
            last_used: Instant::now(),
            last_received: None,
            is_unresponsive: false,
            is_write_blocked: false,
            is_busy: false,
            answered_calls: HashSet::new(),
            close_requested: false,
        }
    }

    /// Whether calls that were answered on it are up. Their releases are due on it.
    pub fn has_calls(&self) -> bool {
        !self.answered_calls.is_empty()
    }

    fn eviction_rank(&self) -> EvictionRank {
        match (self.has_calls(), self.is_unresponsive) {
            (true, true) => EvictionRank::Unresponsive,
            (true, false) => EvictionRank::WithCalls,
            (false, _) if self.last_used.elapsed() < RECENT_USE => EvictionRank::RecentlyUsed,
            (false, _) => EvictionRank::WithoutCalls,
        }
    }
}

/// The open connections, and the releases queued for the next one.
#[derive(Default)]
pub struct ConnectionRegistry {
    last_number: u64,
    connections: BTreeMap<u64, Entry>,
    /// The open connection on which each call that is up was answered.
    connection_by_call: HashMap<CallName, u64>,
    /// Number of connections that are shut for writing and still read for a short time.
    pub lingering: usize,
    queued_releases: VecDeque<Release>,
}

impl ConnectionRegistry {
    /// Registers a connection that was just accepted and sends it the queued releases. Returns its number and its
    /// command queue.
    pub fn register(&mut self) -> (u64, mpsc::Receiver<Command>) {
        let (sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        self.last_number += 1;
        self.connections.insert(self.last_number, Entry::new(sender));
        for release in std::mem::take(&mut self.queued_releases) {
            self.release(release);
        }
        (self.last_number, commands)
    }

    /// Returns the entry of a connection that has not been removed.
    pub fn entry(&mut self, number: u64) -> Option<&mut Entry> {
        self.connections.get_mut(&number)
    }

    /// Removes a closed connection; `lingers` if its socket is still read for a short time. Returns the number of calls
    /// that were answered on it and are up.
    pub fn remove(&mut self, number: u64, lingers: bool) -> usize {
        self.lingering += usize::from(lingers);
        let Some(entry) = self.connections.remove(&number) else { return 0 };
        for call in &entry.answered_calls {
            self.connection_by_call.remove(call);
        }
        entry.answered_calls.len()
    }

    /// Records that a call was answered on a connection.
    fn call_answered(&mut self, call: CallName, number: u64) {
        self.call_ended(call);
        if let Some(entry) = self.connections.get_mut(&number) {
            entry.answered_calls.insert(call);
            self.connection_by_call.insert(call, number);
        }
    }

    /// Records the end of a call, and tells the connection on which it was answered if that was its last one.
    pub fn call_ended(&mut self, call: CallName) {
        let Some(number) = self.connection_by_call.remove(&call) else { return };
        let Some(entry) = self.connections.get_mut(&number) else { return };
        entry.answered_calls.remove(&call);
        if !entry.has_calls() {
            // A connection whose queue is full is in use, and sees that it has no calls after its next command.
            let _ = entry.sender.try_send(Command::LastCallEnded);
        }
    }

    /// Number of descriptors used by connections.
    pub fn descriptor_count(&self) -> usize {
        self.connections.len() + self.lingering
    }

    /// Sends a message from the core to its connection; a release goes to any connection if need be. Returns any other
    /// message whose connection is gone.
    pub fn route(&mut self, message: ToFront) -> Option<ToFront> {
        let origin = match &message {
            ToFront::Answer(origin, ..)
            | ToFront::Refuse(origin, ..)
            | ToFront::Fail(origin, _)
            | ToFront::Media(origin, ..) => Some(*origin),
            ToFront::Release(origin, ..) => *origin,
        };
        if let ToFront::Release(_, call, _) = &message {
            self.call_ended(*call);
        }
        let own = origin.and_then(|o| self.connections.get(&o.0));
        // A release is not sent first on an unresponsive connection, where it would only wait to be repeated.
        let is_release = matches!(message, ToFront::Release(..));
        let own = own.filter(|entry| !is_release || !entry.is_unresponsive);
        let message = match own.map(|e| e.sender.try_send(Command::FromCore(message.clone()))) {
            Some(Ok(())) => {
                if let ToFront::Answer(origin, call, _) = message {
                    self.call_answered(call, origin.0);
                }
                return None;
            }
            _ => message,
        };
        let ToFront::Release(_, call, cause) = message else { return Some(message) };
        self.release(Release::new(call, cause));
        None
    }

    /// Sends a release on any connection, since an answered call is tied to none, or queues it for the next one.
    pub fn release(&mut self, release: Release) {
        if self.release_on(&release, |_| true) {
            return;
        }
        tracing::debug!(call = %release.call, parked = self.queued_releases.len(), "release queued: no caller connected");
        self.queue(release);
    }

    /// Queues a release for the next connection that opens, however long that takes.
    pub fn queue(&mut self, release: Release) {
        if self.queued_releases.len() < MAX_QUEUED_RELEASES {
            self.queued_releases.push_back(release);
        } else {
            metrics::RELEASES_LOST.increment();
            tracing::warn!(call = %release.call, "release lost: too many are queued");
        }
    }

    /// Sends a release that another connection did not confirm on a responsive connection. Returns `false` if there
    /// is none.
    pub fn repeat(&mut self, release: Release) -> bool {
        let sent = self.release_on(&release, |entry| !entry.is_unresponsive && !entry.is_write_blocked);
        metrics::RELEASES_REPEATED.add(u64::from(sent));
        tracing::debug!(call = %release.call, tried = ?release.tried_connections, sent, "release repeated");
        sent
    }

    /// Sends a release on an eligible connection that has not been tried before. Responsive connections are
    /// preferred, and of these the one that was last read from most recently.
    fn release_on(&self, release: &Release, is_eligible: impl Fn(&Entry) -> bool) -> bool {
        let untried =
            self.connections.iter().filter(|(number, _)| !release.tried_connections.contains(number));
        let eligible = untried.filter(|(_, entry)| is_eligible(entry));
        let mut ranked: BinaryHeap<_> = eligible
            .map(|(number, entry)| (Reverse(entry.is_unresponsive), entry.last_received, *number))
            .collect();
        while let Some((.., number)) = ranked.pop() {
            let sent = self.connections[&number].sender.try_send(Command::Release(release.clone()));
            if sent.is_ok() {
                return true;
            }
        }
        false
    }

    /// Asks `count` connections that are not busy to close, in the order of their [`EvictionRank`] and, of one rank, the
    /// least recently used first. The releases of their calls go to other connections.
    pub fn close_idle(&mut self, count: usize) {
        let mut idle: Vec<&mut Entry> =
            self.connections.values_mut().filter(|e| !e.is_busy && !e.close_requested).collect();
        idle.sort_by_cached_key(|e| (e.eviction_rank(), e.last_used));
        for entry in idle.into_iter().take(count) {
            entry.close_requested = entry.sender.try_send(Command::CloseIdle).is_ok();
        }
    }
}

#[cfg(test)]
mod tests;
