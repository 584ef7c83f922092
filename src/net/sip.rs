//! A parser and writers for the SIP messages (RFC 3261) that callers and the session controller exchange over TCP.

use super::buffer::MAX_MESSAGE_BYTES;
use std::borrow::Cow;
use std::fmt::Write;
use std::num::ParseIntError;
use winnow::ascii::{digit1, space0};
use winnow::combinator::{alt, opt, preceded, terminated};
use winnow::token::{literal, take_till, take_while};
use winnow::{ModalResult, Parser};

/// A message's start line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLine<'a> {
    /// A request: method and request URI.
    Request(&'a str, &'a str),
    /// A response: status code.
    Response(u16),
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The start line.
    pub start: StartLine<'a>,
    /// The headers in order, compact names expanded.
    pub headers: Vec<(&'a str, Cow<'a, str>)>,
    /// The body.
    pub body: &'a [u8],
    /// How many bytes of the input the message takes.
    pub bytes: usize,
}

/// The headers that a response copies from its request, as lines of text. A request may have thousands of short ones, so
/// that separate strings would take many times the size of the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHeaders {
    lines: Box<str>,
}

impl ResponseHeaders {
    /// Their size in bytes.
    pub fn size(&self) -> usize {
        self.lines.len()
    }

    /// The lines, without their ends.
    pub fn lines(&self) -> impl Iterator<Item = &str> {
        self.lines.split_terminator("\r\n")
    }
}

/// Input that is not a valid message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// A request that is identifiable by its `Call-ID` and `CSeq`: it is answered with a 400, and `bytes` of the
    /// input are skipped. Where its end cannot be found, `bytes` is zero and the connection is closed after the
    /// response.
    Request {
        /// The headers that a response copies.
        headers: ResponseHeaders,
        /// How many bytes of the input the request takes.
        bytes: usize,
    },
    /// Input that cannot be answered or skipped: the connection is closed.
    Unrecoverable,
}

impl<'a> Message<'a> {
    /// Returns the first header with the given name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the sequence number and the method of `CSeq`.
    pub fn cseq(&self) -> Option<(u32, &str)> {
        let (number, method) = self.header("CSeq")?.split_once([' ', '\t'])?;
        Some((number.parse().ok()?, method.trim()))
    }

    /// Returns the value of an optional header that holds an integer.
    pub fn numeric_header(&self, name: &str) -> Result<Option<u64>, ParseIntError> {
        self.header(name).map(str::parse).transpose()
    }

    /// Returns the headers that a response copies from the request (RFC 3261, 8.2.6.2).
    pub fn response_headers(&self) -> ResponseHeaders {
        response_headers(&self.headers)
    }
}

fn find_header<'h>(headers: &'h [(&str, Cow<str>)], name: &str) -> Option<&'h str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| &**v)
}

fn response_headers(headers: &[(&str, Cow<str>)]) -> ResponseHeaders {
    let is_copied =
        |n: &str| ["Via", "From", "To", "Call-ID", "CSeq"].iter().any(|k| k.eq_ignore_ascii_case(n));
    let mut lines = String::new();
    for (name, value) in headers.iter().filter(|(name, _)| is_copied(name)) {
        let _ = write!(lines, "{name}: {value}\r\n");
    }
    ResponseHeaders { lines: lines.into() }
}

fn token<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || "-.!%*_+`'~".contains(c)).parse_next(input)
}

fn start_line<'a>(input: &mut &'a str) -> ModalResult<StartLine<'a>> {
    let response = preceded(
        literal("SIP/2.0 "),
        terminated(digit1.verify(|c: &str| c.len() == 3).parse_to(), take_till(0.., ['\r', '\n'])),
    );
    let request =
        (terminated(token, ' '), terminated(take_till(1.., [' ', '\r']), (" SIP/2.0", take_while(0.., ' '))));
    alt((response.map(StartLine::Response), request.map(|(method, uri)| StartLine::Request(method, uri))))
        .parse_next(input)
}

/// Expands a compact header name (RFC 3261, 7.3.3).
fn long_name(name: &str) -> &str {
    match name {
        "i" | "I" => "Call-ID",
        "v" | "V" => "Via",
        "l" | "L" => "Content-Length",
        "f" | "F" => "From",
        "t" | "T" => "To",
        "c" | "C" => "Content-Type",
        "m" | "M" => "Contact",
        other => other,
    }
}

fn header<'a>(input: &mut &'a str) -> ModalResult<(&'a str, Cow<'a, str>)> {
    let name = terminated(token, (space0, ':', space0)).parse_next(input)?;
    let mut value = Cow::Borrowed(take_till(0.., ['\r', '\n']).parse_next(input)?.trim_end());
    literal("\r\n").parse_next(input)?;
    // A line that begins with white space continues the value (RFC 3261, 7.3.1).
    while let Some(more) =
        opt(preceded(take_while(1.., [' ', '\t']), terminated(take_till(0.., ['\r', '\n']), "\r\n")))
            .parse_next(input)?
    {
        value = Cow::Owned(format!("{value} {}", more.trim_end()));
    }
    Ok((long_name(name), value))
}

