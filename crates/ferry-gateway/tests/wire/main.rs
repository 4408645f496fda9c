//! The formats of messages between instances: recorded bytes of each release, and damaged messages.

mod samples;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_gateway::wire::{PeerFormats, Reader, Received, WireFormat, decode, encode};
use ferry_model::store_position;
use ferry_serve::{
    Backlog, CrashCandidate, CrashReport, Crashed, EndpointNotice, Exposure, Group, Heartbeat,
    LoadReport, Observation, PeerMessage, PoolBuilds, Restriction,
};
use proptest::prelude::*;
use serde::Serialize;
use strum::IntoEnumIterator;

use samples::samples;

/// Bytes of the messages of each release, by name; a released file never changes.
const RECORDED: [(WireFormat, &str); 4] = [
    (WireFormat::Bare, include_str!("format-1.txt")),
    (WireFormat::Reach, include_str!("format-2.txt")),
    (WireFormat::Framed, include_str!("format-3.txt")),
    (WireFormat::Eras, include_str!("format-4.txt")),
];

/// Era of the store in positions.
const ERA: u64 = 2;

fn heartbeat() -> Heartbeat {
    let address = |port| SocketAddr::from(([10, 1, 0, 41], port));
    Heartbeat {
        instance: "edge-1".to_owned(),
        incarnation: 1_764_000_000,
        zone: "zone-1".to_owned(),
        front: address(8_625),
        is_ready: true,
        is_leaving: false,
        is_overloaded: false,
        relay: address(7_741),
        reached: vec!["pool".to_owned()],
        doubted: Vec::new(),
        unreached: vec!["other".to_owned()],
        weight: 0.25,
        version: 12,
        last_change: 530,
        backlog: vec![Backlog {
            group: Group::whole("pool"),
            wait: Duration::from_millis(15),
            rate: 224.5,
            queued: [0, 1, 2, 0, 0, 0, 0, 0, 9],
        }],
        observations: vec![Observation {
            endpoint: "i-1".to_owned(),
            load: Some(LoadReport { running: 3, waiting: 1, slots: 64 }),
            ratio: Some(1.25),
        }],
        quarantine: 77,
    }
}

/// Returns what a heartbeat of a format says.
fn heartbeat_of(format: WireFormat) -> Heartbeat {
    match format {
        WireFormat::Eras => Heartbeat { last_change: store_position(ERA, 530), ..heartbeat() },
        WireFormat::Reach | WireFormat::Framed => heartbeat(),
        WireFormat::Bare => Heartbeat {
            relay: heartbeat().front,
            reached: Vec::new(),
            unreached: Vec::new(),
            ..heartbeat()
        },
    }
}

/// Returns the messages of a format by name, as they are sent and as they are read.
fn messages(format: WireFormat) -> Vec<(&'static str, PeerMessage, PeerMessage)> {
    let sent = PeerMessage::Heartbeat(Box::new(heartbeat_of(format)));
    let mut messages = vec![("heartbeat", sent.clone(), sent)];
    for (name, message) in samples() {
        let read = match (&message, format) {
            // Its sender may only have taken the pool for one of a single build.
            (PeerMessage::Origin { attempt, build }, WireFormat::Bare | WireFormat::Reach) => {
                PeerMessage::OnlyBuild { attempt: attempt.clone(), build: Some(build.clone()) }
            }
            _ => message.clone(),
        };
        messages.push((name, message, read));
    }
    if WireFormat::Framed <= format {
        let era = if format == WireFormat::Framed { 0 } else { ERA };
        let known = pool_builds(store_position(era, 412));
        let only = PeerMessage::OnlyBuild { attempt: "9c41".into(), build: None };
        messages.push(("pool_builds", known.clone(), known));
        messages.push(("only_build", only.clone(), only));
    }
    messages
}

fn pool_builds(revision: u64) -> PeerMessage {
    PeerMessage::PoolBuilds(vec![PoolBuilds {
        pool: "pool".to_owned(),
        builds: vec!["v1".to_owned(), "v1.2".to_owned()],
        revision: Some(revision),
    }])
}

