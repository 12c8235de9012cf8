//! Customers with API keys, and requests with a key.

use {
    super::{
        Script,
        platform::{self, route},
    },
    hemlockford_core::config::{ApiKey, Configuration, Customer, RouteKind},
};

/// Returns a configuration with the keys `k1` and `k2` of `kovar`, `k3` of `lunt` and the anonymous route `/open/`.
pub fn config() -> Configuration {
    let mut config = platform::config();
    let customer = |keys: &[&str]| {
        let keys = keys.iter().map(|key| ApiKey::parse(key).unwrap()).collect();
        Customer { keys: Some(keys), ..Customer::default() }
    };
    config.customers.insert("kovar".into(), customer(&["k1", "k2"]));
    config.customers.insert("lunt".into(), Customer { priority: Some(3), ..customer(&["k3"]) });
    let mut open = route("/open/", RouteKind::Idempotent, &[("catalogue", 1)]);
    open.is_anonymous = true;
    config.routes.push(open);
    config
}

/// Returns the configuration without a key of `kovar`.
pub fn config_without(key: &str) -> Configuration {
    let mut config = Configuration { number: 2, ..config() };
    let customer = config.customers.get_mut("kovar").unwrap();
    customer.keys = customer.keys.take().map(|keys| keys.into_iter().filter(|k| k.as_str() != key).collect());
    config
}

pub fn script(servers: &[std::net::SocketAddr]) -> Script {
    Script { config: config(), ..platform::script(servers) }
}

pub fn look_up(fields: &str) -> String {
    format!("GET /look-up/a HTTP/1.1\r\nhost: shop.example\r\nx-id: 7\r\n{fields}\r\n")
}

pub fn order(fields: &str) -> String {
    format!("POST /order/a HTTP/1.1\r\nhost: shop.example\r\nx-id: 8\r\n{fields}content-length: 2\r\n\r\nhi")
}

pub fn open(fields: &str) -> String {
    look_up(fields).replace("/look-up/", "/open/")
}
