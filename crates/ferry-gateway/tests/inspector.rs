//! Detecting ambiguous request heads, whatever precedes them and however the bytes are read.

use ferry_gateway::inspector::Inspector;
use proptest::prelude::*;

const MAX_HEAD: usize = 16 * 1024;

const BOTH: &str = "POST / HTTP/1.1\r\nContent-Length: 1\r\ntransfer-ENCODING: chunked\r\n\r\n";
const LENGTH: &str = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
const CHUNKS: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";

#[test]
fn ambiguous_heads_are_detected() {
    struct Case {
        name: &'static str,
        /// Received bytes, each with the number of requests that start after it.
        reads: &'static [(&'static str, usize)],
        /// Whether the request that starts last is ambiguous.
        is_ambiguous: bool,
    }
    let cases = [
        Case { name: "a length", reads: &[(LENGTH, 1)], is_ambiguous: false },
        Case { name: "a transfer encoding", reads: &[(CHUNKS, 1)], is_ambiguous: false },
        Case { name: "both", reads: &[(BOTH, 1)], is_ambiguous: true },
        Case {
            name: "a length, then a transfer encoding",
            reads: &[(LENGTH, 1), (CHUNKS, 1)],
            is_ambiguous: false,
        },
        Case {
            name: "both in two reads",
            reads: &[
                ("POST / HTTP/1.1\r\nContent-Length: 1\r\nTran", 0),
                ("sfer-Encoding: chunked\r\n\r\n", 1),
            ],
            is_ambiguous: true,
        },
        Case {
            name: "both after another request",
            reads: &[
                ("GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\n", 1),
                ("Transfer-Encoding: chunked\r\n\r\n", 1),
            ],
            is_ambiguous: true,
        },
        Case {
            name: "both behind a request that waits",
            reads: &[(LENGTH, 0), (BOTH, 1)],
            is_ambiguous: false,
        },
        Case {
            name: "both in a body",
            reads: &[("POST / HTTP/1.1\r\nContent-Length: 66\r\n\r\n", 0), (BOTH, 1), (LENGTH, 1)],
            is_ambiguous: false,
        },
        Case {
            name: "lines that end with a line feed",
            reads: &[("POST / HTTP/1.1\nContent-Length: 1\nTransfer-Encoding: chunked\n\n", 1)],
            is_ambiguous: true,
        },
        Case {
            name: "empty lines before a head",
            reads: &[("\r\n\n", 0), (BOTH, 1)],
            is_ambiguous: true,
        },
        Case {
            name: "equal lengths",
            reads: &[("GET / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n", 1)],
            is_ambiguous: false,
        },
        Case {
            name: "different lengths",
            reads: &[("GET / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n", 1)],
            is_ambiguous: true,
        },
        Case {
            name: "a length with a sign",
            reads: &[("GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 1)],
            is_ambiguous: true,
        },
        Case {
            name: "a head that cannot be parsed",
            reads: &[("GET / HTTP/1.1\r\nContent Length: 1\r\n\r\n", 1)],
            is_ambiguous: true,
        },
        // The connection ends with a chunked or ambiguous request; nothing behind it is a request.
        Case {
            name: "a request behind both",
            reads: &[(BOTH, 1), (LENGTH, 1)],
            is_ambiguous: true,
        },
    ];
    for case in cases {
        let inspector = Inspector::new(MAX_HEAD);
        let mut last = None;
        for (bytes, n_started) in case.reads {
            inspector.record(bytes.as_bytes());
            for _ in 0..*n_started {
                last = Some(inspector.start_request());
            }
        }
        assert_eq!(last, Some(case.is_ambiguous), "{}", case.name);
    }
}

/// Bodies are of these lengths in the next test; the library's buffer holds 64 KB.
const BODY_LENGTHS: [usize; 5] = [0, 4, 70_000, 200_000, 900_000];

#[test]
fn both_are_detected_behind_a_body_of_any_length() {
    for len in BODY_LENGTHS {
        let inspector = Inspector::new(MAX_HEAD);
        let mut bytes = format!("POST / HTTP/1.1\r\nContent-Length: {len}\r\n\r\n").into_bytes();
        bytes.resize(bytes.len() + len, b'x');
        bytes.extend_from_slice(BOTH.as_bytes());
        inspector.record(&bytes);
        assert!(!inspector.start_request(), "the request with {len} bytes");
        assert!(inspector.start_request(), "the request behind {len} bytes");
    }
}

/// How a request of a pipeline announces its body.
#[derive(Debug, Clone)]
enum Body {
    Missing,
    Length(usize),
    Chunks(Vec<usize>),
    Both { is_length_first: bool },
}

#[derive(Debug, Clone)]
struct Sent {
    body: Body,
    is_line_feed: bool,
    n_empty_lines: usize,
    filler: String,
}

impl Sent {
    fn bytes(&self) -> Vec<u8> {
        let end = if self.is_line_feed { "\n" } else { "\r\n" };
        let (headers, body) = match &self.body {
            Body::Missing => (vec![], Vec::new()),
            Body::Length(len) => (vec![format!("Content-Length: {len}")], sample(*len)),
            Body::Chunks(lens) => (vec!["Transfer-Encoding: chunked".to_owned()], chunks(lens)),
            Body::Both { is_length_first } => {
                let mut both =
                    vec!["Transfer-Encoding: chunked".to_owned(), "content-length: 5".to_owned()];
                if *is_length_first {
                    both.reverse();
                }
                (both, chunks(&[5]))
            }
        };
        let mut bytes = end.repeat(self.n_empty_lines).into_bytes();
        bytes.extend_from_slice(
            format!("POST / HTTP/1.1{end}X-Filler: {}{end}", self.filler).as_bytes(),
        );
        for header in headers {
            bytes.extend_from_slice(format!("{header}{end}").as_bytes());
        }
        bytes.extend_from_slice(end.as_bytes());
        bytes.extend(body);
        bytes
    }
}

/// Returns a body that looks like the end of a head.
fn sample(len: usize) -> Vec<u8> {
    BOTH.bytes().cycle().take(len).collect()
}

/// Returns a chunked body with an extension and a trailer.
fn chunks(lens: &[usize]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for len in lens.iter().filter(|it| 0 < **it) {
        bytes.extend_from_slice(format!("{len:x};name=value\r\n").as_bytes());
        bytes.extend(sample(*len));
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nX-Trailer: 1\r\n\r\n");
    bytes
}

fn sent() -> impl Strategy<Value = Sent> {
    let body = prop_oneof![
        2 => Just(Body::Missing),
        4 => prop_oneof![0..200usize, 60_000..140_000usize].prop_map(Body::Length),
        1 => prop::collection::vec(0..300usize, 0..4).prop_map(Body::Chunks),
        1 => any::<bool>().prop_map(|is_length_first| Body::Both { is_length_first }),
    ];
    (body, any::<bool>(), 0..3usize, "[a-z]{0,40}").prop_map(
        |(body, is_line_feed, n_empty_lines, filler)| Sent {
            body,
            is_line_feed,
            n_empty_lines,
            filler,
        },
    )
}

/// Returns whether each request that may start is ambiguous.
fn are_ambiguous<'a>(pipeline: &[Sent], reads: impl Iterator<Item = &'a [u8]>) -> Vec<bool> {
    let inspector = Inspector::new(MAX_HEAD);
    for read in reads {
        inspector.record(read);
        assert!(inspector.n_kept() <= MAX_HEAD);
    }
    pipeline.iter().map(|_| inspector.start_request()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn requests_of_a_pipeline_are_told_apart(
        pipeline in prop::collection::vec(sent(), 1..7),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
        piece in 1..7usize,
    ) {
        let bytes: Vec<u8> = pipeline.iter().flat_map(Sent::bytes).collect();
        let whole = are_ambiguous(&pipeline, std::iter::once(bytes.as_slice()));
        // The connection ends with the first request that has a transfer encoding.
        let is_last = |it: &Sent| matches!(it.body, Body::Chunks(_) | Body::Both { .. });
        let n_started = pipeline.iter().position(is_last).map_or(pipeline.len(), |it| it + 1);
        let expected: Vec<bool> =
            pipeline[..n_started].iter().map(|it| matches!(it.body, Body::Both { .. })).collect();
        prop_assert_eq!(&whole[..n_started], &expected[..]);

        let mut at: Vec<usize> = cuts.iter().map(|it| it.index(bytes.len())).collect();
        at.extend([0, bytes.len()]);
        at.sort_unstable();
        let cut = at.windows(2).map(|it| &bytes[it[0]..it[1]]);
        prop_assert_eq!(&are_ambiguous(&pipeline, cut), &whole);
        prop_assert_eq!(&are_ambiguous(&pipeline, bytes.chunks(piece)), &whole);
    }
}
