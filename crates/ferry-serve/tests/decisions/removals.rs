//! For how long an endpoint is used whose entry goes beside absences of the store.

use std::time::Duration;

use ferry_model::Moment;
use ferry_serve::{Event, StoreUpdate};

use crate::simulation::{Simulation, ms};

const DRAIN: Duration = ms(2_000);
/// Absences in which no entry can lapse are shorter.
const RENEWAL: Duration = ms(1_200);
/// Rates of looking: those of instances that follow the store closely, and of the others.
const INTERVALS: [Duration; 2] = [ms(300), ms(667)];
const STEP: Duration = ms(10);
/// The first absence begins then.
const AWAY_AT: Moment = ms(3_000);

/// How a part of the entries changes at a moment.
#[derive(Debug, Clone, Copy)]
struct Change {
    at: Moment,
    is_there: bool,
}

/// An instance that looks at the store at intervals, while that comes and goes.
struct Looker {
    sim: Simulation,
    interval: Duration,
    /// From and until when the store is away.
    absences: Vec<(Moment, Moment)>,
    /// Changes of the entry of the first plain endpoint.
    changes: Vec<Change>,
    seen: Moment,
    next: Moment,
    is_down: bool,
    revision: u64,
    /// When the endpoint was last used.
    last_used: Moment,
    /// Time for which it was not used while its entry was there.
    unused: Duration,
}

impl Looker {
    fn new(interval: Duration, absences: Vec<(Moment, Moment)>, changes: Vec<Change>) -> Looker {
        let sim = Simulation::new(1);
        let start = sim.now;
        Looker {
            sim,
            interval,
            absences: absences.into_iter().map(|it| (start + it.0, start + it.1)).collect(),
            changes: changes.into_iter().map(|it| Change { at: start + it.at, ..it }).collect(),
            seen: start,
            next: start,
            is_down: false,
            revision: 20,
            last_used: start,
            unused: Duration::ZERO,
        }
    }

    fn run(mut self, time: Duration) -> Looker {
        let until = self.sim.now + time;
        while self.sim.now < until {
            if self.next <= self.sim.now {
                self.look();
            }
            self.sim.run_for(STEP);
            let is_used = self.is_used();
            if is_used {
                self.last_used = self.sim.now;
            } else if self.is_there() {
                self.unused += STEP;
            }
        }
        self
    }

    fn is_there(&self) -> bool {
        let latest = self.changes.iter().rfind(|it| it.at <= self.sim.now);
        latest.is_none_or(|it| it.is_there)
    }

    fn is_used(&self) -> bool {
        let gateway = self.sim.instances[0].as_ref().expect("the instance is running");
        let view = gateway.context().endpoints.get("plain-0");
        view.is_some_and(|it| it.accepts_work())
    }

    /// Looks at the store, as an instance does that follows it.
    fn look(&mut self) {
        let now = self.sim.now;
        let is_away = self.absences.iter().any(|it| it.0 <= now && now < it.1);
        if is_away {
            self.next = now + ms(100);
            if !std::mem::replace(&mut self.is_down, true) {
                self.sim.deliver(0, Event::Store(StoreUpdate::Unreachable));
            }
            return;
        }
        let gap = now - std::mem::replace(&mut self.seen, now);
        self.sim.deliver(0, Event::Store(StoreUpdate::Answered { gap }));
        self.revision += 1;
        let is_there = self.is_there();
        let listed = self.sim.endpoints.values().map(|it| it.entry.clone());
        let endpoints = listed.filter(|it| is_there || it.id != "plain-0").collect();
        let revision = self.revision;
        self.sim.deliver(0, Event::Store(StoreUpdate::List { revision, endpoints }));
        if std::mem::take(&mut self.is_down) {
            self.sim.deliver(0, Event::Store(StoreUpdate::Reachable));
        }
        let gateway = self.sim.instances[0].as_ref().expect("the instance is running");
        let has_missing = gateway.context().endpoints.has_missing();
        self.next = now + if has_missing { INTERVALS[0] } else { self.interval };
    }
}

/// Returns as many absences of a length, half a second apart.
fn absences(length: Duration, n: usize) -> Vec<(Moment, Moment)> {
    let start = |number: usize| AWAY_AT + (length + ms(500)) * number as u32;
    (0..n).map(|it| (start(it), start(it) + length)).collect()
}

/// Guards against an endpoint that is used for longer than it may be after its entry was removed: the time
/// until an instance looks, and that for which a missing entry may come back, are under one bound.
#[test]
fn removed_endpoint_is_used_for_no_longer_than_it_may_be() {
    let mut failed = Vec::new();
    for interval in INTERVALS {
        for length in [ms(0), ms(100), ms(600), ms(1_300), ms(3_000)] {
            for n_absences in [1, 4] {
                let absences = absences(length, n_absences);
                let end = absences.last().expect("there is one").1;
                for at in (1_900..9_000).step_by(90).map(ms).filter(|it| *it < end + ms(3_000)) {
                    let changes = vec![Change { at, is_there: false }];
                    let looker =
                        Looker::new(interval, absences.clone(), changes).run(at + ms(9_000));
                    let acked = looker.changes[0].at;
                    // While the store is away for long nothing can be known, and the time counts from its
                    // return.
                    let hides = |it: &&(Moment, Moment)| {
                        RENEWAL <= it.1 - it.0 && acked <= it.1 && it.0 < acked + DRAIN
                    };
                    let from = looker.absences.iter().filter(hides).map(|it| it.1).max();
                    let used = looker.last_used.saturating_sub(from.unwrap_or(acked).max(acked));
                    if DRAIN < used {
                        failed.push(format!(
                            "every {interval:?}, {n_absences} x away for {length:?}, removed at {at:?}: \
                             used for {used:?}"
                        ));
                    }
                }
            }
        }
    }
    assert!(
        failed.is_empty(),
        "{} cases, such as {:#?}",
        failed.len(),
        &failed[..failed.len().min(9)]
    );
}

/// Guards against endpoints that are dropped although their entries have lapsed only while the store was
/// away, and come back soon after its return: such an entry is back within about [`DRAIN`], of which the last
/// 200 ms are the margin of the drop, and the 300 ms before it the time until the next look.
#[test]
fn endpoint_whose_entry_lapsed_while_the_store_was_away_stays_in_use() {
    for interval in INTERVALS {
        for length in [ms(2_500), ms(4_000), ms(12_000)] {
            for back in [ms(100), ms(800), ms(1_500), ms(1_700), ms(1_900), DRAIN] {
                let absences = absences(length, 1);
                let end = absences[0].1;
                let changes = vec![
                    Change { at: end - ms(200), is_there: false },
                    Change { at: end + back, is_there: true },
                ];
                let looker = Looker::new(interval, absences, changes).run(end + ms(6_000));
                let name = format!("every {interval:?}, away for {length:?}, back after {back:?}");
                // An entry that comes back later than that is in use from the next look.
                let is_late = DRAIN - ms(500) < back;
                let most = if is_late { interval + STEP } else { Duration::ZERO };
                assert!(looker.unused <= most, "{name}: not used for {:?}", looker.unused);
            }
        }
    }
}
