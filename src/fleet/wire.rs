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
pub const DATAGRAM_MOST: usize = 1_400;
/// The form spoken.
pub const VERSION: u8 = 1;
/// The oldest reader that understands what is written; what comes after the body it skips.
pub const LEAST: u8 = 1;
/// A member's name has at most so many bytes.
pub const NAME_MOST: usize = 64;
/// A fleet's or a zone's name has at most so many bytes.
pub const LABEL_MOST: usize = 32;
/// One member's facts have at most so many bytes.
pub const FACTS_MOST: usize = 200;

const MAGIC: [u8; 2] = *b"PF";
/// Magic, version, least reader, kind, flags, checksum.
const HEAD: usize = 10;
/// Who sends it has heard nothing for a while: its suspicions may be its own fault.
const UNSURE: u8 = 1;

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
    Synced = 4,
    /// Entries of a view.
    Entries = 5,
    /// The receiver is suspected: it is to refute.
    Doubt = 6,
    /// The receiver's identity is older than one that is known at its address.
    Outdated = 7,
    /// An operator asks for the view.
    Ask = 8,
    /// A page of it.
    Told = 9,
}

impl Kind {
    fn of(code: u8) -> Option<Kind> {
        use Kind::*;
        [Swim, Facts, Sync, Synced, Entries, Doubt, Outdated, Ask, Told]
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
    pub fn at(address: SocketAddr) -> Identity {
        Identity { name: "".into(), zone: "".into(), address, generation: 0 }
    }

    /// The same member's next life.
    pub fn after(&self, generation: u64) -> Identity {
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
        Some(self.after(self.generation))
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
pub enum Refused {
    /// Over [`DATAGRAM_MOST`].
    TooLong,
    /// Not of this protocol, or of another fleet.
    Foreign,
    /// Its checksum or one of its lengths is wrong.
    Torn,
    /// Only a later version can read it.
    Newer,
    /// Its sender, or an address that it names, is not under the operator's prefixes.
    Stranger,
    /// The tables are full.
    Full,
    /// It claims to come from this process.
    Own,
}

/// A datagram, as far as its envelope goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// What it is for.
    pub kind: Kind,
    /// The sender may be the one that is cut off.
    pub unsure: bool,
    /// Who sent it; answers go to the address that it states. An operator who asks has no name.
    pub sender: Identity,
    /// What it says.
    pub body: &'a [u8],
}

/// Writes a datagram. A body that does not fit gives one that is too long, which nobody sends.
pub fn seal(fleet: &str, sender: &Identity, kind: Kind, unsure: bool, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(DATAGRAM_MOST);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[VERSION, LEAST, kind as u8, if unsure { UNSURE } else { 0 }, 0, 0, 0, 0]);
    label(&mut bytes, fleet);
    identity(&mut bytes, sender);
    bytes.put_u16(body.len() as u16);
    bytes.extend_from_slice(body);
    let sum = checksum(&bytes);
    bytes[6..HEAD].copy_from_slice(&sum.to_be_bytes());
    bytes
}

/// Bytes of an envelope around a body.
pub fn overhead(fleet: &str, sender: &Identity) -> usize {
    seal(fleet, sender, Kind::Swim, false, &[]).len()
}

/// Reads a datagram of this fleet.
pub fn open<'a>(fleet: &str, bytes: &'a [u8]) -> Result<Envelope<'a>, Refused> {
    if bytes.len() > DATAGRAM_MOST {
        return Err(Refused::TooLong);
    }
    if bytes.len() < HEAD || bytes[..2] != MAGIC {
        return Err(Refused::Foreign);
    }
    if checksum(bytes) != u32::from_be_bytes([bytes[6], bytes[7], bytes[8], bytes[9]]) {
        return Err(Refused::Torn);
    }
    // After the sum: what is torn must not be taken for a later version.
    if bytes[3] > VERSION {
        return Err(Refused::Newer);
    }
    let mut rest = &bytes[HEAD..];
    let of = read_label.parse_next(&mut rest).map_err(|_| Refused::Torn)?;
    let kind = Kind::of(bytes[4]).ok_or(Refused::Newer)?;
    // An operator who asks need not know the fleet's name.
    if &*of != fleet && !matches!(kind, Kind::Ask | Kind::Told) {
        return Err(Refused::Foreign);
    }
    let sender = read_identity.parse_next(&mut rest).map_err(|_| Refused::Torn)?;
    let body = length_take(be_u16).parse_next(&mut rest).map_err(|_: Fault| Refused::Torn)?;
    Ok(Envelope { kind, unsure: bytes[5] & UNSURE != 0, sender, body })
}

/// The form's checksum, over all but itself.
pub fn checksum(bytes: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&bytes[..6]), &bytes[HEAD..])
}

type Fault = ErrMode<ContextError>;

fn label(bytes: &mut impl BufMut, text: &str) {
    bytes.put_u8(text.len() as u8);
    bytes.put_slice(text.as_bytes());
}

fn read_label(input: &mut &[u8]) -> ModalResult<Arc<str>> {
    let mut text = length_take(u8).verify_map(|b: &[u8]| std::str::from_utf8(b).ok().map(Arc::from));
    text.parse_next(input)
}

