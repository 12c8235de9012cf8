//! Directory of the servers that announced themselves to any replica.

mod machine;
mod persistence;
mod stored_record;
mod tombstones;

use {stored_record::StoredRecord, tombstones::Tombstones};

pub(super) use machine::{AnnouncementOutcome, Directory};

use std::time::Duration;

/// Number of revisions by which an entry may lag behind and still receive only the changes.
const MAX_CHANGES: usize = 1_024;
/// Maximum total size of all records in bytes, so that a full directory fits in one message.
const MAX_DIRECTORY_BYTES: usize = 640 * 1024;
/// Time without an announcement after which a server is removed even if the replica that last received one is
/// unreachable.
pub(super) const MAX_SERVER_SILENCE: Duration = Duration::from_secs(60);
/// Maximum difference between two warm-up end times that count as equal. Announcements carry the remaining warm-up, so
/// the computed end depends on their transit time.
const WARM_UP_TOLERANCE: Duration = Duration::from_millis(500);
