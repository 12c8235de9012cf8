//! Exchange of suspected requests with the replica in use.

use {
    super::{EntryAction, EntryLink},
    crate::{
        fleet::{FleetLogEvent, FleetMessage, Suspects},
        ids::InstanceId,
        quarantine::{Standing, SuspectRecord},
    },
    std::time::Instant,
};

impl EntryLink {
    /// Tells the replica in use at once what this entry learned about a request. If the message is lost, the digest in
    /// the next poll shows that the replica does not know it.
    pub(super) fn report_suspect(&mut self, now: Instant, record: SuspectRecord, out: &mut Vec<EntryAction>) {
        if self.merge_suspect(now, &record, out)
            && let Some(to) = self.replica().cloned()
        {
            let suspects = Suspects { digest: None, records: vec![record] };
            out.push(EntryAction::Send { to, message: FleetMessage::Suspects(suspects) });
        }
    }

    /// Merges what a replica knows, and answers with what it does not know.
    pub(super) fn handle_suspects(
        &mut self,
        now: Instant,
        from: InstanceId,
        suspects: Suspects,
        out: &mut Vec<EntryAction>,
    ) {
        let mut news = suspects.records;
        news.retain(|record| self.merge_suspect(now, record, out));
        if !news.is_empty() {
            out.push(EntryAction::Suspects(news));
        }
        if suspects.digest.is_some_and(|digest| digest != self.suspects.digest()) {
            let own = Suspects { digest: None, records: self.suspects.records(now) };
            out.push(EntryAction::Send { to: from, message: FleetMessage::Suspects(own) });
        }
    }

    fn merge_suspect(&mut self, now: Instant, record: &SuspectRecord, out: &mut Vec<EntryAction>) -> bool {
        let is_quarantined =
            |link: &Self| matches!(link.suspects.standing(now, &record.request), Standing::Quarantined(_));
        let was_quarantined = is_quarantined(self);
        let is_news = self.suspects.merge(now, record);
        if !was_quarantined && is_quarantined(self) {
            out.push(EntryAction::Log(FleetLogEvent::RequestQuarantined(record.request)));
        }
        is_news
    }
}
