//! Stand-in servers that announce themselves.

use {
    actix_http::{HttpService, Request, Response, StatusCode, body::BoxBody, header::HeaderValue},
    actix_service::{Service, ServiceFactory, fn_service},
    error_stack::ResultExt,
    futures_util::StreamExt,
    hemlockford_core::{
        dispatch::{LOAD_HEADER, ServerState},
        errors::{ErrorKind, Result, unavailable},
        registry::{ANNOUNCE_INTERVAL, Announcement},
    },
    std::{
        cell::Cell,
        convert::Infallible,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{net::TcpListener, sync::Semaphore},
};

/// Options of stand-in servers.
#[derive(Clone, Debug)]
pub struct EmulateOptions {
    /// Service that they run.
    pub service: Box<str>,
    /// Number of servers.
    pub servers: usize,
    /// Calls that each can run at a time.
    pub slots: u32,
    /// Time that one call takes.
    pub service_time: Duration,
    /// Bytes of each answer.
    pub answer_bytes: usize,
    /// Admin addresses of the entries that they announce themselves to.
    pub entries: Vec<SocketAddr>,
}

impl Default for EmulateOptions {
    fn default() -> Self {
        Self {
            service: "catalogue".into(),
            servers: 4,
            slots: 2,
            service_time: Duration::from_millis(5),
            answer_bytes: 1_000,
            entries: Vec::new(),
        }
    }
}

struct Server {
    options: Rc<EmulateOptions>,
    name: Box<str>,
    address: SocketAddr,
    slots: Semaphore,
    in_flight: Cell<u32>,
    start: Instant,
}

/// Starts the servers on the current thread and returns where they listen.
pub async fn emulate(options: EmulateOptions) -> Result<Vec<SocketAddr>> {
    let options = Rc::new(options);
    let mut addresses = Vec::new();
    for number in 0..options.servers {
        let listener = TcpListener::bind("127.0.0.1:0").await.change_context(ErrorKind::Io)?;
        let address = listener.local_addr().change_context(ErrorKind::Io)?;
        let server = Rc::new(Server {
            name: format!("{}-{number}", options.service).into(),
            address,
            slots: Semaphore::new(options.slots as usize),
            in_flight: Cell::new(0),
            start: Instant::now(),
            options: options.clone(),
        });
        actix_rt::spawn(announce(server.clone()));
        actix_rt::spawn(serve(server, listener));
        addresses.push(address);
    }
    Ok(addresses)
}

async fn announce(server: Rc<Server>) {
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
    let client = awc::Client::builder().disable_redirects().timeout(Duration::from_millis(300)).finish();
    for sequence in 1.. {
        let announcement = Announcement {
            server: server.name.clone(),
            service: server.options.service.clone(),
            address: server.address,
            data_centre: "local".into(),
            slots: server.options.slots,
            connections: 250,
            state: ServerState::Ready,
            sequence,
            incarnation,
            uptime_ms: server.start.elapsed().as_millis() as u64,
            in_flight: server.in_flight.get(),
        };
        for entry in &server.options.entries {
            // A lost announcement is made good by the next one.
            let _ = client.post(format!("http://{entry}/announce")).send_json(&announcement).await;
        }
        actix_rt::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn serve(server: Rc<Server>, listener: TcpListener) -> Result<()> {
    let factory = HttpService::build().h1(fn_service(move |req| {
        let server = server.clone();
        async move { Ok::<_, Infallible>(server.handle(req).await) }
    }));
    let Ok(service) = factory.new_service(()).await else {
        return Err(unavailable("HTTP service cannot be built"));
    };
    let service = Rc::new(service);
    loop {
        let Ok((stream, peer)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        actix_rt::spawn(async move {
            let _ = service.call((stream, Some(peer))).await;
        });
    }
}

impl Server {
    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        self.in_flight.set(self.in_flight.get() + 1);
        let mut payload = req.take_payload();
        while let Some(Ok(_)) = payload.next().await {}
        // The semaphore is never closed, so that a failure to acquire cannot happen.
        let permit = self.slots.acquire().await;
        actix_rt::time::sleep(self.options.service_time).await;
        drop(permit);
        self.in_flight.set(self.in_flight.get() - 1);
        let mut body = format!("{}\n", req.path()).into_bytes();
        body.resize(self.options.answer_bytes.max(body.len()), b'.');
        let mut response = Response::new(StatusCode::OK).set_body(BoxBody::new(body));
        let load = format!("{}/{}", self.in_flight.get(), self.options.slots);
        if let Ok(value) = HeaderValue::from_str(&load) {
            response.headers_mut().insert(actix_http::header::HeaderName::from_static(LOAD_HEADER), value);
        }
        response
    }
}
