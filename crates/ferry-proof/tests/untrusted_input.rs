//! Untrusted input from settings files, peers and callers causes no panic and violates no
//! invariant.

use std::time::Duration;

use ferry_core::{Event, Tuning};
use ferry_edge::peers::codec::{self, Envelope};
use ferry_edge::settings;
use ferry_entry::EntrySettings;
use ferry_fakes::{Deployment, DeploymentName, Request, World};
use ferry_model::{Heartbeat, InstanceState, Outcome, PeerMessage, PoolLoad};
use ferry_proof::{TimeLimits, check, matrix};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 23;

fn config(cases: u32) -> Config {
    let rng_seed = RngSeed::Fixed(SEED);
    Config { cases, failure_persistence: None, rng_seed, ..Config::default() }
}

fn world() -> World {
    let deployment = Deployment::new(DeploymentName::Ikenna);
    let mut world = matrix::world_with_controls(&deployment, &Tuning::default(), SEED);
    world.run_for(Duration::from_secs(3));
    world
}

/// A peer message with extreme values, as a faulty peer might send it.
fn message() -> impl Strategy<Value = PeerMessage> {
    let name = "\\PC{0,12}";
    let load = (name, any::<u32>(), any::<u32>(), any::<u32>())
        .prop_map(|(pool, running, queued, arrived)| PoolLoad { pool, running, queued, arrived });
    let heartbeat = (
        (name, any::<u64>(), any::<u64>(), any::<u64>()),
        prop::collection::vec(load, 0..6),
        prop::collection::vec((name, any::<u32>()), 0..6),
        prop::collection::vec((name, any::<u64>()), 0..6),
    );
    let heartbeat =
        heartbeat.prop_map(|((instance, incarnation, revision, plan), loads, demand, leaving)| {
            PeerMessage::Heartbeat(Heartbeat {
                zone: instance.clone(),
                instance,
                incarnation,
                state: InstanceState::Live,
                revision,
                plan,
                loads,
                demand,
                leaving,
                workspaces: revision as u32,
            })
        });
    prop_oneof![
        4 => heartbeat,
        1 => any::<u64>().prop_map(|above| PeerMessage::PullConfig { above }),
        1 => (name, name).prop_map(|(workspace, key)| PeerMessage::PullOutcome { workspace, key }),
    ]
}

/// Lines of a settings file, some of them almost valid.
fn settings_text() -> impl Strategy<Value = String> {
    let sections = "(instance|platform|peers|log|limits|tuning|workspace a|\\PC{0,8})";
    let keys = "(id|zone|listen|store|timeout|reads|format|level|tokens|\\PC{0,8})";
    let values = "(127.0.0.1:0|1s|-1s|99999999999999999999s|json|env:NONE|\\PC{0,12})";
    let line = prop_oneof![
        1 => sections.prop_map(|it| format!("[{it}]")),
        3 => (keys, values).prop_map(|(key, value)| format!("{key} = {value}")),
        1 => "\\PC{0,20}",
    ];
    prop::collection::vec(line, 0..20).prop_map(|it| it.join("\n"))
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn settings_files_never_cause_a_panic(text in settings_text()) {
        let parsed = settings::parse("noise.ini", &text, |_| None, EntrySettings::read);
        if let Err(findings) = parsed {
            prop_assert!(findings.to_string().contains("noise.ini"), "{findings}");
        }
    }

    #[test]
    fn bytes_from_peers_never_cause_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = codec::decode(&bytes);
    }

    #[test]
    fn corrupted_messages_never_cause_a_panic(
        message in message(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let envelope = Envelope { from: "entry-0".to_owned(), message };
        let mut bytes = codec::encode(&envelope).expect("a small message");
        prop_assert_eq!(codec::decode(&bytes).expect("the encoded bytes"), envelope);
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = codec::decode(&bytes);
        let _ = codec::decode(&bytes[..at]);
    }
}

proptest! {
    #![proptest_config(config(32))]

    #[test]
    fn messages_from_a_faulty_peer_violate_no_invariant(
        messages in prop::collection::vec(message(), 1..20),
    ) {
        let mut world = world();
        for message in messages {
            let from = "entry-1".to_owned();
            world.deliver(0, Event::Peer { from, message });
            let request = Request::new("bars", "file", "papers");
            world.submit(0, request.with_deadline(Duration::from_secs(2)));
            world.run_for(Duration::from_millis(50));
        }
        world.run_for(Duration::from_secs(5));
        let violations = check(&world, &TimeLimits::default());
        prop_assert!(violations.is_empty(), "{violations:?}");
    }

    #[test]
    fn unusual_requests_get_exactly_one_answer(
        requests in prop::collection::vec(
            ("\\PC{0,300}", "(file|draft|\\PC{0,9})", any::<u64>()),
            1..20,
        ),
    ) {
        let mut world = world();
        for (text, pipeline, millis) in requests {
            let request = Request::new(&text, &pipeline, text.clone())
                .with_key(text)
                .with_deadline(Duration::from_millis(millis));
            world.submit(0, request);
        }
        let valid = world.submit(1, Request::new("bars", "draft", "papers"));
        world.run_for(Duration::from_secs(130));
        for record in world.requests.values() {
            prop_assert_eq!(record.answers.len(), 1, "{:?}", record.request);
        }
        let outcome = world.requests.get(&valid).and_then(|it| it.answer()).map(|it| it.outcome);
        prop_assert_eq!(outcome, Some(Outcome::Complete));
    }
}
