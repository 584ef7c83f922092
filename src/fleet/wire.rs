//! The fleet's datagrams: one envelope, and what stands in it (docs/FLEET-WIRE.md).
//!
//! Everything is big-endian. Nothing here allocates more than a datagram's length allows.

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, State};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use winnow::binary::{be_u16, be_u32, be_u64, length_take, u8};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take;
use winnow::{ModalResult, Parser};

/// No datagram is longer.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The form spoken.
pub const VERSION: u8 = 1;
/// The oldest reader that understands what is written; what comes after the body it skips.
pub const MIN_READER_VERSION: u8 = 1;
/// A member's name has at most so many bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// A fleet's or a zone's name has at most so many bytes.
pub const MAX_LABEL_BYTES: usize = 32;
/// One member's facts have at most so many bytes.
pub const MAX_FACTS_BYTES: usize = 200;

const MAGIC: [u8; 2] = *b"PF";
/// Magic, version, least reader, kind, flags, checksum.
const HEADER_BYTES: usize = 10;
/// Who sends it has heard nothing for a while: its suspicions may be its own fault.
const FLAG_ISOLATED: u8 = 1;

/// What a datagram is for. Other values are left to later versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A message of the membership protocol (SWIM).
    Swim = 1,
    /// Members' facts.
    Facts = 2,
    /// Sums over the sender's view; what differs is answered with [`Kind::Entries`] and sums in return.
    Sync = 3,
    /// The sums in return: answered with entries alone.
    SyncReply = 4,
    /// Entries of a view.
    Entries = 5,
    /// The receiver is suspected: it is to refute.
    SuspectQuery = 6,
    /// The receiver's identity is older than one that is known at its address.
    Outdated = 7,
    /// An operator asks for the view.
    StatusRequest = 8,
    /// A page of it.
    StatusPage = 9,
}

impl Kind {
    fn from_code(code: u8) -> Option<Kind> {
        use Kind::*;
        [Swim, Facts, Sync, SyncReply, Entries, SuspectQuery, Outdated, StatusRequest, StatusPage]
            .into_iter()
            .find(|k| *k as u8 == code)
    }
}

/// One life of a member. Two at one address are told apart by their generation, the later one counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Identity {
    /// The process's name, the same after a restart.
    pub name: Arc<str>,
    /// Its zone; empty: none.
    pub zone: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The Unix millisecond of its start, and one more each time that it had to come back.
    pub generation: u64,
}

impl Identity {
    /// Whoever is reached at an address, before more is known of it.
    pub fn from_address(address: SocketAddr) -> Identity {
        Identity { name: "".into(), zone: "".into(), address, generation: 0 }
    }

    /// The same member's next life.
    pub fn with_generation_after(&self, generation: u64) -> Identity {
        Identity { generation: generation.saturating_add(1), ..self.clone() }
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.address)
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Identity> {
        Some(self.with_generation_after(self.generation))
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.generation, &self.name, &self.zone) > (other.generation, &other.name, &other.zone)
    }
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Over [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Not of this protocol, or of another fleet.
    Foreign,
    /// Its checksum or one of its lengths is wrong.
    Corrupt,
    /// Only a later version can read it.
    UnsupportedVersion,
    /// Its sender, or an address that it names, is not under the operator's prefixes.
    OutsidePrefixes,
    /// The tables are full.
    TableFull,
    /// It claims to come from this process.
    OwnAddress,
}

/// A datagram, as far as its envelope goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// What it is for.
    pub kind: Kind,
    /// The sender may be the one that is cut off.
    pub isolated: bool,
    /// Who sent it; answers go to the address that it states. An operator who asks has no name.
    pub sender: Identity,
    /// What it says.
    pub body: &'a [u8],
}

/// Writes a datagram. A body that does not fit gives one that is too long, which nobody sends.
pub fn encode_datagram(fleet: &str, sender: &Identity, kind: Kind, isolated: bool, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[
        VERSION,
        MIN_READER_VERSION,
        kind as u8,
        if isolated { FLAG_ISOLATED } else { 0 },
        0,
        0,
        0,
        0,
    ]);
    put_label(&mut bytes, fleet);
    put_identity(&mut bytes, sender);
    bytes.put_u16(body.len() as u16);
    bytes.extend_from_slice(body);
    let sum = checksum(&bytes);
    bytes[6..HEADER_BYTES].copy_from_slice(&sum.to_be_bytes());
    bytes
}

