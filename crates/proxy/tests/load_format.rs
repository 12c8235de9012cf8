//! Load reports of servers.

use {hemlockford_core::dispatch::LoadReport, hemlockford_proxy::LoadFormat};

/// Guards against valid reports without a pace being rejected, and against malformed reports being accepted.
#[test]
fn pace_is_optional_in_a_list() {
    let report = |in_flight, slots, pace| Some(LoadReport { in_flight, slots, pace });
    let cases = [
        ("2,1,2,400", report(3, 2, 400)),
        (" 2 , 1 , 2 ", report(3, 2, 100)),
        ("0,0,4", report(0, 4, 100)),
        ("4294967295,1,2", report(u32::MAX, 2, 100)),
        ("2,1", None),
        ("2,1,", None),
        ("2,1,2,", None),
        ("2,1,2,fast", None),
        ("2,1,2,-1", None),
        ("2,1,2,400,1", None),
        ("", None),
    ];
    for (text, expected) in cases {
        assert_eq!(LoadFormat::List.parse(text), expected, "{text:?}");
    }
}
