//! The form of entries and of the whole table on disk: JSON, with only the keys that a step has.

use super::{Answer, Call, Entry, Ledger, Place, Step, CALLS_MOST};
use crate::config::{self, ConfigError, JsonNode};
use crate::core::CallName;
use crate::interface::Micros;
use crate::learning::Identity;
use miniserde::json::{self, Number, Object, Value};

/// The kind of the log's segments and of its checkpoints.
pub const KIND: u16 = 2;
/// The version that is written.
pub const VERSION: u16 = 1;

type Read<T> = Result<T, ConfigError>;

struct Row(Object);

impl Row {
    fn new(at: Micros, call: CallName, what: &str) -> Row {
        Row(Object::new()).number("at", at.0).text("call", &format!("{:016x}", call.0)).text("is", what)
    }

    fn number(mut self, key: &str, number: u64) -> Row {
        self.0.insert(key.into(), Value::Number(Number::U64(number)));
        self
    }

    fn signed(mut self, key: &str, number: i64) -> Row {
        self.0.insert(key.into(), Value::Number(Number::I64(number)));
        self
    }

    fn text(mut self, key: &str, text: &str) -> Row {
        self.0.insert(key.into(), Value::String(text.into()));
        self
    }

    fn hub(self, hub: &Identity) -> Row {
        let row = self.text("uid", &hub.uid).text("endpoint", &hub.endpoint).signed("hubPlace", hub.place);
        match hub.born {
            Some(born) => row.number("born", born.0),
            None => row,
        }
    }

    fn bytes(self, key: &str, bytes: &[u8]) -> Row {
        self.text(key, &hex::encode(bytes))
    }

    fn answer(self, answer: &Answer) -> Row {
        match answer {
            Answer::Stands(description) => self.bytes("description", description),
            Answer::Refused(away) => self.number("away", away.0),
            Answer::Failed => self,
        }
    }

    fn taken(self, front: usize, class: &str, number: &str, place: i64, deadline: Micros) -> Row {
        let row = self.number("front", front as u64).text("class", class).text("number", number);
        row.signed("place", place).number("deadline", deadline.0)
    }
}

fn text_of(row: Row) -> String {
    json::to_string(&Value::Object(row.0))
}

fn word(answer: &Answer) -> &'static str {
    match answer {
        Answer::Stands(_) => "stands",
        Answer::Refused(_) => "refused",
        Answer::Failed => "failed",
    }
}

/// Writes one entry.
pub fn encode(entry: &Entry) -> Vec<u8> {
    let row = |what| Row::new(entry.at, entry.call, what);
    let row = match &entry.step {
        Step::Taken { front, class, number, place, deadline } => {
            row("taken").taken(*front, class, number, *place, *deadline)
        }
        Step::Begins { attempt, sent, hub } => {
            row("begins").number("attempt", *attempt).number("sent", u64::from(*sent)).hub(hub)
        }
        Step::Unsure(until) => row("unsure").number("until", until.0),
        Step::NeverRan => row("neverRan"),
        Step::Answered(answer) => row(word(answer)).answer(answer),
        Step::Ends => row("ends"),
    };
    text_of(row).into_bytes()
}

fn call_name(at: &JsonNode) -> Read<CallName> {
    let digits = at.text().ok().filter(|t| t.len() == 16);
    digits
        .and_then(|t| u64::from_str_radix(t, 16).ok())
        .map(CallName)
        .ok_or_else(|| at.expected("16 hex digits"))
}

fn attempt(at: &JsonNode) -> Read<u64> {
    at.integer().ok().and_then(|n| u64::try_from(n).ok()).ok_or_else(|| at.expected("an attempt's number"))
}

fn identity(at: &JsonNode) -> Read<Identity> {
    let born = at.key("born");
    Ok(Identity {
        uid: at.key("uid").text()?.into(),
        endpoint: at.key("endpoint").text()?.into(),
        place: at.key("hubPlace").integer()?,
        born: if born.is_present() { Some(born.micros()?) } else { None },
    })
}

fn description(at: &JsonNode) -> Read<Vec<u8>> {
    let at = at.key("description");
    hex::decode(at.text()?).map_err(|_| at.expected("hex digits"))
}

fn answer(at: &JsonNode) -> Read<Option<Answer>> {
    Ok(match at.key("is").text()? {
        "stands" => Some(Answer::Stands(description(at)?)),
        "refused" => Some(Answer::Refused(at.key("away").micros()?)),
        "failed" => Some(Answer::Failed),
        _ => None,
    })
}

