//! Handles messages received from a table hub: updates the state of the connection and the link, and reports events to
//! the core.

use super::connection::{Connection, Outgoing};
use crate::core::{CallName, Cause, Description, FromHub, RefusalNote};
use crate::interface::Report;
use crate::net::binary::{code, kind, Message};
use crate::net::SDP;
use bytes::Bytes;
use std::collections::HashMap;
use tokio::time::Instant;

/// Length of a connection's queue from which on releases are no longer acknowledged. Sending releases costs a hub
/// nothing, and one that never reads would make the queue grow without bound.
const MAX_QUEUED_RELEASE_ACKS: usize = 256;

/// Whether a release with this cause, received for an unanswered set-up, can end a call that stood at the hub. A hub
/// sends cause 16 only after its answer, so the answer is still under way. It sends cause 41 after an answer or for a
/// set-up that broke, and which of the two applies cannot be told until the answer arrives, perhaps seconds later.
fn may_overtake_answer(cause: Cause) -> bool {
    matches!(cause, Cause::NORMAL | Cause::TEMPORARY_FAILURE)
}

/// Handles one message of a hub. For an answer to an open set-up, returns when that set-up began.
pub(super) fn handle_message(
    message: &Message,
    connection: &mut Connection,
    standing_calls: &mut HashMap<CallName, u64>,
    events: &mut Vec<FromHub>,
) -> Option<Instant> {
    let call = CallName(message.call);
    match message.kind {
        kind::ANSWER => {
            let set_up = connection.open_set_ups.remove(&call);
            tracing::debug!(%call, connection = connection.id, open = set_up.is_some(), "answer received");
            // A repeated answer is ignored. An answer without an open set-up has crossed a give-up or has an
            // unknown call id; the core can tell the two apart.
            if set_up.is_none() && standing_calls.contains_key(&call) {
                return None;
            }
            if set_up.is_some() {
                standing_calls.insert(call, connection.id);
            }
            let bytes = Bytes::copy_from_slice(message.parameter(code::DESCRIPTION).unwrap_or_default());
            events.push(FromHub::Answered(call, Description { format: SDP, bytes }));
            set_up.map(|s| s.started)
        }
        kind::RELEASE => {
            let open = connection.open_set_ups.remove(&call).is_some();
            let stood = standing_calls.remove(&call).is_some();
            let note = match message.text(code::NOTE) {
                Some("congestion") => RefusalNote::Congestion,
                Some("throttled") => RefusalNote::Throttled,
                Some("engaged") => RefusalNote::NumberBusy,
                _ => RefusalNote::None,
            };
            let cause = message.cause().map_or(Cause::TEMPORARY_FAILURE, Cause);
            tracing::debug!(%call, connection = connection.id, cause = cause.0, open, stood, "release received");
            let report = message.report();
            events.push(match open && may_overtake_answer(cause) {
                true => FromHub::ReleasedUnanswered(call, cause, report),
                false => FromHub::Released(call, cause, note, report),
            });
            let is_writable = !connection.lifecycle.is_half_closed();
            if is_writable && connection.queue.len() < MAX_QUEUED_RELEASE_ACKS {
                connection.queue.push_back(Outgoing::ReleaseAck(call));
            }
            // A hub refuses unusable set-ups at once, ahead of those in its queue. If a refusal counted as an
            // answer, set-ups that began earlier would seem overtaken, and sound connections would be closed.
            None
        }
        kind::STATE | kind::TEST_RESULT => {
            let report = message.report();
            if report != Report::default() {
                events.push(FromHub::LoadReport(report));
            }
            None
        }
        _ => None,
    }
}
