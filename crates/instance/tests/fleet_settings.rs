//! Tests of the settings of an instance of a fleet.

use {
    hemlockford_instance::{FleetRole, FleetSettings, Settings},
    std::time::Duration,
};

const INSTANCE: &str = "\
[instance]
id = c1
data-centre = brno-1
admin = 10.0.0.1:8081
listen = 10.0.0.1:8082
data = /var/lib/hemlockford
";
const FLEET: &str = "\
[fleet]
role = replica
interface = other
seeds = 10.0.0.1:8081, 10.0.0.2:8081
first-start = true
tolerate = 2
retry-ratio = 0.25
retry-slack = 62
retry-window = 9s
grace = 5s
data-centres = brno-1, brno-2
quota-window = 4s
quota-overage = 0.2
quota-slack = 11
warm-up-overage = 1.25
warm-up-slack = 6
hedge-share = 0.05
memory-mb = 112
descriptors = 2870
link-mbps = 3.8
";

/// Guards against documented keys that are ignored, and against a dependence on the order of the sections.
#[test]
fn all_keys_are_parsed_in_either_order_of_the_sections() {
    let expected = FleetSettings {
        role: FleetRole::Replica,
        interface: Some("other".into()),
        seeds: vec!["10.0.0.1:8081".parse().unwrap(), "10.0.0.2:8081".parse().unwrap()],
        data_centres: vec!["brno-1".into(), "brno-2".into()],
        first_start: true,
        tolerated_losses: 2,
        retry_ratio: 0.25,
        retry_slack: 62.0,
        retry_window: Duration::from_secs(9),
        quota_window: Duration::from_secs(4),
        quota_overage: 0.2,
        quota_slack: 11.0,
        grace_period: Duration::from_secs(5),
        warm_up_overage: 1.25,
        warm_up_slack: 6.0,
        hedge_share: 0.05,
        memory_mb: Some(112),
        descriptors: Some(2_870),
        link_mbps: Some(3.8),
    };
    for source in [[INSTANCE, FLEET].concat(), [FLEET, INSTANCE].concat()] {
        let settings = Settings::parse(&source).unwrap();
        assert_eq!(settings.fleet.as_ref(), Some(&expected), "{source}");
        assert_eq!(settings.data_folder.as_deref(), Some("/var/lib/hemlockford".as_ref()));
    }
}

/// Guards against a failed start because the platform's template left values empty or used keys that this version does
/// not know.
#[test]
fn empty_values_and_unknown_keys_are_accepted() {
    let instance = INSTANCE.replace("data = /var/lib/hemlockford", "data =\nworkers =\nnotice =");
    let mut keys = vec!["interface", "seeds", "first-start", "tolerate", "retry-ratio", "retry-slack", "retry-window"];
    keys.extend([
        "grace",
        "data-centres",
        "quota-window",
        "quota-overage",
        "quota-slack",
        "warm-up-overage",
        "warm-up-slack",
        "hedge-share",
        "memory-mb",
        "descriptors",
        "link-mbps",
    ]);
    let empty: String = keys.iter().map(|key| format!("{key} =\n")).collect();
    let units = empty.replace("-window =", "-window = s").replace("grace =", "grace = s");
    for rest in ["", &empty, &units, "colour = red\nsizes =\n", "seeds = ,\n"] {
        let settings = Settings::parse(&format!("{instance}[fleet]\nrole = entry\n{rest}")).expect(rest);
        assert_eq!(settings.fleet, Some(FleetSettings::default()), "{rest}");
        assert_eq!((settings.data_folder, settings.workers), (None, Settings::default().workers));
    }
}