/// Writes an address: the family, the address, the port.
pub fn address(bytes: &mut impl BufMut, address: SocketAddr) {
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

fn identity(bytes: &mut impl BufMut, of: &Identity) {
    label(bytes, &of.name);
    label(bytes, &of.zone);
    address(bytes, of.address);
    bytes.put_u64(of.generation);
}

fn read_identity(input: &mut &[u8]) -> ModalResult<Identity> {
    let name = read_label.verify(|n: &Arc<str>| n.len() <= NAME_MOST).parse_next(input)?;
    let zone = read_label.verify(|z: &Arc<str>| z.len() <= LABEL_MOST).parse_next(input)?;
    let (address, generation) = (read_address, be_u64).parse_next(input)?;
    Ok(Identity { name, zone, address, generation })
}

/// Writes an entry of a view: who, the refutations, the state.
pub fn member(bytes: &mut impl BufMut, of: &Member<Identity>) {
    identity(bytes, of.id());
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
pub fn member_bytes(of: &Member<Identity>) -> usize {
    let mut bytes = Vec::with_capacity(64);
    member(&mut bytes, of);
    bytes.len()
}

/// Writes the head of a SWIM message. Who sent it stands in the envelope too, so that a body can be read alone.
fn header(bytes: &mut impl BufMut, of: &Header<Identity>) {
    identity(bytes, &of.src);
    bytes.put_u16(of.src_incarnation);
    identity(bytes, &of.dst);
    let mut indirect = |code: u8, who: &Identity, number: u8| {
        bytes.put_u8(code);
        identity(bytes, who);
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
pub fn swim(head: &Header<Identity>, entries: &[Member<Identity>]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(DATAGRAM_MOST);
    header(&mut bytes, head);
    if !entries.is_empty() {
        bytes.put_u16(entries.len() as u16);
        entries.iter().for_each(|e| member(&mut bytes, e));
    }
    bytes
}

/// Reads a whole SWIM message. No other data is carried along.
pub fn read_swim(mut input: &[u8]) -> Result<(Header<Identity>, Vec<Member<Identity>>), Refused> {
    let head = read_header.parse_next(&mut input).map_err(|_| Refused::Torn)?;
    let entries = if input.is_empty() { Vec::new() } else { read_entries(&mut input)? };
    Some((head, entries)).filter(|_| input.is_empty()).ok_or(Refused::Torn)
}

/// Writes so many entries as fit into `room` bytes; gives the body and how many were taken.
pub fn entries(of: &[Member<Identity>], room: usize) -> (Vec<u8>, usize) {
    let (mut bytes, mut taken) = (vec![0, 0], 0);
    for entry in of {
        if bytes.len() + member_bytes(entry) > room {
            break;
        }
        member(&mut bytes, entry);
        taken += 1;
    }
    bytes[..2].copy_from_slice(&(taken as u16).to_be_bytes());
    (bytes, taken)
}

/// Reads entries; the count is not trusted.
pub fn read_entries(input: &mut &[u8]) -> Result<Vec<Member<Identity>>, Refused> {
    let count = be_u16.parse_next(input).map_err(|_: Fault| Refused::Torn)?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(read_member.parse_next(input).map_err(|_| Refused::Torn)?);
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
pub fn record(bytes: &mut impl BufMut, of: &Record) {
    address(bytes, of.address);
    bytes.put_u64(of.generation);
    bytes.put_u32(of.version);
    bytes.put_u32(of.age_ms);
    bytes.put_u8(of.facts.len() as u8);
    bytes.put_slice(&of.facts);
}

/// Bytes that a record takes.
pub fn record_bytes(of: &Record) -> usize {
    let address = if of.address.is_ipv4() { 7 } else { 19 };
    address + 17 + of.facts.len()
}

/// Reads records up to the end.
pub fn read_records(mut input: &[u8]) -> Result<Vec<Record>, Refused> {
    let mut records = Vec::new();
    while !input.is_empty() {
        let facts = length_take(u8).verify(|f: &[u8]| f.len() <= FACTS_MOST);
        let mut parts = (read_address, be_u64, be_u32, be_u32, facts);
        let read: ModalResult<_> = parts.parse_next(&mut input);
        let (address, generation, version, age_ms, facts) = read.map_err(|_| Refused::Torn)?;
        records.push(Record { address, generation, version, age_ms, facts: facts.into() });
    }
    Ok(records)
}

/// Reads numbers of a fixed form: all of the body, or nothing.
pub fn read_numbers<const N: usize>(mut input: &[u8]) -> Result<[u64; N], Refused> {
    let mut numbers = [0; N];
    for number in &mut numbers {
        *number = be_u64.parse_next(&mut input).map_err(|_: Fault| Refused::Torn)?;
    }
    Ok(numbers)
}

/// The form for the library that does the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Form;

/// An entry does not fit, or cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfit;

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("does not fit or cannot be read")
    }
}

impl std::error::Error for Unfit {}

fn put(mut to: impl BufMut, bytes: &[u8]) -> Result<(), Unfit> {
    if to.remaining_mut() < bytes.len() {
        return Err(Unfit);
    }
    to.put_slice(bytes);
    Ok(())
}

fn get<T>(mut from: impl Buf, read: impl Fn(&mut &[u8]) -> ModalResult<T>) -> Result<T, Unfit> {
    let mut rest = from.chunk();
    let whole = rest.len();
    let value = read(&mut rest).map_err(|_| Unfit)?;
    let taken = whole - rest.len();
    from.advance(taken);
    Ok(value)
}

impl Codec<Identity> for Form {
    type Error = Unfit;

    fn encode_header(&mut self, of: &Header<Identity>, to: impl BufMut) -> Result<(), Unfit> {
        let mut bytes = Vec::with_capacity(256);
        header(&mut bytes, of);
        put(to, &bytes)
    }

    fn decode_header(&mut self, from: impl Buf) -> Result<Header<Identity>, Unfit> {
        get(from, read_header)
    }

    fn encode_member(&mut self, of: &Member<Identity>, to: impl BufMut) -> Result<(), Unfit> {
        let mut bytes = Vec::with_capacity(64);
        member(&mut bytes, of);
        put(to, &bytes)
    }

    fn decode_member(&mut self, from: impl Buf) -> Result<Member<Identity>, Unfit> {
        get(from, read_member)
    }
}
