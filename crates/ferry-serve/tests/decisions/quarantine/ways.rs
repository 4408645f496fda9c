//! Each way to an endpoint asks first what is in quarantine.

use std::time::Duration;

use ferry_model::Moment;
use ferry_serve::QuarantineAction;

use crate::quarantine::records::operate;
use crate::quarantine::returns::FIRST_DIGEST;
use crate::simulation::{
    Behaviour, CrashCause, ENGINE, FIRST, PLAIN, SECOND, Simulation, head, ms,
};

/// A prompt part of all requests.
const PART: CrashCause = CrashCause::Part(7);
/// Time until all instances know a quarantine.
const SPREAD_TIME: Duration = ms(100);

struct Way {
    name: &'static str,
    route: &'static str,
    /// Requests, one each five milliseconds.
    n_requests: usize,
    has_items: bool,
    prepare: fn(&mut Simulation),
    /// Time from the last request to the quarantine.
    wait: Duration,
    /// What happens after it.
    go_on: fn(&mut Simulation),
}

fn all(sim: &mut Simulation, pool: &str, act: fn(&mut Simulation, &str)) {
    sim.ids(pool).iter().for_each(|it| act(sim, it));
}

/// Kills the endpoints of a pool that got calls.
fn kill_busy(sim: &mut Simulation, pool: &str) {
    for id in sim.ids(pool) {
        if sim.endpoints.get(&id).is_some_and(|it| 0 < it.n_calls) {
            sim.kill_endpoint(&id);
        }
    }
}

const WAYS: [Way; 11] = [
    Way {
        name: "a request that waits for nothing",
        route: "get",
        n_requests: 0,
        has_items: false,
        prepare: |_| (),
        wait: ms(0),
        go_on: |sim| arrive(sim, "get", "after", false),
    },
    Way {
        name: "a stream that waits for nothing",
        route: "stream",
        n_requests: 0,
        has_items: false,
        prepare: |_| (),
        wait: ms(0),
        go_on: |sim| arrive(sim, "stream", "after", true),
    },
    Way {
        name: "repeat of a plain call",
        route: "get",
        n_requests: 1,
        has_items: false,
        prepare: |sim| all(sim, PLAIN, |sim, it| sim.set_behaviour(it, Behaviour::Slow(20))),
        wait: ms(50),
        go_on: |sim| kill_busy(sim, PLAIN),
    },
    Way {
        name: "resumed stream",
        route: "stream",
        n_requests: 1,
        has_items: false,
        prepare: |sim| sim.crashes.n_events = 60,
        wait: ms(400),
        go_on: |sim| kill_busy(sim, ENGINE),
    },
    Way {
        name: "second run beside a silent endpoint",
        route: "get",
        n_requests: 1,
        has_items: false,
        prepare: |sim| all(sim, PLAIN, |sim, it| sim.set_behaviour(it, Behaviour::Silent)),
        wait: ms(50),
        go_on: |_| (),
    },
    Way {
        name: "second run of a stream beside a silent endpoint",
        route: "stream",
        n_requests: 1,
        has_items: false,
        prepare: |sim| all(sim, ENGINE, |sim, it| sim.set_behaviour(it, Behaviour::Silent)),
        wait: ms(50),
        go_on: |_| (),
    },
    Way {
        name: "items of the next stage",
        route: "stream",
        n_requests: 4,
        has_items: true,
        prepare: |_| (),
        wait: ms(100),
        go_on: |_| (),
    },
    Way {
        name: "items that wait for their turn",
        route: "stream",
        n_requests: 60,
        has_items: true,
        prepare: |_| (),
        wait: ms(10),
        go_on: |_| (),
    },
    Way {
        name: "requests that wait for a permit",
        route: "get",
        n_requests: 60,
        has_items: false,
        prepare: |sim| sim.limit_pool(PLAIN, 5.0),
        wait: ms(10),
        go_on: |_| (),
    },
    Way {
        name: "streams that wait for a permit",
        route: "stream",
        n_requests: 60,
        has_items: false,
        prepare: |sim| sim.limit_pool(ENGINE, 5.0),
        wait: ms(10),
        go_on: |_| (),
    },
    Way {
        name: "streams that wait for engines that read",
        route: "stream",
        n_requests: 60,
        has_items: false,
        prepare: |sim| all(sim, ENGINE, |sim, it| sim.set_behaviour(it, Behaviour::Reads(1))),
        wait: ms(10),
        go_on: |_| (),
    },
];

fn arrive(sim: &mut Simulation, route: &str, attempt: &str, has_items: bool) {
    let mut head = head(route, attempt);
    if !has_items {
        head.items.clear();
    }
    let instance = sim.runs.len() % sim.instances.len();
    sim.arrive_same(instance, attempt, FIRST_DIGEST, head);
}

impl Way {
    /// Returns how many requests are in progress at the quarantine, if there is one, and when endpoints
    /// got calls after it was known.
    fn calls_after(&self, cause: Option<CrashCause>) -> (usize, Vec<Moment>) {
        let mut sim = Simulation::new(3);
        (self.prepare)(&mut sim);
        for number in 0..self.n_requests {
            arrive(&mut sim, self.route, &format!("attempt-{number}"), self.has_items);
            sim.run_for(ms(5));
        }
        sim.run_for(self.wait);
        let pool = if self.route == "get" { PLAIN } else { ENGINE };
        let n_waiting = self.n_requests - sim.outcomes.len();
        if let Some(cause) = cause {
            operate(&mut sim, 0, pool, cause, QuarantineAction::Set);
        }
        sim.run_for(SPREAD_TIME);
        let known = sim.now;
        (self.go_on)(&mut sim);
        sim.run_for(ms(6_000));
        let pools = [PLAIN, ENGINE, FIRST, SECOND].map(|it| sim.ids(it)).concat();
        let calls = pools.iter().flat_map(|it| sim.endpoints.get(it).map(|it| &it.arrivals));
        let late = calls.flatten().map(|it| it.at).filter(|it| known <= *it);
        (n_waiting, late.collect())
    }

    fn failures(&self, cause: CrashCause) -> Vec<String> {
        let (n_waiting, usual) = self.calls_after(None);
        let (_, late) = self.calls_after(Some(cause));
        let (name, n_usual, n_late) = (self.name, usual.len(), late.len());
        println!("{name}: {n_waiting} in progress, {n_usual} calls without, {n_late} with");
        let mut failed = Vec::new();
        if n_usual == 0 {
            failed.push(format!("{name}: no call without a quarantine, so that nothing is shown"));
        }
        if !late.is_empty() {
            failed.push(format!("{name}: {n_late} calls, from {:?} on", late[0]));
        }
        failed
    }
}

#[test]
fn no_way_leads_a_part_in_quarantine_to_an_endpoint() {
    let failed: Vec<String> = WAYS.iter().flat_map(|it| it.failures(PART)).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn no_way_leads_a_request_in_quarantine_to_an_endpoint() {
    let cause = CrashCause::Request(FIRST_DIGEST);
    let failed: Vec<String> = WAYS.iter().flat_map(|it| it.failures(cause)).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
