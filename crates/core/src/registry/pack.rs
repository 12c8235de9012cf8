//! Splits records into groups that fit in a datagram.

use super::Record;

/// Maximum size of the records in one datagram. Together with the envelope this stays below 1,200 bytes, which passes
/// common network paths without fragmentation.
pub const MAX_RELAY_BYTES: usize = 1_120;

/// Splits records into groups that each fit in a datagram.
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
