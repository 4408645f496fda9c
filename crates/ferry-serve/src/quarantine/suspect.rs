//! What speaks against one part, and whether it is enough.

use std::time::Duration;

use ferry_model::Moment;

use super::{Exposure, Timing};

/// Incidents that convict a part if all have the timing of one that crashes endpoints, it stood in
/// nearly all incidents since its first one, and it was not sound less than `LATELY` before.
/// Endpoints that are killed one after the other hit the same part several times by chance, but seldom
/// at the same moment of its calls, and others between.
const MIN_INCIDENTS: usize = 4;
/// Incidents that convict one that was sound lately, or did not stand in nearly all.
const MORE_INCIDENTS: usize = 5;
/// Incidents that convict one in any case.
const MAX_INCIDENTS: usize = 7;
/// Crashes that stand for one more incident, as incidents are joined if requests come fast; for two if
/// as many attempts as `MANY_ATTEMPTS` had the part and no answer on it was ever sound.
const MANY_CRASHES: usize = 5;
const MANY_ATTEMPTS: usize = 3;
/// Fraction of incidents that counts as nearly all.
const MIN_SHARE: f64 = 0.65;
const LATELY: Duration = Duration::from_secs(60);
/// Attempts that must have had the part.
const N_ATTEMPTS: usize = 2;

/// What it takes to convict a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartNeed {
    /// It is in quarantine.
    Known,
    /// It was, until no request came with it.
    Once,
    Several,
}

/// What speaks against a part.
#[derive(Debug, Clone)]
pub struct Suspect {
    pub incidents: Count,
    crashes: Count,
    /// Incidents with the timing of a part that crashes endpoints once it was sent to them.
    sent: Count,
    /// The same once they have begun to write.
    begun: Count,
    first: Moment,
    first_incident: usize,
    attempts: Vec<u32>,
    /// Its last place in a prompt.
    pub place: u8,
}

/// Counts what comes in order of its numbers, each once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Count {
    n: usize,
    last: Option<usize>,
}

impl Count {
    fn add(&mut self, number: usize) {
        if self.last != Some(number) {
            (self.n, self.last) = (self.n + 1, Some(number));
        }
    }

    pub fn get(self) -> usize {
        self.n
    }
}

impl Suspect {
    pub fn new(first: Moment, incident: usize) -> Suspect {
        Suspect {
            incidents: Count::default(),
            crashes: Count::default(),
            sent: Count::default(),
            begun: Count::default(),
            first,
            first_incident: incident,
            attempts: Vec::new(),
            place: 0,
        }
    }

    pub fn add(&mut self, crash: usize, incident: usize, exposure: &Exposure) {
        self.crashes.add(crash);
        self.incidents.add(incident);
        match exposure.timing {
            Timing::Sent => self.sent.add(incident),
            Timing::Begun => self.begun.add(incident),
            Timing::Other => (),
        }
        if self.attempts.len() < MANY_ATTEMPTS && !self.attempts.contains(&exposure.attempt) {
            self.attempts.push(exposure.attempt);
        }
        self.place = self.place.max(exposure.place);
    }

    /// Whether it is enough. `incident` is the number of the last one, and `sound` says when the last
    /// sound answer on the part began.
    pub fn is_convicted(&self, need: PartNeed, incident: usize, sound: Option<Moment>) -> bool {
        let n_since = incident + 1 - self.first_incident;
        let is_usual = MIN_SHARE <= self.incidents.n as f64 / n_since as f64;
        let was_sound = sound.is_some_and(|it| self.first < it + LATELY);
        let n_timed = self.sent.n.max(self.begun.n);
        let is_new = sound.is_none() && MANY_ATTEMPTS <= self.attempts.len();
        let n_joined = match MANY_CRASHES <= self.crashes.n {
            true => 1 + usize::from(is_new),
            false => 0,
        };
        match need {
            PartNeed::Known => false,
            PartNeed::Once => true,
            PartNeed::Several if self.attempts.len() < N_ATTEMPTS => false,
            PartNeed::Several if is_usual && !was_sound => {
                MIN_INCIDENTS <= n_timed + n_joined || MAX_INCIDENTS <= self.incidents.n
            }
            PartNeed::Several => MORE_INCIDENTS <= n_timed || MAX_INCIDENTS <= self.incidents.n,
        }
    }
}
