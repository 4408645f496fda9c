//! Which engine a request goes to when prompts are long and share parts.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointState, GatewayEndpoint};
use ferry_serve::{
    Asker, Endpoints, PromptPart, RequestHead, ScheduleRequest, Scheduled, Scheduler, Shard,
    StoreUpdate, Tuning,
};

use crate::simulation::{Behaviour, ENGINE, Ending, Simulation, head, ms};

const N_ENGINES: usize = 12;
/// Tokens that an engine reads per millisecond.
const RATE: u32 = 50;
const SHARED_TOKENS: u32 = 12_000;
const OWN_TOKENS: u32 = 1_000;
const N_SHARED: u64 = 40;
/// Reading a whole prompt takes 260 ms.
const OBJECTIVE: Duration = ms(400);
const INTERVAL: Duration = ms(33);

/// Creates instances whose engines read prompts.
fn simulation(n_instances: usize) -> Simulation {
    let mut sim = Simulation::new(n_instances);
    for number in 3..N_ENGINES {
        sim.add_endpoint(ENGINE, number);
    }
    let ids: Vec<String> = sim.endpoints.keys().cloned().collect();
    for id in ids.iter().filter(|it| it.starts_with(ENGINE)) {
        sim.set_behaviour(id, Behaviour::Reads(RATE));
    }
    for instance in 0..n_instances {
        sim.start(instance);
    }
    sim.run_for(ms(1_000));
    sim
}

/// Returns a request without stages whose prompt begins with one of the shared parts.
fn prompt_head(attempt: &str, number: u64) -> RequestHead {
    let shared = PromptPart { id: 100 + number * 7 % N_SHARED, tokens: SHARED_TOKENS };
    let own = PromptPart { id: 10_000 + number, tokens: OWN_TOKENS };
    RequestHead { prompt: vec![shared, own], items: vec![0, 0], ..head("stream", attempt) }
}

/// Sends requests to all instances that run, and returns their attempts.
fn load(sim: &mut Simulation, numbers: std::ops::Range<u64>) -> Vec<String> {
    let mut attempts = Vec::new();
    for number in numbers {
        let attempt = format!("prompt-{number}");
        let running: Vec<usize> =
            (0..sim.instances.len()).filter(|it| sim.instances[*it].is_some()).collect();
        let instance = running[number as usize % running.len()];
        sim.arrive(instance, &attempt, prompt_head(&attempt, number));
        attempts.push(attempt);
        sim.run_for(INTERVAL);
    }
    sim.run_for(ms(2_000));
    attempts
}

