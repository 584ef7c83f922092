//! On-disk encoding of log entries and of the whole table of calls: JSON objects with only the keys that an event
//! or a state needs. The stored names of events and states are part of the format and differ from the names of the
//! enum variants.

use super::{Answer, Call, CallEvent, CallState, CallTable, Entry, MAX_CALLS};
use crate::config::{self, ConfigError, JsonNode};
use crate::core::CallName;
use crate::interface::Micros;
use crate::learning::Identity;
use miniserde::json::{self, Number, Object, Value};

/// Kind of the log's segments and of its checkpoints.
pub const KIND: u16 = 2;
/// Version that is written.
pub const VERSION: u16 = 1;

type ParseResult<T> = Result<T, ConfigError>;

/// Builder of the JSON object for an entry or a call.
struct ObjectBuilder(Object);

impl ObjectBuilder {
    fn new(at: Micros, call: CallName, kind: &str) -> ObjectBuilder {
        ObjectBuilder(Object::new())
            .number("at", at.0)
            .text("call", &format!("{:016x}", call.0))
            .text("is", kind)
    }

    fn number(mut self, key: &str, number: u64) -> ObjectBuilder {
        self.0.insert(key.into(), Value::Number(Number::U64(number)));
        self
    }

    fn signed(mut self, key: &str, number: i64) -> ObjectBuilder {
        self.0.insert(key.into(), Value::Number(Number::I64(number)));
        self
    }

    fn text(mut self, key: &str, text: &str) -> ObjectBuilder {
        self.0.insert(key.into(), Value::String(text.into()));
        self
    }

    fn hub(self, hub: &Identity) -> ObjectBuilder {
        let object = self.text("uid", &hub.uid).text("endpoint", &hub.endpoint).signed("hubPlace", hub.place);
        match hub.born {
            Some(born) => object.number("born", born.0),
            None => object,
        }
    }

    fn bytes(self, key: &str, bytes: &[u8]) -> ObjectBuilder {
        self.text(key, &hex::encode(bytes))
    }

    fn answer(self, answer: &Answer) -> ObjectBuilder {
        match answer {
            Answer::Established(description) => self.bytes("description", description),
            Answer::Refused(wait) => self.number("away", wait.0),
            Answer::Failed => self,
        }
    }

    fn call(self, front: usize, class: &str, number: &str, place: i64, deadline: Micros) -> ObjectBuilder {
        let object = self.number("front", front as u64).text("class", class).text("number", number);
        object.signed("place", place).number("deadline", deadline.0)
    }
}

fn to_json(object: ObjectBuilder) -> String {
    json::to_string(&Value::Object(object.0))
}

fn answer_kind(answer: &Answer) -> &'static str {
    match answer {
        Answer::Established(_) => "stands",
        Answer::Refused(_) => "refused",
        Answer::Failed => "failed",
    }
}

/// Encodes one entry.
pub fn encode(entry: &Entry) -> Vec<u8> {
    let object = |kind| ObjectBuilder::new(entry.at, entry.call, kind);
    let object = match &entry.event {
        CallEvent::Accepted { front, class, number, place, deadline } => {
            object("taken").call(*front, class, number, *place, *deadline)
        }
        CallEvent::AttemptStarted { attempt, attempts_before, hub } => {
            object("begins").number("attempt", *attempt).number("sent", u64::from(*attempts_before)).hub(hub)
        }
        CallEvent::MayHaveRun(until) => object("unsure").number("until", until.0),
        CallEvent::DidNotRun => object("neverRan"),
        CallEvent::Answered(answer) => object(answer_kind(answer)).answer(answer),
        CallEvent::Ended => object("ends"),
    };
    to_json(object).into_bytes()
}

fn parse_call_name(node: &JsonNode) -> ParseResult<CallName> {
    let digits = node.text().ok().filter(|t| t.len() == 16);
    digits
        .and_then(|t| u64::from_str_radix(t, 16).ok())
        .map(CallName)
        .ok_or_else(|| node.expected("16 hex digits"))
}

fn parse_attempt(node: &JsonNode) -> ParseResult<u64> {
    node.integer().ok().and_then(|n| u64::try_from(n).ok()).ok_or_else(|| node.expected("an attempt number"))
}

fn parse_identity(node: &JsonNode) -> ParseResult<Identity> {
    let born = node.key("born");
    Ok(Identity {
        uid: node.key("uid").text()?.into(),
        endpoint: node.key("endpoint").text()?.into(),
        place: node.key("hubPlace").integer()?,
        born: if born.is_present() { Some(born.micros()?) } else { None },
    })
}

fn parse_description(node: &JsonNode) -> ParseResult<Vec<u8>> {
    let node = node.key("description");
    hex::decode(node.text()?).map_err(|_| node.expected("hex digits"))
}

fn parse_answer(node: &JsonNode) -> ParseResult<Option<Answer>> {
    Ok(match node.key("is").text()? {
        "stands" => Some(Answer::Established(parse_description(node)?)),
        "refused" => Some(Answer::Refused(node.key("away").micros()?)),
        "failed" => Some(Answer::Failed),
        _ => None,
    })
}

