//! The messages between instances.
//!
//! Peers exchange datagrams that may be lost, duplicated or late; each message can safely be
//! repeated. docs/design/platform.md explains why no connection is kept between instances.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{
    BuildId, ConfigVersion, EndpointId, Incarnation, InstanceId, PoolId, ZoneId, store_revision,
};
use serde::{Deserialize, Serialize};
use strum::EnumCount;

use crate::admission::{AdmissionAnswer, AdmissionRequest, N_CLASSES};
use crate::{
    CallerAttempt, CounterEvidence, CrashInquiry, CrashReport, EndpointNotice, Group, ItemInput,
    JobKey, JobOutcome, LimitNotice, Observation, PermitAnswer, PermitId, PermitRequest,
    PoolBuilds, QuarantineNotice, RequestDigest, ScheduleProgress, ScheduleRequest, Scheduled,
};

/// State that an instance reports of itself; a lost heartbeat is replaced by the next one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Whether it has a configuration and accepts requests.
    pub is_ready: bool,
    pub is_leaving: bool,
    /// Whether it gets too little CPU time to work for others.
    pub is_overloaded: bool,
    /// Where peers pass requests on to it.
    pub relay: SocketAddr,
    /// Pools of which it has heard an endpoint lately.
    pub reached: Vec<PoolId>,
    /// Pools whose endpoints fail there; peers look whether they reach them.
    pub doubted: Vec<PoolId>,
    /// Pools that it does not reach, although peers do.
    pub unreached: Vec<PoolId>,
    /// Its share of a CPU core.
    pub weight: f64,
    pub version: ConfigVersion,
    /// Revision of the last endpoint change that it knows.
    pub last_change: u64,
    /// Backlogs of the groups whose items it collects.
    pub backlog: Vec<Backlog>,
    /// Results of its latest calls.
    pub observations: Vec<Observation>,
    /// Hash of the quarantine records that it knows.
    #[serde(default)]
    pub quarantine: u64,
}

impl Heartbeat {
    /// Whether it accepts requests, and work of peers.
    pub fn accepts_work(&self) -> bool {
        self.is_ready && !self.is_leaving
    }

    /// Whether others should do its work, as long as there are any.
    pub fn is_hindered(&self) -> bool {
        self.is_overloaded || !self.unreached.is_empty()
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backlog {
    pub group: Group,
    /// Time until a new item is started.
    pub wait: Duration,
    /// Items per second that its endpoints can do in full calls.
    pub rate: f64,
    /// Waiting items by class.
    pub queued: [u32; N_CLASSES],
}

/// Items of one stage of one request, for the instance that collects the items of their group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    pub key: JobKey,
    pub group: Group,
    /// Equal for attempts that are the same request.
    pub digest: RequestDigest,
    pub n_items: u16,
    /// Approximate size of one result.
    pub result_bytes: u64,
    /// Zero is served first.
    pub class: u8,
    /// Availability zone in which the items should preferably run, if that matters.
    pub zone: Option<ZoneId>,
    pub input: ItemInput,
    /// Time until the results are needed for the request to meet its objective.
    pub due: Duration,
    /// Time until the results are useless.
    pub time_left: Duration,
    /// What the owner knows of the group's endpoints; an extension of the message.
    #[serde(skip)]
    pub notices: Vec<EndpointNotice>,
}

/// The order of the kinds and their fields are a released format, see docs/UPGRADES.md.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, EnumCount)]
pub enum PeerMessage {
    Heartbeat(Box<Heartbeat>),
    Submit(Box<JobSubmission>),
    /// Asks whether a request may start.
    #[serde(rename = "Ask")]
    AdmissionRequest(Box<AdmissionRequest>),
    /// Answers an admission request.
    #[serde(rename = "Verdict")]
    AdmissionDecision {
        attempt: CallerAttempt,
        #[serde(rename = "verdict")]
        answer: AdmissionAnswer,
    },
    /// Confirms that the items of a job are being collected.
    #[serde(rename = "Taken")]
    Accepted(JobKey),
    /// The results of a job are not needed, or no longer needed.
    Withdraw(JobKey),
    /// Reports the outcome of a job to the instance that owns it.
    #[serde(rename = "Settled")]
    JobOutcome {
        key: JobKey,
        outcome: JobOutcome,
    },
    /// Asks which engine a request goes to.
    Schedule(Box<ScheduleRequest>),
    /// Answers that.
    Scheduled {
        attempt: CallerAttempt,
        scheduled: Scheduled,
    },
    /// Reports what became of a call to the instance that scheduled it.
    ScheduleProgress {
        attempt: CallerAttempt,
        progress: ScheduleProgress,
    },
    /// Reports the build that brought the first event of a stream.
    Began {
        attempt: CallerAttempt,
        build: BuildId,
        /// Time left for its request.
        time_left: Duration,
    },
    /// Asks which build began a stream.
    OriginRequest(OriginRequest),
    /// Answers that, if it is known.
    Origin {
        attempt: CallerAttempt,
        build: BuildId,
    },
    /// Reports the rate limits of endpoints.
    Limits(Vec<LimitNotice>),
    /// Asks for a permit to send a request to an endpoint with a rate limit.
    PermitRequest(Box<PermitRequest>),
    /// Answers that.
    Permit {
        id: PermitId,
        /// Number of the request that it answers.
        n_asks: u8,
        answer: PermitAnswer,
    },
    /// A permit is not needed any longer.
    PermitWithdraw {
        endpoint: EndpointId,
        id: PermitId,
    },
    /// Asks whether the peer is alive.
    Ping {
        id: u64,
    },
    /// Answers that.
    Pong {
        id: u64,
        /// Whether it works for others.
        is_willing: bool,
        /// Instances that were alive lately, as far as it knows.
        n_instances: u32,
    },
    /// Reports what is in quarantine.
    Quarantine(Vec<QuarantineNotice>),
    /// Reports a crash to a collector of its pool.
    CrashReport(Box<CrashReport>),
    /// Asks what speaks against the attribution of crashes.
    CrashInquiry(Box<CrashInquiry>),
    /// Answers that.
    CounterEvidence(Box<CounterEvidence>),
    /// Reports the builds of pools that the store has recorded.
    PoolBuilds(Vec<PoolBuilds>),
    /// Answers which build began a stream if that is not known, with the only build of its pool; none
    /// if there may be others.
    OnlyBuild {
        attempt: CallerAttempt,
        build: Option<BuildId>,
    },
    /// Reports what endpoints have said of themselves.
    Notices {
        /// Extensions of the message.
        #[serde(skip)]
        notices: Vec<EndpointNotice>,
    },
}

impl PeerMessage {
    /// Returns the notices that go with the message.
    pub fn notices(&self) -> &[EndpointNotice] {
        match self {
            PeerMessage::Submit(it) => &it.notices,
            PeerMessage::PermitRequest(it) => &it.notices,
            PeerMessage::Notices { notices } => notices,
            _ => &[],
        }
    }