/// Returns a framed message with an extension, as a later release may send it.
fn with_extension(message: &impl Serialize, tag: u16, value: &[u8]) -> Vec<u8> {
    let body = postcard::to_stdvec(&(message, vec![(tag, value)])).expect("it is written");
    let checksum = crc32fast::hash(&body).to_le_bytes();
    [0x7f, 3].into_iter().chain(checksum).chain(body).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2);
    let byte = |it: &[u8]| u8::from_str_radix(std::str::from_utf8(it).ok()?, 16).ok();
    pairs.filter_map(byte).collect()
}

#[test]
fn messages_of_each_release_are_written_and_read() {
    for (format, text) in RECORDED {
        let recorded: Vec<(&str, &str)> =
            text.lines().filter_map(|it| it.split_once(' ')).collect();
        let messages = messages(format);
        let names: Vec<&str> = messages.iter().map(|it| it.0).collect();
        assert_eq!(recorded.iter().map(|it| it.0).collect::<Vec<_>>(), names, "format {format}");
        for ((name, bytes), (_, sent, read)) in recorded.into_iter().zip(messages) {
            let written = encode(&sent, format).expect("it is written").expect("it has the kind");
            assert_eq!(hex(&written), bytes, "format {format}: {name} is written differently");
            let (found, received) = decode(&unhex(bytes)).expect("it is read");
            assert_eq!(received, Received::Message(read), "format {format}: {name}");
            if name == "heartbeat" {
                assert_eq!(found, Some(format), "the format of a heartbeat is recognized");
            }
        }
    }
}

/// Releases that know no eras took positions for revisions that their store had yet to reach, and ignored
/// it once the last instance that named eras was gone.
#[test]
fn release_that_knows_no_eras_gets_revisions_of_the_store() {
    let revision = |message: &PeerMessage| match message {
        PeerMessage::Heartbeat(it) => it.last_change,
        PeerMessage::PoolBuilds(pools) => pools[0].revision.expect("it has one"),
        PeerMessage::Notices { notices } => match notices[0].restriction {
            Restriction::Withdrawn { revision } => revision,
            _ => panic!("another notice"),
        },
        _ => panic!("another message"),
    };
    let withdrawn = Restriction::Withdrawn { revision: store_position(ERA, 531) };
    let notice = EndpointNotice { endpoint: "i-1".to_owned(), restriction: withdrawn };
    let cases = [
        (PeerMessage::Heartbeat(Box::new(heartbeat_of(WireFormat::Eras))), 530),
        (pool_builds(store_position(ERA, 412)), 412),
        (PeerMessage::Notices { notices: vec![notice] }, 531),
    ];
    for (message, bare) in cases {
        for format in WireFormat::iter() {
            for knows_eras in [false, true] {
                let reader = Reader { format, knows_eras };
                let Some(bytes) = encode(&message, reader).expect("no error") else { continue };
                let Received::Message(read) = decode(&bytes).expect("it is read").1 else {
                    panic!("{reader:?}: a part is missing");
                };
                let expected = if knows_eras { store_position(ERA, bare) } else { bare };
                assert_eq!(revision(&read), expected, "{reader:?}");
            }
        }
    }
    // The bytes are those of the release.
    for (format, text) in RECORDED.iter().filter(|it| it.0 < WireFormat::Eras) {
        let recorded = text.lines().find_map(|it| it.strip_prefix("heartbeat "));
        let last_change = store_position(ERA, 530);
        let sent = Heartbeat { last_change, ..heartbeat_of(*format) };
        let sent = PeerMessage::Heartbeat(Box::new(sent));
        let bytes = encode(&sent, *format).expect("no error").expect("it has the kind");
        assert_eq!(Some(hex(&bytes).as_str()), recorded, "format {format}");
    }
}

