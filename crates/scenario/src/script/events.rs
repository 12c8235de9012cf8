//! Event loop of the simulated system.

use {
    super::{
        Fault, MessageKind, NodeState, World,
        world::{Event, name},
    },
    hemlockford_core::{
        control::{Answer, Channel, ClaimAnswer, ControlAction, ControlEvent, PeerMessage, TICK_INTERVAL},
        ledger::MIN_RETENTION_MS,
        registry::ANNOUNCE_INTERVAL,
    },
    std::time::Duration,
};

/// Duration of a triggered fault, in milliseconds.
const FAULT_MS: u64 = 4_000;

/// Delay of a message that a trigger delays or duplicates, in milliseconds.
const DELAY_MS: u64 = 700;

/// Duration of an fsync of the data folder, in milliseconds.
const SYNC_MS: u64 = 2;

/// Interval between checks of the invariants, in milliseconds.
const CHECK_MS: u64 = 50;

/// Maximum number of queued datagrams for a frozen process; approximates the capacity of a socket buffer.
const MAX_BACKLOG: usize = 500;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 1_200;

impl World {
    pub(super) fn run_until(&mut self, end: u64, is_done: impl Fn(&Self) -> bool) -> Result<bool, String> {
        loop {
            if let Some(failure) = self.failure.take() {
                return Err(self.with_context(&failure));
            }
            if is_done(self) {
                return Ok(true);
            }
            let next = self.queue.first_key_value().map_or(end, |((at, _), _)| (*at).min(end));
            if self.next_check <= next {
                self.now_ms = self.now_ms.max(self.next_check);
                self.next_check = self.now_ms + CHECK_MS;
                let now = self.now();
                let checked = self.checks.check(now, self.now_ms, &mut self.nodes, &self.servers);
                checked.map_err(|e| self.with_context(&e))?;
                continue;
            }
            if next >= end {
                self.now_ms = end;
                return Ok(false);
            }
            self.now_ms = next;
            if let Some((_, event)) = self.queue.pop_first() {
                self.process_event(event);
            }
        }
    }

    pub(super) fn with_context(&self, error: &str) -> String {
        format!("{} ms, seed {}: {error}", self.now_ms, self.options.seed)
    }

    pub(super) fn push(&mut self, delay: u64, event: Event) {
        self.last_sequence += 1;
        self.queue.insert((self.now_ms + delay, self.last_sequence), event);
    }

    pub(super) fn process_event(&mut self, event: Event) {
        let target = match &event {
            Event::Tick { node, .. } | Event::Synced { node, .. } => Some(*node),
            Event::Deliver { to, .. } | Event::Announce { to, .. } => Some(*to),
            Event::AnnounceTimer { .. } | Event::Restart { .. } | Event::Resume { .. } | Event::Heal { .. } => None,
        };
        if let Some(node) = target.filter(|node| self.nodes[*node].state == NodeState::Frozen) {
            let backlog = &mut self.nodes[node].backlog;
            if backlog.len() < MAX_BACKLOG || !matches!(event, Event::Deliver { .. }) {
                backlog.push(event);
            }
            return;
        }
        match event {
            Event::Tick { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                if self.nodes[node].is_up() {
                    self.push(TICK_INTERVAL.as_millis() as u64, Event::Tick { node, incarnation });
                    self.handle_event(node, ControlEvent::Tick);
                }
            }
            Event::Synced { node, incarnation, up_to } if self.nodes[node].incarnation == incarnation => {
                if let Some(disk) = &mut self.nodes[node].disk {
                    disk.sync(up_to);
                }
                self.handle_event(node, ControlEvent::Persisted { up_to });
            }
            Event::Tick { .. } | Event::Synced { .. } => {}
            Event::Deliver { from, to, message, is_counted } => self.deliver(from, to, message, is_counted),
            Event::Announce { to, announcement } => self.handle_event(to, ControlEvent::Announce(announcement)),
            Event::AnnounceTimer { server } => {
                if self.servers[server].is_announcing {
                    self.send_announcement(server);
                    self.push(ANNOUNCE_INTERVAL.as_millis() as u64, Event::AnnounceTimer { server });
                }
            }
            Event::Restart { node } => self.start(node),
            Event::Resume { node } => self.resume(node),
            Event::Heal { from, to } => self.network.heal(from, to),
        }
    }

    pub(super) fn send_announcement(&mut self, server: usize) {
        let now_ms = self.now_ms;
        let announcement = self.servers[server].announcement(now_ms);
        let to = self.servers[server].entry;
        let arrivals =
            self.network.arrivals(now_ms, (usize::MAX, to), MessageKind::Announce, Channel::Datagram, &mut self.rng);
        for at in arrivals {
            self.push(at - now_ms, Event::Announce { to, announcement: announcement.clone() });
        }
    }

