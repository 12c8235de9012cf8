//! Steps from a state to its successors.

use {
    super::{
        Choice, Defect, Event, ModelReplica, World, WriteOutcome,
        world::{ELECTION, HEARTBEAT, NAMES},
    },
    hemlockford_core::{
        consensus::{Consensus, ConsensusEvent},
        ledger::Command,
    },
    std::sync::Arc,
};

/// Offset of read IDs, which keeps them distinct from proposal IDs.
pub(super) const READS: u64 = 1 << 32;

impl World {
    /// Returns every possible next step within the bounds with the resulting state.
    pub fn successors(&self) -> Vec<(Choice, Self)> {
        let mut successors = Vec::new();
        for event in self.events() {
            let durable = Choice { event, writes: WriteOutcome::Durable };
            let next = self.step(durable);
            let mut others = Vec::new();
            if next.has_written {
                if self.remaining.crashes > 0 {
                    others.extend([WriteOutcome::CrashBeforeSync, WriteOutcome::CrashAfterSync]);
                }
                if self.remaining.slow > 0 {
                    others.push(WriteOutcome::Pending);
                }
            }
            if self.remaining.crashes > 0 {
                others.extend((1..next.messages_sent).map(WriteOutcome::CrashAfterMessages));
            }
            successors.push((durable, next));
            for writes in others {
                let choice = Choice { event, writes };
                successors.push((choice, self.step(choice)));
            }
        }
        successors
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let (head, remaining) = (self.head(), &self.remaining);
        if let Some(head) = head {
            events.push(Event::Deliver(head));
            if remaining.drops > 0 {
                events.push(Event::Drop(head));
            }
            let later = (head + 1..self.queue.len()).filter(|at| Some(self.queue[*at].to) != self.delayed);
            events.extend(later.filter(|_| remaining.overtakes > 0).map(Event::Deliver));
        }
        let all = 0..NAMES.len();
        events.extend(all.clone().filter(|at| self.is_pending(*at)).map(Event::Sync));
        if remaining.delays > 0 && self.delayed.is_none() {
            let has_messages = |at: &usize| self.queue.iter().any(|envelope| envelope.to == *at);
            events.extend(all.clone().filter(has_messages).map(Event::Delay));
        }
        if !self.is_quiet() && remaining.interrupts == 0 {
            return events;
        }
        if self.delayed.is_some() {
            events.push(Event::Resume);
        }
        for at in all {
            if self.consensus(at).is_none() {
                events.push(Event::Start(at));
                continue;
            }
            let leads = self.leads(at);
            let choices = [
                (remaining.timers > 0, Event::FireTimer(at)),
                (leads && remaining.changes > 0, Event::Submit(at)),
                (leads && remaining.reads > 0, Event::Read(at)),
                (leads && remaining.stops > 0, Event::Stop(at)),
                (remaining.crashes > 0, Event::Crash(at)),
                (remaining.losses > 0, Event::LoseDisk(at)),
            ];
            events.extend(choices.into_iter().filter(|(is_allowed, _)| *is_allowed).map(|(_, event)| event));
        }
        events
    }

    /// Returns the state after a step.
    pub fn step(&self, choice: Choice) -> Self {
        let mut next = self.clone();
        next.consume_bounds(choice);
        next.apply(choice);
        next.update_digests();
        next
    }

    fn consume_bounds(&mut self, Choice { event, writes }: Choice) {
        let (head, is_quiet) = (self.head(), self.is_quiet());
        let remaining = &mut self.remaining;
        match event {
            Event::Deliver(position) => remaining.overtakes -= u32::from(head != Some(position)),
            Event::Drop(_) => remaining.drops -= 1,
            Event::FireTimer(_) => remaining.timers -= 1,
            Event::Submit(_) => remaining.changes -= 1,
            Event::Read(_) => remaining.reads -= 1,
            Event::Stop(_) => remaining.stops -= 1,
            Event::Crash(_) => remaining.crashes -= 1,
            Event::LoseDisk(_) => remaining.losses -= 1,
            Event::Delay(_) => remaining.delays -= 1,
            Event::Start(_) | Event::Resume | Event::Sync(_) => {}
        }
        let is_network_event = matches!(event, Event::Deliver(_) | Event::Drop(_) | Event::Delay(_) | Event::Sync(_));
        remaining.interrupts -= u32::from(!is_quiet && !is_network_event);
        match writes {
            WriteOutcome::Durable => {}
            WriteOutcome::Pending => remaining.slow -= 1,
            WriteOutcome::CrashBeforeSync | WriteOutcome::CrashAfterSync | WriteOutcome::CrashAfterMessages(_) => {
                remaining.crashes -= 1
            }
        }
    }

