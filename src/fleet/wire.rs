//! The datagram format of the fleet protocol: a common envelope and the bodies that it carries.
//!
//! All integers are big-endian. Decoding never allocates more than the length of the datagram allows.

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, State};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use winnow::binary::{be_u16, be_u32, be_u64, length_take, u8};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take;
use winnow::{ModalResult, Parser};

/// Maximum length of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Protocol version written by this program.
pub const VERSION: u8 = 1;
/// Oldest protocol version whose readers understand what this program writes. Such a reader skips any bytes after the
/// body.
pub const MIN_READER_VERSION: u8 = 1;
/// Maximum length of a member's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a fleet or zone name.
pub const MAX_LABEL_BYTES: usize = 32;
/// Maximum length of one member's encoded facts.
pub const MAX_FACTS_BYTES: usize = 200;

const MAGIC: [u8; 2] = *b"PF";
/// Magic, version, minimum reader version, kind, flags, checksum.
const HEADER_BYTES: usize = 10;
/// Flag: the sender has received no answer for a while, so its suspicions may be due to its own connectivity.
const FLAG_ISOLATED: u8 = 1;

/// The kind of a datagram. All other values are reserved for later versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A message of the SWIM membership protocol.
    Swim = 1,
    /// Facts about members.
    Facts = 2,
    /// Per-bucket hash sums of the sender's view. The receiver answers with [`Kind::Entries`] for the buckets that
    /// differ and with its own sums.
    Sync = 3,
    /// Hash sums in reply to [`Kind::Sync`], answered with entries only.
    SyncReply = 4,
    /// Membership entries.
    Entries = 5,
    /// Tells the receiver that it is suspected, so that it can refute the suspicion.
    SuspectQuery = 6,
    /// Tells the receiver that a later generation than its own is known for its address.
    Outdated = 7,
    /// An operator's request for one page of the view.
    StatusRequest = 8,
    /// One page of the view, in reply to [`Kind::StatusRequest`].
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

/// One run of a member process. Of two identities with the same address, the one with the later generation wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Identity {
    /// The name of the process, which stays the same across restarts.
    pub name: Arc<str>,
    /// The zone, or an empty string for none.
    pub zone: Arc<str>,
    /// The address at which the process receives datagrams.
    pub address: SocketAddr,
    /// Start time as a Unix timestamp in milliseconds. Higher if the process had to rejoin under a new identity.
    pub generation: u64,
}

impl Identity {
    /// An identity of which only the address is known.
    pub fn from_address(address: SocketAddr) -> Identity {
        Identity { name: "".into(), zone: "".into(), address, generation: 0 }
    }

    /// The identity of the same member with the generation that follows `generation`.
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

/// Why a datagram or an entry was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// It belongs to another protocol or another fleet.
    Foreign,
    /// Its checksum or one of its lengths is wrong.
    Corrupt,
    /// It requires a reader of a later version.
    UnsupportedVersion,
    /// Its sender, or an address that it contains, is outside the configured prefixes.
    OutsidePrefixes,
    /// The member table is full.
    TableFull,
    /// Its sender address is that of this process.
    OwnAddress,
}

/// A decoded datagram whose body has not been decoded yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// The kind of the body.
    pub kind: Kind,
    /// The sender has received no answer for a while and may be cut off itself.
    pub isolated: bool,
    /// The sender. Replies go to the address stated here. The name is empty in an operator's request.
    pub sender: Identity,
    /// The encoded body.
    pub body: &'a [u8],
}

/// Encodes a datagram. A body that is too long yields a datagram over [`MAX_DATAGRAM_BYTES`], which the view does not
/// send.
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

/// Length of an envelope with an empty body.
pub fn overhead(fleet: &str, sender: &Identity) -> usize {
    encode_datagram(fleet, sender, Kind::Swim, false, &[]).len()
}

