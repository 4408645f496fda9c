//! Prompts that would make the streams of their engine pause for too long.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointId, EndpointState, GatewayEndpoint, Moment};
use ferry_serve::{
    Asker, Endpoints, Mechanism, PromptPart, ScheduleProgress, ScheduleRequest, Scheduled,
    Scheduler, Shard, StoreUpdate, Tuning,
};

use crate::simulation::{ENGINE, ms};

/// A part that all prompts share; engine 0 has cached it.
const SHARED: PromptPart = PromptPart { id: 7, tokens: 500 };

struct Fleet {
    endpoints: Endpoints,
    scheduler: Scheduler,
    tuning: Tuning,
    now: Moment,
}

impl Fleet {
    fn new(disabled: &[Mechanism], max_pause: Option<Duration>) -> Fleet {
        let engine = |number: u16| GatewayEndpoint {
            id: format!("{ENGINE}-{number}"),
            pool: ENGINE.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000 + number)),
            zone: "zone-0".to_owned(),
            slots: 64,
            state: EndpointState::Live,
            build: "v1".to_owned(),
            started: 1,
            cold_left: Duration::ZERO,
        };
        let tuning = Tuning { disabled: disabled.to_vec(), ..Tuning::default() };
        let mut endpoints = Endpoints::new();
        let list = StoreUpdate::List { revision: 1, endpoints: (0..2).map(engine).collect() };
        endpoints.apply(ms(0), &tuning, list);
        let mut scheduler = Scheduler::new(false);
        let max_pauses = max_pause.map(|it| (ENGINE.to_owned(), it));
        scheduler.set_max_pauses(max_pauses.into_iter().collect());
        Fleet { endpoints, scheduler, tuning, now: ms(1_000) }
    }

    /// Schedules a request and lets it begin; returns its engine.
    fn begin(&mut self, attempt: &str, own: u32, tried: &[&str]) -> EndpointId {
        let id = attempt.bytes().fold(100, |id, it| id * 31 + u64::from(it));
        let request = ScheduleRequest {
            attempt: attempt.into(),
            shard: Shard::WHOLE,
            pool: ENGINE.to_owned(),
            prompt: vec![SHARED, PromptPart { id, tokens: own }],
            results: Vec::new(),
            tried: tried.iter().map(|it| (*it).to_owned()).collect(),
            zone: "zone-0".to_owned(),
            build: None,
        };
        let Fleet { endpoints, scheduler, tuning, now } = self;
        let scheduled = scheduler.schedule(*now, endpoints, tuning, Asker::This, request);
        let Scheduled::Now(decision) = scheduled else { panic!("{attempt} has no engine") };
        *now += decision.expected;
        let began = ScheduleProgress::Began;
        scheduler.on_progress(*now, endpoints, tuning, &attempt.into(), began);
        decision.endpoint
    }
}

#[test]
fn long_prompt_goes_to_an_engine_whose_streams_it_does_not_stall() {
    struct Case {
        name: &'static str,
        /// Streams that each engine writes.
        streams: [usize; 2],
        /// Tokens of the prompt beside the shared ones; an engine reads 60 in a millisecond.
        own: u32,
        max_pause: Option<Duration>,
        disabled: &'static [Mechanism],
        expected: &'static str,
    }
    const CASE: Case = Case {
        name: "long, beside streams",
        streams: [4, 0],
        own: 30_000,
        max_pause: Some(ms(400)),
        disabled: &[],
        expected: "engine-1",
    };
    let cases = [
        CASE,
        Case { name: "short, beside streams", own: 600, expected: "engine-0", ..CASE },
        Case { name: "just short enough", own: 13_000, expected: "engine-0", ..CASE },
        Case { name: "just too long", own: 15_000, ..CASE },
        Case { name: "long, alone", streams: [0, 0], expected: "engine-0", ..CASE },
        Case { name: "fewer streams there", streams: [4, 1], ..CASE },
        Case { name: "no objective", max_pause: None, expected: "engine-0", ..CASE },
        Case {
            name: "switched off",
            disabled: &[Mechanism::StallAvoidance],
            expected: "engine-0",
            ..CASE
        },
    ];
    for Case { name, streams, own, max_pause, disabled, expected } in cases {
        let mut fleet = Fleet::new(disabled, max_pause);
        fleet.begin("reader", 10, &["engine-1"]);
        let reader = "reader".into();
        let Fleet { endpoints, scheduler, tuning, now } = &mut fleet;
        scheduler.on_progress(*now, endpoints, tuning, &reader, ScheduleProgress::Ended);
        for (engine, n_streams) in streams.into_iter().enumerate() {
            let other = if engine == 0 { "engine-1" } else { "engine-0" };
            for stream in 0..n_streams {
                fleet.begin(&format!("stream-{engine}-{stream}"), 10, &[other]);
            }
        }
        let engine = fleet.begin("asked", own, &[]);
        assert_eq!(engine, expected, "{name}");
    }
}
