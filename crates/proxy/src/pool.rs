//! Idle connections of one worker to servers.

use {
    crate::{connection::Connection, options::ProxyOptions},
    hemlockford_core::collections::FastMap,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant},
};

type Idle = FastMap<SocketAddr, Vec<(Instant, Connection)>>;

/// Idle connections, the most recently used last.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    options: Rc<ProxyOptions>,
    idle: Rc<RefCell<Idle>>,
}

impl Pool {
    pub(crate) fn new(options: Rc<ProxyOptions>) -> Self {
        Self { options, idle: Rc::default() }
    }

    /// Takes an idle connection that is young enough and that the server has not closed.
    pub(crate) fn take(&self, address: SocketAddr, fresh: bool) -> Option<Connection> {
        let max_age = if fresh { self.options.fresh_age } else { self.options.idle_timeout };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some((since, connection)) = connections.pop() {
            if since.elapsed() > max_age {
                // The others are older still; they stay for requests that may be repeated.
                if !fresh {
                    connections.clear();
                }
                return None;
            }
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.options.idle_per_server {
            connections.push((Instant::now(), connection));
        }
    }
}