/// Decodes the envelope of a datagram that belongs to `fleet`.
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
    // Checked after the checksum, so that a corrupt datagram is not reported as a later version.
    if bytes[3] > VERSION {
        return Err(DropReason::UnsupportedVersion);
    }
    let mut rest = &bytes[HEADER_BYTES..];
    let fleet_name = read_label.parse_next(&mut rest).map_err(|_| DropReason::Corrupt)?;
    let kind = Kind::from_code(bytes[4]).ok_or(DropReason::UnsupportedVersion)?;
    // An operator's tool does not need to know the name of the fleet.
    if &*fleet_name != fleet && !matches!(kind, Kind::StatusRequest | Kind::StatusPage) {
        return Err(DropReason::Foreign);
    }
    let sender = read_identity.parse_next(&mut rest).map_err(|_| DropReason::Corrupt)?;
    let body = length_take(be_u16).parse_next(&mut rest).map_err(|_: ParseError| DropReason::Corrupt)?;
    Ok(Envelope { kind, isolated: bytes[5] & FLAG_ISOLATED != 0, sender, body })
}

/// CRC-32C of the datagram without its checksum field.
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

/// Writes an address: family (4 or 6), IP address, port.
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

fn put_identity(bytes: &mut impl BufMut, identity: &Identity) {
    put_label(bytes, &identity.name);
    put_label(bytes, &identity.zone);
    put_address(bytes, identity.address);
    bytes.put_u64(identity.generation);
}

fn read_identity(input: &mut &[u8]) -> ModalResult<Identity> {
    let name = read_label.verify(|n: &Arc<str>| n.len() <= MAX_NAME_BYTES).parse_next(input)?;
    let zone = read_label.verify(|z: &Arc<str>| z.len() <= MAX_LABEL_BYTES).parse_next(input)?;
    let (address, generation) = (read_address, be_u64).parse_next(input)?;
    Ok(Identity { name, zone, address, generation })
}

/// Writes a membership entry: identity, incarnation, state.
pub fn put_member(bytes: &mut impl BufMut, entry: &Member<Identity>) {
    put_identity(bytes, entry.id());
    bytes.put_u16(entry.incarnation());
    bytes.put_u8(match entry.state() {
        State::Alive => 1,
        State::Suspect => 2,
        State::Down => 3,
    });
}

/// Reads a membership entry.
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

/// Encoded length of a membership entry.
pub fn member_len(entry: &Member<Identity>) -> usize {
    let mut bytes = Vec::with_capacity(64);
    put_member(&mut bytes, entry);
    bytes.len()
}

