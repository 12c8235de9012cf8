//! Descriptions of steps for traces.

use {
    super::{
        Choice, Event, World, WriteOutcome,
        world::{Envelope, NAMES},
    },
    hemlockford_core::consensus::{Entry, Message, MessageBody, Payload},
};

impl World {
    /// Describes a step.
    pub fn describe(&self, Choice { event, writes }: Choice) -> String {
        let text = match event {
            Event::Deliver(position) | Event::Drop(position) => {
                let Envelope { from, to, message, .. } = &*self.queue[position];
                let Message { term, incarnation, body, .. } = message;
                let verb = if matches!(event, Event::Drop(_)) { "drop" } else { "deliver" };
                let (from, to, body) = (NAMES[*from], NAMES[*to], format_body(body));
                format!("{verb} {from} -> {to}: term {term}, incarnation {incarnation}, {body}")
            }
            Event::FireTimer(at) if self.leads(at) => format!("heartbeat of {}", NAMES[at]),
            Event::FireTimer(at) => format!("timeout of {}", NAMES[at]),
            Event::Submit(at) => format!("submit a change to {}", NAMES[at]),
            Event::Read(at) => format!("read from {}", NAMES[at]),
            Event::Stop(at) => format!("planned stop of {}", NAMES[at]),
            Event::Crash(at) => format!("crash of {}", NAMES[at]),
            Event::Start(at) => format!("start of {}", NAMES[at]),
            Event::LoseDisk(at) => format!("{} loses its data folder and restarts", NAMES[at]),
            Event::Delay(at) => format!("start to delay messages to {}", NAMES[at]),
            Event::Resume => "end the delay of messages".into(),
            Event::Sync(at) => format!("writes of {} become durable", NAMES[at]),
        };
        match writes {
            WriteOutcome::Durable => text,
            WriteOutcome::Pending => format!("{text}; its writes stay pending"),
            WriteOutcome::CrashBeforeSync => format!("{text}; crash before the writes are durable"),
            WriteOutcome::CrashAfterSync => format!("{text}; crash after the writes are durable"),
            WriteOutcome::CrashAfterMessages(count) => {
                format!("{text}; crash after the writes are durable and {count} messages were sent")
            }
        }
    }
}

/// Formats a message for a trace; the contents of commands are left out.
fn format_body(body: &MessageBody) -> String {
    let MessageBody::Append { round, prev_index, entries, commit, .. } = body else { return format!("{body:?}") };
    let entry = |entry: &Entry| match &entry.payload {
        Payload::Command(_) => format!("{}:{} Command", entry.index, entry.term),
        payload => format!("{}:{} {payload:?}", entry.index, entry.term),
    };
    let entries: Vec<_> = entries.iter().map(entry).collect();
    format!("Append round {round} after {prev_index} [{}] commit {commit}", entries.join(", "))
}
