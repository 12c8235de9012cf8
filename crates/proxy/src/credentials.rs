//! Authentication of requests by the API keys of customers.

use {
    actix_http::header::{HeaderMap, HeaderName, HeaderValue},
    blake3::Hash,
    hemlockford_core::{
        collections::FastMap,
        config::{ApiKey, Configuration, Customer},
        ids::CustomerId,
    },
    std::rc::Rc,
};

/// A customer that holds at least one key, with what its requests need.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct KeyHolder {
    pub(crate) customer: CustomerId,
    /// The name of the customer as servers receive it.
    pub(crate) header_value: HeaderValue,
    /// Priority that precedes the one of the route.
    pub(crate) priority: Option<u32>,
}

/// On whose behalf a request is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Identity {
    /// The configuration has no customers with keys, so that the headers of the request have no meaning.
    Unchecked,
    /// The request has no key, and its route does not require one.
    Anonymous,
    /// The request has a key of this customer.
    Customer(Rc<KeyHolder>),
}

/// The request has no key although it needs one, or one that no customer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnknownKey;

/// The keys of one configuration.
#[derive(Debug)]
pub(crate) struct Credentials {
    /// Holders by the hash of the key. The time of a look-up depends on the hash only, which the sender of a guessed key
    /// cannot relate to the hashes of valid keys.
    holders: FastMap<Hash, Rc<KeyHolder>>,
}

impl Identity {
    /// Returns the holder of the request's key.
    pub(crate) fn holder(&self) -> Option<&KeyHolder> {
        match self {
            Self::Customer(holder) => Some(holder),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// Returns whether requests are made on behalf of the same customer. Other properties of the customer may differ.
    pub(crate) fn is_same_customer(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Customer(holder), Self::Customer(other)) => holder.customer == other.customer,
            (Self::Unchecked, Self::Unchecked) | (Self::Anonymous, Self::Anonymous) => true,
            (Self::Unchecked | Self::Anonymous | Self::Customer(_), _) => false,
        }
    }
}

impl Credentials {
    /// Creates the table of a configuration; `None` if it has no customers with keys.
    pub(crate) fn new(config: &Configuration) -> Option<Self> {
        if !config.requires_keys() {
            return None;
        }
        let holders = config.customers.iter().filter_map(|(name, customer)| holder(name, customer));
        let holders = holders.flat_map(|(holder, keys)| {
            keys.iter().map(move |key| (blake3::hash(key.as_str().as_bytes()), holder.clone()))
        });
        Some(Self { holders: holders.collect() })
    }

    /// Determines on whose behalf a request is made. An anonymous route needs no key, so that one which is unknown or was
    /// removed is no reason to refuse the request.
    pub(crate) fn authenticate(
        &self,
        headers: &HeaderMap,
        name: Option<&HeaderName>,
        is_anonymous: bool,
    ) -> Result<Identity, UnknownKey> {
        let mut values = name.into_iter().flat_map(|name| headers.get_all(name));
        let holder = match (values.next(), values.next()) {
            (Some(key), None) => self.holders.get(&blake3::hash(key.as_bytes())),
            // One of several keys would be chosen arbitrarily.
            (None, _) | (Some(_), Some(_)) => None,
        };
        match holder {
            Some(holder) => Ok(Identity::Customer(holder.clone())),
            None if is_anonymous => Ok(Identity::Anonymous),
            None => Err(UnknownKey),
        }
    }
}

/// Returns a customer that has keys, with these keys. The parser permits only names that are valid header values.
fn holder<'a>(name: &CustomerId, customer: &'a Customer) -> Option<(Rc<KeyHolder>, &'a [ApiKey])> {
    let keys = customer.keys.as_deref()?;
    let header_value = HeaderValue::from_str(name).ok()?;
    Some((Rc::new(KeyHolder { customer: name.clone(), header_value, priority: customer.priority }), keys))
}
