//! The store comes back from an older copy: its revisions go back, and its era rises.

use ferry_model::{EndpointState, GatewayEndpoint, store_era, store_position, store_revision};
use ferry_serve::{Event, StoreUpdate};

use crate::simulation::{ENGINE, RecordStore, Simulation, ms};

/// What the instance learns, from the store unless said otherwise. Each has an era and a revision.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A list with these endpoints.
    List(u64, u64, &'static [&'static str]),
    Changed(u64, u64, &'static str, EndpointState),
    Removed(u64, u64, &'static str),
    /// What the other instance knows.
    Peer,
    /// The other instance reads a list.
    PeerList(u64, u64, &'static [&'static str]),
    /// The store has answered again, from a copy.
    Back,
    Wait(u64),
}

fn apply(sim: &mut Simulation, step: Step) {
    let entry = |sim: &Simulation, id: &str| {
        let known = sim.endpoints.get(id).or(sim.endpoints.get("plain-0"));
        let entry = known.expect("there is an endpoint").entry.clone();
        GatewayEndpoint { id: id.to_owned(), ..entry }
    };
    let list = |sim: &Simulation, era, revision, ids: &[&str]| {
        let endpoints = ids.iter().map(|it| entry(sim, it)).collect();
        Event::Store(StoreUpdate::List { revision: store_position(era, revision), endpoints })
    };
    match step {
        Step::List(era, revision, ids) => {
            let event = list(sim, era, revision, ids);
            sim.deliver(0, event);
        }
        Step::PeerList(era, revision, ids) => {
            let event = list(sim, era, revision, ids);
            sim.deliver(1, event);
        }
        Step::Changed(era, revision, id, state) => {
            let endpoint = GatewayEndpoint { state, ..entry(sim, id) };
            let revision = store_position(era, revision);
            sim.deliver(0, Event::Store(StoreUpdate::Changed { revision, endpoint }));
        }
        Step::Removed(era, revision, id) => {
            let (revision, id) = (store_position(era, revision), id.to_owned());
            sim.deliver(0, Event::Store(StoreUpdate::Removed { revision, id }));
        }
        Step::Peer => {
            let gateway = sim.instances[0].as_ref().expect("it is running");
            let since = gateway.context().endpoints.revision();
            let peer = sim.instances[1].as_ref().expect("it is running");
            let delta = peer.context().endpoints.delta(since);
            sim.deliver(0, Event::Store(StoreUpdate::Peer(delta)));
        }
        Step::Back => sim.deliver(0, Event::Store(StoreUpdate::Restored)),
        Step::Wait(time) => sim.run_for(ms(time)),
    }
}

