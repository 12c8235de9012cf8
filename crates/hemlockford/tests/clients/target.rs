//! Paths at which a crowd knocks.

use crate::deployment::Deployment;

/// Size of the bodies for the entry's front. The entry keeps bodies of up to 512 KB so that it can send them again.
const FRONT_BODY_BYTES: usize = 500_000;
/// Size of the bodies for an admin address, whose limit is 4 MB.
const ADMIN_BODY_BYTES: usize = 1_000_000;

/// A listener and a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The entry's front, at a path with a route.
    Route,
    /// The entry's front, at a path without a route.
    NoRoute,
    /// The entry's admin address, at the path of the readiness checks.
    Ready,
    /// The admin address of a replica, at the path of new configurations.
    Configuration,
    /// The admin address of a replica, at the path of heartbeats.
    Heartbeat,
}

impl Target {
    /// Returns the address of the listener.
    pub fn address(self, deployment: &Deployment) -> String {
        match self {
            Self::Route | Self::NoRoute => deployment.entry.front(),
            Self::Ready => deployment.entry.admin(),
            Self::Configuration | Self::Heartbeat => deployment.replica.admin(),
        }
    }

    /// Returns the size of a legal body.
    pub fn body_bytes(self) -> usize {
        match self {
            Self::Route | Self::NoRoute => FRONT_BODY_BYTES,
            Self::Ready | Self::Configuration | Self::Heartbeat => ADMIN_BODY_BYTES,
        }
    }

    /// Returns the start of the head of a request with a body.
    pub fn upload(self, number: usize) -> String {
        let (method, path) = match self {
            Self::Route => ("POST", "/order/1"),
            Self::NoRoute => ("POST", "/none/1"),
            Self::Ready => ("GET", "/v1/ready"),
            Self::Configuration => ("POST", "/v1/Config.Replace"),
            Self::Heartbeat => ("POST", "/v1/Instances.Heartbeat/crowd"),
        };
        format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\nattempt-id: crowd-{number}\r\n")
    }

    /// Returns the start of the head of a request without a body.
    pub fn read(self, number: usize) -> String {
        let path = match self {
            Self::Route => "/look-up/1",
            Self::NoRoute => "/none/1",
            Self::Ready => "/v1/ready",
            Self::Configuration | Self::Heartbeat => "/v1/Config.Read",
        };
        format!("GET {path} HTTP/1.1\r\nhost: shop.example\r\nattempt-id: crowd-{number}\r\n")
    }
}
