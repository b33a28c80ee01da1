//! Text form of a record.
//!
//! A record is a head line and a JSON body: `persimmonlift/1 WRITER SEQUENCE
//! CHECKSUM`, then the body. The checksum tells a damaged record, which every
//! instance skips, from a sound one of a version that this instance doesn't know,
//! which it must not skip.

use smol_str::SmolStr;
use twox_hash::XxHash3_64;

/// Version of the records that this program writes.
pub const RECORD_VERSION: u32 = 1;
const MARK: &str = "persimmonlift/";

/// Id of one run of one instance as a writer.
pub type WriterId = SmolStr;
/// Number of a record among those of its writer in one stream, from 1.
pub type Sequence = u64;

/// Decoded record
#[derive(Debug, Clone, PartialEq)]
pub struct StreamRecord<B> {
    /// Who wrote it
    pub writer: WriterId,
    /// Its number among the writer's records
    pub sequence: Sequence,
    /// Content
    pub body: B,
}

/// Failure to read or write a record
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum RecordFault {
    /// record is damaged or foreign
    Damaged,
    /// record has version {0}, which is newer than this program
    Newer(u32),
    /// record is sound but its body is not understood: {0}
    Body(serde_json::Error),
}

impl std::error::Error for RecordFault {}

/// Text of a record.
///
/// # Errors
/// `Body` if the body has no JSON form.
pub fn encode(
    writer: &WriterId,
    sequence: Sequence,
    body: &impl serde::Serialize,
) -> Result<String, RecordFault> {
    let json = serde_json::to_string(body).map_err(RecordFault::Body)?;
    let sum = checksum(writer, sequence, &json);
    Ok(format!("{MARK}{RECORD_VERSION} {writer} {sequence} {sum:016x}\n{json}"))
}

/// Reads a record's text.
///
/// # Errors
/// `Damaged` if head or checksum are wrong, `Newer` and `Body` for a sound record
/// that this program doesn't understand.
pub fn decode<B: serde::de::DeserializeOwned>(text: &str) -> Result<StreamRecord<B>, RecordFault> {
    let (head, json) = text.split_once('\n').ok_or(RecordFault::Damaged)?;
    let head = parse_head(head).ok_or(RecordFault::Damaged)?;
    if head.version > RECORD_VERSION {
        return Err(RecordFault::Newer(head.version));
    }
    if head.sum != checksum(&head.writer, head.sequence, json) {
        return Err(RecordFault::Damaged);
    }
    let body = serde_json::from_str(json).map_err(RecordFault::Body)?;
    Ok(StreamRecord { writer: head.writer, sequence: head.sequence, body })
}

struct RecordHead {
    version: u32,
    writer: WriterId,
    sequence: Sequence,
    sum: u64,
}

fn parse_head(line: &str) -> Option<RecordHead> {
    let mut words = line.strip_prefix(MARK)?.split(' ');
    let version = words.next()?.parse().ok()?;
    let writer = SmolStr::new(words.next()?);
    let sequence = words.next()?.parse().ok()?;
    let sum = u64::from_str_radix(words.next()?, 16).ok()?;
    words.next().is_none().then_some(RecordHead { version, writer, sequence, sum })
}

fn checksum(writer: &str, sequence: Sequence, json: &str) -> u64 {
    let seed = XxHash3_64::oneshot_with_seed(sequence, writer.as_bytes());
    XxHash3_64::oneshot_with_seed(seed, json.as_bytes())
}