/// Peers that know no eras ignore a store that came back from a copy; they went on with endpoints that had
/// left.
#[test]
fn peer_that_cannot_follow_the_store_follows_this_instance() {
    let peers = [7_740, 7_741].map(|port| SocketAddr::from(([10, 1, 0, 41], port)));
    let knows_eras = |formats: &PeerFormats, peer: SocketAddr| {
        let readers = formats.of(peer, WireFormat::CURRENT);
        readers.iter().map(|it| it.knows_eras).collect::<Vec<_>>()
    };
    let (before, own) = (500, store_position(ERA, 40));
    let mut formats = PeerFormats::default();
    formats.record(peers[0], 1, WireFormat::Framed, false);
    assert_eq!(knows_eras(&formats, peers[0]), [false]);
    assert!(!formats.follows(before, own), "this instance may be behind");
    formats.on_new_era();
    // Its next heartbeats change nothing.
    formats.record(peers[0], 1, WireFormat::Framed, false);
    assert_eq!(knows_eras(&formats, peers[0]), [true]);
    assert!(formats.follows(before, own));
    assert!(!formats.follows(30, own), "it may have read the store since");
    // Those that start later read the store as it is.
    for (peer, incarnation) in [(peers[0], 2), (peers[1], 1)] {
        formats.record(peer, incarnation, WireFormat::Framed, false);
        assert_eq!(knows_eras(&formats, peer), [false]);
    }
    assert!(formats.follows(store_position(1, 3), own), "it has said a position");
}

#[test]
fn message_without_a_counterpart_is_not_sent() {
    let only = |build| PeerMessage::OnlyBuild { attempt: "9c41".into(), build };
    for format in [WireFormat::Bare, WireFormat::Reach] {
        let pools = PeerMessage::PoolBuilds(Vec::new());
        assert_eq!(encode(&pools, format).expect("no error"), None);
        assert_eq!(encode(&only(None), format).expect("no error"), None);
        assert!(encode(&only(Some("v1".to_owned())), format).expect("no error").is_some());
    }
}

#[test]
fn later_messages_are_skipped() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        expected: Received,
    }
    let ping = PeerMessage::Ping { id: 300 };
    let later_kind = with_extension(&(200_u32, "content"), 1, &[]);
    let mut later_format = encode(&ping, WireFormat::Eras).expect("no error").expect("a kind");
    later_format[1] = 9;
    let cases = [
        Case {
            name: "an unknown extension is ignored",
            bytes: with_extension(&ping, 4_711, b"value"),
            expected: Received::Message(ping),
        },
        Case {
            name: "a kind of a later release",
            bytes: later_kind,
            expected: Received::UnknownKind(200),
        },
        Case { name: "a later format", bytes: later_format, expected: Received::LaterFormat(9) },
        Case {
            name: "a kind that was never in the format without header",
            bytes: vec![23, 0],
            expected: Received::UnknownKind(23),
        },
    ];
    for Case { name, bytes, expected } in cases {
        assert_eq!(decode(&bytes).expect("it is no error").1, expected, "{name}");
    }
}

fn notices(n_notices: u64) -> Vec<EndpointNotice> {
    let notice = |number: u64| EndpointNotice {
        endpoint: format!("i-{number}"),
        restriction: match number % 4 {
            0 => Restriction::Announced { started: 1_764_000_000_000 + number },
            1 => Restriction::Withdrawn { revision: 530 + number },
            2 => Restriction::Paused { started: 1, left: Duration::from_millis(number) },
            _ => Restriction::Cold { started: 1, left: Duration::from_millis(number) },
        },
    };
    (0..n_notices).map(notice).collect()
}

/// Returns the messages that have notices, without any.
fn messages_with_notices() -> [PeerMessage; 2] {
    let submit = samples().into_iter().find(|it| it.0 == "submit").expect("there is one").1;
    [submit, PeerMessage::Notices { notices: Vec::new() }]
}

#[test]
fn notices_go_with_framed_messages_only() {
    for message in messages_with_notices() {
        let sent = message.clone().with_notices(notices(5));
        for format in [WireFormat::Framed, WireFormat::Eras] {
            let bytes = encode(&sent, format).expect("no error").expect("a kind");
            assert_eq!(decode(&bytes).expect("it is read").1, Received::Message(sent.clone()));
        }
        for format in [WireFormat::Bare, WireFormat::Reach] {
            let bytes = encode(&sent, format).expect("no error");
            let expected = encode(&message, format).expect("no error");
            assert_eq!(bytes, expected, "format {format}");
        }
        let with = encode(&message.clone().with_notices(notices(64)), WireFormat::Eras);
        let without = encode(&message, WireFormat::Eras);
        let len = |it: Result<Option<Vec<u8>>, _>| {
            let it: Option<Vec<u8>> = it.expect("no error");
            it.expect("a kind").len()
        };
        let n_bytes = len(with) - len(without);
        assert!(n_bytes < 64 * 24, "64 notices take {n_bytes} bytes");
    }
}

