//! Text format of a record.
//!
//! A record is a header line, `persimmonlift/1 WRITER SEQUENCE CHECKSUM`, and a JSON
//! body. The checksum distinguishes a damaged record, which every instance skips, from
//! an intact one of a version that this instance can't read and must not skip.

use smol_str::SmolStr;
use twox_hash::XxHash3_64;

/// Version of the records that this program writes.
pub const RECORD_VERSION: u32 = 1;
const HEADER_PREFIX: &str = "persimmonlift/";

/// Id of a writer: one run of one instance.
pub type WriterId = SmolStr;
/// Sequence number of a record among those of its writer in one stream, from 1.
pub type Sequence = u64;

/// Decoded record
#[derive(Debug, Clone, PartialEq)]
pub struct StreamRecord<B> {
    pub writer: WriterId,
    pub sequence: Sequence,
    pub body: B,
}

/// Failure to read or write a record
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum RecordFault {
    /// record is damaged or in another format
    Damaged,
    /// record has version {0}, which is newer than this program
    Newer(u32),
    /// record is intact but its body can't be read: {0}
    Body(serde_json::Error),
}

impl std::error::Error for RecordFault {}

/// Encodes a record as text.
///
/// # Errors
/// `Body` if the body has no JSON form.
pub fn encode(
    writer: &WriterId,
    sequence: Sequence,
    body: &impl serde::Serialize,
) -> Result<String, RecordFault> {
    let json = serde_json::to_string(body).map_err(RecordFault::Body)?;
    let checksum = checksum(writer, sequence, &json);
    Ok(format!("{HEADER_PREFIX}{RECORD_VERSION} {writer} {sequence} {checksum:016x}\n{json}"))
}

/// Decodes a record from text.
///
/// # Errors
/// `Damaged` if header or checksum are wrong, `Newer` and `Body` for an intact record
/// that this version can't read.
pub fn decode<B: serde::de::DeserializeOwned>(text: &str) -> Result<StreamRecord<B>, RecordFault> {
    let (header, json) = text.split_once('\n').ok_or(RecordFault::Damaged)?;
    let header = parse_header(header).ok_or(RecordFault::Damaged)?;
    if header.version > RECORD_VERSION {
        return Err(RecordFault::Newer(header.version));
    }
    if header.checksum != checksum(&header.writer, header.sequence, json) {
        return Err(RecordFault::Damaged);
    }
    let body = serde_json::from_str(json).map_err(RecordFault::Body)?;
    Ok(StreamRecord { writer: header.writer, sequence: header.sequence, body })
}

struct RecordHeader {
    version: u32,
    writer: WriterId,
    sequence: Sequence,
    checksum: u64,
}

fn parse_header(line: &str) -> Option<RecordHeader> {
    let mut fields = line.strip_prefix(HEADER_PREFIX)?.split(' ');
    let version = fields.next()?.parse().ok()?;
    let writer = SmolStr::new(fields.next()?);
    let sequence = fields.next()?.parse().ok()?;
    let checksum = u64::from_str_radix(fields.next()?, 16).ok()?;
    fields.next().is_none().then_some(RecordHeader { version, writer, sequence, checksum })
}

fn checksum(writer: &str, sequence: Sequence, json: &str) -> u64 {
    let seed = XxHash3_64::oneshot_with_seed(sequence, writer.as_bytes());
    XxHash3_64::oneshot_with_seed(seed, json.as_bytes())
}
