//! What the digest of a request depends on.

use ferry_gateway::digest::request_digest;
use ferry_serve::RequestDigest;
use http::Method;
use proptest::prelude::*;

/// The fields that belong to the digest of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fields<'a> {
    method: &'a str,
    host: &'a str,
    path: &'a str,
    body: &'a [u8],
}

impl Fields<'_> {
    fn digest(&self) -> RequestDigest {
        let method = Method::from_bytes(self.method.as_bytes()).expect("the method is valid");
        request_digest(&method, self.host, self.path, self.body)
    }
}

const BASE: Fields<'_> = Fields { method: "POST", host: "a.example", path: "/a?b=1", body: b"cd" };

#[test]
fn requests_that_differ_in_one_field_have_other_digests() {
    struct Case {
        name: &'static str,
        fields: Fields<'static>,
    }
    let case = |name, fields| Case { name, fields };
    let cases = [
        case("method", Fields { method: "PUT", ..BASE }),
        case("host", Fields { host: "b.example", ..BASE }),
        case("path", Fields { path: "/b?b=1", ..BASE }),
        case("value in the query", Fields { path: "/a?b=2", ..BASE }),
        case("no query", Fields { path: "/a", ..BASE }),
        case("empty query", Fields { path: "/a?", ..BASE }),
        case("order of the query", Fields { path: "/a?b=1&c=2", ..BASE }),
        case("other order of the query", Fields { path: "/a?c=2&b=1", ..BASE }),
        case("body", Fields { body: b"ce", ..BASE }),
        case("longer body", Fields { body: b"cd\0", ..BASE }),
        case("empty body", Fields { body: b"", ..BASE }),
    ];
    assert_eq!(BASE.digest(), BASE.digest());
    for (number, case) in cases.iter().enumerate() {
        assert_ne!(case.fields.digest(), BASE.digest(), "{}", case.name);
        for other in &cases[number + 1..] {
            assert_ne!(
                case.fields.digest(),
                other.fields.digest(),
                "{}, {}",
                case.name,
                other.name
            );
        }
    }
}

#[test]
fn bytes_moved_from_field_to_field_change_the_digest() {
    struct Case {
        name: &'static str,
        left: Fields<'static>,
        right: Fields<'static>,
    }
    let cases = [
        Case {
            name: "from the body to the path",
            left: Fields { path: "/a", body: b"b", ..BASE },
            right: Fields { path: "/ab", body: b"", ..BASE },
        },
        Case {
            name: "from the path to the host",
            left: Fields { host: "a", path: "/b/c", ..BASE },
            right: Fields { host: "a/b", path: "/c", ..BASE },
        },
        Case {
            name: "from the host to the method",
            left: Fields { method: "PUT", host: "Sa", ..BASE },
            right: Fields { method: "PUTS", host: "a", ..BASE },
        },
        Case {
            name: "from the query to the body",
            left: Fields { path: "/a?b=1", body: b"", ..BASE },
            right: Fields { path: "/a", body: b"?b=1", ..BASE },
        },
        Case {
            // Eight zero bytes are the length of an empty field.
            name: "a length that stands in a field",
            left: Fields { path: "/a", body: b"\0\0\0\0\0\0\0\0", ..BASE },
            right: Fields { path: "/a\0\0\0\0\0\0\0\0", body: b"", ..BASE },
        },
    ];
    for case in cases {
        assert_ne!(case.left.digest(), case.right.digest(), "{}", case.name);
    }
}

/// Cuts a text into a host, a path and a body.
fn cut(text: &str, cuts: [usize; 2]) -> Fields<'_> {
    let mut cuts = cuts.map(|it| it.min(text.len()));
    cuts.sort_unstable();
    let [from, until] = cuts;
    let (host, path, body) = (&text[..from], &text[from..until], &text[until..]);
    Fields { method: "POST", host, path, body: body.as_bytes() }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_096))]

    #[test]
    fn requests_have_one_digest_only_if_they_are_equal(
        text in "[ab\\x00]{0,5}",
        other in prop::option::of("[ab\\x00]{0,5}"),
        cuts in prop::array::uniform4(0..=5usize),
    ) {
        let [a, b, c, d] = cuts;
        let left = cut(&text, [a, b]);
        // Without another text, both have the same bytes in a row.
        let right = cut(other.as_ref().unwrap_or(&text), [c, d]);
        prop_assert_eq!(left.digest() == right.digest(), left == right);
    }
}
