//! Splitting streams into events.

use ferry_gateway::events::EventSplitter;

#[test]
fn streams_are_split_at_event_boundaries() {
    struct Case {
        name: &'static str,
        skip: Option<u64>,
        chunks: &'static [&'static str],
        /// Events returned for each chunk.
        events: &'static [&'static str],
        /// Empty lines that remain at the end.
        rest: &'static str,
        /// Bytes of an incomplete event at the end.
        partial: usize,
        n_events: usize,
        last_id: Option<u64>,
    }
    let cases = [
        Case {
            name: "one event in two chunks",
            skip: None,
            chunks: &["id: 1\nda", "ta: x\n\n"],
            events: &["", "id: 1\ndata: x\n\n"],
            rest: "",
            partial: 0,
            n_events: 1,
            last_id: Some(1),
        },
        Case {
            name: "two events and a half",
            skip: None,
            chunks: &["id:1\n\nid:2\n\nid:3\nda"],
            events: &["id:1\n\nid:2\n\n"],
            rest: "",
            partial: 7,
            n_events: 2,
            last_id: Some(2),
        },
        Case {
            name: "carriage returns",
            skip: None,
            chunks: &["id: 7\r\ndata: x\r", "\n\r\n"],
            events: &["", "id: 7\r\ndata: x\r\n\r\n"],
            rest: "",
            partial: 0,
            n_events: 1,
            last_id: Some(7),
        },
        Case {
            name: "events that the caller already has",
            skip: Some(2),
            chunks: &["id: 1\n\nid: 2\n\nid: 3\n\n"],
            events: &["id: 3\n\n"],
            rest: "",
            partial: 0,
            n_events: 1,
            last_id: Some(3),
        },
        Case {
            name: "an event without an id after skipped ones",
            skip: Some(2),
            chunks: &["data: x\n\n"],
            events: &["data: x\n\n"],
            rest: "",
            partial: 0,
            n_events: 1,
            last_id: Some(2),
        },
        Case {
            name: "empty lines before an event",
            skip: None,
            chunks: &["\n\nid: 1\n\n"],
            events: &["\n\nid: 1\n\n"],
            rest: "",
            partial: 0,
            n_events: 1,
            last_id: Some(1),
        },
        Case {
            name: "an empty line after the last event",
            skip: None,
            chunks: &["id: 1\n\n\r\n"],
            events: &["id: 1\n\n"],
            rest: "\r\n",
            partial: 0,
            n_events: 1,
            last_id: Some(1),
        },
        Case {
            name: "an event without the empty line that ends it",
            skip: None,
            chunks: &["id: 1\ndata: x\n"],
            events: &[""],
            rest: "",
            partial: 14,
            n_events: 0,
            last_id: None,
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::new(case.skip);
        for (chunk, events) in case.chunks.iter().zip(case.events) {
            assert_eq!(splitter.push(chunk.as_bytes()), events.as_bytes(), "{}", case.name);
        }
        assert_eq!(splitter.last_id(), case.last_id, "{}", case.name);
        assert_eq!(splitter.finish(), case.rest.as_bytes(), "{}", case.name);
        assert_eq!(splitter.n_buffered(), case.partial, "{}", case.name);
        assert_eq!(splitter.n_events(), case.n_events, "{}", case.name);

        let mut splitter = EventSplitter::new(case.skip);
        let bytes = case.chunks.concat().into_bytes();
        let events: Vec<u8> = bytes.chunks(1).flat_map(|it| splitter.push(it).to_vec()).collect();
        assert_eq!(events, case.events.concat().into_bytes(), "{}, byte by byte", case.name);
        assert_eq!(splitter.finish(), case.rest.as_bytes(), "{}, byte by byte", case.name);
    }
}
