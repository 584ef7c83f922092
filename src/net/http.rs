//! HTTP/1.1 responses (RFC 9112), as far as the change log's poller needs them.

use winnow::ascii::{digit1, hex_digit1, space0, space1};
use winnow::combinator::{preceded, terminated};
use winnow::token::{literal, take_till, take_while};
use winnow::{ModalResult, Parser};

/// The longest head.
const HEAD_MOST: usize = 16 * 1024;
/// The longest body: a whole list of hubs.
pub const BODY_MOST: usize = 4 * 1024 * 1024;

/// One response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after it.
    pub keep: bool,
    /// Its length with all.
    pub bytes: usize,
}

/// The bytes are no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Garbled;

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

/// A body and the end of the whole; `None`: not all there yet.
type Chunked = Option<(Vec<u8>, usize)>;

fn chunks(input: &[u8], mut at: usize) -> Result<Chunked, Garbled> {
    let mut body = Vec::new();
    loop {
        let Some(length) = input[at..].windows(2).take(64).position(|w| w == b"\r\n") else {
            return if input.len() - at > 64 { Err(Garbled) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&input[at..at + length + 2]).map_err(|_| Garbled)?;
        let size = chunk_size.parse(line).map_err(|_| Garbled)?;
        at += length + 2;
        if size > BODY_MOST - body.len() {
            return Err(Garbled);
        }
        if input.len() < at + size + 2 {
            return Ok(None);
        }
        if &input[at + size..at + size + 2] != b"\r\n" {
            return Err(Garbled);
        }
        body.extend_from_slice(&input[at..at + size]);
        at += size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// Reads the response that the input begins with; `None`: it is not all there yet. `ended` tells that
/// no more will come, which ends a body without a length.
pub fn parse(input: &[u8], ended: bool) -> Result<Option<Response>, Garbled> {
    let Some(head) = input.windows(4).take(HEAD_MOST).position(|w| w == b"\r\n\r\n") else {
        return if ended || input.len() >= HEAD_MOST { Err(Garbled) } else { Ok(None) };
    };
    let mut text = std::str::from_utf8(&input[..head + 2]).map_err(|_| Garbled)?;
    let (minor, status) = status_line.parse_next(&mut text).map_err(|_| Garbled)?;
    let (mut length, mut chunked, mut keep) = (None, false, minor >= 1);
    while !text.is_empty() {
        let (name, value) = header.parse_next(&mut text).map_err(|_| Garbled)?;
        if name.eq_ignore_ascii_case("content-length") {
            length = Some(value.parse::<usize>().ok().filter(|l| *l <= BODY_MOST).ok_or(Garbled)?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if name.eq_ignore_ascii_case("connection") {
            keep = value.eq_ignore_ascii_case("keep-alive") || keep && !value.eq_ignore_ascii_case("close");
        }
    }
    let at = head + 4;
    let (body, bytes) = match (chunked, length) {
        (true, _) => match chunks(input, at)? {
            Some(read) => read,
            None => return if ended { Err(Garbled) } else { Ok(None) },
        },
        (false, Some(length)) if input.len() >= at + length => (input[at..at + length].to_vec(), at + length),
        (false, None) if matches!(status, 100..=199 | 204 | 304) => (vec![], at),
        (false, None) if ended => (input[at..].to_vec(), input.len()),
        (false, Some(_)) if ended => return Err(Garbled),
        (false, None) if input.len() - at > BODY_MOST => return Err(Garbled),
        _ => return Ok(None),
    };
    Ok(Some(Response { status, body, keep: keep && (chunked || length.is_some()), bytes }))
}