/// Writes the header of a SWIM message. It repeats the sender of the envelope, so that a body can be decoded alone.
fn put_header(bytes: &mut impl BufMut, header: &Header<Identity>) {
    put_identity(bytes, &header.src);
    bytes.put_u16(header.src_incarnation);
    put_identity(bytes, &header.dst);
    let mut indirect = |code: u8, identity: &Identity, number: u8| {
        bytes.put_u8(code);
        put_identity(bytes, identity);
        bytes.put_u8(number);
    };
    match &header.message {
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

/// Reads the header of a SWIM message.
pub fn read_header(input: &mut &[u8]) -> ModalResult<Header<Identity>> {
    let (src, src_incarnation, dst) = (read_identity, be_u16, read_identity).parse_next(input)?;
    let message = match u8.parse_next(input)? {
        1 => u8.map(Message::Ping).parse_next(input)?,
        2 => u8.map(Message::Ack).parse_next(input)?,
        code @ 3..=6 => {
            let (identity, probe_number) = (read_identity, u8).parse_next(input)?;
            match code {
                3 => Message::PingReq { target: identity, probe_number },
                4 => Message::IndirectPing { origin: identity, probe_number },
                5 => Message::IndirectAck { target: identity, probe_number },
                _ => Message::ForwardedAck { origin: identity, probe_number },
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

/// Encodes a SWIM message with its membership entries.
pub fn encode_swim(header: &Header<Identity>, entries: &[Member<Identity>]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    put_header(&mut bytes, header);
    if !entries.is_empty() {
        bytes.put_u16(entries.len() as u16);
        entries.iter().for_each(|e| put_member(&mut bytes, e));
    }
    bytes
}

/// Decodes a complete SWIM message. Bytes after the entries are an error.
pub fn decode_swim(mut input: &[u8]) -> Result<(Header<Identity>, Vec<Member<Identity>>), DropReason> {
    let header = read_header.parse_next(&mut input).map_err(|_| DropReason::Corrupt)?;
    let entries = if input.is_empty() { Vec::new() } else { read_entries(&mut input)? };
    Some((header, entries)).filter(|_| input.is_empty()).ok_or(DropReason::Corrupt)
}

/// Encodes as many entries as fit into `room` bytes. Returns the body and the number of entries in it.
pub fn encode_entries(entries: &[Member<Identity>], room: usize) -> (Vec<u8>, usize) {
    let (mut bytes, mut count) = (vec![0, 0], 0);
    for entry in entries {
        if bytes.len() + member_len(entry) > room {
            break;
        }
        put_member(&mut bytes, entry);
        count += 1;
    }
    bytes[..2].copy_from_slice(&(count as u16).to_be_bytes());
    (bytes, count)
}

/// Reads entries. Memory is allocated only for entries that are present, whatever the count field says.
pub fn read_entries(input: &mut &[u8]) -> Result<Vec<Member<Identity>>, DropReason> {
    let count = be_u16.parse_next(input).map_err(|_: ParseError| DropReason::Corrupt)?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(read_member.parse_next(input).map_err(|_| DropReason::Corrupt)?);
    }
    Ok(entries)
}

/// The facts of one member, as sent between members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The address of the member.
    pub address: SocketAddr,
    /// The generation of the member that stated the facts.
    pub generation: u64,
    /// Version of the facts. Only the member itself increments it.
    pub version: u32,
    /// Time since the member stated the facts, in milliseconds, as measured by the members that forwarded them.
    pub age_ms: u32,
    /// The facts as a sequence of tag, length and value. Unknown tags are preserved.
    pub facts: Arc<[u8]>,
}

/// Writes a record.
pub fn put_record(bytes: &mut impl BufMut, record: &Record) {
    put_address(bytes, record.address);
    bytes.put_u64(record.generation);
    bytes.put_u32(record.version);
    bytes.put_u32(record.age_ms);
    bytes.put_u8(record.facts.len() as u8);
    bytes.put_slice(&record.facts);
}

/// Encoded length of a record.
pub fn record_len(record: &Record) -> usize {
    let address_len = if record.address.is_ipv4() { 7 } else { 19 };
    address_len + 17 + record.facts.len()
}

/// Reads records until the end of the input.
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

/// Reads `N` 64-bit integers from the start of a body.
pub fn read_numbers<const N: usize>(mut input: &[u8]) -> Result<[u64; N], DropReason> {
    let mut numbers = [0; N];
    for number in &mut numbers {
        *number = be_u64.parse_next(&mut input).map_err(|_: ParseError| DropReason::Corrupt)?;
    }
    Ok(numbers)
}

/// The codec of this format for the SWIM library.
#[derive(Clone, Copy, Debug)]
pub struct WireCodec;

/// An entry does not fit into the buffer, or the input cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CodecError;

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("membership entry does not fit or cannot be decoded")
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

fn decode_with<T>(mut input: impl Buf, read: impl Fn(&mut &[u8]) -> ModalResult<T>) -> Result<T, CodecError> {
    let mut rest = input.chunk();
    let whole = rest.len();
    let value = read(&mut rest).map_err(|_| CodecError)?;
    let consumed = whole - rest.len();
    input.advance(consumed);
    Ok(value)
}

impl Codec<Identity> for WireCodec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Identity>, to: impl BufMut) -> Result<(), CodecError> {
        let mut bytes = Vec::with_capacity(256);
        put_header(&mut bytes, header);
        write_all(to, &bytes)
    }

    fn decode_header(&mut self, from: impl Buf) -> Result<Header<Identity>, CodecError> {
        decode_with(from, read_header)
    }

    fn encode_member(&mut self, entry: &Member<Identity>, to: impl BufMut) -> Result<(), CodecError> {
        let mut bytes = Vec::with_capacity(64);
        put_member(&mut bytes, entry);
        write_all(to, &bytes)
    }

    fn decode_member(&mut self, from: impl Buf) -> Result<Member<Identity>, CodecError> {
        decode_with(from, read_member)
    }
}
