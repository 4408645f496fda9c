//! One message of each kind, the same in every release that has the kind.

use std::time::Duration;

use ferry_serve::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns the kinds that all releases have alike, by name.
pub fn samples() -> Vec<(&'static str, PeerMessage)> {
    let attempt: CallerAttempt = "9c41d07be2a35f68".into();
    let build = "v1.2".to_owned();
    let key = JobKey { attempt: attempt.clone(), stage: 1, restart: 2 };
    let group = Group::whole("pool");
    let rate = RequestRate::new(2.5);
    let limit = LimitNotice { endpoint: "i-1".to_owned(), rate, age: ms(120) };
    let permit = PermitRequest {
        id: 7,
        n_asks: 2,
        limit: limit.clone(),
        class: 3,
        max_wait: ms(900),
        notices: Vec::new(),
    };
    let shard = Shard { index: 1, count: 2 };
    let prompt = vec![PromptPart { id: 7, tokens: 500 }];
    let schedule = ScheduleRequest {
        attempt: attempt.clone(),
        shard,
        pool: "pool".to_owned(),
        prompt,
        results: vec![("zone-1".to_owned(), 3.5)],
        tried: vec!["i-2".to_owned()],
        zone: "zone-2".to_owned(),
        build: Some(build.clone()),
    };
    let submission = JobSubmission {
        key: key.clone(),
        group,
        digest: 0x0123_4567_89ab_cdef_0123_4567_89ab_cdef,
        n_items: 4,
        result_bytes: 1_000,
        class: 2,
        zone: Some("zone-1".to_owned()),
        input: ItemInput::Key(Some("key".to_owned())),
        due: ms(300),
        time_left: ms(4_000),
        notices: Vec::new(),
    };
    let origin = OriginRequest {
        attempt: attempt.clone(),
        first_attempt: Some("bcd78b303ca03542".into()),
        pool: "pool".to_owned(),
    };
    let time_left = ms(3_210);
    vec![
        ("submit", PeerMessage::Submit(Box::new(submission))),
        ("accepted", PeerMessage::Accepted(key.clone())),
        ("withdraw", PeerMessage::Withdraw(key)),
        ("schedule", PeerMessage::Schedule(Box::new(schedule))),
        ("began", PeerMessage::Began { attempt: attempt.clone(), build: build.clone(), time_left }),
        ("origin_request", PeerMessage::OriginRequest(origin)),
        ("origin", PeerMessage::Origin { attempt, build }),
        ("limits", PeerMessage::Limits(vec![limit])),
        ("permit_request", PeerMessage::PermitRequest(Box::new(permit))),
        (
            "permit",
            PeerMessage::Permit { id: 7, n_asks: 2, answer: PermitAnswer::Queued { wait: ms(40) } },
        ),
        ("permit_withdraw", PeerMessage::PermitWithdraw { endpoint: "i-1".to_owned(), id: 7 }),
        ("ping", PeerMessage::Ping { id: 300 }),
        ("pong", PeerMessage::Pong { id: 300, is_willing: true, n_instances: 195 }),
    ]
}
