//! Availability zones that an operator evacuates: their endpoints get nothing new.
//!
//! They are read from the store, or from a peer. Before that no endpoint gets anything, as a process
//! that has just started may be in the midst of an evacuation; docs/design/load.md weighs that.

use std::time::Duration;

use ferry_model::{Moment, SortedMap, StorePosition, ZoneId, store_era, store_revision};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use super::{EndpointView, Endpoints};

/// The evacuated zones as one instance sends them to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Store position at which they were read.
    pub revision: StorePosition,
    pub zones: Vec<ZoneId>,
}

impl EvacuatedZones {
    /// Replaces the position by the revision of the store.
    pub fn drop_era(&mut self) {
        self.revision = store_revision(self.revision);
    }
}

/// The same as received from a peer, which may be of a later release.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum ReceivedZones {
    Zones(EvacuatedZones),
    Unreadable(IgnoredAny),
}

impl ReceivedZones {
    pub(super) fn readable(self) -> Option<EvacuatedZones> {
        match self {
            ReceivedZones::Zones(zones) => Some(zones),
            ReceivedZones::Unreadable(_) => None,
        }
    }
}

/// One evacuated zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Evacuation {
    since: Moment,
    /// When it ends, if the store has come back from a copy that lacks it: the operator writes again
    /// what was lost.
    until: Option<Moment>,
}

/// What the store says of evacuated zones.
#[derive(Debug, Clone, Default)]
pub(super) struct Evacuations {
    /// Whether the deployment evacuates zones.
    is_used: bool,
    /// Store position at which they were last read; zero before that.
    revision: StorePosition,
    /// Position of the last change, by which peers see that they are behind.
    pub(super) last_change: StorePosition,
    zones: SortedMap<ZoneId, Evacuation>,
    n_changes: u64,
}

impl Evacuations {
    /// Whether it is known which zones are evacuated.
    pub(super) fn is_known(&self) -> bool {
        !self.is_used || 0 < self.revision
    }

    /// Whether endpoints of a zone get nothing.
    fn excludes(&self, zone: &str) -> bool {
        !self.is_known() || self.zones.contains_key(zone)
    }

    fn announced(&self) -> Option<EvacuatedZones> {
        let listed = self.zones.iter().filter(|it| it.1.until.is_none());
        let zones = listed.map(|it| it.0.clone()).collect();
        (0 < self.revision).then_some(EvacuatedZones { revision: self.revision, zones })
    }

    /// Applies a complete list; returns whether it changes anything. Zones that the store has lost
    /// with a former era stay evacuated for `rejoin`.
    fn replace(&mut self, now: Moment, rejoin: Duration, list: &EvacuatedZones) -> bool {
        let EvacuatedZones { revision, zones } = list;
        if *revision <= self.revision {
            return false;
        }
        let is_first = self.revision == 0;
        let is_new_era = store_era(self.revision) < store_era(*revision);
        self.revision = *revision;
        let mut is_changed = is_first;
        let missing = self.zones.iter_mut().filter(|it| !zones.contains(it.0));
        let mut ended = Vec::new();
        for (zone, evacuation) in missing {
            match is_new_era || evacuation.until.is_some() {
                true => evacuation.until = evacuation.until.or(Some(now + rejoin)),
                false => ended.push(zone.clone()),
            }
        }
        for zone in ended {
            is_changed |= self.zones.remove(&zone).is_some();
        }
        for zone in zones {
            is_changed |= self.add(now, zone);
        }
        if is_changed && !is_first {
            self.last_change = self.last_change.max(*revision);
        }
        self.n_changes += u64::from(is_changed);
        is_changed
    }

    /// Applies that one zone is evacuated, or no longer; returns whether that is new.
    fn set(
        &mut self,
        now: Moment,
        revision: StorePosition,
        zone: &ZoneId,
        is_evacuated: bool,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        let is_changed = match is_evacuated {
            true => self.add(now, zone),
            false => self.zones.remove(zone).is_some(),
        };
        if is_changed {
            self.last_change = self.last_change.max(revision);
            self.n_changes += 1;
        }
        is_changed
    }