/// Bytes of an envelope around a body.
pub fn overhead(fleet: &str, sender: &Identity) -> usize {
    encode_datagram(fleet, sender, Kind::Swim, false, &[]).len()
}

/// Reads a datagram of this fleet.
pub fn decode_datagram<'a>(fleet: &str, bytes: &'a [u8]) -> Result<Envelope<'a>, DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLong);
    }
    if bytes.len() < HEADER_BYTES || bytes[..2] != MAGIC {
        return Err(DropReason::Foreign);
    }
    if checksum(bytes) != u32::from_be_bytes([bytes[6], bytes[7], bytes[8], bytes[9]]) {
        return Err(DropReason::Corrupt);
    }
    // After the sum: what is torn must not be taken for a later version.
    if bytes[3] > VERSION {
        return Err(DropReason::UnsupportedVersion);
    }
    let mut rest = &bytes[HEADER_BYTES..];
    let of = read_label.parse_next(&mut rest).map_err(|_| DropReason::Corrupt)?;
    let kind = Kind::from_code(bytes[4]).ok_or(DropReason::UnsupportedVersion)?;
    // An operator who asks need not know the fleet's name.
    if &*of != fleet && !matches!(kind, Kind::StatusRequest | Kind::StatusPage) {
        return Err(DropReason::Foreign);
    }
    let sender = read_identity.parse_next(&mut rest).map_err(|_| DropReason::Corrupt)?;
    let body = length_take(be_u16).parse_next(&mut rest).map_err(|_: ParseError| DropReason::Corrupt)?;
    Ok(Envelope { kind, isolated: bytes[5] & FLAG_ISOLATED != 0, sender, body })
}

/// The form's checksum, over all but itself.
pub fn checksum(bytes: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&bytes[..6]), &bytes[HEADER_BYTES..])
}

type ParseError = ErrMode<ContextError>;

fn put_label(bytes: &mut impl BufMut, text: &str) {
    bytes.put_u8(text.len() as u8);
    bytes.put_slice(text.as_bytes());
}

fn read_label(input: &mut &[u8]) -> ModalResult<Arc<str>> {
    let mut text = length_take(u8).verify_map(|b: &[u8]| std::str::from_utf8(b).ok().map(Arc::from));
    text.parse_next(input)
}

/// Writes an address: the family, the address, the port.
pub fn put_address(bytes: &mut impl BufMut, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => {
            bytes.put_u8(4);
            bytes.put_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            bytes.put_u8(6);
            bytes.put_slice(&ip.octets());
        }
    }
    bytes.put_u16(address.port());
}

/// Reads an address.
pub fn read_address(input: &mut &[u8]) -> ModalResult<SocketAddr> {
    let ip = match u8.parse_next(input)? {
        4 => be_u32.map(|b| IpAddr::V4(Ipv4Addr::from_bits(b))).parse_next(input)?,
        6 => take(16usize)
            .verify_map(|b: &[u8]| <[u8; 16]>::try_from(b).ok())
            .map(|b| IpAddr::V6(Ipv6Addr::from(b)))
            .parse_next(input)?,
        _ => return Err(ErrMode::Backtrack(ContextError::new())),
    };
    Ok(SocketAddr::new(ip, be_u16.parse_next(input)?))
}

fn put_identity(bytes: &mut impl BufMut, of: &Identity) {
    put_label(bytes, &of.name);
    put_label(bytes, &of.zone);
    put_address(bytes, of.address);
    bytes.put_u64(of.generation);
}

fn read_identity(input: &mut &[u8]) -> ModalResult<Identity> {
    let name = read_label.verify(|n: &Arc<str>| n.len() <= MAX_NAME_BYTES).parse_next(input)?;
    let zone = read_label.verify(|z: &Arc<str>| z.len() <= MAX_LABEL_BYTES).parse_next(input)?;
    let (address, generation) = (read_address, be_u64).parse_next(input)?;
    Ok(Identity { name, zone, address, generation })
}

/// Writes an entry of a view: who, the refutations, the state.
pub fn put_member(bytes: &mut impl BufMut, of: &Member<Identity>) {
    put_identity(bytes, of.id());
    bytes.put_u16(of.incarnation());
    bytes.put_u8(match of.state() {
        State::Alive => 1,
        State::Suspect => 2,
        State::Down => 3,
    });
}

