//! Codec of the binary protocol of table hubs.
//!
//! A message has a length (2 bytes), a type (1 byte), a call id (8 bytes) and any number of parameters, each with a code
//! (1 byte), a length (2 bytes) and a value. All numbers are big-endian, and the message's length leaves out its own
//! two bytes.

use super::buffer::MAX_MESSAGE_BYTES;
use crate::config::WireNames;
use crate::interface::Report;
use winnow::binary::{be_u16, be_u64, length_take, u8};
use winnow::combinator::repeat;
use winnow::{ModalResult, Parser};

/// Message types.
pub mod kind {
    /// Sets a call up.
    pub const SET_UP: u8 = 1;
    /// Progress of a set-up.
    pub const PROGRESS: u8 = 6;
    /// Answers a set-up: the call stands.
    pub const ANSWER: u8 = 9;
    /// Refuses a set-up, gives it up, or releases a call that stands.
    pub const RELEASE: u8 = 12;
    /// Acknowledges a release.
    pub const RELEASE_ACK: u8 = 16;
    /// Reports the state of a hub.
    pub const STATE: u8 = 43;
    /// Asks whether the hub is alive; concerns no call.
    pub const TEST: u8 = 52;
    /// Result of a test.
    pub const TEST_RESULT: u8 = 53;
}

/// Parameter codes.
pub mod code {
    /// Name of the call's class.
    pub const CLASS: u8 = 100;
    /// How long the sender waits for an answer, in milliseconds.
    pub const WAIT: u8 = 102;
    /// The called number.
    pub const NUMBER: u8 = 108;
    /// Text that qualifies a refusal.
    pub const NOTE: u8 = 114;
    /// Load report of the hub.
    pub const REPORT: u8 = 118;
    /// Cause (Q.850) of a release.
    pub const CAUSE: u8 = 128;
    /// Description (SDP) of the session.
    pub const DESCRIPTION: u8 = 130;
}

/// A parsed message that borrows its parameters from the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Message type, one of [`kind`].
    pub kind: u8,
    /// Id of the call that the message concerns.
    pub call: u64,
    /// Parameters in order of arrival, each as its code and value.
    pub parameters: Vec<(u8, &'a [u8])>,
    /// Length of the encoded message, including its length field.
    pub bytes: usize,
}

/// The input is not a valid message. The position of the next message is unknown, so the connection is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage;

impl<'a> Message<'a> {
    /// The value of the first parameter with this code.
    pub fn parameter(&self, code: u8) -> Option<&'a [u8]> {
        self.parameters.iter().find(|(c, _)| *c == code).map(|(_, v)| *v)
    }

    /// The value of a parameter as text, if it is valid UTF-8.
    pub fn text(&self, code: u8) -> Option<&'a str> {
        self.parameter(code).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// The first byte of the cause parameter, if there is one.
    pub fn cause(&self) -> Option<u8> {
        self.parameter(code::CAUSE).and_then(|v| v.first().copied())
    }

    /// The load report, in the form `x0:12;x1:40;queue:3`. Entries that cannot be parsed are left out.
    pub fn report(&self) -> Report {
        let mut report = Report::default();
        for part in self.text(code::REPORT).unwrap_or("").split(';') {
            if let Some((name, value)) = part.split_once(':') {
                if let Ok(value) = value.trim().parse() {
                    WireNames::store(&mut report, name.trim(), value);
                }
            }
        }
        report
    }
}

/// Parses one parameter into its code and value.
fn parameter<'a>(input: &mut &'a [u8]) -> ModalResult<(u8, &'a [u8])> {
    (u8, length_take(be_u16)).parse_next(input)
}

/// Returns the type of the message at the start of the input, as soon as it has arrived.
pub fn kind_of(input: &[u8]) -> Option<u8> {
    input.get(2).copied()
}

/// Parses the message at the start of the input; returns `None` if it is not complete yet.
pub fn parse(input: &[u8]) -> Result<Option<Message<'_>>, MalformedMessage> {
    let Some((length, rest)) = input.split_first_chunk::<2>() else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes(*length));
    if length < 9 || length + 2 > MAX_MESSAGE_BYTES {
        return Err(MalformedMessage);
    }
    let Some(content) = rest.get(..length) else { return Ok(None) };
    let (kind, call, parameters) =
        (u8::<_, winnow::error::ErrMode<winnow::error::ContextError>>, be_u64, repeat(0.., parameter))
            .parse(content)
            .map_err(|_| MalformedMessage)?;
    Ok(Some(Message { kind, call, parameters, bytes: length + 2 }))
}

/// Appends an encoded message to `out`. Returns `false` and appends nothing if it would exceed the maximum size.
pub fn write(out: &mut Vec<u8>, kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> bool {
    let length = 9 + parameters.iter().map(|(_, v)| 3 + v.len()).sum::<usize>();
    if length + 2 > MAX_MESSAGE_BYTES {
        return false;
    }
    out.extend_from_slice(&(length as u16).to_be_bytes());
    out.push(kind);
    out.extend_from_slice(&call.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend_from_slice(&(value.len() as u16).to_be_bytes());
        out.extend_from_slice(value);
    }
    true
}
