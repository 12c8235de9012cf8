//! Consensus state machine together with the file store.

use {
    hemlockford_core::consensus::{Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Write},
    hemlockford_scenario::fakes::FakeStateMachine,
    hemlockford_store::{Opened, Store, StoreOptions},
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        path::Path,
        time::{Duration, Instant},
    },
};

struct Replica {
    consensus: Consensus,
    store: Store,
    state_machine: FakeStateMachine,
    now: Instant,
    confirmed: usize,
}

impl Replica {
    fn start(folder: &Path, wall_clock_ns: u64) -> Self {
        let Opened { store, recovered, .. } = Store::open(folder, StoreOptions { wall_clock_ns }).unwrap();
        let options = ConsensusOptions {
            replica: "a".into(),
            replicas: vec!["a".into()],
            snapshot_interval_entries: 6,
            ..ConsensusOptions::default()
        };
        let (now, mut actions) = (Instant::now(), Vec::new());
        let consensus = Consensus::new(now, options, recovered, SmallRng::seed_from_u64(wall_clock_ns), &mut actions);
        let mut replica = Self { consensus, store, state_machine: FakeStateMachine::default(), now, confirmed: 0 };
        replica.execute_actions(actions);
        while !replica.consensus.is_leader() {
            replica.now += Duration::from_millis(50);
            replica.handle(ConsensusEvent::Tick);
        }
        replica
    }

    fn handle(&mut self, event: ConsensusEvent) {
        let mut actions = Vec::new();
        self.consensus.handle(self.now, event, &mut actions);
        self.execute_actions(actions);
    }

    fn execute_actions(&mut self, actions: Vec<ConsensusAction>) {
        let (sequences, mut writes): (Vec<_>, Vec<_>) = actions.iter().filter_map(Write::from_action).unzip();
        self.store.write(&mut writes).unwrap();
        for action in actions {
            match action {
                ConsensusAction::Apply { index, command } => {
                    self.state_machine.commands.push((index, u64::from_le_bytes(command[..].try_into().unwrap())));
                }
                ConsensusAction::RestoreSnapshot { snapshot } => {
                    self.state_machine = FakeStateMachine::decode(&snapshot.data)
                }
                ConsensusAction::TakeSnapshot { index } => {
                    self.handle(ConsensusEvent::SnapshotTaken { index, data: self.state_machine.encode(0) });
                }
                ConsensusAction::Answer { .. } => self.confirmed += 1,
                ConsensusAction::InvariantViolated(what) => panic!("{what}"),
                _ => {}
            }
        }
        if let Some(up_to) = sequences.last() {
            self.handle(ConsensusEvent::Persisted { up_to: *up_to });
        }
    }
}

/// Guards against commands that are lost, duplicated or reordered by a restart from the file store.
#[test]
fn restarts_keep_every_command() {
    let folder = tempfile::tempdir().unwrap();
    for run in 0..4 {
        let mut replica = Replica::start(folder.path(), run + 1);
        let held: Vec<_> = replica.state_machine.commands.iter().map(|(_, command)| *command).collect();
        assert_eq!(held, (0..run * 8).collect::<Vec<_>>(), "run {run}");
        for id in run * 8..(run + 1) * 8 {
            replica.handle(ConsensusEvent::Propose { id, command: id.to_le_bytes().into() });
        }
        assert_eq!(replica.confirmed, 8);
    }
}
