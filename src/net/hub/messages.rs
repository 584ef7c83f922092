//! What one message of a table hub means for its connection, and for the core.

use super::connection::{Connection, Out};
use crate::core::{CallName, Cause, Description, FromHub, RefusalNote};
use crate::interface::Report;
use crate::net::binary::{code, kind, Message};
use crate::net::SDP;
use bytes::Bytes;
use std::collections::HashMap;
use tokio::time::Instant;

/// Acknowledgements of releases that may wait: they are free, and a hub may send and never read.
const HEARD_MOST: usize = 256;

/// Whether a release with this cause, of a set-up without an answer, ends a call that stood. PROTOCOL,
/// 'Messages': cause 16 comes only after an answer, so the answer is still under way. Cause 41 comes after an
/// answer or for a set-up that broke; which of the two cannot be told before the answer comes, perhaps
/// seconds later.
fn overtakes_answer(cause: Cause) -> bool {
    matches!(cause, Cause::NORMAL | Cause::TEMPORARY_FAILURE)
}

/// What one message of a hub means; gives back when the set-up began that stands by it.
pub(super) fn take(
    message: &Message,
    connection: &mut Connection,
    standing: &mut HashMap<CallName, u64>,
    news: &mut Vec<FromHub>,
) -> Option<Instant> {
    let call = CallName(message.call);
    match message.kind {
        kind::ANSWER => {
            let begun = connection.open.remove(&call);
            tracing::debug!(%call, connection = connection.id, open = begun.is_some(), "answer");
            // A second copy. One that is not open here crosses its give-up, or has an id that nobody
            // knows: the core can tell.
            if begun.is_none() && standing.contains_key(&call) {
                return None;
            }
            if begun.is_some() {
                standing.insert(call, connection.id);
            }
            let bytes = Bytes::copy_from_slice(message.parameter(code::DESCRIPTION).unwrap_or_default());
            news.push(FromHub::Answered(call, Description { format: SDP, bytes }));
            begun.map(|b| b.at)
        }
        kind::RELEASE => {
            let open = connection.open.remove(&call).is_some();
            let stood = standing.remove(&call).is_some();
            let note = match message.text(code::NOTE) {
                Some("congestion") => RefusalNote::Congestion,
                Some("throttled") => RefusalNote::Throttled,
                Some("engaged") => RefusalNote::NumberBusy,
                _ => RefusalNote::None,
            };
            let cause = message.cause().map_or(Cause::TEMPORARY_FAILURE, Cause);
            tracing::debug!(%call, connection = connection.id, cause = cause.0, open, stood, "release");
            let report = message.report();
            news.push(match open && overtakes_answer(cause) {
                true => FromHub::ReleasedUnanswered(call, cause, report),
                false => FromHub::Released(call, cause, note, report),
            });
            if connection.queue.len() < HEARD_MOST {
                connection.queue.push_back(Out::Heard(call));
            }
            // Danger: a hub says at once what it cannot use, ahead of the set-ups that wait in its line;
            // taken for an answer out of its turn, that would close sound connections.
            None
        }
        kind::STATE | kind::TESTED => {
            let report = message.report();
            if report != Report::default() {
                news.push(FromHub::LoadReport(report));
            }
            None
        }
        _ => None,
    }
}
