//! The scenario language: `.scn` files that drive the control parts of several instances.
//!
//! One step stands on a line; `#` starts a comment. Instances are `e1`, `e2` and so on, `leader`, or
//! `follower` (the first replica that does not lead). The disk is that of `fakes`; every invariant is checked
//! every 50 ms of scenario time.
//!
//! | step | meaning |
//! | --- | --- |
//! | `instances N replicas R`, `seed S` | size of the roster and seed; the first R instances are replicas |
//! | `start`, `restart`, `kill`, `lose-disk`, `freeze`, `wake`, `stop`, `isolate` `[e1 e2 ...]` | for the instances named, or all |
//! | `cut e1 e2`, `cut-one-way e1 e2`, `heal [e1 e2]`, `heal-everything` | links |
//! | `drop`, `delay by=`, `repeat by=` `[kind=] [from=] [to=] [percent=]` | rules about messages until `heal` |
//! | `run 2s` | time passes |
//! | `submit e1 number= text= expect=` | submit and wait; also `submit-start ... as=` and `expect-submit` |
//! | `submit-many e1 from= count=` | submit one after the other |
//! | `claim e1 key= [request=] [deadline=] expect=` | claim and wait; also `claim-start ... as=` and `expect-claim` |
//! | `settle e1 key= [status=] [expect=too-late]`, `release e1 key=` | end a claim that was granted there |
//! | `announce s1 service= entry= [state=]` | a server announces itself each 800 ms |
//! | `announce-late s1 entry= by=` | one announcement that arrives late |
//! | `leave s1 [entry=]`, `silence s1` | the server says that it leaves, or says nothing more |
//! | `expect leader\|no-leader`, `expect serving\|not-serving\|stopped e1,e2\|all` | with `[within=]` |
//! | `expect installed e1,e2\|all N`, `expect live e1 e1,e2`, `expect servers e1\|all service [s1,s2]` | with `[within=]` |
//! | `check-final` | nothing confirmed was lost |

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
    world::{TamperFn, World, WorldOptions, text},
};
