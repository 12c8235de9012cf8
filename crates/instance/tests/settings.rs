//! Tests of the settings of an instance.

use hemlockford_instance::Settings;

const VALID: &str = "\
[instance]
id = e1
data-centre = brno-1
callers = 10.0.0.1:8080
admin = 10.0.0.1:8081
listen = 10.0.0.1:8082
workers = 4
data = /var/lib/hemlockford
notice = 3s

[peer e2]
address = 10.0.0.2:8082
replica = yes
";

/// Guards against documented keys that are ignored.
#[test]
fn all_keys_are_parsed() {
    let settings = Settings::parse(VALID).expect("valid settings");
    assert_eq!((&*settings.id, &*settings.data_centre, settings.workers), ("e1", "brno-1", 4));
    assert_eq!((settings.callers.port(), settings.admin.port(), settings.listen.port()), (8080, 8081, 8082));
    assert_eq!(settings.shutdown_notice.as_secs(), 3);
    assert!(settings.data_folder.is_some() && settings.peers[0].is_replica && &*settings.peers[0].id == "e2");
}

/// Guards against invalid settings that are accepted, errors reported at the wrong location, and errors hidden by
/// others.
#[test]
fn all_errors_are_reported_with_their_location() {
    let cases = [
        ("id = e1", "id = a b", "[instance] id"),
        ("data-centre = brno-1", "data-centre =", "[instance] data-centre"),
        ("callers = 10.0.0.1:8080", "callers = 10.0.0.1", "[instance] callers"),
        ("admin = 10.0.0.1:8081", "admin = 10.0.0.1:8082\nlisten = 10.0.0.1:8082", "[instance] listen"),
        ("workers = 4", "workers = 65", "[instance] workers"),
        ("data = /var/lib/hemlockford", "data =", "[instance] data"),
        ("notice = 3s", "notice = 3", "[instance] notice"),
        ("notice = 3s", "notice = 3s\nnotice = 4s", "[instance] notice"),
        ("notice = 3s", "colour = red", "[instance] colour"),
        ("[peer e2]", "[peer e1]", "[peer e1]"),
        ("[peer e2]", "[friend e2]", "[friend e2]"),
        ("address = 10.0.0.2:8082", "", "[peer e2] address"),
        ("address = 10.0.0.2:8082", "address = 10.0.0.2:0", "[peer e2] address"),
        ("replica = yes", "replica = maybe", "[peer e2] replica"),
        ("replica = yes", "replica = yes\n[peer e3]\naddress = 10.0.0.2:8082", "[peer e3] address"),
        ("replica = yes", "replica = yes\n[peer e2]\naddress = 10.0.0.3:8082", "[peer e2]"),
    ];
    for (valid, invalid, location) in cases {
        let source = VALID.replacen(valid, invalid, 1);
        let found = Settings::parse(&source).expect_err(invalid);
        let found: Vec<_> = found.iter().map(ToString::to_string).collect();
        assert!(found.iter().any(|error| error.contains(location)), "{invalid}: {location} is not in {found:?}");
    }
    let source = VALID.replace("workers = 4", "workers = 0").replace("notice = 3s", "notice = 3").replace("yes", "si");
    let lines: Vec<_> = Settings::parse(&source).expect_err("errors").iter().map(|error| error.line).collect();
    assert_eq!(lines, [7, 9, 13]);
}
