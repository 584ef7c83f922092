//! What one message of a table hub means for its connection, and for the core.

use super::connection::{Connection, Outgoing};
use crate::core::{CallName, Cause, Description, FromHub, Note};
use crate::interface::Report;
use crate::net::binary::{code, kind, Message};
use crate::net::SDP;
use bytes::Bytes;
use std::collections::HashMap;
use tokio::time::Instant;

/// Acknowledgements of releases that may wait: they are free, and a hub may send and never read.
const MAX_QUEUED_RELEASE_HEARD: usize = 256;

/// Whether a release with this cause, of a set-up without an answer, ends a call that stood. PROTOCOL,
/// 'Messages': cause 16 comes only after an answer, so the answer is still under way. Cause 41 comes after an
/// answer or for a set-up that broke; which of the two cannot be told before the answer comes, perhaps
/// seconds later.
fn may_overtake_answer(cause: Cause) -> bool {
    matches!(cause, Cause::NORMAL | Cause::TEMPORARY_FAILURE)
}

/// What one message of a hub means; gives back when the set-up began that stands by it.
pub(super) fn handle_message(
    message: &Message,
    connection: &mut Connection,
    standing_calls: &mut HashMap<CallName, u64>,
    events: &mut Vec<FromHub>,
) -> Option<Instant> {
    let call = CallName(message.call);
    match message.kind {
        kind::ANSWER => {
            let begun = connection.open_set_ups.remove(&call);
            tracing::debug!(%call, connection = connection.id, open = begun.is_some(), "answer");
            // A second copy. One that is not open here crosses its give-up, or has an id that nobody
            // knows: the core can tell.
            if begun.is_none() && standing_calls.contains_key(&call) {
                return None;
            }
            if begun.is_some() {
                standing_calls.insert(call, connection.id);
            }
            let bytes = Bytes::copy_from_slice(message.parameter(code::DESCRIPTION).unwrap_or_default());
            events.push(FromHub::Stands(call, Description { form: SDP, bytes }));
            begun.map(|b| b.started)
        }
        kind::RELEASE => {
            let open = connection.open_set_ups.remove(&call).is_some();
            let stood = standing_calls.remove(&call).is_some();
            let note = match message.text(code::NOTE) {
                Some("congestion") => Note::Congestion,
                Some("throttled") => Note::Throttled,
                Some("engaged") => Note::Engaged,
                _ => Note::None,
            };
            let cause = message.cause().map_or(Cause::TEMPORARY_FAILURE, Cause);
            tracing::debug!(%call, connection = connection.id, cause = cause.0, open, stood, "release");
            let report = message.report();
            events.push(match open && may_overtake_answer(cause) {
                true => FromHub::ReleasedUnanswered(call, cause, report),
                false => FromHub::Released(call, cause, note, report),
            });
            if connection.queue.len() < MAX_QUEUED_RELEASE_HEARD {
                connection.queue.push_back(Outgoing::ReleaseHeard(call));
            }
            // Danger: a hub says at once what it cannot use, ahead of the set-ups that wait in its line;
            // taken for an answer out of its turn, that would close sound connections.
            None
        }
        kind::STATE | kind::TESTED => {
            let report = message.report();
            if report != Report::default() {
                events.push(FromHub::State(report));
            }
            None
        }
        _ => None,
    }
}
