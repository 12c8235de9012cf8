//! Operator that submits and reads changes at any replica, and checks the answers.

use {
    super::{World, ms, text},
    hemlockford_core::fleet::ReplicaAnswer,
    std::time::Duration,
};

/// Time limit for the acceptance of a change, and for its installation at every entry, once the group is stable.
const CHANGE_LIMIT: Duration = Duration::from_secs(4);
/// Time after which an unanswered change is resubmitted at another replica.
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_000);

/// An operator with the submissions and reads so far.
#[derive(Default)]
pub struct Operator {
    submitted: Vec<(u64, u64)>,
    /// Reads with the newest change that was accepted before each.
    reads: Vec<(u64, u64)>,
    number: u64,
}

impl World {
    /// Returns the replicas that are running and not frozen.
    pub fn running(&self) -> Vec<usize> {
        let runs = |index: &usize| self.replicas[*index].replica.is_some() && !self.replicas[*index].is_frozen;
        (0..self.replicas.len()).filter(runs).collect()
    }

    /// Returns the voters known to the leader.
    pub fn voters(&self) -> Vec<usize> {
        let leader = self.leader().and_then(|index| self.replicas[index].replica.as_ref());
        let names: Vec<_> = leader.into_iter().flat_map(|replica| replica.voters()).collect();
        (0..self.replicas.len()).filter(|index| names.contains(&&self.replicas[*index].name)).collect()
    }

    /// Returns whether the group has the target number of voters, and all of them are running.
    pub fn has_voters(&self) -> bool {
        let voters = self.voters();
        voters.len() == self.voters && voters.iter().all(|voter| self.running().contains(voter))
    }
}

impl Operator {
    /// Submits the next change to a replica.
    pub fn submit(&mut self, world: &mut World, replica: usize) {
        self.number = self.number.max(1) + 1;
        self.repeat(world, replica);
    }

    fn repeat(&mut self, world: &mut World, replica: usize) {
        let id = world.submit(replica, &text(self.number));
        self.submitted.push((self.number, id));
    }

    pub fn read(&mut self, world: &mut World, replica: usize) {
        let floor = self.newest(world);
        let id = world.read(replica);
        self.reads.push((id, floor));
    }

    /// Returns the newest accepted change.
    pub fn newest(&self, world: &World) -> u64 {
        let is_accepted = |id: &u64| matches!(world.answers.get(id), Some((_, ReplicaAnswer::Accepted { .. })));
        self.submitted.iter().filter(|(_, id)| is_accepted(id)).map(|(number, _)| *number).max().unwrap_or(1)
    }

    /// Submits the next change until a running replica accepts it, and reads it from each, within the time limit for a
    /// stable group.
    pub fn change(&mut self, world: &mut World) {
        self.submit_until_accepted(world);
        for replica in world.running() {
            self.read(world, replica);
        }
        let newest = self.newest(world);
        world.run_until(CHANGE_LIMIT, |world| world.entries.iter().all(|entry| entry.change >= newest));
    }

    /// Submits the next change to the running replicas in turn until one accepts it.
    pub fn submit_until_accepted(&mut self, world: &mut World) {
        let (seed, start) = (world.seed, world.now);
        let running = world.running();
        self.number = self.number.max(1) + 1;
        for replica in running.iter().cycle() {
            self.repeat(world, *replica);
            let again = world.now + RESUBMIT_AFTER;
            while world.now < again && self.newest(world) < self.number {
                world.run(ms(10));
            }
            if self.newest(world) == self.number {
                return;
            }
            assert!(world.now < start + CHANGE_LIMIT, "seed {seed}: change {} took too long", self.number);
        }
    }

    /// Submits and reads changes at all running replicas for a time.
    pub fn run(&mut self, world: &mut World, time: Duration) {
        let end = world.now + time;
        while world.now < end {
            for replica in world.running() {
                self.submit(world, replica);
                self.read(world, replica);
            }
            world.run(ms(200));
        }
    }

    /// Waits for the answers and checks that no accepted change was lost or rejected when resubmitted, and that no read
    /// returned an older change than was accepted before it.
    pub fn check(&mut self, world: &mut World) {
        let seed = world.seed;
        world.run(ms(4_000));
        self.change(world);
        let newest = self.newest(world);
        let is_accepted = |world: &World, id: u64| matches!(world.answers[&id].1, ReplicaAnswer::Accepted { .. });
        let mut accepted = Vec::new();
        for (number, id) in &self.submitted {
            match world.answers.get(id) {
                Some((_, ReplicaAnswer::Accepted { .. })) => accepted.push(*number),
                // A change that was superseded by a later one before it was accepted is rejected permanently.
                Some((_, ReplicaAnswer::Superseded { .. } | ReplicaAnswer::Unavailable)) | None => {}
                Some((at, answer)) => panic!("seed {seed}: change {number}: {answer:?} at {at:?}"),
            }
        }
        for (number, id) in &self.submitted {
            let is_refused = matches!(world.answers.get(id), Some((_, ReplicaAnswer::Superseded { .. })));
            assert!(!is_refused || !accepted.contains(number), "seed {seed}: change {number} was accepted and refused");
        }
        let running = world.running();
        let repeated: Vec<_> = accepted
            .into_iter()
            .flat_map(|number| running.iter().map(move |replica| (number, *replica)))
            .map(|(number, replica)| (number, world.submit(replica, &text(number))))
            .collect();
        world.run(ms(4_000));
        for (number, id) in repeated {
            assert!(is_accepted(world, id), "seed {seed}: repetition of {number}: {:?}", world.answers[&id]);
        }
        for (id, floor) in &self.reads {
            match world.answers.get(id) {
                Some((at, ReplicaAnswer::Current { number, .. })) => {
                    assert!(number >= floor, "seed {seed}: {number} read at {at:?} after {floor} was accepted");
                }
                Some((_, ReplicaAnswer::Unavailable)) | None => {}
                Some((at, answer)) => panic!("seed {seed}: {answer:?} at {at:?}"),
            }
        }
        assert!(world.entries.iter().all(|entry| entry.change >= newest), "seed {seed}: an entry misses {newest}");
    }
}
