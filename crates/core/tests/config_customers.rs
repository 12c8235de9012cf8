//! Customers, their API keys and limits in the configuration.

use hemlockford_core::{
    config::{ConfigError, Configuration},
    quota::QuotaLimit,
    units::Decimal,
};

fn parse(sections: &str) -> Result<Configuration, Vec<ConfigError>> {
    Configuration::parse(&format!("[change]\nnumber = 1\n{sections}"))
}

/// Guards against values that are parsed into the wrong field, and against keys that are required although no customer has
/// any.
#[test]
fn customers_are_parsed_with_defaults() {
    let config = parse("[customer a]\nkeys = k1 k2\npriority = 2\nrate = 3.8\nburst = 0\n[customer b]\n").unwrap();
    let a = &config.customers["a"];
    assert_eq!(a.keys.as_ref().map(|keys| keys.iter().map(|key| key.as_str()).collect()), Some(vec!["k1", "k2"]));
    assert_eq!((a.priority, a.rate_limit(), a.burst), (Some(2), Some(3.8), Decimal::new(0.0)));
    let b = &config.customers["b"];
    assert_eq!((&b.keys, b.priority, b.rate_limit(), b.burst), (&None, None, None, None));
    assert!(config.requires_keys());
    assert!(!parse("[customer b]\nweight = 2\n").unwrap().requires_keys());
    // A customer that has lost its last key still has none, rather than needing none.
    assert!(parse("[customer a]\nkeys =\n").unwrap().requires_keys());
}

/// Guards against invalid customers that are accepted, and against keys in error messages.
#[test]
fn invalid_customers_are_rejected_without_naming_a_key() {
    let long = "k".repeat(257);
    for section in [
        "[customer a]\nkeys = secret-1\n[customer b]\nkeys = other secret-1\n",
        "[customer a]\nkeys = secret-1 secret-1\n",
        "[customer a]\nkeys = secret-1 \u{e9}secret\n",
        &format!("[customer a]\nkeys = secret-1 {long}\n"),
        "[customer a]\nkeys = secret-1\nrate = -1\n",
        "[customer a]\nkeys = secret-1\nrate = 1e300\n",
        "[customer a]\nkeys = secret-1\nrate = NaN\n",
        "[customer a]\nkeys = secret-1\nburst = inf\n",
        "[customer a]\nkeys = secret-1\npriority = -1\n",
        "[customer a]\nkeys = secret-1\n[customer a]\nkeys = secret-2\n",
    ] {
        let errors = parse(section).expect_err(section);
        let text: String = errors.iter().map(|error| format!("{error}\n{error:?}\n")).collect();
        assert!(text.contains("customer a") || text.contains("customer b"), "{text}");
        assert!(!text.contains("secret") && !text.contains("kkk"), "{text}");
    }
}

/// Guards against a warm-up that is parsed into the wrong field or is assumed without being specified.
#[test]
fn warm_up_is_parsed() {
    let config = parse("[service a]\nwarm-up = 3s\nwarm-up-rate = 3.8\n[service b]\n").unwrap();
    let warm_up = config.services["a"].warm_up.unwrap();
    assert_eq!((warm_up.duration.as_secs(), warm_up.rate.value()), (3, 3.8));
    assert_eq!(config.services["b"].warm_up, None);
    assert!(parse("[service a]\nwarm-up = 3\n").is_err());
    assert!(parse("[service a]\nwarm-up-rate = -3\n").is_err());
}

/// Guards against limits that the leader lends by and entries count by differently, as they read the text in two ways.
#[test]
fn limits_read_from_lines_are_those_of_the_parser() {
    let text = "\u{feff}; a comment\n[change]\nnumber = 3\n [ customer   a ] \n  rate : 2.5 \n#rate = 9\nburst=4\n\
        [customer b]\nkeys = k1 k2\n[customer c]\nrate = 0\nburst = 7\n[customer d]\nburst = 1\n[service rate]\n\
        [service s]\ndeadline = 1s\n[customer e]\nweight = 2\nrate = 1e3";
    let config = Configuration::parse(text).unwrap();
    let limits = config.customers.iter().filter_map(|(name, customer)| Some((name.clone(), QuotaLimit::of(customer)?)));
    let read = QuotaLimit::read(text).unwrap();
    assert_eq!(read, limits.collect());
    assert_eq!(read.len(), 2);
    assert_eq!(Configuration::service_names(text).collect::<Vec<_>>(), ["rate", "s"]);
    assert_eq!(QuotaLimit::read("[customer a]\nrate = 5 to 6\n"), None);
}
