//! Endpoints that come and go, and what peers falsely say of sound ones.

use ferry_serve::{Event, Heartbeat, Observation, PeerMessage};

use crate::world::{Ending, FIRST, Mood, PLAIN, World, front, head, ms, peer};

struct Flap {
    name: &'static str,
    endpoint: String,
    mood: Mood,
    route: &'static str,
    /// Share of the requests that must be served.
    share: f64,
}

#[test]
fn an_endpoint_that_goes_down_and_up_costs_little() {
    let flap = |name, pool: &str, mood, route, share| {
        let endpoint = format!("{pool}-0");
        Flap { name, endpoint, mood, route, share }
    };
    let cases = [
        flap("plain, resets", PLAIN, Mood::Broken, "get", 0.99),
        flap("plain, silent", PLAIN, Mood::Mute, "get", 0.99),
        flap("plain, errors", PLAIN, Mood::Failing, "get", 0.99),
        flap("plain, full, once", PLAIN, Mood::Full, "post", 0.99),
        flap("plain, resets, once", PLAIN, Mood::Broken, "post", 0.9),
        flap("stage, resets", FIRST, Mood::Broken, "once", 0.99),
        flap("stage, silent", FIRST, Mood::Mute, "once", 0.95),
        flap("stage, slow", FIRST, Mood::Slow(6), "once", 0.99),
    ];
    for case in cases {
        let mut world = World::new(3);
        let mut attempts = Vec::new();
        for number in 0..160 {
            let is_down = (number / 10) % 2 == 0;
            world.set_mood(&case.endpoint, if is_down { case.mood } else { Mood::Sound });
            let attempt = format!("flap-{number}");
            world.arrive(number % 3, &attempt, head(case.route, &attempt));
            attempts.push(attempt);
            world.run_for(ms(50));
        }
        world.run_for(ms(6_000));
        let is_served =
            |it: &&String| matches!(world.outcome(it).ending, Ending::Answer | Ending::Stream);
        let share = attempts.iter().filter(is_served).count() as f64 / attempts.len() as f64;
        assert!(case.share <= share, "{}: {share} were served", case.name);
        assert_eq!(world.wrongs, Vec::<String>::new(), "{}", case.name);
    }
}

/// A peer that says of every plain endpoint that it does not answer.
fn accusation(incarnation: u64) -> PeerMessage {
    let accuse = |number: usize| Observation {
        endpoint: format!("{PLAIN}-{number}"),
        load: None,
        ratio: None,
    };
    PeerMessage::Heartbeat(Heartbeat {
        instance: "instance-1".to_owned(),
        incarnation,
        zone: "zone-1".to_owned(),
        front: front(1),
        is_ready: true,
        is_leaving: false,
        is_overloaded: false,
        weight: 0.25,
        version: 1,
        last_change: 10,
        backlog: Vec::new(),
        observations: vec![accuse(0), accuse(1)],
    })
}

#[test]
fn sound_endpoints_that_a_peer_accuses_keep_serving() {
    let mut world = World::new(2);
    for number in 0..60 {
        world.give(0, Event::Peer { from: peer(1), message: accusation(1) });
        let attempt = format!("accused-{number}");
        world.arrive(0, &attempt, head("get", &attempt));
        world.run_for(ms(100));
    }
    for number in 0..60 {
        assert_eq!(world.outcome(&format!("accused-{number}")).ending, Ending::Answer);
    }
    // The pause ends soon after the last accusation.
    world.run_for(ms(500));
    let gateway = world.instances[0].as_ref().expect("it lives");
    for view in gateway.context().endpoints.pool(PLAIN) {
        assert!(view.is_usable(world.now), "{} is still paused", view.endpoint.id);
    }
}
