//! Tests of clients that the operator does not control: they keep to the limits of the configuration in form, but hold
//! memory, connections and slots. Each test checks that every process lives, that its memory and its descriptors stay
//! under the bounds of the settings, and that ordinary requests are answered while the crowd is connected.

#[path = "../../../../platform/tests/fleet/http.rs"]
#[allow(dead_code)]
mod http;
#[path = "../../../../platform/tests/fleet/node.rs"]
#[allow(dead_code)]
mod node;
#[path = "../processes/process.rs"]
#[allow(dead_code)]
mod process;
#[path = "../../../../platform/tests/fleet/servers.rs"]
#[allow(dead_code)]
mod servers;
#[path = "../processes/system.rs"]
#[allow(dead_code)]
mod system;

mod bodies;
mod calm;
mod client;
mod crowd;
mod deployment;
mod heads;
mod pace;
mod pipelines;
mod target;
mod usage;