    fn add(&mut self, now: Moment, zone: &ZoneId) -> bool {
        let is_new = !self.zones.contains_key(zone);
        let begin = || Evacuation { since: now, until: None };
        self.zones.get_or_insert_with(zone.clone(), begin).until = None;
        is_new
    }

    /// Ends the evacuations that the store has lost; returns whether there were any.
    fn expire(&mut self, now: Moment) -> bool {
        let n_before = self.zones.len();
        self.zones.retain(|_, it| it.until.is_none_or(|until| now < until));
        let is_changed = self.zones.len() != n_before;
        if is_changed {
            self.last_change = self.last_change.max(self.revision);
            self.n_changes += 1;
        }
        is_changed
    }
}

impl EndpointView {
    /// Whether anything may be sent to it, as far as its entry, its responses and the operator say.
    pub fn may_be_called(&self) -> bool {
        !self.leaves() && !self.is_evacuated
    }

    /// Whether its zone is evacuated, or it is not known yet which ones are.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }
}

impl Endpoints {
    /// Requires that the evacuated zones are known before any endpoint gets anything.
    pub fn with_evacuations(mut self) -> Endpoints {
        self.evacuations.is_used = true;
        self
    }

    /// Returns the evacuated zones, and since when each is.
    pub fn evacuated(&self) -> impl Iterator<Item = (&ZoneId, Moment)> {
        self.evacuations.zones.iter().map(|(zone, it)| (zone, it.since))
    }

    /// Counts the changes to the evacuated zones.
    pub fn n_evacuation_changes(&self) -> u64 {
        self.evacuations.n_changes
    }

    /// Returns the evacuated zones for a peer; none before they are known.
    pub(super) fn announced_zones(&self) -> Option<EvacuatedZones> {
        self.evacuations.announced()
    }

    /// Applies a complete list of evacuated zones; returns whether it changes anything.
    pub(super) fn replace_zones(
        &mut self,
        now: Moment,
        rejoin: Duration,
        list: &EvacuatedZones,
    ) -> bool {
        let before: Vec<ZoneId> = self.evacuations.zones.keys().cloned().collect();
        let is_changed = self.evacuations.replace(now, rejoin, list);
        self.presume_ended_cold(now, before);
        is_changed
    }

    /// Applies that one zone is evacuated, or no longer; returns whether that is new.
    pub(super) fn set_zone(
        &mut self,
        now: Moment,
        revision: StorePosition,
        zone: &ZoneId,
        is_evacuated: bool,
    ) -> bool {
        let is_changed = self.evacuations.set(now, revision, zone, is_evacuated);
        if is_changed && !is_evacuated {
            self.presume_zone_cold(now, zone);
        }
        is_changed
    }

    /// Ends the evacuations that the store has lost.
    pub(super) fn expire_zones(&mut self, now: Moment) {
        let before: Vec<ZoneId> = self.evacuations.zones.keys().cloned().collect();
        if self.evacuations.expire(now) {
            self.presume_ended_cold(now, before);
            self.index();
        }
    }

    /// Takes the endpoints for cold of the zones among `before` that are no longer evacuated.
    fn presume_ended_cold(&mut self, now: Moment, before: Vec<ZoneId>) {
        let mut ended = before;
        ended.retain(|it| !self.evacuations.zones.contains_key(it));
        ended.iter().for_each(|it| self.presume_zone_cold(now, it));
    }

    /// Returns when an evacuation ends that the store has lost.
    pub(super) fn next_zone_end(&self) -> Option<Moment> {
        self.evacuations.zones.values().filter_map(|it| it.until).min()
    }

    /// Marks the endpoints of evacuated zones.
    pub(super) fn mark_evacuated(&mut self) {
        let evacuations = &self.evacuations;
        for view in self.views.values_mut() {
            view.is_evacuated = evacuations.excludes(&view.endpoint.zone);
        }
    }
}
