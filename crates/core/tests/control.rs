//! Rules of the control plane.

use {
    hemlockford_core::{
        consensus::Recovered,
        control::{Control, ControlAction, ControlEvent, ControlOptions, PeerMessage, Reply, Request, RequestId},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Guards against a delayed duplicate of a request that is accepted after its sender was told that it was rejected.
#[test]
fn a_request_is_accepted_at_most_once() {
    let mut now = Instant::now();
    let options = ControlOptions {
        id: "e1".into(),
        peers: vec!["e2".into()],
        replicas: vec!["e1".into()],
        ..ControlOptions::default()
    };
    let recovered = Recovered { incarnation: 1, ..Recovered::default() };
    let mut control = Control::new(options, Some(recovered), now, SmallRng::seed_from_u64(1));
    let mut actions = Vec::new();
    let request = |sequence, text: &str| ControlEvent::Receive {
        from: "e2".into(),
        message: PeerMessage::Request {
            id: RequestId { incarnation: 1, sequence },
            request: Request::Submit { number: 1, text: text.into() },
        },
    };
    control.handle(now, request(1, "[change]\nnumber = 1\n"), &mut actions);
    let is_refusal = |action: &ControlAction| {
        let refusal = Reply::NotLeader { leader: None };
        matches!(action, ControlAction::SendStream { message: PeerMessage::Reply { reply, .. }, .. } if *reply == refusal)
    };
    assert!(actions.iter().any(is_refusal), "{actions:?}");
    while !control.is_leading() {
        now += Duration::from_millis(50);
        control.handle(now, ControlEvent::Tick, &mut actions);
        control.handle(now, ControlEvent::Persisted { up_to: u64::MAX }, &mut actions);
    }
    control.handle(now, request(1, "[change]\nnumber = 1\n"), &mut actions);
    control.handle(now, ControlEvent::Persisted { up_to: u64::MAX }, &mut actions);
    assert_eq!(control.ledger().map(|ledger| ledger.change_number()), Some(0));
    control.handle(now, request(2, "[change]\nnumber = 1\n"), &mut actions);
    control.handle(now, ControlEvent::Persisted { up_to: u64::MAX }, &mut actions);
    assert_eq!(control.ledger().map(|ledger| ledger.change_number()), Some(1));
}
