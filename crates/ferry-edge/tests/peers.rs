//! The peer transport: authentication of senders, message versions and sizes.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_core::Event;
use ferry_edge::certs::{self, CertPair};
use ferry_edge::peers::codec::{self, Envelope, WIRE_VERSION};
use ferry_edge::{Metrics, PeerIdentity, PeerOptions, Peers, logs};
use ferry_model::{
    Answer, Heartbeat, InstanceState, KeyState, Outcome, PeerMessage, PoolLoad, Revision,
};
use tokio::sync::mpsc::{self, UnboundedReceiver};

/// Generous limit that only a hang reaches.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Long enough for a rejected message to arrive if it were accepted.
const REJECT_WAIT: Duration = Duration::from_millis(500);

struct Peer {
    peers: Peers,
    events: UnboundedReceiver<Event>,
}

impl Peer {
    /// Starts a peer that claims to be `name` and presents the certificate of `cert_name`.
    fn start(authority: &CertPair, name: &str, cert_name: &str) -> Peer {
        let pair = certs::issue_instance_cert(authority, cert_name).unwrap();
        let identity = PeerIdentity { authority: authority.cert.clone(), pair };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = PeerOptions { listen, instance: name.to_owned(), identity };
        let peers = Peers::bind(options, Metrics::silent(), logs::silent_logger()).unwrap();
        let (tx, events) = mpsc::unbounded_channel();
        peers.spawn(tx);
        Peer { peers, events }
    }

    fn address(&self) -> SocketAddr {
        self.peers.address().unwrap()
    }

    async fn next(&mut self) -> Event {
        tokio::time::timeout(TIMEOUT, self.events.recv()).await.unwrap().unwrap()
    }
}

fn messages() -> Vec<PeerMessage> {
    let answer = Answer::new(7, Outcome::Complete, 3).with_output("x".repeat(200_000), 12);
    vec![
        heartbeat(),
        PeerMessage::PullConfig { above: 4 },
        PeerMessage::PullOutcome { workspace: "agents".to_owned(), key: "k".to_owned() },
        PeerMessage::OutcomeReply {
            workspace: "agents".to_owned(),
            key: "k".to_owned(),
            state: KeyState::Settled { outcome: Outcome::Complete, answer: Box::new(answer) },
        },
    ]
}

fn heartbeat() -> PeerMessage {
    let load = PoolLoad { pool: "drafting".to_owned(), running: 3, queued: 1, arrived: 9 };
    PeerMessage::Heartbeat(Heartbeat {
        instance: "entry-0".to_owned(),
        incarnation: 5,
        zone: "lagos-a".to_owned(),
        state: InstanceState::Live,
        revision: Revision::MAX,
        plan: 0,
        loads: vec![load],
        demand: vec![("agents".to_owned(), 2)],
        leaving: vec![("entry-2".to_owned(), 4)],
        workspaces: 7,
    })
}

#[tokio::test]
async fn each_message_arrives_with_the_id_of_its_sender() {
    let authority = certs::generate_authority().unwrap();
    let left = Peer::start(&authority, "entry-0", "entry-0");
    let mut right = Peer::start(&authority, "entry-1", "entry-1");
    for message in messages() {
        left.peers.send("entry-1", right.address(), message.clone());
        let event = right.next().await;
        assert_eq!(event, Event::Peer { from: "entry-0".to_owned(), message });
    }
}

#[tokio::test]
async fn a_peer_restarted_on_another_address_is_reached() {
    let authority = certs::generate_authority().unwrap();
    let left = Peer::start(&authority, "entry-0", "entry-0");
    for _ in 0..2 {
        let mut right = Peer::start(&authority, "entry-1", "entry-1");
        left.peers.send("entry-1", right.address(), PeerMessage::PullConfig { above: 1 });
        right.next().await;
        right.peers.close();
    }
}

struct UntrustedCase {
    description: &'static str,
    /// Whether the sender's certificate is signed by another authority.
    foreign_authority: bool,
    name: &'static str,
    cert_name: &'static str,
    /// Instance that the sender expects at the address.
    to: &'static str,
}

#[tokio::test]
async fn messages_between_untrusted_peers_are_dropped() {
    let cases = [
        UntrustedCase {
            description: "another authority",
            foreign_authority: true,
            name: "entry-0",
            cert_name: "entry-0",
            to: "entry-1",
        },
        UntrustedCase {
            description: "the id of another instance in the message",
            foreign_authority: false,
            name: "entry-0",
            cert_name: "entry-2",
            to: "entry-1",
        },
        UntrustedCase {
            description: "a receiver with another id",
            foreign_authority: false,
            name: "entry-0",
            cert_name: "entry-0",
            to: "entry-3",
        },
    ];
    for case in cases {
        let authority = certs::generate_authority().unwrap();
        let other = certs::generate_authority().unwrap();
        let signer = if case.foreign_authority { &other } else { &authority };
        let untrusted = Peer::start(signer, case.name, case.cert_name);
        let trusted = Peer::start(&authority, "entry-4", "entry-4");
        let mut receiver = Peer::start(&authority, "entry-1", "entry-1");
        let message = PeerMessage::PullConfig { above: 1 };
        untrusted.peers.send(case.to, receiver.address(), message);
        tokio::time::sleep(REJECT_WAIT).await;
        let message = PeerMessage::PullConfig { above: 2 };
        trusted.peers.send("entry-1", receiver.address(), message.clone());
        let expected = Event::Peer { from: "entry-4".to_owned(), message };
        assert_eq!(receiver.next().await, expected, "{}", case.description);
    }
}

#[test]
fn unknown_versions_and_truncated_messages_are_errors() {
    let envelope = Envelope { from: "entry-0".to_owned(), message: heartbeat() };
    let good = codec::encode(&envelope).unwrap();
    assert_eq!(codec::decode(&good).unwrap(), envelope);

    let mut newer = good.clone();
    newer[..2].copy_from_slice(&(WIRE_VERSION + 1).to_le_bytes());
    assert!(codec::decode(&newer).unwrap_err().to_string().contains("version 2"));
    for len in 0..good.len() {
        assert!(codec::decode(&good[..len]).is_err(), "{len} bytes were decoded as a message");
    }
}

#[test]
fn an_oversized_message_is_not_encoded() {
    let answer = Answer::new(1, Outcome::Complete, 1).with_output("x".repeat(2 << 20), 1);
    let state = KeyState::Settled { outcome: Outcome::Complete, answer: Box::new(answer) };
    let message =
        PeerMessage::OutcomeReply { workspace: "agents".to_owned(), key: "k".to_owned(), state };
    let envelope = Envelope { from: "entry-0".to_owned(), message };
    assert!(codec::encode(&envelope).unwrap_err().to_string().contains("larger"));
}
