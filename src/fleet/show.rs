//! The status report for operators: encoded as JSON, sent in pages, formatted as a table.

use super::view::{Counters, Phase, View};
use super::wire;
use crate::interface::Micros;
use miniserde::{json, Deserialize, Serialize};
use std::fmt::Write;

/// Maximum number of pages of a report. A report on the largest member table fits.
pub const MAX_PAGES: u64 = 2_048;

/// A membership view, as reported to operators.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The fleet's name.
    pub fleet: String,
    /// The process whose view this is.
    pub by: String,
    /// Hash of the view. Equal views have equal hashes.
    pub hash: String,
    /// Number of live members.
    pub live: usize,
    /// All known members.
    pub members: Vec<MemberStatus>,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub heard: u64,
    /// Dropped datagrams and entries, by reason.
    pub dropped: Vec<DropCount>,
    /// Suspicions raised by this process.
    pub suspected: u64,
    /// Number of wakes that came too late.
    pub late: u64,
}

/// The number of drops for one reason.
#[derive(Debug, Serialize, Deserialize)]
pub struct DropCount {
    /// The reason.
    pub why: String,
    /// The number of drops.
    pub count: u64,
}

/// One member, as reported to operators.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: String,
    /// The member's address.
    pub address: String,
    /// The member's zone.
    pub zone: String,
    /// Start time as a Unix timestamp in milliseconds. Higher if the member had to rejoin.
    pub generation: u64,
    /// joining, alive, suspect, leaving or gone.
    pub phase: String,
    /// Another process with the same name started later.
    pub displaced: bool,
    /// Milliseconds since the last change between live and gone, as seen by the reporting process.
    pub since_ms: u64,
    /// Calls offered per second.
    pub offered: Option<u64>,
    /// Set-ups awaiting an answer, plus established calls.
    pub out: Option<u64>,
    /// Sequence number of the newest change-log event that the member has received.
    pub seq: Option<u64>,
    /// Version of the member's program.
    pub program: Option<String>,
    /// Age of the member's facts in milliseconds.
    pub facts_age_ms: Option<u64>,
}

/// Renders the report on a view as JSON.
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
            out: facts.as_ref().map(|f| f.open_calls.into()),
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

/// The drop counters that are not zero.
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
    let nonzero = counts.into_iter().filter(|(_, count)| *count > 0);
    nonzero.map(|(why, count)| DropCount { why: why.into(), count }).collect()
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

/// Encodes one page of a text: the request's nonce, the page number, the number of pages, and the bytes of the page.
pub fn encode_page(nonce: u64, page: u64, text: &[u8], max_len: usize) -> Vec<u8> {
    let page_len = max_len.saturating_sub(24).max(1);
    let pages = text.len().div_ceil(page_len).max(1) as u64;
    let mut body: Vec<u8> = [nonce, page, pages].iter().flat_map(|n| n.to_be_bytes()).collect();
    let start = usize::try_from(page).ok().and_then(|p| p.checked_mul(page_len)).unwrap_or(usize::MAX);
    body.extend_from_slice(
        text.get(start..text.len().min(start.saturating_add(page_len))).unwrap_or_default(),
    );
    body
}

/// Decodes a page into its nonce, page number and number of pages, and its bytes.
pub fn decode_page(body: &[u8]) -> Option<([u64; 3], &[u8])> {
    let (numbers, rest) = body.split_at_checked(24)?;
    Some((wire::read_numbers(numbers).ok()?, rest))
}

/// Formats a report as a table.
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
    let or_dash = |n: Option<u64>| n.map_or("-".into(), |n| n.to_string());
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
            or_dash(m.offered),
            or_dash(m.out),
            or_dash(m.seq),
            or_dash(m.facts_age_ms),
            m.program.as_deref().unwrap_or("-")
        );
    }
    if status.members.iter().any(|m| m.displaced) {
        let _ = writeln!(text, "* another process has this name and started later");
    }
    text
}
