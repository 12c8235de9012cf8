//! Counts what is dropped or refused because it exceeds a limit, and limits how often it is logged.

use {
    crate::counters::Counters,
    hemlockford_core::{
        collections::FastSet,
        fleet::{BoundedPart, FleetLogEvent},
        ids::InstanceId,
    },
};

/// Maximum number of causes that are logged in one run of the process. Other instances and writers decide how many
/// there are.
const MAX_LOGGED: usize = 256;

/// What was dropped or refused, and the sender of the message if there is one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Cause {
    Message(InstanceId, BoundedPart),
    Announcement(&'static str),
    UnknownService,
    Departure,
}

/// Causes that were logged already.
#[derive(Debug, Default)]
pub(super) struct DropLog(FastSet<Cause>);

impl DropLog {
    /// Counts what an event reports as dropped or refused. Returns whether the event is to be logged: the first of each
    /// cause is, and every other event.
    pub(super) fn record(&mut self, event: &FleetLogEvent, counters: &Counters) -> bool {
        let (cause, label, count) = match event {
            FleetLogEvent::OutOfBounds { from, first, count } => {
                (Cause::Message(from.clone(), first.part), first.part.to_string(), *count)
            }
            FleetLogEvent::AnnouncementRefused(error) => {
                (Cause::Announcement(error.field()), format!("announced-{}", error.field().replace(' ', "-")), 1)
            }
            FleetLogEvent::UnknownService(..) => (Cause::UnknownService, "announced-unknown-service".to_owned(), 1),
            FleetLogEvent::DepartureIgnored(_) => (Cause::Departure, "departed-server-id".to_owned(), 1),
            _ => return true,
        };
        counters.out_of_bounds.with_label_values(&[&label]).inc_by(count as u64);
        self.0.len() < MAX_LOGGED && self.0.insert(cause)
    }
}
