//! Simulation of the pools of leaders and the holders of entries, without a network.

pub mod checks;
pub mod faults;
pub mod messages;
pub mod network;
pub mod node;
pub mod traffic;
pub mod world;

pub use {network::Network, traffic::Customer, world::World};

use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
