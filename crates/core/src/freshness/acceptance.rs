//! The leader's side: whether enough entries hold a change.

use {
    super::{PeerReport, install_quorum},
    crate::ids::ChangeNumber,
    std::time::Instant,
};

/// Returns whether there was a moment at which an install quorum held `number`.
///
/// Confirmations that arrive one after the other are not enough: an entry may confirm, restart, forget the
/// change and learn its state from entries that do not have it yet, before the last confirmation arrives.
/// An entry certainly held the change from the time its confirmation was received to the time its present
/// incarnation was last heard, so the quorum must have such a moment in common.
///
/// `own` is the time at which this entry installed the change, if it has.
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
    let is_enough = |at: Instant| {
        let others = spans.iter().filter(|(since, heard)| *since <= at && at <= *heard).count();
        others + usize::from(own.is_some_and(|own| own <= at)) >= needed
    };
    spans.iter().map(|span| span.0).chain(own).any(is_enough)
}
