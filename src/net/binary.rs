//! The table hubs' binary messages: a length, a type, the call, and parameters.

use super::buffer::MAX_MESSAGE_BYTES;
use crate::config::WireNames;
use crate::interface::Report;
use winnow::binary::{be_u16, be_u64, length_take, u8};
use winnow::combinator::repeat;
use winnow::{ModalResult, Parser};

/// Message types.
pub mod kind {
    /// Set-up.
    pub const SET_UP: u8 = 1;
    /// Progress.
    pub const PROGRESS: u8 = 6;
    /// Answer.
    pub const ANSWER: u8 = 9;
    /// Refusal, give-up or release.
    pub const RELEASE: u8 = 12;
    /// Release heard.
    pub const RELEASE_HEARD: u8 = 16;
    /// State of a group.
    pub const STATE: u8 = 43;
    /// Test.
    pub const TEST: u8 = 52;
    /// Test passed or failed.
    pub const TESTED: u8 = 53;
}

/// Parameter codes.
pub mod code {
    /// The class.
    pub const CLASS: u8 = 100;
    /// How long the sender waits, in milliseconds.
    pub const WAIT: u8 = 102;
    /// The number called.
    pub const NUMBER: u8 = 108;
    /// A note with a refusal.
    pub const NOTE: u8 = 114;
    /// A load report.
    pub const REPORT: u8 = 118;
    /// The cause.
    pub const CAUSE: u8 = 128;
    /// The description.
    pub const DESCRIPTION: u8 = 130;
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Its type.
    pub kind: u8,
    /// The call it names.
    pub call: u64,
    /// Its parameters, in order.
    pub parameters: Vec<(u8, &'a [u8])>,
    /// Its length with all.
    pub bytes: usize,
}

/// The bytes are no message; the connection cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Garbled;

impl<'a> Message<'a> {
    /// The first parameter of that code.
    pub fn parameter(&self, code: u8) -> Option<&'a [u8]> {
        self.parameters.iter().find(|(c, _)| *c == code).map(|(_, v)| *v)
    }

    /// A parameter's text.
    pub fn text(&self, code: u8) -> Option<&'a str> {
        self.parameter(code).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// The cause, if there is one of one byte.
    pub fn cause(&self) -> Option<u8> {
        self.parameter(code::CAUSE).and_then(|v| v.first().copied())
    }

    /// The load report, as in `x0:12;x1:40;queue:3`; what cannot be read of it is left out.
    pub fn report(&self) -> Report {
        let mut report = Report::default();
        for part in self.text(code::REPORT).unwrap_or("").split(';') {
            if let Some((name, figure)) = part.split_once(':') {
                if let Ok(figure) = figure.trim().parse() {
                    WireNames::store(&mut report, name.trim(), figure);
                }
            }
        }
        report
    }
}

fn parameter<'a>(input: &mut &'a [u8]) -> ModalResult<(u8, &'a [u8])> {
    (u8, length_take(be_u16)).parse_next(input)
}

/// Reads the message that the input begins with; `None`: it is not all there yet.
pub fn parse(input: &[u8]) -> Result<Option<Message<'_>>, Garbled> {
    let Some((length, rest)) = input.split_first_chunk::<2>() else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes(*length));
    if length < 9 || length + 2 > MAX_MESSAGE_BYTES {
        return Err(Garbled);
    }
    let Some(content) = rest.get(..length) else { return Ok(None) };
    let (kind, call, parameters) =
        (u8::<_, winnow::error::ErrMode<winnow::error::ContextError>>, be_u64, repeat(0.., parameter))
            .parse(content)
            .map_err(|_| Garbled)?;
    Ok(Some(Message { kind, call, parameters, bytes: length + 2 }))
}

/// Writes a message. What would not fit is left out whole: `false`.
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
