//! What an operator sees of a view: JSON in pages, as a table on request.

use super::view::{Counters, Phase, View};
use super::wire;
use crate::interface::Micros;
use miniserde::{json, Deserialize, Serialize};
use std::fmt::Write;

/// Pages that an answer has at most: a view of the largest table fits.
pub const MAX_PAGES: u64 = 2_048;

/// A view, as an operator sees it.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The fleet's name.
    pub fleet: String,
    /// Whose view it is.
    pub by: String,
    /// The same where views are equal.
    pub hash: String,
    /// Members that count as there.
    pub live: usize,
    /// Everyone known.
    pub members: Vec<MemberStatus>,
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams heard.
    pub heard: u64,
    /// Dropped, by why.
    pub dropped: Vec<DropCount>,
    /// Suspicions raised here.
    pub suspected: u64,
    /// Times that this process woke up too late.
    pub late: u64,
}

/// A count under a name.
#[derive(Debug, Serialize, Deserialize)]
pub struct DropCount {
    /// What is counted.
    pub why: String,
    /// How many.
    pub count: u64,
}

/// A member.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The Unix millisecond of its start, or later.
    pub generation: u64,
    /// joining, alive, suspect, leaving or gone.
    pub phase: String,
    /// Another process has its name and started later.
    pub displaced: bool,
    /// So long it is there, or gone, as seen from here.
    pub since_ms: u64,
    /// Calls offered a second.
    pub offered: Option<u64>,
    /// Set-ups out and calls standing.
    pub out: Option<u64>,
    /// The newest change-log event it has member.
    pub seq: Option<u64>,
    /// Its program's version.
    pub program: Option<String>,
    /// How old that is.
    pub facts_age_ms: Option<u64>,
}

/// A view as JSON text.
pub fn render_json(view: &View, now: Micros) -> String {
    let member_status = |member: super::view::MemberInfo| {
        let age = member.facts.as_ref().map(|f| f.1 .0 / 1000);
        let facts = member.facts.map(|f| f.0);
        MemberStatus {
            name: member.identity.name.to_string(),
            address: member.identity.address.to_string(),
            zone: member.identity.zone.to_string(),
            generation: member.identity.generation,
            phase: phase_name(member.phase).into(),
            displaced: member.displaced,
            since_ms: (now - member.since).0 / 1000,
            offered: facts.as_ref().map(|f| f.offered.into()),
            out: facts.as_ref().map(|f| f.outstanding.into()),
            seq: facts.as_ref().map(|f| f.change_log_seq),
            program: facts.map(|f| f.program),
            facts_age_ms: age,
        }
    };
    let Counters { sent, sent_bytes, received, suspected, late_wakes, .. } = view.counters();
    json::to_string(&FleetStatus {
        fleet: view.fleet().into(),
        by: view.own().to_string(),
        hash: format!("{:016x}", view.hash()),
        live: view.live().count(),
        members: view.members(now).into_iter().map(member_status).collect(),
        sent,
        sent_bytes,
        heard: received,
        dropped: drop_counts(&view.counters()),
        suspected,
        late: late_wakes,
    })
}

/// What was dropped, by why.
pub fn drop_counts(counters: &Counters) -> Vec<DropCount> {
    let counts = [
        ("too long", counters.too_long),
        ("foreign", counters.foreign),
        ("torn", counters.corrupt),
        ("newer", counters.unsupported_version),
        ("stranger", counters.outside_prefixes),
        ("full", counters.table_full),
        ("own address", counters.own_address),
    ];
    let some = counts.into_iter().filter(|(_, count)| *count > 0);
    some.map(|(why, count)| DropCount { why: why.into(), count }).collect()
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Joining => "joining",
        Phase::Alive => "alive",
        Phase::Suspect => "suspect",
        Phase::Leaving => "leaving",
        Phase::Gone => "gone",
    }
}

/// One page of a text: the asker's number, which page, of how many, and its bytes.
pub fn encode_page(nonce: u64, page: u64, text: &[u8], room: usize) -> Vec<u8> {
    let each = room.saturating_sub(24).max(1);
    let pages = text.len().div_ceil(each).max(1) as u64;
    let mut body: Vec<u8> = [nonce, page, pages].iter().flat_map(|n| n.to_be_bytes()).collect();
    let from = usize::try_from(page).ok().and_then(|p| p.checked_mul(each)).unwrap_or(usize::MAX);
    body.extend_from_slice(text.get(from..text.len().min(from.saturating_add(each))).unwrap_or_default());
    body
}

/// Reads a page: the number asked under, which page, of how many, and its bytes.
pub fn decode_page(body: &[u8]) -> Option<([u64; 3], &[u8])> {
    let (numbers, rest) = body.split_at_checked(24)?;
    Some((wire::read_numbers(numbers).ok()?, rest))
}

/// The table that an operator sees.
pub fn format_table(status: &FleetStatus) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "fleet {}, seen by {}: {} live, hash {}\n\
         datagrams sent {} ({} bytes), heard {}; suspicions raised {}; woken late {}",
        status.fleet,
        status.by,
        status.live,
        status.hash,
        status.sent,
        status.sent_bytes,
        status.heard,
        status.suspected,
        status.late
    );
    for DropCount { why, count } in &status.dropped {
        let _ = writeln!(text, "dropped, {why}: {count}");
    }
    let _ = writeln!(
        text,
        "{:<20}{:<22}{:<12}{:<10}{:>9}{:>9}{:>8}{:>8}{:>8}  program",
        "name", "address", "zone", "phase", "since s", "calls/s", "out", "event", "age ms"
    );
    let or = |n: Option<u64>| n.map_or("-".into(), |n| n.to_string());
    for m in &status.members {
        let phase = if m.displaced { format!("{}*", m.phase) } else { m.phase.clone() };
        let _ = writeln!(
            text,
            "{:<20}{:<22}{:<12}{:<10}{:>9.1}{:>9}{:>8}{:>8}{:>8}  {}",
            m.name,
            m.address,
            m.zone,
            phase,
            m.since_ms as f64 / 1e3,
            or(m.offered),
            or(m.out),
            or(m.seq),
            or(m.facts_age_ms),
            m.program.as_deref().unwrap_or("-")
        );
    }
    if status.members.iter().any(|m| m.displaced) {
        let _ = writeln!(text, "* another process has this name and started later");
    }
    text
}