/// Returns a crash report whose calls have run for so long, in milliseconds.
fn crash_report(run_times: &[Option<u64>]) -> PeerMessage {
    let exposure = |(number, millis): (usize, &Option<u64>)| Exposure {
        candidate: CrashCandidate::Part(number as u64),
        request: 7,
        place: 1,
        run_time: millis.map(Duration::from_millis),
    };
    let crashed = Crashed { endpoint: "i-1".to_owned(), started: 5, age: Duration::ZERO };
    PeerMessage::CrashReport(Box::new(CrashReport {
        pool: "pool".to_owned(),
        crashed,
        exposures: run_times.iter().enumerate().map(exposure).collect(),
    }))
}

/// Guards against reports that earlier releases cannot read, and against run times of other exposures.
#[test]
fn run_times_of_a_crash_report_are_an_extension() {
    let sent = crash_report(&[Some(105), None, Some(4_600)]);
    let bare = crash_report(&[None; 3]);
    for format in [WireFormat::Framed, WireFormat::Eras] {
        let bytes = encode(&sent, format).expect("no error").expect("a kind");
        assert_eq!(decode(&bytes).expect("it is read").1, Received::Message(sent.clone()));
        // What an earlier release has written.
        let bytes = encode(&bare, format).expect("no error").expect("a kind");
        assert_eq!(decode(&bytes).expect("it is read").1, Received::Message(bare.clone()));
    }
    for format in [WireFormat::Bare, WireFormat::Reach] {
        let bytes = encode(&sent, format).expect("no error");
        assert_eq!(bytes, encode(&bare, format).expect("no error"), "format {format}");
    }
    for (extension, expected) in [
        (vec![9_u8, 9], Received::Partial(bare.clone(), 1)),
        (vec![1, 105], Received::Message(crash_report(&[Some(105), None, None]))),
        (vec![4, 0, 0, 3, 4], Received::Message(crash_report(&[None, None, Some(3)]))),
    ] {
        let body = postcard::to_stdvec(&(&bare, vec![(2_u16, extension)])).expect("it is written");
        let checksum = crc32fast::hash(&body).to_le_bytes();
        let bytes: Vec<u8> = [0x7f, 4].into_iter().chain(checksum).chain(body).collect();
        assert_eq!(decode(&bytes).expect("it is read").1, expected);
    }
}

#[test]
fn notice_that_cannot_be_read_costs_only_itself() {
    let notice = |it: &EndpointNotice| (1_u16, postcard::to_stdvec(it).expect("it is written"));
    for message in messages_with_notices() {
        let sent = notices(3);
        let extensions = vec![
            notice(&sent[0]),
            (1, Vec::new()),
            notice(&sent[1]),
            (1, b"\x03i-1\x09\x01".to_vec()),
            (4_711, b"of a later release".to_vec()),
            (1, [notice(&sent[0]).1, vec![0]].concat()),
            notice(&sent[2]),
        ];
        let body = postcard::to_stdvec(&(&message, extensions)).expect("it is written");
        let checksum = crc32fast::hash(&body).to_le_bytes();
        let bytes: Vec<u8> = [0x7f, 3].into_iter().chain(checksum).chain(body).collect();
        let expected = Received::Partial(message.with_notices(sent), 3);
        assert_eq!(decode(&bytes).expect("it is read").1, expected);
    }
}

#[test]
fn damaged_message_is_an_error() {
    for (name, message, _) in messages(WireFormat::Eras) {
        let bytes = encode(&message, WireFormat::Eras).expect("no error").expect("a kind");
        for idx in 2..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[idx] ^= 0x10;
            assert!(decode(&damaged).is_err(), "{name}: byte {idx} is changed");
            assert!(decode(&bytes[..idx]).is_err(), "{name}: {idx} bytes are left");
        }
    }
    assert!(decode(&[]).is_err());
}

