//! Handling of a caller's SIP messages, and of the core's messages to the caller.

use super::open_set_ups::OpenSetUp;
use super::Connection;
use crate::core::{CallName, Cause, Description, Input, Offer, Origin, ToFront};
use crate::interface::Micros;
use crate::metrics;
use crate::net::sip::{self, Message, ResponseHeaders, StartLine};
use crate::net::sip_server::release_tracker::Release;
use crate::net::sip_server::MAX_OPEN_SET_UPS;
use crate::net::SDP;
use bytes::Bytes;
use tokio::time::Instant;

/// Maximum total length of the headers that are kept while a set-up is open, for its responses to repeat.
const MAX_RETAINED_HEADER_BYTES: usize = 2048;

impl Connection {
    /// Handles one message, whose last byte was read at `arrived`, and adds the resulting inputs for the core.
    pub(super) fn handle_message(&mut self, message: &Message, arrived: Micros, inputs: &mut Vec<Input>) {
        let StartLine::Request(method, uri) = message.start else {
            if let (Some((_, "BYE")), Some(call)) = (message.cseq(), call_name(message)) {
                self.releases.on_confirmed(call);
            }
            return;
        };
        let (id, origin) = (self.server.id, Origin(self.number));
        let headers = message.response_headers();
        let call = call_name(message);
        match (method, call) {
            ("ACK", _) => {}
            ("OPTIONS", _) => {
                let status = *self.server.status.borrow();
                match status.ready && !status.stopping {
                    true => self.respond((200, "OK"), &headers, &[], &[]),
                    false => self.respond((503, "Service Unavailable"), &headers, &[], &[]),
                }
            }
            ("INVITE", Some(_)) if headers.size() > MAX_RETAINED_HEADER_BYTES => {
                self.respond((513, "Message Too Large"), &headers, &[], &[]);
            }
            ("INVITE", Some(call)) => match self.parse_offer(message, uri, call, arrived, headers.size()) {
                Ok(offer) if self.takes_set_up(&offer) => {
                    let bytes = offer.open_bytes();
                    self.open_set_ups.insert(call, OpenSetUp { headers, bytes });
                    self.pending.push(Instant::now(), offer);
                }
                Ok(_) => self.respond((503, "Service Unavailable"), &headers, &[], &[]),
                Err(()) => self.respond((400, "Bad Request"), &headers, &[], &[]),
            },
            ("CANCEL", Some(call)) => match self.open_set_ups.remove(call) {
                Some(set_up) => {
                    self.respond((200, "OK"), &headers, &[], &[]);
                    self.respond((487, "Request Terminated"), &set_up.headers, &[], &[]);
                    if !self.pending.remove(call) {
                        inputs.push(Input::Withdrawn(id, origin, call));
                    }
                }
                None => self.respond((481, "Call/Transaction Does Not Exist"), &headers, &[], &[]),
            },
            ("BYE", Some(call)) => {
                let cause = message.header("Reason").and_then(sip::cause).map_or(Cause::NORMAL, Cause);
                self.respond((200, "OK"), &headers, &[], &[]);
                // A BYE before the answer cancels the set-up, whose INVITE still needs a final response.
                match self.open_set_ups.remove(call) {
                    Some(set_up) => {
                        self.respond((487, "Request Terminated"), &set_up.headers, &[], &[]);
                        if !self.pending.remove(call) {
                            inputs.push(Input::Withdrawn(id, origin, call));
                        }
                    }
                    None => {
                        self.server.registry().call_ended(call);
                        inputs.push(Input::Hangup(id, call, cause));
                    }
                }
            }
            ("INVITE" | "CANCEL" | "BYE", None) => self.respond((400, "Bad Request"), &headers, &[], &[]),
            _ => {
                let allow = [("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS")];
                self.respond((405, "Method Not Allowed"), &headers, &allow, &[]);
            }
        }
    }

    /// Whether a set-up is passed to the core. A second one with the Call-ID of an open one is refused and must not
    /// replace it: the response to the open one repeats the headers of its own request. The memory of all connections is
    /// bounded here, too, since a flood can hold far more set-ups than those that the core has taken.
    fn takes_set_up(&self, offer: &Offer) -> bool {
        self.open_set_ups.len() < MAX_OPEN_SET_UPS
            && !self.open_set_ups.contains(offer.call)
            && self.open_set_ups.has_room(offer.open_bytes(), self.server.max_open_bytes)
    }

