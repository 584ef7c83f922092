//! A parser for the part of HTTP/1.1 responses (RFC 9112) that the change log's poller needs.

use winnow::ascii::{digit1, hex_digit1, space0, space1};
use winnow::combinator::{preceded, terminated};
use winnow::token::{literal, take_till, take_while};
use winnow::{ModalResult, Parser};

/// The longest head, which is the status line and the headers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The longest body: enough for a list of all hubs.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body, with any chunked transfer coding removed.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// How many bytes of the input the response takes.
    pub bytes: usize,
}

/// The input is not a valid response, or exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidResponse;

fn status_line(input: &mut &str) -> ModalResult<(u8, u16)> {
    let minor = preceded("HTTP/1.", digit1.parse_to()).parse_next(input)?;
    let status = preceded(space1, digit1.verify(|s: &str| s.len() == 3).parse_to()).parse_next(input)?;
    (take_till(0.., ['\r', '\n']), literal("\r\n")).void().parse_next(input)?;
    Ok((minor, status))
}

fn header<'a>(input: &mut &'a str) -> ModalResult<(&'a str, &'a str)> {
    let name = terminated(take_while(1.., |c: char| !c.is_whitespace() && c != ':'), (':', space0));
    (name, terminated(take_till(0.., ['\r', '\n']).map(str::trim_end), "\r\n")).parse_next(input)
}

fn chunk_size(input: &mut &str) -> ModalResult<usize> {
    let size = hex_digit1.verify_map(|d: &str| usize::from_str_radix(d, 16).ok());
    terminated(size, (take_till(0.., ['\r', '\n']), "\r\n")).parse_next(input)
}

/// A body and the offset at which the response ends, or `None` while it is incomplete.
type ChunkedBody = Option<(Vec<u8>, usize)>;

/// Reads a chunked body (RFC 9112, section 7.1) that begins at the offset `at`.
fn chunked_body(input: &[u8], mut at: usize) -> Result<ChunkedBody, InvalidResponse> {
    let mut body = Vec::new();
    loop {
        let Some(length) = input[at..].windows(2).take(64).position(|w| w == b"\r\n") else {
            return if input.len() - at > 64 { Err(InvalidResponse) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&input[at..at + length + 2]).map_err(|_| InvalidResponse)?;
        let size = chunk_size.parse(line).map_err(|_| InvalidResponse)?;
        at += length + 2;
        if size > MAX_BODY_BYTES - body.len() {
            return Err(InvalidResponse);
        }
        if input.len() < at + size + 2 {
            return Ok(None);
        }
        if &input[at + size..at + size + 2] != b"\r\n" {
            return Err(InvalidResponse);
        }
        body.extend_from_slice(&input[at..at + size]);
        at += size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// Parses the response at the start of the input, or returns `None` while it is incomplete. `at_eof` tells that no
/// more input will follow, which ends a body of unspecified length.
pub fn parse(input: &[u8], at_eof: bool) -> Result<Option<Response>, InvalidResponse> {
    let Some(head) = input.windows(4).take(MAX_HEAD_BYTES).position(|w| w == b"\r\n\r\n") else {
        return if at_eof || input.len() >= MAX_HEAD_BYTES { Err(InvalidResponse) } else { Ok(None) };
    };
    let mut text = std::str::from_utf8(&input[..head + 2]).map_err(|_| InvalidResponse)?;
    let (minor, status) = status_line.parse_next(&mut text).map_err(|_| InvalidResponse)?;
    let (mut length, mut chunked, mut keep_alive) = (None, false, minor >= 1);
    while !text.is_empty() {
        let (name, value) = header.parse_next(&mut text).map_err(|_| InvalidResponse)?;
        if name.eq_ignore_ascii_case("content-length") {
            length =
                Some(value.parse::<usize>().ok().filter(|l| *l <= MAX_BODY_BYTES).ok_or(InvalidResponse)?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if name.eq_ignore_ascii_case("connection") {
            keep_alive = value.eq_ignore_ascii_case("keep-alive")
                || keep_alive && !value.eq_ignore_ascii_case("close");
        }
    }
    let at = head + 4;
    let (body, bytes) = match (chunked, length) {
        (true, _) => match chunked_body(input, at)? {
            Some(read) => read,
            None => return if at_eof { Err(InvalidResponse) } else { Ok(None) },
        },
        (false, Some(length)) if input.len() >= at + length => (input[at..at + length].to_vec(), at + length),
        (false, None) if matches!(status, 100..=199 | 204 | 304) => (vec![], at),
        (false, None) if at_eof => (input[at..].to_vec(), input.len()),
        (false, Some(_)) if at_eof => return Err(InvalidResponse),
        (false, None) if input.len() - at > MAX_BODY_BYTES => return Err(InvalidResponse),
        _ => return Ok(None),
    };
    Ok(Some(Response { status, body, keep_alive: keep_alive && (chunked || length.is_some()), bytes }))
}
