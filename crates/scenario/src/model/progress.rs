//! Whether a group that lost one process can still elect a leader.

use super::{World, WriteOutcome};

/// Timers of each replica that fire until the group counts as blocked.
const ROUNDS: usize = 4;

impl World {
    /// Whether no leader is elected although one process is down and nothing else is wrong.
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
