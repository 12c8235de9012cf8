//! Checks whether a group with one process down can still elect a leader.

use super::{World, WriteOutcome};

/// Number of timers per replica that fire without an elected leader before the group is considered blocked.
const ROUNDS: usize = 4;

impl World {
    /// Returns whether no leader is elected although one process is down and there is no other fault.
    pub fn is_blocked(&self) -> bool {
        let all = 0..self.replicas.len();
        let down = all.clone().filter(|at| self.consensus(*at).is_none()).count();
        if down != 1 || !self.is_quiet() || self.is_delayed() || self.history.has_lost() {
            return false;
        }
        let mut world = self.clone();
        for _ in 0..ROUNDS {
            for at in all.clone() {
                let leads =
                    |at: usize| world.consensus(at).is_some_and(|it| it.is_leader() && it.has_committed_in_term());
                if all.clone().any(leads) {
                    return false;
                }
                world.fire_timer(at, WriteOutcome::Durable);
                world.deliver_all();
            }
        }
        true
    }
}
