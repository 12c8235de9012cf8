//! Replicated state machine that records every command.

use {hemlockford_core::ids::LogIndex, std::sync::Arc};

/// Records every applied command with its log index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FakeStateMachine {
    /// Applied commands in log order.
    pub commands: Vec<(LogIndex, u64)>,
}

impl FakeStateMachine {
    /// Encodes the commands, followed by `padding` zero bytes so that a snapshot is transferred in several pieces.
    pub fn encode(&self, padding: usize) -> Arc<[u8]> {
        let count = self.commands.len() as u64;
        let numbers = self.commands.iter().flat_map(|(index, command)| [*index, *command]);
        let mut data: Vec<u8> = [count].into_iter().chain(numbers).flat_map(u64::to_le_bytes).collect();
        data.resize(data.len() + padding, 0);
        data.into()
    }

    /// Decodes the output of `encode`.
    pub fn decode(data: &[u8]) -> Self {
        let mut numbers = data.chunks_exact(8).map(|chunk| u64::from_le_bytes(chunk.try_into().unwrap_or_default()));
        let count = numbers.next().unwrap_or_default();
        let commands = (0..count).map_while(|_| Some((numbers.next()?, numbers.next()?))).collect();
        Self { commands }
    }
}
