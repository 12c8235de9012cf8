//! Periodic announcements of one stand-in server.

use {
    super::server::Server,
    hemlockford_core::registry::{ANNOUNCE_INTERVAL, Announcement},
    std::{rc::Rc, time::Duration},
};

/// Time within which an entry must acknowledge an announcement. It is short enough to try several entries before the
/// next announcement is due.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(300);

/// Announces a server periodically, to one entry at a time, until the task is dropped.
///
/// Announcements keep going to the same entry until it fails, and then to the next one.
pub(super) async fn announce(server: Rc<Server>, number: usize) {
    let entries = &server.options.entries;
    if entries.is_empty() {
        return;
    }
    let client = awc::Client::builder().disable_redirects().timeout(ENTRY_TIMEOUT).finish();
    let mut current = number % entries.len();
    let mut sequence = 0;
    let mut last_incarnation = 0;
    loop {
        // Registered before the state is read, so that a change during the exchange triggers another announcement.
        let changed = server.shared.changed.notified();
        let behaviour = server.shared.behaviour();
        let (start, incarnation) = server.shared.start();
        if !behaviour.silent && !behaviour.down {
            sequence = if incarnation == last_incarnation { sequence + 1 } else { 1 };
            last_incarnation = incarnation;
            let announcement = Announcement {
                server: server.shared.name.clone(),
                service: server.options.service.clone(),
                address: server.shared.address,
                data_centre: server.options.data_centre.clone(),
                slots: server.options.slots,
                connections: server.options.max_connections,
                state: behaviour.state,
                sequence,
                incarnation,
                uptime_ms: start.elapsed().as_millis() as u64,
                in_flight: server.reported_load().unwrap_or_default(),
            };
            for _ in entries {
                let url = format!("http://{}/announce", entries[current]);
                let answer = client.post(url).send_json(&announcement).await;
                if answer.is_ok_and(|answer| answer.status().is_success()) {
                    break;
                }
                current = (current + 1) % entries.len();
            }
        }
        let _ = actix_rt::time::timeout(ANNOUNCE_INTERVAL, changed).await;
    }
}
