//! Record format: length, CRC-32, version and a postcard-encoded body.
//!
//! Each log record also contains the length up to which the file was durable when the record was written. This
//! distinguishes corruption from a write that was torn by a crash: corruption is followed by a record that was written
//! when the corrupt position was already durable.

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
/// Length in bytes of the header before the version: length and CRC-32.
const HEADER_LEN: usize = 8;

/// A log record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LogRecord {
    /// Length up to which the file was durable when the record was written.
    pub durable_len: u64,
    /// Content of the record.
    pub body: LogBody,
}

/// Content of a log record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LogBody {
    HardState(HardState),
    Entry(Entry),
    Truncate(LogIndex),
    /// A snapshot was saved.
    Snapshot(LogIndex, Term),
}

/// Appends an encoded record to a buffer.
pub(crate) fn encode<T: Serialize>(body: &T, buf: &mut Vec<u8>) -> Result<()> {
    let body = postcard::to_stdvec(body).map_err(|error| corrupt(format!("cannot encode record: {error}")))?;
    let len = u32::try_from(body.len() + 1).map_err(|_| corrupt("record is larger than 4 GB"))?;
    let mut crc = crc32fast::Hasher::new();
    crc.update(&[VERSION]);
    crc.update(&body);
    buf.extend(len.to_le_bytes());
    buf.extend(crc.finalize().to_le_bytes());
    buf.push(VERSION);
    buf.extend(body);
    Ok(())
}

/// Decodes the record at the start of a buffer and returns it with its encoded length; `None` if there is no intact
/// record.
pub(crate) fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<(T, usize)> {
    let content = content(buf)?;
    if crc32fast::hash(content) != read_u32(buf, 4)? {
        return None;
    }
    Some((postcard::from_bytes(&content[1..]).ok()?, HEADER_LEN + content.len()))
}

/// Returns the durable length in the log record at the start of a buffer and the number of bytes that its checksum
/// covers, without verifying the checksum; `None` if the bytes cannot be a record.
pub(crate) fn peek(buf: &[u8]) -> Option<(u64, usize)> {
    let content = content(buf)?;
    let (durable_len, _) = postcard::take_from_bytes(&content[1..]).ok()?;
    Some((durable_len, content.len()))
}

/// Returns the version and body of the record at the start of a buffer.
fn content(buf: &[u8]) -> Option<&[u8]> {
    let len = usize::try_from(read_u32(buf, 0)?).ok()?;
    let content = buf.get(HEADER_LEN..HEADER_LEN.checked_add(len)?)?;
    (content.first() == Some(&VERSION)).then_some(content)
}

fn read_u32(buf: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(buf.get(offset..offset + 4)?.try_into().ok()?))
}
