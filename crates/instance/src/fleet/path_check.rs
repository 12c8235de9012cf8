//! Checks whether there is a path to a server.

use {
    actix_rt::time::timeout,
    hemlockford_core::{dispatch::DispatchEvent, ids::ServerId},
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, sync::mpsc},
};

/// Opens a connection to a server, closes it, and reports whether it was opened in time.
pub(super) async fn check_path(
    server: ServerId,
    address: SocketAddr,
    limit: Duration,
    events: mpsc::UnboundedSender<DispatchEvent>,
) {
    let is_open = timeout(limit, TcpStream::connect(address)).await.is_ok_and(|opened| opened.is_ok());
    // Without a receiver the process is stopping.
    let _ = events.send(DispatchEvent::PathChecked { server, is_open });
}
