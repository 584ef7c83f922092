//! SIP messages (RFC 3261) as callers and the session controller exchange them over TCP.

use super::buffer::MESSAGE_MOST;
use std::borrow::Cow;
use std::fmt::Write;
use std::num::ParseIntError;
use winnow::ascii::{digit1, space0};
use winnow::combinator::{alt, opt, preceded, terminated};
use winnow::token::{literal, take_till, take_while};
use winnow::{ModalResult, Parser};

/// The first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start<'a> {
    /// A request: method and request URI.
    Request(&'a str, &'a str),
    /// A response: status code.
    Response(u16),
}

/// One message; `bytes` is how much of the input it takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The first line.
    pub start: Start<'a>,
    /// The headers, in order, by their long names.
    pub headers: Vec<(&'a str, Cow<'a, str>)>,
    /// The body.
    pub body: &'a [u8],
    /// Its length with all.
    pub bytes: usize,
}

/// What could not be read as a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The request can be told: it gets a 400, and `bytes` of input are passed over. Where its end
    /// cannot be found, `bytes` is nought and the connection is closed after the answer.
    Request {
        /// The headers that a response repeats.
        headers: Vec<(String, String)>,
        /// How much of the input it takes.
        bytes: usize,
    },
    /// Nothing can be told: the connection is closed.
    Lost,
}

impl<'a> Message<'a> {
    /// The first header of that name.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The number and the method of `CSeq`.
    pub fn cseq(&self) -> Option<(u32, &str)> {
        let (number, method) = self.header("CSeq")?.split_once([' ', '\t'])?;
        Some((number.parse().ok()?, method.trim()))
    }

    /// A header that must be a whole number where it is there at all.
    pub fn number(&self, name: &str) -> Result<Option<u64>, ParseIntError> {
        self.header(name).map(str::parse).transpose()
    }

    /// The headers that a response repeats.
    pub fn repeated(&self) -> Vec<(String, String)> {
        repeated(&self.headers)
    }
}

fn find<'h>(headers: &'h [(&str, Cow<str>)], name: &str) -> Option<&'h str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| &**v)
}

fn repeated(headers: &[(&str, Cow<str>)]) -> Vec<(String, String)> {
    let kept = |n: &str| ["Via", "From", "To", "Call-ID", "CSeq"].iter().any(|k| k.eq_ignore_ascii_case(n));
    headers.iter().filter(|(n, _)| kept(n)).map(|(n, v)| (n.to_string(), v.to_string())).collect()
}

fn token<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || "-.!%*_+`'~".contains(c)).parse_next(input)
}

fn first_line<'a>(input: &mut &'a str) -> ModalResult<Start<'a>> {
    let response = preceded(
        literal("SIP/2.0 "),
        terminated(digit1.verify(|c: &str| c.len() == 3).parse_to(), take_till(0.., ['\r', '\n'])),
    );
    let request =
        (terminated(token, ' '), terminated(take_till(1.., [' ', '\r']), (" SIP/2.0", take_while(0.., ' '))));
    alt((response.map(Start::Response), request.map(|(method, uri)| Start::Request(method, uri))))
        .parse_next(input)
}

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
    // A line that begins with white space goes on with the value (RFC 3261, 7.3.1).
    while let Some(more) =
        opt(preceded(take_while(1.., [' ', '\t']), terminated(take_till(0.., ['\r', '\n']), "\r\n")))
            .parse_next(input)?
    {
        value = Cow::Owned(format!("{value} {}", more.trim_end()));
    }
    Ok((long_name(name), value))
}

/// Length of the empty lines that stand before a message, which keep a connection alive.
pub fn empty_lines(input: &[u8]) -> usize {
    input.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count()
}

/// Reads the message that the input begins with; `None`: it is not all there yet.
pub fn parse(input: &[u8]) -> Result<Option<Message<'_>>, Malformed> {
    let head_end = input.windows(4).take(MESSAGE_MOST).position(|w| w == b"\r\n\r\n");
    let Some(head_end) = head_end else {
        return if input.len() >= MESSAGE_MOST { Err(Malformed::Lost) } else { Ok(None) };
    };
    let head = std::str::from_utf8(&input[..head_end + 2]).map_err(|_| Malformed::Lost)?;
    let (line, mut rest) = head.split_once("\r\n").ok_or(Malformed::Lost)?;
    let start = first_line.parse(line);
    let (mut headers, mut wrong) = (Vec::new(), start.is_err());
    while !rest.is_empty() {
        match header.parse_next(&mut rest) {
            Ok(read) => headers.push(read),
            Err(_) => {
                wrong = true;
                rest = rest.split_once("\r\n").map_or("", |(_, after)| after);
            }
        }
    }
    let length = find(&headers, "Content-Length").map_or(Some(0), |v| v.parse::<usize>().ok());
    let bytes = length.map(|l| l.saturating_add(head_end + 4));
    let bytes = bytes.filter(|b| *b <= MESSAGE_MOST);
    let told = find(&headers, "Call-ID").is_some() && find(&headers, "CSeq").is_some();
    let (Ok(start), Some(bytes), false) = (start, bytes, wrong) else {
        // An answer to a response, or to an ACK, would itself be an error.
        let owed = told && !line.starts_with("SIP/2.0") && !line.starts_with("ACK ");
        let whole = bytes.filter(|b| *b <= input.len());
        return match owed {
            true if bytes.is_some() && whole.is_none() => Ok(None),
            true => Err(Malformed::Request { headers: repeated(&headers), bytes: whole.unwrap_or(0) }),
            false => Err(Malformed::Lost),
        };
    };
    if input.len() < bytes {
        return Ok(None);
    }
    Ok(Some(Message { start, headers, body: &input[head_end + 4..bytes], bytes }))
}

/// The user part of a SIP URI.
pub fn user(uri: &str) -> Option<&str> {
    let (scheme, rest) = uri.split_once(':')?;
    let known = scheme.eq_ignore_ascii_case("sip") || scheme.eq_ignore_ascii_case("sips");
    let (user, _) = rest.split_once('@').filter(|_| known)?;
    Some(user.split([':', ';']).next().unwrap_or(user)).filter(|u| !u.is_empty())
}

/// The cause of a `Reason` header with Q.850's causes (RFC 3326).
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

/// Writes a response that repeats `headers`; `tag` goes to a `To` that has none.
pub fn respond(
    out: &mut Vec<u8>,
    (status, phrase): (u16, &str),
    headers: &[(String, String)],
    tag: &str,
    more: &[(&str, &str)],
    body: &[u8],
) {
    let mut head = format!("SIP/2.0 {status} {phrase}\r\n");
    for (name, value) in headers {
        let tagged = !name.eq_ignore_ascii_case("To") || status == 100 || value.contains(";tag=");
        let _ = match tagged {
            true => write!(head, "{name}: {value}\r\n"),
            false => write!(head, "{name}: {value};tag={tag}\r\n"),
        };
    }
    finish(out, head, more, body);
}

/// Writes a request.
pub fn request(out: &mut Vec<u8>, method: &str, uri: &str, headers: &[(&str, &str)]) {
    finish(out, format!("{method} {uri} SIP/2.0\r\n"), headers, &[]);
}

fn finish(out: &mut Vec<u8>, mut head: String, headers: &[(&str, &str)], body: &[u8]) {
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}
