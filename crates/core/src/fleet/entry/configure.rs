//! Updates of the configuration of an entry.

use {
    super::{EntryAction, EntryLink, UpdateResult, is_long},
    crate::{
        config::Configuration,
        fleet::{ConfigUpdate, FleetLogEvent},
        ids::ChangeNumber,
    },
    std::{sync::Arc, time::Instant},
};

impl EntryLink {
    pub(super) fn install(&mut self, now: Instant, update: &ConfigUpdate, out: &mut Vec<EntryAction>) {
        let number = update.number;
        match self.config.update(update) {
            UpdateResult::Applied => {
                self.missing_change = self.missing_change.take().filter(|missing| missing.number() > number);
                self.parse_next(out);
            }
            UpdateResult::Outdated => {}
            // An earlier update was lost. The next poll states what this entry has.
            UpdateResult::OtherBase => self.next_poll = now,
            UpdateResult::Unreadable => out.push(EntryAction::Log(FleetLogEvent::ChangeUnreadable(number))),
        }
    }

    /// Parses the newest text unless another one is being parsed.
    fn parse_next(&mut self, out: &mut Vec<EntryAction>) {
        match self.config.begin_parse() {
            Some((number, text)) if is_long(&text) => out.push(EntryAction::Parse { number, text }),
            Some((number, text)) => self.handle_parsed(number, Configuration::parse(&text).ok().map(Arc::new), out),
            None => {}
        }
    }

    pub(super) fn handle_parsed(
        &mut self,
        number: ChangeNumber,
        config: Option<Arc<Configuration>>,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.config.end_parse(number, config.is_some()) {
            return;
        }
        match config {
            Some(config) => {
                out.push(EntryAction::Configure(config));
                out.push(EntryAction::Log(FleetLogEvent::ChangeInstalled(number)));
            }
            None => out.push(EntryAction::Log(FleetLogEvent::ChangeUnreadable(number))),
        }
        self.parse_next(out);
    }
}