    /// Parses the set-up of an INVITE; the error means that a header or the request URI is invalid.
    fn parse_offer(
        &self,
        message: &Message,
        uri: &str,
        call: CallName,
        arrived: Micros,
        retained_bytes: usize,
    ) -> Result<Offer, ()> {
        let answer_within = message.numeric_header("Answer-Within").map_err(drop)?;
        let data = message.header("Routing-Data").unwrap_or("");
        let routing_parameter = |name: &str| {
            let mut parts = data.split(';').filter_map(|p| p.split_once(':'));
            parts.find(|(k, _)| k.trim() == name).map(|(_, v)| v.trim())
        };
        Ok(Offer {
            front: self.server.id,
            origin: Origin(self.number),
            call,
            class: message.header("Call-Kind").unwrap_or("").into(),
            number: sip::user(uri).ok_or(())?.into(),
            place: routing_parameter("dest").map_or(Ok(-1), |v| v.parse().map_err(|_| ()))?,
            deadline: answer_within.map(|ms| arrived + Micros(ms.saturating_mul(1000))),
            repeat: message.header("Repeat-Mark").is_some_and(|v| v == "1"),
            returned: routing_parameter("again") == Some("1"),
            description: Description { format: SDP, bytes: Bytes::copy_from_slice(message.body) },
            retained_bytes,
        })
    }

    /// Handles a message from the core for the caller.
    pub(super) async fn handle_core_message(&mut self, message: ToFront) {
        self.last_used = Instant::now();
        match message {
            ToFront::Answer(_, call, description) => match self.open_set_ups.remove(call) {
                Some(set_up) => {
                    let contact = format!("<sip:petreldock@{}>", self.server.listen);
                    let more = [("Contact", &*contact), ("Content-Type", SDP)];
                    // The description of a hub that uses another protocol is of no use to a SIP caller.
                    match description.format == SDP {
                        true => self.respond((200, "OK"), &set_up.headers, &more, &description.bytes),
                        false => self.respond((200, "OK"), &set_up.headers, &more[..1], &[]),
                    }
                    self.unwritten_answers.push_back((self.bytes_written + self.output.len() as u64, call));
                }
                // The caller cancelled its set-up while the answer was on its way here. It has received its final
                // response, so the call is only hung up at the hub.
                None => {
                    self.server.registry().call_ended(call);
                    self.server.send_to_core(Input::Hangup(self.server.id, call, Cause::NORMAL)).await;
                }
            },
            ToFront::Refuse(_, call, retry_after) => {
                if let Some(set_up) = self.open_set_ups.remove(call) {
                    let retry_after_ms = (retry_after.0 / 1000).to_string();
                    let more = [("Come-Back-Ms", &*retry_after_ms)];
                    let more = if retry_after_ms == "0" { &[][..] } else { &more[..] };
                    self.respond((503, "Service Unavailable"), &set_up.headers, more, &[]);
                }
            }
            ToFront::Fail(_, call) => {
                if let Some(set_up) = self.open_set_ups.remove(call) {
                    self.respond((500, "Server Internal Error"), &set_up.headers, &[], &[]);
                }
            }
            ToFront::Release(_, call, cause) => self.send_release(Release::new(call, cause)),
            // The media of SIP callers does not pass through the session controller.
            ToFront::Media(..) => {}
        }
    }

    /// Sends a BYE for an answered call to the caller, and tracks it until it is confirmed.
    pub(super) fn send_release(&mut self, release: Release) {
        self.last_used = Instant::now();
        metrics::RELEASES_SENT.increment();
        tracing::debug!(call = %release.call, connection = self.number, cause = release.cause.0, "sending BYE to the caller");
        let listen = self.server.listen;
        let (id, reason) = (format!("{:016x}", release.call.0), format!("Q.850;cause={}", release.cause.0));
        let via = format!("SIP/2.0/TCP {listen};branch=z9hG4bK{id}bye");
        let party = format!("<sip:petreldock@{listen}>;tag={:x}", self.server.id.0 + 1);
        sip::write_request(
            &mut self.output,
            "BYE",
            "sip:caller@net",
            &[
                ("Via", &via),
                ("Max-Forwards", "70"),
                ("From", &party),
                ("To", "<sip:caller@net>"),
                ("Call-ID", &id),
                ("CSeq", "1 BYE"),
                ("Reason", &reason),
            ],
        );
        let end = self.bytes_written + self.output.len() as u64;
        self.releases.on_queued(self.last_used, release, end);
    }

    /// Queues a response to the request with these headers; `more` are further headers of the response.
    pub(super) fn respond(
        &mut self,
        status: (u16, &str),
        headers: &ResponseHeaders,
        more: &[(&str, &str)],
        body: &[u8],
    ) {
        let tag = format!("{:x}", self.number);
        sip::write_response(&mut self.output, status, headers, &tag, more, body);
    }
}

/// The call that a message's `Call-ID` names in 16 hex digits. It has the same name in the protocol of the table hubs.
fn call_name(message: &Message) -> Option<CallName> {
    let text = message.header("Call-ID")?;
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits).map(CallName)
}
