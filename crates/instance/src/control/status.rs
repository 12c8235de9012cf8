//! Status page of an instance.

use {
    hemlockford_core::{
        control::Control,
        dispatch::ServerState,
        freshness::NotCurrent,
        ids::{ChangeNumber, DataCentreId, InstanceId, ServerId, ServiceId},
    },
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Status of an instance, which is served as JSON.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    pub(crate) instance: InstanceId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) number: ChangeNumber,
    pub(crate) ready: bool,
    pub(crate) reason: Box<str>,
    pub(crate) leader: Box<str>,
    pub(crate) replica: &'static str,
    pub(crate) instances: Vec<InstanceStatus>,
    pub(crate) servers: Vec<ServerStatus>,
}

/// Status of another instance as seen by this one.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct InstanceStatus {
    pub(crate) id: InstanceId,
    pub(crate) state: &'static str,
    pub(crate) age_ms: Option<u64>,
    pub(crate) number: ChangeNumber,
}

/// Status of a server as seen by this instance.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ServerStatus {
    pub(crate) id: ServerId,
    pub(crate) service: ServiceId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) state: ServerState,
    pub(crate) lease_ms: u64,
}

impl Status {
    pub(crate) fn new(
        now: Instant,
        control: &Control,
        names: (&InstanceId, &DataCentreId),
        peers: &[InstanceId],
    ) -> Self {
        let readiness = control.may_serve(now);
        let config = control.configuration();
        let mut services: Vec<_> = config.iter().flat_map(|config| config.services.keys()).collect();
        services.sort();
        let servers = services.into_iter().flat_map(|service| server_statuses(now, control, service)).collect();
        Self {
            instance: names.0.clone(),
            data_centre: names.1.clone(),
            number: control.installed(),
            ready: readiness.is_ok(),
            reason: readiness.err().map_or("".into(), |reason: NotCurrent| reason.to_string().into()),
            leader: find_leader(now, control, names.0).unwrap_or_default(),
            replica: match control.is_admitted() {
                None => "no",
                Some(true) => "voting",
                Some(false) => "not admitted",
            },
            instances: peers.iter().map(|peer| instance_status(now, control, peer)).collect(),
            servers,
        }
    }
}

fn find_leader(now: Instant, control: &Control, own: &InstanceId) -> Option<InstanceId> {
    if control.is_leading() {
        return Some(own.clone());
    }
    let live = control.membership().live(now);
    let hints = live.iter().filter_map(|peer| control.membership().status(peer)).map(|status| &status.hint);
    hints.max_by_key(|hint| hint.term)?.leader.clone()
}

fn instance_status(now: Instant, control: &Control, peer: &InstanceId) -> InstanceStatus {
    let membership = control.membership();
    let silence = membership.silence(now, peer);
    let state = match silence {
        None => "never heard",
        Some(silence) if silence >= hemlockford_core::membership::LOST_AFTER => "lost",
        Some(silence) if silence >= hemlockford_core::membership::SUSPECT_AFTER => "suspected",
        Some(_) => "live",
    };
    InstanceStatus {
        id: peer.clone(),
        state,
        age_ms: silence.map(|silence| silence.as_millis() as u64),
        number: membership.status(peer).map_or(0, |status| status.installed),
    }
}

fn server_statuses(now: Instant, control: &Control, service: &ServiceId) -> Vec<ServerStatus> {
    let mut views = control.registry().views(now, service);
    views.sort_by(|a, b| a.id.cmp(&b.id));
    let remaining_ms =
        |end: Instant| end.saturating_duration_since(now).min(Duration::from_secs(60)).as_millis() as u64;
    let status = |view: hemlockford_core::dispatch::ServerView| ServerStatus {
        id: view.id,
        service: service.clone(),
        data_centre: view.data_centre,
        state: view.state,
        lease_ms: remaining_ms(view.lease_end),
    };
    views.into_iter().map(status).collect()
}