#[test]
fn long_prompts_do_not_wait_for_each_other() {
    let mut sim = simulation(6);
    let attempts = load(&mut sim, 0..240);
    let share = sim.on_time(&attempts, OBJECTIVE);
    assert!(0.97 <= share, "{share} began in time");
    assert!(sim.n_read_again <= 3 * u64::from(SHARED_TOKENS), "{} read again", sim.n_read_again);

    // Instances that do not hear of each other choose the same engines.
    let mut apart = simulation(6);
    apart.isolated = (0..6).collect();
    let attempts = load(&mut apart, 0..240);
    let alone = apart.on_time(&attempts, OBJECTIVE);
    assert!(alone < share, "{alone} began in time without a scheduler, {share} with it");
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn shared_part_is_read_once_by_requests_that_arrive_together() {
    for has_failed in [false, true] {
        let mut sim = simulation(6);
        let attempts: Vec<String> = (0..6).map(|it| format!("together-{it}")).collect();
        for (instance, attempt) in attempts.iter().enumerate() {
            sim.arrive(instance, attempt, prompt_head(attempt, N_SHARED * instance as u64));
            sim.run_for(ms(20));
        }
        if has_failed {
            // The engine that reads for the others stops; they go to another one.
            let reads = |it: &&String| !sim.endpoints.get(it.as_str()).unwrap().cached.is_empty();
            let ids: Vec<String> = sim.endpoints.keys().cloned().collect();
            let reader = ids.iter().find(reads).expect("an engine reads").clone();
            sim.reset_calls(&reader);
        }
        sim.run_for(ms(4_000));
        for attempt in &attempts {
            assert_eq!(sim.outcome(attempt).ending, Ending::Stream, "{attempt} {has_failed}");
        }
        if !has_failed {
            assert_eq!(sim.n_read_again, 0);
            assert!(0.99 <= sim.on_time(&attempts, OBJECTIVE));
        }
    }
}

#[test]
fn new_scheduler_knows_what_is_cached() {
    for victim in 0..4 {
        let mut sim = simulation(4);
        load(&mut sim, 0..80);
        let before = sim.n_read_again;
        sim.kill(victim);
        sim.run_for(ms(1_500));
        let attempts = load(&mut sim, 80..160);
        let again = sim.n_read_again - before;
        assert!(again <= 3 * u64::from(SHARED_TOKENS), "{victim}: {again} tokens read again");
        let share = sim.on_time(&attempts, OBJECTIVE);
        assert!(0.95 <= share, "{victim}: {share} began in time");
    }
}

#[test]
fn requests_are_served_without_a_scheduler() {
    for fault in ["killed", "cut off", "losing datagrams"] {
        for victim in 0..4 {
            let mut sim = simulation(4);
            match fault {
                "killed" => sim.kill(victim),
                "cut off" => sim.isolated = vec![victim],
                _ => sim.drop_one_in = Some(5),
            }
            let attempts = load(&mut sim, 0..60);
            for attempt in &attempts {
                assert_eq!(sim.outcome(attempt).ending, Ending::Stream, "{fault} {victim}");
                assert_eq!(sim.runs.get(attempt).map(Vec::len), Some(1), "{fault} {victim}");
            }
            assert_eq!(sim.violations, Vec::<String>::new());
        }
    }
}

#[test]
fn silent_engine_is_avoided() {
    let mut sim = simulation(4);
    load(&mut sim, 0..80);
    sim.set_behaviour("engine-0", Behaviour::Silent);
    let attempts = load(&mut sim, 80..200);
    let share = sim.on_time(&attempts, OBJECTIVE);
    assert!(0.9 <= share, "{share} began in time");
    let n_lost = attempts.iter().filter(|it| sim.outcome(it).ending != Ending::Stream).count();
    assert!(n_lost == 0, "{n_lost} were not served");
}

#[test]
fn schedulers_of_a_large_fleet_have_engines_of_their_own() {
    let engine = |number: usize| GatewayEndpoint {
        id: format!("{ENGINE}-{number}"),
        pool: ENGINE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16)),
        zone: format!("zone-{}", number % 3),
        slots: 64,
        state: EndpointState::Live,
        build: "v1".to_owned(),
        started: 1,
        cold_left: Duration::ZERO,
    };
    let endpoints: Vec<GatewayEndpoint> = (0..900).map(engine).collect();
    let mut view = Endpoints::new();
    let tuning = Tuning::default();
    view.apply(ms(0), &tuning, StoreUpdate::List { revision: 1, endpoints });
    let shards: Vec<Shard> = Shard::all(300).collect();
    assert_eq!(shards.len(), 3);
    let mut chosen: Vec<Vec<String>> = Vec::new();
    for shard in &shards {
        let mut scheduler = Scheduler::new(false);
        let mut ids = Vec::new();
        for number in 0..200 {
            let attempt = format!("large-{number}");
            let request = ScheduleRequest {
                attempt: attempt.as_str().into(),
                shard: *shard,
                pool: ENGINE.to_owned(),
                prompt: prompt_head(&attempt, number).prompt,
                results: Vec::new(),
                tried: Vec::new(),
                zone: "zone-0".to_owned(),
                build: None,
            };
            match scheduler.schedule(ms(number), &view, &tuning, Asker::This, request) {
                Scheduled::Now(decision) => ids.push(decision.endpoint),
                // It waits for the engine that reads its part.
                Scheduled::Later(_) => (),
                Scheduled::Nowhere => panic!("{attempt} has no engine"),
            }
        }
        ids.sort();
        ids.dedup();
        assert!(ids.iter().all(|it| shard.contains(it)), "{shard:?}");
        assert!(N_SHARED as usize / 2 <= ids.len(), "{} engines are used", ids.len());
        chosen.push(ids);
    }
    let all: usize = chosen.iter().map(Vec::len).sum();
    let mut distinct = chosen.concat();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), all, "no engine has two schedulers");
}
