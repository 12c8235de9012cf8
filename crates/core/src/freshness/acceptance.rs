//! Acceptance of a change: whether enough instances hold it at the same time.

use {
    super::{PeerReport, install_quorum},
    crate::ids::ChangeNumber,
    std::time::Instant,
};

/// Returns whether there was a time at which an install quorum held `number`.
///
/// Confirmations at different times are not sufficient: an instance may confirm, restart, lose the change and learn
/// its state from instances that do not have it yet, before the last confirmation arrives. An instance is known to
/// hold the change from the receipt of its confirmation until the last message of the same incarnation, so these
/// intervals must overlap for a quorum.
///
/// `own` is the time at which this instance installed the change, if it has.
pub fn is_held_by_quorum<'a>(
    number: ChangeNumber,
    roster: usize,
    own: Option<Instant>,
    reports: impl Iterator<Item = PeerReport<'a>>,
) -> bool {
    let spans: Vec<(Instant, Instant)> = reports
        .filter_map(|report| {
            let since = report.history.iter().find(|(installed, _)| *installed >= number)?.1;
            Some((since, report.last_heard_at))
        })
        .filter(|(since, heard)| since <= heard)
        .collect();
    let needed = install_quorum(roster);
    let is_quorum = |at: Instant| {
        let others = spans.iter().filter(|(since, heard)| *since <= at && at <= *heard).count();
        others + usize::from(own.is_some_and(|own| own <= at)) >= needed
    };
    spans.iter().map(|span| span.0).chain(own).any(is_quorum)
}
