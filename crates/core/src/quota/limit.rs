//! Limit on the rate of a customer.

use {
    super::QuotaTolerance,
    crate::{
        collections::FastMap,
        config::{Configuration, Customer, TextLine, text_lines},
        ids::CustomerId,
        slots::{NameHash, name_hash},
        units::Decimal,
    },
};

/// Part of the tolerance that the pools and the entries use in the sum. The rest covers the transitions: entries that
/// change between a leader and their own part hold credit of the one for a moment while the other fills.
const USABLE_TOLERANCE: f64 = 2.0 / 3.0;
/// Highest rate and burst that count. A higher one is no limit in practice.
const MAX_AMOUNT: f64 = 1e6;

/// Limit on the calls of a customer over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Calls per second.
    pub rate: f64,
    /// Calls that may be admitted at once in addition.
    pub burst: f64,
}

impl QuotaLimit {
    /// Returns the limit of a customer, if it has one.
    pub fn of(customer: &Customer) -> Option<Self> {
        let burst = customer.burst.map_or(0.0, |burst| burst.value());
        customer.rate_limit().map(|rate| Self { rate: rate.min(MAX_AMOUNT), burst: burst.clamp(0.0, MAX_AMOUNT) })
    }

    /// Returns the limits of all customers that have one.
    pub(super) fn all(config: &Configuration) -> impl Iterator<Item = (&CustomerId, Self)> {
        config.customers.iter().filter_map(|(name, customer)| Some((name, Self::of(customer)?)))
    }

    /// Reads the limits from a text that was checked before, without parsing the rest. Returns `None` if an amount is in
    /// a form that only a later version reads.
    ///
    /// ```
    /// use hemlockford_core::quota::QuotaLimit;
    /// let limits = QuotaLimit::read("[change]\nnumber = 1\n[customer a]\nrate = 5\n[customer b]\n").unwrap();
    /// assert_eq!(limits.len(), 1);
    /// assert_eq!(limits["a"].rate, 5.0);
    /// ```
    pub fn read(text: &str) -> Option<FastMap<CustomerId, Self>> {
        let mut limits = FastMap::default();
        let (mut name, mut customer) = ("", Customer::default());
        // The section after the last one ends it.
        let end = TextLine::Section { kind: "", name: "" };
        for line in text_lines(text).chain([end]) {
            match line {
                TextLine::Section { kind, name: next } => {
                    if let Some(limit) = Self::of(&std::mem::take(&mut customer)) {
                        limits.insert(name.into(), limit);
                    }
                    name = if kind == "customer" { next } else { "" };
                }
                TextLine::Key { key: "rate", value } if !name.is_empty() => {
                    customer.rate = Some(Decimal::parse(value)?);
                }
                TextLine::Key { key: "burst", value } if !name.is_empty() => {
                    customer.burst = Some(Decimal::parse(value)?);
                }
                TextLine::Key { .. } => {}
            }
        }
        Some(limits)
    }

    /// Returns the limits of all customers that have one, by the hash of the name.
    pub(super) fn table(config: &Configuration) -> FastMap<NameHash, Self> {
        Self::all(config).map(|(name, limit)| (name_hash(name), limit)).collect()
    }

    /// Returns the number of calls that may run in any window.
    ///
    /// ```
    /// use hemlockford_core::quota::{QuotaLimit, QuotaTolerance};
    /// let limit = QuotaLimit { rate: 10.0, burst: 50.0 };
    /// assert_eq!(limit.bound(QuotaTolerance::default()).round(), 130.0); // (10 x 5 + 50) x 1.1 + 20
    /// ```
    pub fn bound(self, tolerance: QuotaTolerance) -> f64 {
        let nominal = self.rate * tolerance.window.as_secs_f64() + self.burst;
        nominal * (1.0 + tolerance.overage) + tolerance.slack
    }

    /// Returns the credit that the pools and all entries together may hold. No more calls than this exceed the rate in
    /// any window.
    pub(super) fn allowance(self, tolerance: QuotaTolerance) -> f64 {
        let margin = self.bound(tolerance) - self.rate * tolerance.window.as_secs_f64();
        (USABLE_TOLERANCE * margin).max(0.0)
    }
}