/// Reads an entry of a view.
pub fn read_member(input: &mut &[u8]) -> ModalResult<Member<Identity>> {
    let (id, incarnation) = (read_identity, be_u16).parse_next(input)?;
    let mut state = u8.verify_map(|s| match s {
        1 => Some(State::Alive),
        2 => Some(State::Suspect),
        3 => Some(State::Down),
        _ => None,
    });
    Ok(Member::new(id, incarnation, state.parse_next(input)?))
}

/// Bytes that an entry takes.
pub fn member_len(of: &Member<Identity>) -> usize {
    let mut bytes = Vec::with_capacity(64);
    put_member(&mut bytes, of);
    bytes.len()
}

/// Writes the head of a SWIM message. Who sent it stands in the envelope too, so that a body can be read alone.
fn put_header(bytes: &mut impl BufMut, of: &Header<Identity>) {
    put_identity(bytes, &of.src);
    bytes.put_u16(of.src_incarnation);
    put_identity(bytes, &of.dst);
    let mut indirect = |code: u8, who: &Identity, number: u8| {
        bytes.put_u8(code);
        put_identity(bytes, who);
        bytes.put_u8(number);
    };
    match &of.message {
        Message::PingReq { target, probe_number } => indirect(3, target, *probe_number),
        Message::IndirectPing { origin, probe_number } => indirect(4, origin, *probe_number),
        Message::IndirectAck { target, probe_number } => indirect(5, target, *probe_number),
        Message::ForwardedAck { origin, probe_number } => indirect(6, origin, *probe_number),
        Message::Ping(number) => bytes.put_slice(&[1, *number]),
        Message::Ack(number) => bytes.put_slice(&[2, *number]),
        Message::Announce => bytes.put_u8(7),
        Message::Feed => bytes.put_u8(8),
        Message::Gossip => bytes.put_u8(9),
        Message::Broadcast => bytes.put_u8(10),
        Message::TurnUndead => bytes.put_u8(11),
    }
}

/// Reads the head of a SWIM message.
pub fn read_header(input: &mut &[u8]) -> ModalResult<Header<Identity>> {
    let (src, src_incarnation, dst) = (read_identity, be_u16, read_identity).parse_next(input)?;
    let message = match u8.parse_next(input)? {
        1 => u8.map(Message::Ping).parse_next(input)?,
        2 => u8.map(Message::Ack).parse_next(input)?,
        code @ 3..=6 => {
            let (who, probe_number) = (read_identity, u8).parse_next(input)?;
            match code {
                3 => Message::PingReq { target: who, probe_number },
                4 => Message::IndirectPing { origin: who, probe_number },
                5 => Message::IndirectAck { target: who, probe_number },
                _ => Message::ForwardedAck { origin: who, probe_number },
            }
        }
        7 => Message::Announce,
        8 => Message::Feed,
        9 => Message::Gossip,
        10 => Message::Broadcast,
        11 => Message::TurnUndead,
        _ => return Err(ErrMode::Backtrack(ContextError::new())),
    };
    Ok(Header { src, src_incarnation, dst, message })
}

/// Writes a SWIM message with the entries that it carries.
pub fn encode_swim(head: &Header<Identity>, entries: &[Member<Identity>]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    put_header(&mut bytes, head);
    if !entries.is_empty() {
        bytes.put_u16(entries.len() as u16);
        entries.iter().for_each(|e| put_member(&mut bytes, e));
    }
    bytes
}

/// Reads a whole SWIM message. No other data is carried along.
pub fn decode_swim(mut input: &[u8]) -> Result<(Header<Identity>, Vec<Member<Identity>>), DropReason> {
    let head = read_header.parse_next(&mut input).map_err(|_| DropReason::Corrupt)?;
    let entries = if input.is_empty() { Vec::new() } else { read_entries(&mut input)? };
    Some((head, entries)).filter(|_| input.is_empty()).ok_or(DropReason::Corrupt)
}

/// Writes so many entries as fit into `room` bytes; gives the body and how many were taken.
pub fn encode_entries(of: &[Member<Identity>], room: usize) -> (Vec<u8>, usize) {
    let (mut bytes, mut taken) = (vec![0, 0], 0);
    for entry in of {
        if bytes.len() + member_len(entry) > room {
            break;
        }
        put_member(&mut bytes, entry);
        taken += 1;
    }
    bytes[..2].copy_from_slice(&(taken as u16).to_be_bytes());
    (bytes, taken)
}