#[test]
fn endpoints_are_those_of_the_latest_era_of_the_store() {
    use EndpointState::{Leaving, Live};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        usable: &'static [&'static str],
    }
    const BEFORE: Step = Step::List(1, 500, &["plain-0", "plain-1"]);
    let cases = [
        Case {
            name: "a list with a lower revision",
            steps: &[BEFORE, Step::List(2, 40, &["plain-0", "plain-2"])],
            usable: &["plain-0", "plain-2"],
        },
        Case {
            name: "a change with a lower revision",
            steps: &[
                BEFORE,
                Step::List(2, 40, &["plain-0", "plain-1"]),
                Step::Changed(2, 41, "plain-1", Leaving),
            ],
            usable: &["plain-0"],
        },
        Case {
            name: "a removal with a lower revision",
            steps: &[
                BEFORE,
                Step::List(2, 40, &["plain-0", "plain-1"]),
                Step::Removed(2, 41, "plain-0"),
            ],
            usable: &["plain-1"],
        },
        Case {
            name: "late answers of the former era",
            steps: &[
                BEFORE,
                Step::List(2, 40, &["plain-0"]),
                Step::List(1, 501, &["plain-1"]),
                Step::Changed(1, 502, "plain-2", Live),
                Step::Removed(1, 503, "plain-0"),
            ],
            usable: &["plain-0"],
        },
        Case {
            name: "twice",
            steps: &[
                BEFORE,
                Step::List(2, 40, &["plain-0"]),
                Step::List(3, 7, &["plain-2"]),
                Step::List(2, 900, &["plain-1"]),
            ],
            usable: &["plain-2"],
        },
        Case {
            name: "a peer has read the new era, this instance has not",
            steps: &[BEFORE, Step::PeerList(2, 40, &["plain-0", "plain-2"]), Step::Peer],
            usable: &["plain-0", "plain-2"],
        },
        Case {
            name: "a peer still has the former era",
            steps: &[
                Step::PeerList(1, 900, &["plain-1"]),
                BEFORE,
                Step::List(2, 40, &["plain-0"]),
                Step::Peer,
            ],
            usable: &["plain-0"],
        },
        Case {
            name: "this instance has read what the peer has not, and the store has lost",
            steps: &[
                Step::PeerList(1, 480, &["plain-0"]),
                BEFORE,
                Step::PeerList(2, 40, &["plain-0"]),
                Step::Peer,
            ],
            usable: &["plain-0"],
        },
        Case {
            name: "an entry that the copy lacks stays for a while",
            steps: &[BEFORE, Step::Back, Step::List(2, 40, &["plain-0"]), Step::Wait(1_000)],
            usable: &["plain-0", "plain-1"],
        },
        Case {
            name: "and is then gone",
            steps: &[BEFORE, Step::Back, Step::List(2, 40, &["plain-0"]), Step::Wait(2_500)],
            usable: &["plain-0"],
        },
        Case {
            name: "an entry that the copy lacks is written again",
            steps: &[
                BEFORE,
                Step::Back,
                Step::List(2, 40, &["plain-0"]),
                Step::Wait(1_000),
                Step::Changed(2, 44, "plain-1", Live),
                Step::Wait(2_500),
            ],
            usable: &["plain-0", "plain-1"],
        },
        Case {
            name: "a store without eras",
            steps: &[
                Step::List(0, 500, &["plain-0", "plain-1"]),
                Step::List(0, 40, &["plain-2"]),
                Step::List(0, 501, &["plain-1"]),
            ],
            usable: &["plain-1"],
        },
    ];
    for Case { name, steps, usable } in cases {
        let mut sim = Simulation::new(2);
        sim.loses_reads = true;
        steps.iter().for_each(|it| apply(&mut sim, *it));
        let gateway = sim.instances[0].as_ref().expect("it is running");
        let plain = gateway.context().endpoints.pool("plain").filter(|it| it.accepts_work());
        let plain: Vec<&str> = plain.map(|it| it.endpoint.id.as_str()).collect();
        assert_eq!(plain, usable, "{name}");
    }
}

#[test]
fn position_orders_eras_before_revisions() {
    assert!(store_position(1, 900) < store_position(2, 1));
    assert!(store_position(2, 1) < store_position(2, 2));
    assert_eq!(store_position(0, 530), 530, "a store without eras");
    for (era, revision) in [(0, 0), (1, 1), (7, (1 << 40) - 1), ((1 << 24) - 1, 5)] {
        let position = store_position(era, revision);
        assert_eq!((store_era(position), store_revision(position)), (era, revision));
    }
}

#[test]
fn builds_that_the_copy_lacks_are_recorded_again() {
    struct Case {
        name: &'static str,
        /// Whether the copy has the record of the pool, with its first build.
        is_partial: bool,
        n_restores: usize,
    }
    let cases = [
        Case { name: "no record", is_partial: false, n_restores: 1 },
        Case { name: "a former record", is_partial: true, n_restores: 1 },
        Case { name: "no record, twice", is_partial: false, n_restores: 2 },
        Case { name: "a former record, twice", is_partial: true, n_restores: 2 },
    ];
    for Case { name, is_partial, n_restores } in cases {
        for n_instances in [1, 6, 76] {
            let mut sim = Simulation::new(n_instances);
            sim.run_for(ms(3_000));
            assert_eq!(sim.records.builds(ENGINE), ["v1"], "{name}");
            let copy = if is_partial { sim.records.clone() } else { RecordStore::default() };
            sim.set_build("engine-0", "v2");
            sim.announce("engine-0");
            sim.run_for(ms(3_000));
            assert_eq!(sim.records.builds(ENGINE), ["v1", "v2"], "{name}");
            // Streams of the build may still be taken up when its endpoint has gone.
            sim.set_build("engine-0", "v1");
            sim.announce("engine-0");
            sim.run_for(ms(100));
            for _ in 0..n_restores {
                sim.restore_records(copy.clone());
                sim.run_for(ms(150));
            }
            let before = sim.records.n_writes;
            sim.run_for(ms(3_000));
            let builds = sim.records.builds(ENGINE);
            assert_eq!(builds, ["v1", "v2"], "{name}, {n_instances} instances");
            let n_writes = sim.records.n_writes - before;
            assert!(n_writes <= 8, "{name}, {n_instances} instances: {n_writes} writes");
        }
    }
}
