//! Steps in words.

use {
    super::{
        Choice, Event, World, WriteOutcome,
        world::{Envelope, NAMES},
    },
    hemlockford_core::consensus::{Entry, Message, MessageBody, Payload},
};

impl World {
    /// A step in words.
    pub fn describe(&self, Choice { event, after }: Choice) -> String {
        let text = match event {
            Event::Deliver(position) | Event::Drop(position) => {
                let Envelope { from, to, message, .. } = &*self.queue[position];
                let Message { term, incarnation, body, .. } = message;
                let verb = if matches!(event, Event::Drop(_)) { "drop" } else { "deliver" };
                let (from, to, body) = (NAMES[*from], NAMES[*to], brief(body));
                format!("{verb} {from} -> {to}: term {term}, incarnation {incarnation}, {body}")
            }
            Event::FireTimer(at) if self.leads(at) => format!("heartbeat of {}", NAMES[at]),
            Event::FireTimer(at) => format!("timeout of {}", NAMES[at]),
            Event::Submit(at) => format!("submit a change to {}", NAMES[at]),
            Event::Read(at) => format!("read from {}", NAMES[at]),
            Event::Stop(at) => format!("planned stop of {}", NAMES[at]),
            Event::Crash(at) => format!("crash of {}", NAMES[at]),
            Event::Start(at) => format!("start of {}", NAMES[at]),
            Event::LoseDisk(at) => format!("{} loses its folder and starts", NAMES[at]),
            Event::Delay(at) => format!("messages to {} are held back", NAMES[at]),
            Event::Resume => "messages are held back no more".into(),
            Event::Sync(at) => format!("writes of {} become durable", NAMES[at]),
        };
        match after {
            WriteOutcome::Durable => text,
            WriteOutcome::Pending => format!("{text}; its writes stay pending"),
            WriteOutcome::CrashBeforeSync => format!("{text}; crash before the writes are durable"),
            WriteOutcome::CrashAfterSync => format!("{text}; crash after the writes are durable"),
            WriteOutcome::CrashAfterMessages(count) => {
                format!("{text}; crash after the writes are durable and {count} messages left")
            }
        }
    }
}

/// A message in a trace: entries without their commands.
fn brief(body: &MessageBody) -> String {
    let MessageBody::Append { round, prev_index, entries, commit, .. } = body else { return format!("{body:?}") };
    let entry = |entry: &Entry| match &entry.payload {
        Payload::Command(_) => format!("{}:{} Command", entry.index, entry.term),
        payload => format!("{}:{} {payload:?}", entry.index, entry.term),
    };
    let entries: Vec<_> = entries.iter().map(entry).collect();
    format!("Append round {round} after {prev_index} [{}] commit {commit}", entries.join(", "))
}
