//! Cutting streams into events, and telling heads that can be read in two ways.

use ferry_gateway::events::EventSplitter;
use ferry_gateway::inspector::Inspector;

#[test]
fn streams_are_cut_at_the_ends_of_events() {
    struct Case {
        name: &'static str,
        skip: Option<u64>,
        parts: &'static [&'static str],
        /// What each part gives out.
        out: &'static [&'static str],
        rest: &'static str,
        last: Option<u64>,
    }
    let cases = [
        Case {
            name: "one event in two parts",
            skip: None,
            parts: &["id: 1\nda", "ta: x\n\n"],
            out: &["", "id: 1\ndata: x\n\n"],
            rest: "",
            last: Some(1),
        },
        Case {
            name: "two events and a half",
            skip: None,
            parts: &["id:1\n\nid:2\n\nid:3\nda"],
            out: &["id:1\n\nid:2\n\n"],
            rest: "id:3\nda",
            last: Some(2),
        },
        Case {
            name: "carriage returns",
            skip: None,
            parts: &["id: 7\r\ndata: x\r", "\n\r\n"],
            out: &["", "id: 7\r\ndata: x\r\n\r\n"],
            rest: "",
            last: Some(7),
        },
        Case {
            name: "events that the caller has",
            skip: Some(2),
            parts: &["id: 1\n\nid: 2\n\nid: 3\n\n"],
            out: &["id: 3\n\n"],
            rest: "",
            last: Some(3),
        },
        Case {
            name: "an event without an id after known ones",
            skip: Some(2),
            parts: &["data: x\n\n"],
            out: &["data: x\n\n"],
            rest: "",
            last: Some(2),
        },
        Case {
            name: "empty lines before an event",
            skip: None,
            parts: &["\n\nid: 1\n\n"],
            out: &["\n\nid: 1\n\n"],
            rest: "",
            last: Some(1),
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::new(case.skip);
        for (part, out) in case.parts.iter().zip(case.out) {
            assert_eq!(splitter.push(part.as_bytes()), out.as_bytes(), "{}", case.name);
        }
        assert_eq!(splitter.last(), case.last, "{}", case.name);
        assert_eq!(splitter.finish(), case.rest.as_bytes(), "{}", case.name);
    }
}

#[test]
fn heads_with_a_length_and_an_encoding_are_told() {
    struct Case {
        name: &'static str,
        /// Reads, with the requests that are handed on after each.
        reads: &'static [(&'static str, usize)],
        is_ambiguous: bool,
    }
    const BOTH: &str = "POST / HTTP/1.1\r\nContent-Length: 1\r\ntransfer-ENCODING: chunked\r\n\r\n";
    const LENGTH: &str = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
    const CHUNKS: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let cases = [
        Case { name: "a length", reads: &[(LENGTH, 0)], is_ambiguous: false },
        Case { name: "chunks", reads: &[(CHUNKS, 0)], is_ambiguous: false },
        Case { name: "both", reads: &[(BOTH, 0)], is_ambiguous: true },
        Case {
            name: "a length, then chunks",
            reads: &[(LENGTH, 1), (CHUNKS, 0)],
            is_ambiguous: false,
        },
        Case {
            name: "both in two reads",
            reads: &[
                ("POST / HTTP/1.1\r\nContent-Length: 1\r\nTran", 0),
                ("sfer-Encoding: chunked\r\n\r\n", 0),
            ],
            is_ambiguous: true,
        },
        Case {
            name: "both behind another request",
            reads: &[
                ("GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\n", 1),
                ("Transfer-Encoding: chunked\r\n\r\n", 0),
            ],
            is_ambiguous: true,
        },
        Case {
            name: "both, handed on long ago",
            reads: &[(BOTH, 1), (LENGTH, 0)],
            is_ambiguous: false,
        },
    ];
    for case in cases {
        let inspector = Inspector::new();
        for (bytes, n_served) in case.reads {
            inspector.record(bytes.as_bytes());
            for _ in 0..*n_served {
                inspector.request_started();
            }
        }
        assert_eq!(inspector.is_ambiguous(), case.is_ambiguous, "{}", case.name);
    }
}
