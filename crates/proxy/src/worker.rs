//! A worker: one listener, the connections accepted on it, and the pool of server connections.

use {
    crate::{gate::Gate, handler::Handler, options::ProxyOptions, pool::Pool},
    actix_http::HttpService,
    actix_service::{Service, ServiceFactory, fn_service},
    error_stack::ResultExt,
    hemlockford_core::{
        errors::{ErrorKind, Result},
        text::Text,
    },
    std::{cell::Cell, convert::Infallible, rc::Rc, sync::Arc},
    tokio::{net::TcpListener, sync::watch},
};

/// Distance between the first call numbers of two workers.
const CALLS_PER_WORKER: u64 = 1 << 48;

/// Accepts callers on one listener.
#[derive(Debug)]
pub struct Worker {
    /// Number of the worker within its instance; keeps call numbers apart.
    pub number: u64,
    /// Options of the HTTP path.
    pub options: ProxyOptions,
    /// Way to the dispatcher.
    pub gate: Gate,
    /// Text in force.
    pub text: watch::Receiver<Arc<Text>>,
}

impl Worker {
    /// Accepts callers until the task is dropped.
    pub async fn run(self, listener: std::net::TcpListener) -> Result<()> {
        let listener = TcpListener::from_std(listener).change_context(ErrorKind::Io)?;
        let handler = Rc::new(Handler {
            gate: self.gate,
            pool: Pool::new(Rc::new(self.options.clone())),
            text: self.text,
            next_call: Cell::new(self.number * CALLS_PER_WORKER),
        });
        let factory = HttpService::build()
            .keep_alive(self.options.keep_alive)
            .client_request_timeout(self.options.head_timeout)
            .h1(fn_service(move |req| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.handle(req).await) }
            }));
        let Ok(service) = factory.new_service(()).await else {
            return Err(hemlockford_core::errors::unavailable("HTTP service cannot be built"));
        };
        let service = Rc::new(service);
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let service = service.clone();
            actix_rt::spawn(async move {
                // An error concerns this connection only; its calls have reported their ends.
                let _ = service.call((stream, Some(peer))).await;
            });
        }
    }
}