    /// Sets them, if it is a message with notices.
    pub fn with_notices(mut self, received: Vec<EndpointNotice>) -> PeerMessage {
        match &mut self {
            PeerMessage::Submit(it) => it.notices = received,
            PeerMessage::PermitRequest(it) => it.notices = received,
            PeerMessage::Notices { notices } => *notices = received,
            _ => (),
        }
        self
    }

    /// Returns the run times of a crash report in milliseconds, rounded up, in the order of its exposures;
    /// zero if one is not known. Empty if none is.
    pub fn run_times(&self) -> Vec<u32> {
        let PeerMessage::CrashReport(report) = self else { return Vec::new() };
        let millis = |it: Duration| it.as_micros().div_ceil(1_000).clamp(1, u32::MAX.into()) as u32;
        let run_times = report.exposures.iter().map(|it| it.run_time.map_or(0, millis));
        let run_times: Vec<u32> = run_times.collect();
        if run_times.iter().all(|it| *it == 0) { Vec::new() } else { run_times }
    }

    /// Sets them, if it is a crash report.
    pub fn with_run_times(mut self, received: Vec<u32>) -> PeerMessage {
        if let PeerMessage::CrashReport(report) = &mut self {
            for (exposure, millis) in report.exposures.iter_mut().zip(received) {
                exposure.run_time = (0 < millis).then(|| Duration::from_millis(millis.into()));
            }
        }
        self
    }

    /// Returns the message as a release reads it that compares revisions of the store, not positions: it
    /// would take a position for a revision that the store has yet to reach.
    pub fn without_eras(mut self) -> PeerMessage {
        match &mut self {
            PeerMessage::Heartbeat(it) => it.last_change = store_revision(it.last_change),
            PeerMessage::PoolBuilds(pools) => pools.iter_mut().for_each(PoolBuilds::drop_era),
            PeerMessage::Submit(it) => it.notices.iter_mut().for_each(EndpointNotice::drop_era),
            PeerMessage::Notices { notices } => {
                notices.iter_mut().for_each(EndpointNotice::drop_era);
            }
            _ => (),
        }
        self
    }
}

/// Asks which build began a stream that a request continues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OriginRequest {
    /// The attempt that asks.
    pub attempt: CallerAttempt,
    /// The attempt that brought the first event, if the caller names it.
    pub first_attempt: Option<CallerAttempt>,
    pub pool: PoolId,
}