    fn deliver(&mut self, from: usize, to: usize, mut message: PeerMessage, is_counted: bool) {
        let fault = self.take_fault(&message, is_counted);
        match fault {
            Some(Fault::Drop) => return,
            Some(Fault::Delay) => {
                self.push(DELAY_MS, Event::Deliver { from, to, message, is_counted: true });
                return;
            }
            Some(Fault::Duplicate) => {
                self.push(DELAY_MS, Event::Deliver { from, to, message: message.clone(), is_counted: true });
            }
            Some(Fault::KillReceiver) => {
                self.kill(to);
                self.push(FAULT_MS, Event::Restart { node: to });
                return;
            }
            Some(Fault::LoseDisk) => {
                self.lose_disk(to);
                self.push(FAULT_MS, Event::Restart { node: to });
                return;
            }
            Some(Fault::Freeze) => {
                self.freeze(to);
                self.push(FAULT_MS, Event::Resume { node: to });
                self.nodes[to].backlog.push(Event::Deliver { from, to, message, is_counted: true });
                return;
            }
            Some(Fault::Cut) => {
                self.cut_for_fault(from, to);
                self.cut_for_fault(to, from);
                return;
            }
            Some(Fault::CutReturnPath) => self.cut_for_fault(to, from),
            Some(Fault::KillSender) => {
                self.kill(from);
                self.push(FAULT_MS, Event::Restart { node: from });
            }
            Some(Fault::KillReceiverAfter) | None => {}
        }
        if let Some(tamper) = &mut self.tamper {
            tamper(to, &mut message);
        }
        let sender = self.nodes[from].id.clone();
        self.handle_event(to, ControlEvent::Receive { from: sender, message });
        if fault == Some(Fault::KillReceiverAfter) {
            self.sync_and_kill(to);
            self.push(FAULT_MS, Event::Restart { node: to });
        }
    }

    fn cut_for_fault(&mut self, from: usize, to: usize) {
        self.network.cut(from, to);
        self.push(FAULT_MS, Event::Heal { from, to });
    }

    /// Counts a message and returns the fault triggered by it.
    fn take_fault(&mut self, message: &PeerMessage, is_counted: bool) -> Option<Fault> {
        if is_counted || !self.counted_kinds.contains(&MessageKind::of(message)) {
            return None;
        }
        let number = self.counted_messages?;
        self.counted_messages = Some(number + 1);
        self.triggers.iter().find(|trigger| trigger.message == number).map(|trigger| trigger.fault)
    }

    /// Passes an event to a process and executes the resulting actions.
    pub fn handle_event(&mut self, node: usize, event: ControlEvent) {
        let now = self.now();
        let Some(control) = self.nodes[node].control.as_mut() else { return };
        let mut actions = Vec::new();
        control.handle(now, event, &mut actions);
        let mut up_to = None;
        for action in actions {
            match action {
                ControlAction::SendDatagram { to, message } => self.send(node, &to, message, Channel::Datagram),
                ControlAction::SendStream { to, message } => self.send(node, &to, message, Channel::Stream),
                ControlAction::Write { sequence, write } => {
                    if let Some(disk) = &mut self.nodes[node].disk {
                        disk.write(sequence, write);
                        up_to = Some(sequence);
                    }
                }
                ControlAction::Answer(answer) => self.answer(node, answer),
                ControlAction::Stopped => self.nodes[node].is_stopped = true,
                ControlAction::InvariantViolated(reason) => self.failure = Some(format!("{}: {reason}", name(node))),
                ControlAction::Install(_)
                | ControlAction::ServersChanged(..)
                | ControlAction::LivePeers(_)
                | ControlAction::ServeUntil(_)
                | ControlAction::Log(_) => {}
            }
        }
        if let Some(up_to) = up_to {
            let incarnation = self.nodes[node].incarnation;
            self.push(SYNC_MS, Event::Synced { node, incarnation, up_to });
        }
    }

    fn answer(&mut self, node: usize, answer: Answer) {
        let request = match &answer {
            Answer::Submit { request, .. } | Answer::Claim { request, .. } => *request,
        };
        let key = self.keys.remove(&(node, request));
        let retention = Duration::from_millis(MIN_RETENTION_MS);
        if let Err(error) = self.checks.check_answer(self.now(), &answer, key.as_ref(), retention) {
            self.failure = Some(format!("{}: {error}", name(node)));
        }
        if let (Some(key), Answer::Claim { answer: ClaimAnswer::Granted { holder, send_before }, .. }) = (key, &answer)
        {
            self.granted.insert((node, key), (holder.clone(), *send_before));
        }
        if self.nodes[node].answers.insert(request, answer).is_some() {
            self.failure = Some(format!("{}: request {request} was answered twice", name(node)));
        }
    }

    fn send(&mut self, from: usize, to: &str, message: PeerMessage, channel: Channel) {
        let Some(to) = self.nodes.iter().position(|node| &*node.id == to) else { return };
        let size = postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len());
        if channel != message.channel() || (channel == Channel::Datagram && size > MAX_DATAGRAM) {
            self.failure =
                Some(format!("{}: message of {size} bytes not allowed on {channel:?}: {message:?}", name(from)));
        }
        let kind = MessageKind::of(&message);
        for at in self.network.arrivals(self.now_ms, (from, to), kind, channel, &mut self.rng) {
            self.received[to].0 += 1;
            self.received[to].1 += size as u64;
            self.push(at - self.now_ms, Event::Deliver { from, to, message: message.clone(), is_counted: false });
        }
    }
}
