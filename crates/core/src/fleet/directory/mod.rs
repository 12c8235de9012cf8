//! Directory of the servers that announced themselves to any replica.

mod machine;
mod persistence;
mod stored_record;
mod tombstones;

use {stored_record::StoredRecord, tombstones::Tombstones};

pub(super) use machine::{AnnouncementOutcome, Directory};

use std::time::Duration;

/// Revisions that an entry may lag behind and still be sent the changes only.
const MAX_CHANGES: usize = 1_024;
/// Bytes of all records together, so that a whole directory fits one message.
const MAX_DIRECTORY_BYTES: usize = 640 * 1024;
/// Silence after which a server is removed although the replica that heard it last is out of reach.
pub(super) const MAX_SERVER_SILENCE: Duration = Duration::from_secs(60);
/// Difference of two ends of a warm-up below which they count as the same. Announcements carry what remains,
/// and their transit varies.
const WARM_UP_TOLERANCE: Duration = Duration::from_millis(500);