/// Reads entries; the count is not trusted.
pub fn read_entries(input: &mut &[u8]) -> Result<Vec<Member<Identity>>, DropReason> {
    let count = be_u16.parse_next(input).map_err(|_: ParseError| DropReason::Corrupt)?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(read_member.parse_next(input).map_err(|_| DropReason::Corrupt)?);
    }
    Ok(entries)
}

/// One member's facts, as they travel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Whose.
    pub address: SocketAddr,
    /// Of which of its lives.
    pub generation: u64,
    /// Counted up by the owner alone.
    pub version: u32,
    /// How long ago the owner stated them, in milliseconds, by the clocks of those that passed them on.
    pub age_ms: u32,
    /// The facts: tag, length, value, and so on. Unknown tags are kept.
    pub facts: Arc<[u8]>,
}

/// Writes a record.
pub fn put_record(bytes: &mut impl BufMut, of: &Record) {
    put_address(bytes, of.address);
    bytes.put_u64(of.generation);
    bytes.put_u32(of.version);
    bytes.put_u32(of.age_ms);
    bytes.put_u8(of.facts.len() as u8);
    bytes.put_slice(&of.facts);
}

/// Bytes that a record takes.
pub fn record_len(of: &Record) -> usize {
    let address = if of.address.is_ipv4() { 7 } else { 19 };
    address + 17 + of.facts.len()
}

/// Reads records up to the end.
pub fn read_records(mut input: &[u8]) -> Result<Vec<Record>, DropReason> {
    let mut records = Vec::new();
    while !input.is_empty() {
        let facts = length_take(u8).verify(|f: &[u8]| f.len() <= MAX_FACTS_BYTES);
        let mut parts = (read_address, be_u64, be_u32, be_u32, facts);
        let read: ModalResult<_> = parts.parse_next(&mut input);
        let (address, generation, version, age_ms, facts) = read.map_err(|_| DropReason::Corrupt)?;
        records.push(Record { address, generation, version, age_ms, facts: facts.into() });
    }
    Ok(records)
}

/// Reads numbers of a fixed form: all of the body, or nothing.
pub fn read_numbers<const N: usize>(mut input: &[u8]) -> Result<[u64; N], DropReason> {
    let mut numbers = [0; N];
    for number in &mut numbers {
        *number = be_u64.parse_next(&mut input).map_err(|_: ParseError| DropReason::Corrupt)?;
    }
    Ok(numbers)
}

/// The form for the library that does the protocol.
#[derive(Clone, Copy, Debug)]
pub struct WireCodec;

/// An entry does not fit, or cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CodecError;

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("does not fit or cannot be read")
    }
}

impl std::error::Error for CodecError {}

fn write_all(mut to: impl BufMut, bytes: &[u8]) -> Result<(), CodecError> {
    if to.remaining_mut() < bytes.len() {
        return Err(CodecError);
    }
    to.put_slice(bytes);
    Ok(())
}

fn decode_with<T>(mut from: impl Buf, read: impl Fn(&mut &[u8]) -> ModalResult<T>) -> Result<T, CodecError> {
    let mut rest = from.chunk();
    let whole = rest.len();
    let value = read(&mut rest).map_err(|_| CodecError)?;
    let taken = whole - rest.len();
    from.advance(taken);
    Ok(value)
}

impl Codec<Identity> for WireCodec {
    type Error = CodecError;

    fn encode_header(&mut self, of: &Header<Identity>, to: impl BufMut) -> Result<(), CodecError> {
        let mut bytes = Vec::with_capacity(256);
        put_header(&mut bytes, of);
        write_all(to, &bytes)
    }

    fn decode_header(&mut self, from: impl Buf) -> Result<Header<Identity>, CodecError> {
        decode_with(from, read_header)
    }

    fn encode_member(&mut self, of: &Member<Identity>, to: impl BufMut) -> Result<(), CodecError> {
        let mut bytes = Vec::with_capacity(64);
        put_member(&mut bytes, of);
        write_all(to, &bytes)
    }

    fn decode_member(&mut self, from: impl Buf) -> Result<Member<Identity>, CodecError> {
        decode_with(from, read_member)
    }
}
