//! What a caller's messages mean, and what it is told.

use super::{Connection, Open};
use crate::core::{CallName, Cause, Description, Input, Offer, Origin, ToFront};
use crate::interface::Micros;
use crate::metrics;
use crate::net::sip::{self, Message, Start};
use crate::net::sip_server::release_tracker::Release;
use crate::net::sip_server::MAX_OPEN;
use crate::net::SDP;
use bytes::Bytes;
use tokio::time::Instant;

/// Headers that an answer repeats, kept while a set-up is open: no longer than this together.
const MAX_REPEATED: usize = 2048;

impl Connection {
    /// Acts on one message. `arrived`: when its last byte came.
    pub(super) fn message(&mut self, message: &Message, arrived: Micros, inputs: &mut Vec<Input>) {
        let Start::Request(method, uri) = message.start else {
            if let (Some((_, "BYE")), Some(call)) = (message.cseq(), call_name(message)) {
                self.releases.confirmed(call);
            }
            return;
        };
        let (id, origin) = (self.server.id, Origin(self.number));
        let headers = message.repeated();
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
            ("INVITE", Some(_))
                if headers.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>() > MAX_REPEATED =>
            {
                self.respond((513, "Message Too Large"), &headers, &[], &[]);
            }
            ("INVITE", Some(call)) => match self.offer(message, uri, call, arrived) {
                // Danger: a second set-up under the id of an open one is refused; the open one's headers,
                // which its answer repeats, stay.
                Ok(offer) if self.open.len() < MAX_OPEN && !self.open.contains_key(&call) => {
                    self.open.insert(call, Open { headers });
                    inputs.push(Input::Offer(offer));
                }
                Ok(_) => self.respond((503, "Service Unavailable"), &headers, &[], &[]),
                Err(()) => self.respond((400, "Bad Request"), &headers, &[], &[]),
            },
            ("CANCEL", Some(call)) => match self.open.remove(&call) {
                Some(open) => {
                    self.respond((200, "OK"), &headers, &[], &[]);
                    self.respond((487, "Request Terminated"), &open.headers, &[], &[]);
                    inputs.push(Input::Withdrawn(id, origin, call));
                }
                None => self.respond((481, "Call/Transaction Does Not Exist"), &headers, &[], &[]),
            },
            ("BYE", Some(call)) => {
                let cause = message.header("Reason").and_then(sip::cause).map_or(Cause::NORMAL, Cause);
                self.respond((200, "OK"), &headers, &[], &[]);
                // A BYE before the answer ends the set-up, whose INVITE is still owed an answer.
                match self.open.remove(&call) {
                    Some(open) => {
                        self.respond((487, "Request Terminated"), &open.headers, &[], &[]);
                        inputs.push(Input::Withdrawn(id, origin, call));
                    }
                    None => {
                        self.carried = self.carried.saturating_sub(1);
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

    /// The set-up that an INVITE holds.
    fn offer(&self, message: &Message, uri: &str, call: CallName, arrived: Micros) -> Result<Offer, ()> {
        let within = message.number("Answer-Within").map_err(drop)?;
        let data = message.header("Routing-Data").unwrap_or("");
        let figure = |name: &str| {
            let mut parts = data.split(';').filter_map(|p| p.split_once(':'));
            parts.find(|(k, _)| k.trim() == name).map(|(_, v)| v.trim())
        };
        Ok(Offer {
            front: self.server.id,
            origin: Origin(self.number),
            call,
            class: message.header("Call-Kind").unwrap_or("").into(),
            number: sip::user(uri).ok_or(())?.into(),
            place: figure("dest").map_or(Ok(-1), |v| v.parse().map_err(|_| ()))?,
            deadline: within.map(|ms| arrived + Micros(ms.saturating_mul(1000))),
            repeat: message.header("Repeat-Mark").is_some_and(|v| v == "1"),
            returned: figure("again") == Some("1"),
            description: Description { format: SDP, bytes: Bytes::copy_from_slice(message.body) },
        })
    }

    /// Passes on what the core has for the caller.
    pub(super) async fn tell(&mut self, message: ToFront) {
        self.used = Instant::now();
        match message {
            ToFront::Answer(_, call, description) => match self.open.remove(&call) {
                Some(open) => {
                    self.carried += 1;
                    let contact = format!("<sip:petreldock@{}>", self.server.listen);
                    let more = [("Contact", &*contact), ("Content-Type", SDP)];
                    // A hub of another protocol describes nothing that a SIP caller could use.
                    match description.format == SDP {
                        true => self.respond((200, "OK"), &open.headers, &more, &description.bytes),
                        false => self.respond((200, "OK"), &open.headers, &more[..1], &[]),
                    }
                    self.answers.push_back((self.written + self.output.len() as u64, call));
                }
                // Danger: the caller gave its set-up up while the answer was under way to it. Nobody
                // has the call: it is released at the hub, and no second answer goes out.
                None => {
                    self.server.tell_core(Input::Hangup(self.server.id, call, Cause::NORMAL)).await;
                }
            },
            ToFront::Refuse(_, call, away) => {
                if let Some(open) = self.open.remove(&call) {
                    let away = (away.0 / 1000).to_string();
                    let more = [("Come-Back-Ms", &*away)];
                    let more = if away == "0" { &[][..] } else { &more[..] };
                    self.respond((503, "Service Unavailable"), &open.headers, more, &[]);
                }
            }
            ToFront::Fail(_, call) => {
                if let Some(open) = self.open.remove(&call) {
                    self.respond((500, "Server Internal Error"), &open.headers, &[], &[]);
                }
            }
            ToFront::Release(origin, call, cause) => {
                self.carried -= usize::from(origin.is_some() && self.carried > 0);
                self.release(Release::new(call, cause));
            }
            // SIP callers' media goes past the session controller.
            ToFront::Media(..) => {}
        }
    }

    /// Ends a call that stands towards the caller, and tracks that until it is confirmed.
    pub(super) fn release(&mut self, release: Release) {
        self.used = Instant::now();
        metrics::RELEASES_SENT.increment();
        tracing::debug!(call = %release.call, connection = self.number, cause = release.cause.0, "release to the caller");
        let listen = self.server.listen;
        let (id, reason) = (format!("{:016x}", release.call.0), format!("Q.850;cause={}", release.cause.0));
        let via = format!("SIP/2.0/TCP {listen};branch=z9hG4bK{id}bye");
        let party = format!("<sip:petreldock@{listen}>;tag={:x}", self.server.id.0 + 1);
        sip::request(
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
        let end = self.written + self.output.len() as u64;
        self.releases.queued(self.used, release, end);
    }

    /// Responds to a request with these headers.
    pub(super) fn respond(
        &mut self,
        status: (u16, &str),
        headers: &[(String, String)],
        more: &[(&str, &str)],
        body: &[u8],
    ) {
        let tag = format!("{:x}", self.number);
        sip::respond(&mut self.output, status, headers, &tag, more, body);
    }
}

/// The call that a message names: 16 hex digits, as on the hubs' wire.
fn call_name(message: &Message) -> Option<CallName> {
    let text = message.header("Call-ID")?;
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits).map(CallName)
}