#[test]
fn heartbeat_of_another_release_is_not_taken_for_one_of_this() {
    for (format, text) in RECORDED {
        let bytes = text.lines().find_map(|it| it.strip_prefix("heartbeat ")).expect("it has one");
        let (found, _) = decode(&unhex(bytes)).expect("it is read");
        assert_eq!(found, Some(format));
    }
}

#[test]
fn peer_gets_the_format_that_it_speaks() {
    struct Case {
        name: &'static str,
        /// Heartbeats by incarnation, the format of each, and whether its positions have an era.
        spoken: &'static [(u64, WireFormat, bool)],
        highest: WireFormat,
        /// Formats in which it is sent messages, and whether with eras.
        expected: &'static [(WireFormat, bool)],
    }
    use WireFormat::{Bare, Eras, Framed, Reach};
    const NO_ERA: bool = false;
    const ERA: bool = true;
    let cases = [
        Case {
            name: "it was not heard yet",
            spoken: &[],
            highest: Eras,
            expected: &[(Eras, ERA), (Framed, NO_ERA), (Reach, NO_ERA), (Bare, NO_ERA)],
        },
        Case {
            name: "this release",
            spoken: &[(1, Eras, NO_ERA)],
            highest: Eras,
            expected: &[(Eras, ERA)],
        },
        Case {
            name: "an earlier release",
            spoken: &[(1, Bare, NO_ERA)],
            highest: Eras,
            expected: &[(Bare, NO_ERA)],
        },
        Case {
            name: "an earlier release that has said a position",
            spoken: &[(1, Framed, NO_ERA), (1, Framed, ERA), (1, Framed, NO_ERA)],
            highest: Eras,
            expected: &[(Framed, ERA)],
        },
        Case {
            name: "the settings allow less than it speaks",
            spoken: &[(1, Framed, NO_ERA)],
            highest: Reach,
            expected: &[(Reach, NO_ERA)],
        },
        Case {
            name: "its first heartbeat came in all formats",
            spoken: &[(1, Eras, ERA), (1, Framed, NO_ERA), (1, Reach, NO_ERA), (1, Bare, NO_ERA)],
            highest: Eras,
            expected: &[(Eras, ERA)],
        },
        Case {
            name: "it was replaced by an earlier release",
            spoken: &[(1, Eras, ERA), (2, Reach, NO_ERA)],
            highest: Eras,
            expected: &[(Reach, NO_ERA)],
        },
        Case {
            name: "it was replaced by an earlier release, and its clock was set back",
            spoken: &[(2, Eras, ERA), (1, Framed, NO_ERA)],
            highest: Eras,
            expected: &[(Framed, NO_ERA)],
        },
    ];
    let peer = SocketAddr::from(([10, 1, 0, 41], 7_740));
    for Case { name, spoken, highest, expected } in cases {
        let mut formats = PeerFormats::default();
        for (incarnation, format, has_era) in spoken {
            formats.record(peer, *incarnation, *format, *has_era);
            let is_news = formats.record(peer, *incarnation, *format, *has_era);
            assert!(!is_news, "{name}: it is no news");
        }
        let readers = formats.of(peer, highest).into_iter();
        let readers: Vec<_> = readers.map(|it| (it.format, it.knows_eras)).collect();
        assert_eq!(readers, expected, "{name}");
        let n_peers: usize = WireFormat::iter().map(|it| formats.count(it)).sum();
        assert_eq!(n_peers, spoken.len().min(1), "{name}");
    }
}

proptest! {
    #[test]
    fn any_bytes_are_a_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        // Must not panic, whatever it returns.
        let _ = decode(&bytes);
    }

    #[test]
    fn framed_bytes_without_a_checksum_are_an_error(
        body in prop::collection::vec(any::<u8>(), 0..100),
        checksum in any::<[u8; 4]>(),
    ) {
        prop_assume!(u32::from_le_bytes(checksum) != crc32fast::hash(&body));
        let bytes: Vec<u8> = [0x7f, 3].into_iter().chain(checksum).chain(body).collect();
        prop_assert!(decode(&bytes).is_err());
    }
}