fn parse_document<T>(payload: &[u8], parse: impl Fn(&JsonNode) -> ParseResult<T>) -> Result<T, String> {
    let text = std::str::from_utf8(payload).map_err(|_| "its payload is not UTF-8".to_string())?;
    let value = config::parse(text, "payload").map_err(|e| e.to_string())?;
    parse(&JsonNode::root(&value, "")).map_err(|e| e.to_string())
}

fn check_version(version: u16) -> Result<(), String> {
    match version {
        VERSION => Ok(()),
        later => Err(format!("its payload is of the later version {later}")),
    }
}

/// Decodes one entry.
///
/// # Errors
/// The key that is missing or has a wrong value, or the version if this program does not know it.
pub fn decode(version: u16, payload: &[u8]) -> Result<Entry, String> {
    check_version(version)?;
    parse_document(payload, |object| {
        let event = match object.key("is").text()? {
            "taken" => CallEvent::Accepted {
                front: object.key("front").count()? as usize,
                class: object.key("class").text()?.into(),
                number: object.key("number").text()?.into(),
                place: object.key("place").integer()?,
                deadline: object.key("deadline").micros()?,
            },
            "begins" => CallEvent::AttemptStarted {
                attempt: parse_attempt(&object.key("attempt"))?,
                attempts_before: object.key("sent").count()?,
                hub: parse_identity(object)?,
            },
            "unsure" => CallEvent::MayHaveRun(object.key("until").micros()?),
            "neverRan" => CallEvent::DidNotRun,
            "ends" => CallEvent::Ended,
            _ => CallEvent::Answered(
                parse_answer(object)?.ok_or_else(|| object.key("is").expected("an event"))?,
            ),
        };
        Ok(Entry { at: object.key("at").micros()?, call: parse_call_name(&object.key("call"))?, event })
    })
}

/// Encodes the whole table, for a checkpoint that covers the log up to the sequence `covered`.
pub fn encode_table(table: &CallTable, covered: u64) -> Vec<u8> {
    let mut calls: Vec<_> = table.calls.iter().collect();
    calls.sort_by_key(|(name, _)| **name);
    let mut text = format!(
        r#"{{"covered":{covered},"lastAttempt":{},"latest":{},"calls":["#,
        table.last_attempt, table.latest.0
    );
    for (index, (name, call)) in calls.into_iter().enumerate() {
        let object = |kind| {
            let object = ObjectBuilder::new(call.at, *name, kind).number("sent", u64::from(call.attempts));
            object.call(call.front, &call.class, &call.number, call.place, call.deadline)
        };
        let object = match &call.state {
            CallState::Waiting(until) => object("waits").number("until", until.0),
            CallState::Attempting(attempt, hub) => object("out").number("attempt", *attempt).hub(hub),
            CallState::Established(attempt, hub, description) => {
                object("stands").number("attempt", *attempt).hub(hub).bytes("description", description)
            }
            CallState::Answered(answer) => object(answer_kind(answer)).answer(answer),
        };
        text.push_str(if index > 0 { "," } else { "" });
        text.push_str(&to_json(object));
    }
    text.push_str("]}");
    text.into_bytes()
}

/// Decodes a whole table, and the sequence up to which it covers the log.
///
/// # Errors
/// The key that is missing or has a wrong value, or the version if this program does not know it.
pub fn decode_table(version: u16, payload: &[u8]) -> Result<(CallTable, u64), String> {
    check_version(version)?;
    parse_document(payload, |root| {
        let mut table = CallTable {
            last_attempt: parse_attempt(&root.key("lastAttempt"))?,
            latest: root.key("latest").micros()?,
            ..CallTable::default()
        };
        let objects = root.key("calls").list()?;
        if objects.len() > MAX_CALLS {
            return Err(root.key("calls").expected(&format!("at most {MAX_CALLS} calls")));
        }
        for object in objects {
            let state = match object.key("is").text()? {
                "waits" => CallState::Waiting(object.key("until").micros()?),
                "out" => {
                    CallState::Attempting(parse_attempt(&object.key("attempt"))?, parse_identity(&object)?)
                }
                "stands" => CallState::Established(
                    parse_attempt(&object.key("attempt"))?,
                    parse_identity(&object)?,
                    parse_description(&object)?,
                ),
                _ => CallState::Answered(
                    parse_answer(&object)?.ok_or_else(|| object.key("is").expected("the state of a call"))?,
                ),
            };
            let call = Call {
                at: object.key("at").micros()?,
                front: object.key("front").count()? as usize,
                class: object.key("class").text()?.into(),
                number: object.key("number").text()?.into(),
                place: object.key("place").integer()?,
                deadline: object.key("deadline").micros()?,
                attempts: object.key("sent").count()?,
                state,
            };
            table.calls.insert(parse_call_name(&object.key("call"))?, call);
        }
        Ok((table, parse_attempt(&root.key("covered"))?))
    })
}
