//! What instances tell each other in the headers of requests that they pass on.

use ferry_gateway::relay;
use http::{HeaderMap, HeaderValue};

#[test]
fn response_to_a_peer_names_the_endpoint_that_leaves() {
    for id in ["i-1", "", "i-\"1\", \\", "i-\u{e9}\u{4e00}", "a\nb"] {
        for started in [0, 1_764_000_000_000, u64::MAX] {
            let mut headers = HeaderMap::new();
            relay::name_leaving(&mut headers, id, started).expect("it is named");
            assert_eq!(relay::take_leaving(&mut headers), Some((id.to_owned(), started)), "{id:?}");
            assert_eq!(headers.len(), 0, "{id:?}");
        }
    }
}

#[test]
fn response_that_names_no_endpoint_announces_nothing() {
    let values =
        ["", "1", "[]", "[\"i-1\"]", "[\"i-1\",-1]", "[\"i-1\",1e99]", "[\"i-1\",1,2]", "{"];
    for value in values {
        let mut headers = HeaderMap::new();
        headers.insert("ferry-relay-leaving", HeaderValue::from_static(value));
        assert_eq!(relay::take_leaving(&mut headers), None, "{value}");
        assert_eq!(headers.len(), 0, "{value}");
    }
}

#[test]
fn caller_does_not_see_which_endpoint_leaves() {
    let mut headers = HeaderMap::new();
    relay::name_leaving(&mut headers, "i-1", 1).expect("it is named");
    relay::strip(&mut headers);
    assert_eq!(headers.len(), 0);
}
