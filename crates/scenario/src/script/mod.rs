//! Scenario language: `.scn` files that drive the control state machines of several simulated instances.
//!
//! Each line contains one step; `#` starts a comment. Instances are named `e1`, `e2` and so on, `leader`, or `follower`
//! (the first replica that is not the leader). Disks are the fakes of this crate. The invariants are checked every 50
//! ms of simulated time.
//!
//! | step | meaning |
//! | --- | --- |
//! | `instances N replicas R`, `seed S` | number of instances, and random seed; the first R instances are replicas |
//! | `start`, `restart`, `kill`, `lose-disk`, `freeze`, `wake`, `stop`, `isolate` `[e1 e2 ...]` | applies to the given instances, or to all |
//! | `cut e1 e2`, `cut-one-way e1 e2`, `heal [e1 e2]`, `heal-everything` | cut or restore links; `heal-everything` also resumes and starts every instance |
//! | `drop`, `delay by=`, `repeat by=` `[kind=] [from=] [to=] [percent=]` | drop, delay or duplicate messages until `heal` |
//! | `run 2s` | advance the time |
//! | `submit e1 number= text= expect=` | submit a configuration and wait for the answer; also `submit-start ... as=` and `expect-submit` |
//! | `submit-many e1 from= count=` | submit several changes one after another |
//! | `claim e1 key= [request=] [deadline=] expect=` | claim a key and wait for the answer; also `claim-start ... as=` and `expect-claim` |
//! | `settle e1 key= [status=] [expect=too-late]`, `release e1 key=` | settle or release a claim granted to the instance |
//! | `announce s1 service= entry= [state=]` | start a server that announces itself every 800 ms |
//! | `announce-late s1 entry= by=` | send one announcement that arrives late |
//! | `leave s1 [entry=]`, `silence s1` | a server announces that it leaves, or stops announcing itself |
//! | `expect leader\|no-leader`, `expect serving\|not-serving\|stopped e1,e2\|all` | wait until the condition holds; with `[within=]` |
//! | `expect installed e1,e2\|all N`, `expect live e1 e1,e2`, `expect servers e1\|all service [s1,s2]` | wait until the condition holds; with `[within=]` |
//! | `check-final` | check that no accepted change was lost |

mod check;
mod events;
mod fault;
mod network;
mod node;
mod run;
mod server;
mod step;
mod world;

pub use {
    check::Checks,
    fault::{Fault, Trigger},
    network::{MessageKind, Network, Rule, RuleEffect},
    node::{Node, NodeState},
    run::run,
    server::Server,
    step::Step,
    world::{TamperFn, World, WorldOptions, sample_config},
};