fn root<T>(payload: &[u8], read: impl Fn(&JsonNode) -> Read<T>) -> Result<T, String> {
    let text = std::str::from_utf8(payload).map_err(|_| "it is no text".to_string())?;
    let value = config::parse(text, "it").map_err(|e| e.to_string())?;
    read(&JsonNode::root(&value, "")).map_err(|e| e.to_string())
}

fn known(version: u16) -> Result<(), String> {
    match version {
        VERSION => Ok(()),
        later => Err(format!("it is of the later version {later}")),
    }
}

/// Reads one entry.
///
/// # Errors
/// Which key is wrong with it, or that it is of a later version.
pub fn decode(version: u16, payload: &[u8]) -> Result<Entry, String> {
    known(version)?;
    root(payload, |row| {
        let step = match row.key("is").text()? {
            "taken" => Step::Taken {
                front: row.key("front").count()? as usize,
                class: row.key("class").text()?.into(),
                number: row.key("number").text()?.into(),
                place: row.key("place").integer()?,
                deadline: row.key("deadline").micros()?,
            },
            "begins" => Step::Begins {
                attempt: attempt(&row.key("attempt"))?,
                sent: row.key("sent").count()?,
                hub: identity(row)?,
            },
            "unsure" => Step::Unsure(row.key("until").micros()?),
            "neverRan" => Step::NeverRan,
            "ends" => Step::Ends,
            _ => Step::Answered(answer(row)?.ok_or_else(|| row.key("is").expected("a step"))?),
        };
        Ok(Entry { at: row.key("at").micros()?, call: call_name(&row.key("call"))?, step })
    })
}

/// Writes the whole table, for a checkpoint that covers the log up to the sequence `covered`.
pub fn encode_all(ledger: &Ledger, covered: u64) -> Vec<u8> {
    let mut names: Vec<_> = ledger.calls.iter().collect();
    names.sort_by_key(|(name, _)| **name);
    let mut text = format!(
        r#"{{"covered":{covered},"lastAttempt":{},"latest":{},"calls":["#,
        ledger.last_attempt, ledger.latest.0
    );
    for (nth, (name, call)) in names.into_iter().enumerate() {
        let row = |what| {
            let row = Row::new(call.at, *name, what).number("sent", u64::from(call.sent));
            row.taken(call.front, &call.class, &call.number, call.first, call.deadline)
        };
        let row = match &call.place {
            Place::Waits(until) => row("waits").number("until", until.0),
            Place::Out(attempt, hub) => row("out").number("attempt", *attempt).hub(hub),
            Place::Stands(attempt, hub, description) => {
                row("stands").number("attempt", *attempt).hub(hub).bytes("description", description)
            }
            Place::Over(answer) => row(word(answer)).answer(answer),
        };
        text.push_str(if nth > 0 { "," } else { "" });
        text.push_str(&text_of(row));
    }
    text.push_str("]}");
    text.into_bytes()
}

/// Reads a whole table, and the sequence up to which it covers the log.
///
/// # Errors
/// Which key is wrong with it, or that it is of a later version.
pub fn decode_all(version: u16, payload: &[u8]) -> Result<(Ledger, u64), String> {
    known(version)?;
    root(payload, |root| {
        let mut ledger = Ledger {
            last_attempt: attempt(&root.key("lastAttempt"))?,
            latest: root.key("latest").micros()?,
            ..Ledger::default()
        };
        let rows = root.key("calls").list()?;
        if rows.len() > CALLS_MOST {
            return Err(root.key("calls").expected("fewer calls"));
        }
        for row in rows {
            let place = match row.key("is").text()? {
                "waits" => Place::Waits(row.key("until").micros()?),
                "out" => Place::Out(attempt(&row.key("attempt"))?, identity(&row)?),
                "stands" => Place::Stands(attempt(&row.key("attempt"))?, identity(&row)?, description(&row)?),
                _ => Place::Over(answer(&row)?.ok_or_else(|| row.key("is").expected("where a call is"))?),
            };
            let call = Call {
                at: row.key("at").micros()?,
                front: row.key("front").count()? as usize,
                class: row.key("class").text()?.into(),
                number: row.key("number").text()?.into(),
                first: row.key("place").integer()?,
                deadline: row.key("deadline").micros()?,
                sent: row.key("sent").count()?,
                place,
            };
            ledger.calls.insert(call_name(&row.key("call"))?, call);
        }
        Ok((ledger, attempt(&root.key("covered"))?))
    })
}
