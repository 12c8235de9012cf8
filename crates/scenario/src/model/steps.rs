//! Steps of a searched group.

use {
    super::{
        After, BrokenRule, Choice, Event, ModelReplica, World,
        world::{ELECTION, HEARTBEAT, NAMES},
    },
    hemlockford_core::{
        consensus::{Consensus, ConsensusEvent},
        ledger::Command,
    },
    std::sync::Arc,
};

/// Numbers of reads begin here, so that they differ from those of changes.
pub(super) const READS: u64 = 1 << 32;

impl World {
    /// Every next step within the bounds, with the state that it leads to.
    pub fn successors(&self) -> Vec<(Choice, Self)> {
        let mut successors = Vec::new();
        for event in self.events() {
            let durable = Choice { event, after: After::Durable };
            let next = self.step(durable);
            let mut others = Vec::new();
            if next.wrote {
                if self.left.crashes > 0 {
                    others.extend([After::CrashLost, After::CrashKept]);
                }
                if self.left.slow > 0 {
                    others.push(After::Pending);
                }
            }
            if self.left.crashes > 0 {
                others.extend((1..next.sent).map(After::CrashSending));
            }
            successors.push((durable, next));
            for after in others {
                let choice = Choice { event, after };
                successors.push((choice, self.step(choice)));
            }
        }
        successors
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let (head, left) = (self.head(), &self.left);
        if let Some(head) = head {
            events.push(Event::Deliver(head));
            if left.drops > 0 {
                events.push(Event::Drop(head));
            }
            let later = (head + 1..self.queue.len()).filter(|at| Some(self.queue[*at].to) != self.delayed);
            events.extend(later.filter(|_| left.overtakes > 0).map(Event::Deliver));
        }
        let all = 0..NAMES.len();
        events.extend(all.clone().filter(|at| self.is_pending(*at)).map(Event::Sync));
        if left.delays > 0 && self.delayed.is_none() {
            let is_awaited = |at: &usize| self.queue.iter().any(|envelope| envelope.to == *at);
            events.extend(all.clone().filter(is_awaited).map(Event::Delay));
        }
        if !self.is_quiet() && left.interrupts == 0 {
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
                (left.timers > 0, Event::Elapse(at)),
                (leads && left.changes > 0, Event::Submit(at)),
                (leads && left.reads > 0, Event::Read(at)),
                (leads && left.stops > 0, Event::Stop(at)),
                (left.crashes > 0, Event::Crash(at)),
                (left.losses > 0, Event::LoseDisk(at)),
            ];
            events.extend(choices.into_iter().filter(|(is_allowed, _)| *is_allowed).map(|(_, event)| event));
        }
        events
    }

    /// The state that a step leads to.
    pub fn step(&self, choice: Choice) -> Self {
        let mut next = self.clone();
        next.spend(choice);
        next.apply(choice);
        next.update_digests();
        next
    }

    fn spend(&mut self, Choice { event, after }: Choice) {
        let (head, is_quiet) = (self.head(), self.is_quiet());
        let left = &mut self.left;
        match event {
            Event::Deliver(position) => left.overtakes -= u32::from(head != Some(position)),
            Event::Drop(_) => left.drops -= 1,
            Event::Elapse(_) => left.timers -= 1,
            Event::Submit(_) => left.changes -= 1,
            Event::Read(_) => left.reads -= 1,
            Event::Stop(_) => left.stops -= 1,
            Event::Crash(_) => left.crashes -= 1,
            Event::LoseDisk(_) => left.losses -= 1,
            Event::Delay(_) => left.delays -= 1,
            Event::Start(_) | Event::Resume | Event::Sync(_) => {}
        }
        let is_of_network = matches!(event, Event::Deliver(_) | Event::Drop(_) | Event::Delay(_) | Event::Sync(_));
        left.interrupts -= u32::from(!is_quiet && !is_of_network);
        match after {
            After::Durable => {}
            After::Pending => left.slow -= 1,
            After::CrashLost | After::CrashKept | After::CrashSending(_) => left.crashes -= 1,
        }
    }

    pub(super) fn apply(&mut self, Choice { event, after }: Choice) {
        (self.wrote, self.sent) = (false, 0);
        match event {
            Event::Deliver(position) => {
                let envelope = self.queue.remove(position);
                let (from, message) = (NAMES[envelope.from].into(), envelope.message.clone());
                self.handle(envelope.to, ConsensusEvent::Receive { from, message }, after);
            }
            Event::Drop(position) => drop(self.queue.remove(position)),
            Event::Elapse(at) => self.elapse(at, after),
            Event::Submit(at) => {
                self.proposed += 1;
                // Every change has the same number and another content.
                let text = format!("content {}", self.proposed).into();
                let command = Command::Submit { number: 1, text }.encode().unwrap_or_default().into();
                self.handle(at, ConsensusEvent::Propose { id: self.proposed, command }, after);
            }
            Event::Read(at) => self.read(at, after),
            Event::Stop(at) => self.handle(at, ConsensusEvent::Stop, after),
            Event::Crash(at) => self.crash(at, 0),
            Event::Start(at) => self.start(at, after),
            Event::LoseDisk(at) => {
                self.incarnations += 1;
                let lost = self.replicas[at].node.disk.incarnation;
                let is_broken = self.options.broken == BrokenRule::Incarnation;
                let incarnation = if is_broken { lost } else { self.incarnations };
                let lie = self.replicas[at].node.disk.lie;
                self.history.lost(at, &self.replicas[at]);
                let clock = self.replicas[at].clock;
                self.replicas[at] = Arc::new(ModelReplica { clock, ..ModelReplica::new(NAMES[at], incarnation, lie) });
                self.start(at, after);
            }
            Event::Delay(at) => self.delayed = Some(at),
            Event::Resume => self.delayed = None,
            Event::Sync(at) => self.sync(at),
        }
    }

    /// Delivers every message that is not held back, in order.
    pub(super) fn drain(&mut self) {
        while let Some(position) = self.head() {
            self.apply(Choice { event: Event::Deliver(position), after: After::Durable });
        }
    }

    /// Ends a process. Messages that are on their way to it are lost.
    pub(super) fn crash(&mut self, at: usize, survivors: usize) {
        let replica = self.replica_mut(at);
        replica.crash(survivors);
        self.queue.retain(|envelope| envelope.to != at);
    }

    /// Lets time pass until a timer of a replica fires: a heartbeat for a leader, an election otherwise. The clocks
    /// of the others that do not lead go on as well, while those of leaders may stand still.
    pub(super) fn elapse(&mut self, at: usize, after: After) {
        let (start, leads) = (self.start, self.leads(at));
        let now = start + self.replicas[at].clock;
        let election = self.consensus(at).and_then(Consensus::next_election);
        // The shorter waits of a process that has just started would only be refused by those that hear a leader.
        let wait = if leads { HEARTBEAT } else { election.map_or(ELECTION, |at| (at - now).max(ELECTION)) };
        for other in 0..NAMES.len() {
            if other == at || !leads && self.consensus(other).is_some() && !self.leads(other) {
                let replica = self.replica_mut(other);
                replica.clock += wait;
            }
        }
        self.handle(at, ConsensusEvent::Tick, after);
    }

    fn read(&mut self, at: usize, after: After) {
        let id = READS + 1 + self.left.reads;
        self.history.asked(id);
        let confirmed = self.consensus(at).filter(|consensus| consensus.has_committed_in_term());
        match (self.options.broken, confirmed.map(Consensus::commit_index)) {
            (BrokenRule::Read, Some(index)) => self.history.read(id, index),
            _ => self.handle(at, ConsensusEvent::Read { id }, after),
        }
    }
}