/// Guards against invalid settings that are accepted, errors reported at the wrong line, and spurious additional
/// errors.
#[test]
fn errors_have_line_numbers() {
    let cases = [
        ("role = replica", "role = leader", 8, "role"),
        ("role = replica", "role =", 8, "role"),
        ("10.0.0.2:8081", "10.0.0.2", 10, "seeds"),
        ("first-start = true", "first-start = yes", 11, "first-start"),
        ("tolerate = 2", "tolerate = 5", 12, "tolerate"),
        ("tolerate = 2", "tolerate = -1", 12, "tolerate"),
        ("retry-ratio = 0.25", "retry-ratio = NaN", 13, "retry-ratio"),
        ("retry-slack = 62", "retry-slack = -1", 14, "retry-slack"),
        ("hedge-share = 0.05", "hedge-share = 2", 23, "hedge-share"),
        ("hedge-share = 0.05", "hedge-share = -1", 23, "hedge-share"),
        ("hedge-share = 0.05", "hedge-share = nan", 23, "hedge-share"),
        ("warm-up-slack = 6", "warm-up-slack = few", 22, "warm-up-slack"),
        ("retry-window = 9s", "retry-window = 9", 15, "retry-window"),
        ("grace = 5s", "grace = 5s\ngrace = 6s", 17, "grace"),
        ("quota-window = 4s", "quota-window = 4", 18, "quota-window"),
        ("quota-overage = 0.2", "quota-overage = inf", 19, "quota-overage"),
        ("quota-slack = 11", "quota-slack = -1", 20, "quota-slack"),
        ("memory-mb = 112", "memory-mb = 0", 24, "memory-mb"),
        ("memory-mb = 112", "memory-mb = much", 24, "memory-mb"),
        ("descriptors = 2870", "descriptors = -1", 25, "descriptors"),
        ("link-mbps = 3.8", "link-mbps = inf", 26, "link-mbps"),
        ("data = /var/lib/hemlockford", "", 8, "role"),
        ("data = /var/lib/hemlockford", "data =", 8, "role"),
        ("listen = 10.0.0.1:8082", "", 1, "listen"),
        ("listen = 10.0.0.1:8082", "listen = 10.0.0.1:0", 5, "listen"),
        ("listen = 10.0.0.1:8082", "listen = 10.0.0.1", 5, "listen"),
        ("id = c1", "id = c1\nrelay = 10.0.0.1", 3, "relay"),
        ("id = c1", "id = c1\nrelay = 10.0.0.1:0", 3, "relay"),
        ("id = c1", "id = c1\nrelay = 10.0.0.1:8082", 3, "relay"),
    ];
    for (good, bad, line, key) in cases {
        let source = [INSTANCE, FLEET].concat().replace(good, bad);
        let errors = Settings::parse(&source).expect_err(bad);
        let found: Vec<_> = errors.iter().map(|error| (error.line, &*error.key)).collect();
        assert_eq!(found, [(line, key)], "{bad}: {errors:?}");
    }
}

/// Guards against an entry that does not take relayed calls although its settings say so.
#[test]
fn the_listener_for_relayed_calls_is_optional() {
    let relay = |line: &str| {
        let source = [INSTANCE, FLEET].concat().replace("id = c1", &format!("id = c1\n{line}"));
        Settings::parse(&source).expect(line).relay
    };
    assert_eq!((relay(""), relay("relay =")), (None, None));
    assert_eq!(relay("relay = 10.0.0.1:8090"), Some("10.0.0.1:8090".parse().unwrap()));
    let errors = Settings::parse("[instance]\nrelay = 127.0.0.1:8090\n").unwrap_err();
    assert_eq!((errors.len(), &*errors[0].key), (1, "relay"));
}

/// Guards against a failed start because the platform writes durations with fractions.
#[test]
fn durations_may_have_fractions() {
    for (value, grace) in [("6.0s", 6_000), ("0.25s", 250), ("6s", 6_000)] {
        let source = [INSTANCE, FLEET].concat().replace("grace = 5s", &format!("grace = {value}"));
        let settings = Settings::parse(&source).unwrap();
        assert_eq!(settings.fleet.unwrap().grace_period, Duration::from_millis(grace), "{value}");
    }
    for value in ["-1.0s", "1.0.0s", "NaNs", "infs", "1e99s"] {
        let source = [INSTANCE, FLEET].concat().replace("grace = 5s", &format!("grace = {value}"));
        assert_eq!(&*Settings::parse(&source).unwrap_err()[0].key, "grace", "{value}");
    }
}

/// Guards against an instance that starts with a name which the messages of the fleet cannot carry.
#[test]
fn names_that_exceed_the_limit_of_messages_are_refused() {
    let with_name =
        |length: usize| Settings::parse(&format!("{}{FLEET}", INSTANCE.replace("brno-1", &"z".repeat(length))));
    assert!(with_name(128).is_ok());
    let errors = with_name(129).unwrap_err();
    assert_eq!(&*errors[0].message, "the name has 129 bytes; at most 128 are permitted");
}