    pub(super) fn apply(&mut self, Choice { event, writes }: Choice) {
        (self.has_written, self.messages_sent) = (false, 0);
        match event {
            Event::Deliver(position) => {
                let envelope = self.queue.remove(position);
                let (from, message) = (NAMES[envelope.from].into(), envelope.message.clone());
                self.handle(envelope.to, ConsensusEvent::Receive { from, message }, writes);
            }
            Event::Drop(position) => drop(self.queue.remove(position)),
            Event::FireTimer(at) => self.fire_timer(at, writes),
            Event::Submit(at) => {
                self.last_proposal += 1;
                // All changes have the same number but different contents.
                let text = format!("content {}", self.last_proposal).into();
                let command = Command::Submit { number: 1, text }.encode().unwrap_or_default().into();
                self.handle(at, ConsensusEvent::Propose { id: self.last_proposal, command }, writes);
            }
            Event::Read(at) => self.read(at, writes),
            Event::Stop(at) => self.handle(at, ConsensusEvent::Stop, writes),
            Event::Crash(at) => self.crash(at, 0),
            Event::Start(at) => self.start(at, writes),
            Event::LoseDisk(at) => {
                self.last_incarnation += 1;
                let lost = self.replicas[at].node.disk.incarnation;
                let has_defect = self.options.defect == Defect::Incarnation;
                let incarnation = if has_defect { lost } else { self.last_incarnation };
                let lost_writes = self.replicas[at].node.disk.lost_writes;
                self.history.record_lost_folder(at, &self.replicas[at]);
                let clock = self.replicas[at].clock;
                self.replicas[at] =
                    Arc::new(ModelReplica { clock, ..ModelReplica::new(NAMES[at], incarnation, lost_writes) });
                self.start(at, writes);
            }
            Event::Delay(at) => self.delayed = Some(at),
            Event::Resume => self.delayed = None,
            Event::Sync(at) => self.sync(at),
        }
    }

    /// Delivers every message that is not delayed, in order.
    pub(super) fn deliver_all(&mut self) {
        while let Some(position) = self.head() {
            self.apply(Choice { event: Event::Deliver(position), writes: WriteOutcome::Durable });
        }
    }

    /// Crashes a process. Messages in flight to it are lost.
    pub(super) fn crash(&mut self, at: usize, survivors: usize) {
        let replica = self.replica_mut(at);
        replica.crash(survivors);
        self.queue.retain(|envelope| envelope.to != at);
    }

    /// Advances the clock of a replica until its timer fires: the heartbeat of a leader, or an election timeout. An
    /// election timeout also advances the clocks of the other running replicas except leaders, whose clocks may stand
    /// still.
    pub(super) fn fire_timer(&mut self, at: usize, writes: WriteOutcome) {
        let (start, leads) = (self.start, self.leads(at));
        let now = start + self.replicas[at].clock;
        let election = self.consensus(at).and_then(Consensus::next_election);
        // The shorter timeouts of a process that has just started are left out: replicas that hear a leader would
        // reject its election anyway.
        let wait = if leads { HEARTBEAT } else { election.map_or(ELECTION, |at| (at - now).max(ELECTION)) };
        for other in 0..NAMES.len() {
            if other == at || !leads && self.consensus(other).is_some() && !self.leads(other) {
                let replica = self.replica_mut(other);
                replica.clock += wait;
            }
        }
        self.handle(at, ConsensusEvent::Tick, writes);
    }

    fn read(&mut self, at: usize, writes: WriteOutcome) {
        let id = READS + 1 + self.remaining.reads;
        self.history.record_read(id);
        let confirmed = self.consensus(at).filter(|consensus| consensus.has_committed_in_term());
        match (self.options.defect, confirmed.map(Consensus::commit_index)) {
            (Defect::Read, Some(index)) => self.history.check_read(id, index),
            _ => self.handle(at, ConsensusEvent::Read { id }, writes),
        }
    }
}
