//! Records: length, crc32, version and a postcard body.
//!
//! Each record of the log also tells up to where the file was durable when the record was written. So
//! damage can be told from a write that a crash tore: behind damage lies a record that was written when
//! the damaged place was durable already.

use {
    hemlockford_core::{
        consensus::{Entry, HardState},
        errors::{Result, corrupt},
        ids::{LogIndex, Term},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// Version of the format.
const VERSION: u8 = 1;
/// Bytes before the version: length and crc32.
const HEAD: usize = 8;

/// One record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LogRecord {
    /// Length up to which the file was durable when the record was written.
    pub durable: u64,
    /// What the record says.
    pub body: LogBody,
}

/// What a record of the log says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LogBody {
    Vote(HardState),
    Entry(Entry),
    Truncate(LogIndex),
    /// A snapshot was saved.
    Snapshot(LogIndex, Term),
}

/// Adds a record to a buffer.
pub(crate) fn encode<T: Serialize>(body: &T, buf: &mut Vec<u8>) -> Result<()> {
    let body = postcard::to_stdvec(body).map_err(|error| corrupt(format!("cannot encode a record: {error}")))?;
    let len = u32::try_from(body.len() + 1).map_err(|_| corrupt("a record is longer than 4 GB"))?;
    let mut crc = crc32fast::Hasher::new();
    crc.update(&[VERSION]);
    crc.update(&body);
    buf.extend(len.to_le_bytes());
    buf.extend(crc.finalize().to_le_bytes());
    buf.push(VERSION);
    buf.extend(body);
    Ok(())
}

/// Reads the record at the start of a buffer; returns it with its whole length. `None` if the bytes are
/// no intact record.
pub(crate) fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<(T, usize)> {
    let content = content(buf)?;
    if crc32fast::hash(content) != number(buf, 4)? {
        return None;
    }
    Some((postcard::from_bytes(&content[1..]).ok()?, HEAD + content.len()))
}

/// Reads without the checksum up to where the log was durable when the record at the start of a buffer was written,
/// and the length that the checksum covers. `None` if the bytes cannot be a record.
pub(crate) fn peek(buf: &[u8]) -> Option<(u64, usize)> {
    let content = content(buf)?;
    let (durable, _) = postcard::take_from_bytes(&content[1..]).ok()?;
    Some((durable, content.len()))
}

/// Version and body of the record at the start of a buffer.
fn content(buf: &[u8]) -> Option<&[u8]> {
    let len = usize::try_from(number(buf, 0)?).ok()?;
    let content = buf.get(HEAD..HEAD.checked_add(len)?)?;
    (content.first() == Some(&VERSION)).then_some(content)
}

fn number(buf: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(buf.get(at..at + 4)?.try_into().ok()?))
}
