//! Items of one stage of one request.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{Moment, ResultHandle, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{CallerAttempt, Group, ItemInput, JobSubmission, RequestDigest};

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobKey {
    pub attempt: CallerAttempt,
    pub stage: u8,
    /// Number of earlier restarts of the stage.
    pub restart: u8,
}

/// The instance that waits for the results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOwner {
    Local,
    /// The peer that receives datagrams at this address.
    Peer(SocketAddr),
}

impl JobOwner {
    pub fn peer(self) -> Option<SocketAddr> {
        match self {
            JobOwner::Local => None,
            JobOwner::Peer(address) => Some(address),
        }
    }
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// Results of all items, in order.
    Done(Vec<ResultHandle>),
    /// An input no longer exists.
    Gone,
    /// Every attempt failed.
    Failed,
    /// It would be served too late.
    Late,
}

/// Largest time by which estimates of the steps after a stage are too long.
const DUE_SLACK: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
pub struct Job {
    pub owner: JobOwner,
    pub group: Group,
    /// Equal for attempts that are the same request.
    pub digest: RequestDigest,
    pub input: ItemInput,
    /// When the results are needed for the request to meet its objective.
    pub due: Moment,
    /// When the results become useless.
    pub deadline: Moment,
    pub since: Moment,
    /// Approximate size of one result.
    pub result_bytes: u64,
    /// Zero is served first.
    pub class: u8,
    /// Availability zone of its inputs, or of the endpoint that will read its results.
    pub zone: Option<ZoneId>,
    pub results: Vec<Option<ResultHandle>>,
    /// Items to send.
    pub pending: Vec<u16>,
    /// Items in calls.
    pub n_in_flight: usize,
    pub n_tries: u8,
    pub is_withdrawn: bool,
    pub outcome: Option<JobOutcome>,
    pub settled_at: Option<Moment>,
}

impl Job {
    pub fn new(
        owner: JobOwner,
        group: Group,
        n_items: u16,
        input: ItemInput,
        since: Moment,
    ) -> Job {
        Job {
            owner,
            group,
            digest: 0,
            input,
            due: since,
            deadline: since,
            since,
            result_bytes: 0,
            class: 0,
            zone: None,
            results: vec![None; usize::from(n_items)],
            pending: (0..n_items).collect(),
            n_in_flight: 0,
            n_tries: 0,
            is_withdrawn: false,
            outcome: None,
            settled_at: None,
        }
    }

    /// Creates the job of a submission that arrived at `now`.
    pub fn from_submit(owner: JobOwner, submit: JobSubmission, now: Moment) -> (JobKey, Job) {
        let job = Job::new(owner, submit.group, submit.n_items, submit.input, now)
            .with_digest(submit.digest)
            .with_times(now + submit.due, now + submit.time_left)
            .with_class(submit.class)
            .with_zone(submit.zone)
            .with_result_bytes(submit.result_bytes);
        (submit.key, job)
    }

    pub fn with_digest(mut self, digest: RequestDigest) -> Job {
        self.digest = digest;
        self
    }

    pub fn with_times(mut self, due: Moment, deadline: Moment) -> Job {
        self.due = due;
        self.deadline = deadline;
        self
    }

    pub fn with_class(mut self, class: u8) -> Job {
        self.class = class;
        self
    }

    pub fn with_zone(mut self, zone: Option<ZoneId>) -> Job {
        self.zone = zone;
        self
    }

    pub fn with_result_bytes(mut self, result_bytes: u64) -> Job {
        self.result_bytes = result_bytes;
        self
    }

    pub fn is_waiting(&self) -> bool {
        self.outcome.is_none() && !self.pending.is_empty()
    }

    /// Whether a call that starts now and takes `call` ends too late for the request's objective.
    pub fn is_late(&self, now: Moment, call: Duration) -> bool {
        self.due + DUE_SLACK < now + call
    }

    pub fn settle(&mut self, now: Moment, outcome: JobOutcome) {
        self.outcome = Some(outcome);
        self.settled_at = Some(now);
        self.pending.clear();
    }
}
