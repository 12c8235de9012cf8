//! Division of records into bounded datagrams.

use super::Record;

/// Bytes of records in one datagram. With the envelope it stays below 1,200 bytes, which passes every
/// usual path without fragmentation.
pub const MAX_RELAY_BYTES: usize = 1_120;

/// Divides records into groups that each fit a datagram.
///
/// ```
/// use hemlockford_core::registry::{Record, pack};
/// let record = Record::Renewal {
///     server: "s1".into(), incarnation: 1, sequence: 7, uptime_ms: 5_600, age_ms: 0,
/// };
/// let groups = pack(vec![record; 500]);
/// assert!(groups.len() > 1);
/// assert_eq!(groups.iter().map(Vec::len).sum::<usize>(), 500);
/// ```
pub fn pack(records: Vec<Record>) -> Vec<Vec<Record>> {
    let mut groups = Vec::new();
    let mut group = Vec::new();
    let mut bytes = 0;
    for record in records {
        let size = postcard::experimental::serialized_size(&record).unwrap_or(MAX_RELAY_BYTES);
        if bytes + size > MAX_RELAY_BYTES && !group.is_empty() {
            groups.push(std::mem::take(&mut group));
            bytes = 0;
        }
        bytes += size;
        group.push(record);
    }
    if !group.is_empty() {
        groups.push(group);
    }
    groups
}