/// Returns the number of line-break bytes ahead of a message, which callers send to keep a connection alive.
pub fn leading_line_breaks_len(input: &[u8]) -> usize {
    input.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count()
}

/// Parses the message at the start of the input, or returns `None` while it is incomplete.
pub fn parse(input: &[u8]) -> Result<Option<Message<'_>>, Malformed> {
    let head_end = input.windows(4).take(MAX_MESSAGE_BYTES).position(|w| w == b"\r\n\r\n");
    let Some(head_end) = head_end else {
        return if input.len() >= MAX_MESSAGE_BYTES { Err(Malformed::Unrecoverable) } else { Ok(None) };
    };
    let head = std::str::from_utf8(&input[..head_end + 2]).map_err(|_| Malformed::Unrecoverable)?;
    let (line, mut rest) = head.split_once("\r\n").ok_or(Malformed::Unrecoverable)?;
    let start = start_line.parse(line);
    let (mut headers, mut is_malformed) = (Vec::new(), start.is_err());
    while !rest.is_empty() {
        match header.parse_next(&mut rest) {
            Ok(read) => headers.push(read),
            Err(_) => {
                is_malformed = true;
                rest = rest.split_once("\r\n").map_or("", |(_, after)| after);
            }
        }
    }
    let length = find_header(&headers, "Content-Length").map_or(Some(0), |v| v.parse::<usize>().ok());
    let bytes = length.map(|l| l.saturating_add(head_end + 4));
    let bytes = bytes.filter(|b| *b <= MAX_MESSAGE_BYTES);
    let is_identifiable =
        find_header(&headers, "Call-ID").is_some() && find_header(&headers, "CSeq").is_some();
    let (Ok(start), Some(bytes), false) = (start, bytes, is_malformed) else {
        // Responses and ACKs must not be answered.
        let is_answerable = is_identifiable && !line.starts_with("SIP/2.0") && !line.starts_with("ACK ");
        let available = bytes.filter(|b| *b <= input.len());
        return match is_answerable {
            true if bytes.is_some() && available.is_none() => Ok(None),
            true => {
                Err(Malformed::Request { headers: response_headers(&headers), bytes: available.unwrap_or(0) })
            }
            false => Err(Malformed::Unrecoverable),
        };
    };
    if input.len() < bytes {
        return Ok(None);
    }
    Ok(Some(Message { start, headers, body: &input[head_end + 4..bytes], bytes }))
}

/// Returns the user part of a SIP or SIPS URI, without a password or parameters.
pub fn user(uri: &str) -> Option<&str> {
    let (scheme, rest) = uri.split_once(':')?;
    let is_sip = scheme.eq_ignore_ascii_case("sip") || scheme.eq_ignore_ascii_case("sips");
    let (user, _) = rest.split_once('@').filter(|_| is_sip)?;
    Some(user.split([':', ';']).next().unwrap_or(user)).filter(|u| !u.is_empty())
}

/// Returns the Q.850 cause of a `Reason` header (RFC 3326).
pub fn cause(reason: &str) -> Option<u8> {
    let mut parts = reason.split(';').map(str::trim);
    parts.next().filter(|p| p.eq_ignore_ascii_case("Q.850"))?;
    let value = |p: &str| {
        p.split_once('=')
            .filter(|(k, _)| k.trim().eq_ignore_ascii_case("cause"))
            .map(|(_, v)| v.trim().parse().ok())
    };
    parts.find_map(value).flatten()
}

/// Writes a response that copies `headers` from its request. Except in a 100, a `To` without a tag gets `tag`.
pub fn write_response(
    out: &mut Vec<u8>,
    (status, phrase): (u16, &str),
    headers: &ResponseHeaders,
    tag: &str,
    extra_headers: &[(&str, &str)],
    body: &[u8],
) {
    let mut head = format!("SIP/2.0 {status} {phrase}\r\n");
    for line in headers.lines() {
        let name = line.split(':').next().unwrap_or("");
        let is_complete = !name.eq_ignore_ascii_case("To") || status == 100 || line.contains(";tag=");
        let _ = match is_complete {
            true => write!(head, "{line}\r\n"),
            false => write!(head, "{line};tag={tag}\r\n"),
        };
    }
    write_headers_and_body(out, head, extra_headers, body);
}

/// Writes a request without a body.
pub fn write_request(out: &mut Vec<u8>, method: &str, uri: &str, headers: &[(&str, &str)]) {
    write_headers_and_body(out, format!("{method} {uri} SIP/2.0\r\n"), headers, &[]);
}

fn write_headers_and_body(out: &mut Vec<u8>, mut head: String, headers: &[(&str, &str)], body: &[u8]) {
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}
