//! Which candidates enough speaks for, the likeliest first.

use std::cmp::Reverse;
use std::time::Duration;

use ferry_model::{Moment, SortedMap};

use super::{CHANCE_TIME, Crash, INCIDENT_TIME, PoolRecord};
use crate::quarantine::CrashCandidate;
use crate::quarantine::evidence::{Evidence, PoolCalls, PoolLoad, Standing};

impl PoolRecord {
    /// Returns the candidates for which enough speaks, the likeliest first: one that was never sound;
    /// then the one with most incidents; then the one that was not sound for longest, as one that many
    /// share is often sound; then a whole request before a part, and a part that fewer requests have,
    /// as fewer suffer if it is the wrong one. If the likeliest may have been hit by chance, only parts
    /// are returned that were never sound and have not. A part that nearly all requests have is no
    /// candidate: its quarantine would close the pool.
    pub(super) fn likely(
        &self,
        now: Moment,
        load: PoolLoad,
        standing: &impl Fn(CrashCandidate) -> Standing,
    ) -> Vec<CrashCandidate> {
        let open: Vec<&Crash> =
            self.crashes.iter().filter(|it| !it.is_explained(standing)).collect();
        let evidence = self.evidence(&open);
        let was_sound = |it: &CrashCandidate| self.sound.contains_key(it);
        let fits = |(candidate, it): &(&CrashCandidate, &Evidence)| {
            !self.is_common(**candidate)
                && it.is_enough(**candidate, standing(**candidate), was_sound(candidate))
        };
        let mut likely: Vec<(CrashCandidate, &Evidence)> =
            evidence.iter().filter(fits).map(|it| (*it.0, it.1)).collect();
        self.sort_candidates(&mut likely);
        let is_certain = |(candidate, it): &(CrashCandidate, &Evidence)| {
            let calls = pool_calls(now, load, &open, *candidate);
            standing(*candidate) == Standing::Expired
                || it.is_unlikely_by_chance(*candidate, was_sound(candidate), calls)
        };
        // A victim of many crashes must not hide a part that chance cannot explain.
        if !likely.first().is_some_and(is_certain) {
            likely.retain(|it| is_part(it.0) && !was_sound(&it.0) && is_certain(it));
        }
        likely.into_iter().map(|it| it.0).collect()
    }

    /// Sorts candidates, the likeliest first, as [`PoolRecord::likely`] has them.
    pub(super) fn sort_candidates(&self, candidates: &mut [(CrashCandidate, &Evidence)]) {
        candidates.sort_by(|(a, x), (b, y)| {
            let key = |it: &CrashCandidate, evidence: &Evidence| {
                let sound = self.sound.get(it).copied();
                (sound.is_some(), Reverse(evidence.n_incidents()), sound, is_part(*it))
            };
            let order = key(a, x).cmp(&key(b, y));
            let order = order.then_with(|| self.fraction(*a).total_cmp(&self.fraction(*b)));
            order.then_with(|| (Reverse(x.place), a).cmp(&(Reverse(y.place), b)))
        });
    }

    /// Returns what speaks for each candidate of these crashes, which are in the order of time.
    pub(super) fn evidence(&self, crashes: &[&Crash]) -> SortedMap<CrashCandidate, Evidence> {
        let mut evidence: SortedMap<CrashCandidate, Evidence> = SortedMap::new();
        let (mut incident, mut began) = (0, Moment::ZERO);
        for (number, crash) in crashes.iter().enumerate() {
            if incident == 0 || began + INCIDENT_TIME < crash.at {
                (incident, began) = (incident + 1, crash.at);
            }
            let n_broken = crash.n_calls();
            for exposure in &crash.exposures {
                let candidate = exposure.candidate;
                if self.sound.get(&candidate).is_none_or(|it| *it < crash.at) {
                    let evidence = evidence.get_or_insert_with(candidate, Evidence::default);
                    evidence.add(number, incident, n_broken, exposure);
                }
            }
        }
        evidence
    }

    pub(super) fn is_common(&self, candidate: CrashCandidate) -> bool {
        match candidate {
            CrashCandidate::Part(part) => self.arrivals.is_common(part),
            CrashCandidate::Request(_) => false,
        }
    }

    /// Returns the fraction of the requests that a candidate stands for.
    fn fraction(&self, candidate: CrashCandidate) -> f64 {
        match candidate {
            CrashCandidate::Part(part) => self.arrivals.fraction(part),
            CrashCandidate::Request(_) => 0.0,
        }
    }
}

fn is_part(candidate: CrashCandidate) -> bool {
    matches!(candidate, CrashCandidate::Part(_))
}

/// Returns the calls of a pool since the first of these crashes that counts, and the crashes without a
/// candidate.
fn pool_calls(
    now: Moment,
    load: PoolLoad,
    crashes: &[&Crash],
    candidate: CrashCandidate,
) -> PoolCalls {
    let recent = || crashes.iter().filter(|it| now < it.at + CHANCE_TIME);
    let span = recent().next().map_or(Duration::ZERO, |it| now.saturating_sub(it.at));
    let n_others = recent().filter(|it| !it.has(candidate)).count();
    let endpoint_time = span.as_secs_f64() * load.n_endpoints as f64;
    PoolCalls {
        n_broken: recent().map(|it| it.n_calls()).sum(),
        n_sound: load.sound_rate * span.as_secs_f64(),
        crash_rate: n_others as f64 / endpoint_time.max(f64::MIN_POSITIVE),
    }
}
