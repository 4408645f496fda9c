//! A map stored as a sorted vector with binary search.

use serde::{Deserialize, Serialize};

/// A map that iterates in key order, which makes replays deterministic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K: Ord, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        SortedMap::new()
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    pub const fn new() -> SortedMap<K, V> {
        SortedMap { entries: Vec::new() }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|idx| &self.entries[idx].1)
    }

    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|idx| &mut self.entries[idx].1)
    }

    /// Returns the value at a position in key order.
    pub fn get_index(&self, idx: usize) -> Option<&V> {
        self.entries.get(idx).map(|(_, value)| value)
    }

    pub fn contains_key<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).is_ok()
    }

    /// Inserts the value, and returns the previous value of the key.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(idx) => Some(std::mem::replace(&mut self.entries[idx].1, value)),
            Err(idx) => {
                self.entries.insert(idx, (key, value));
                None
            }
        }
    }

    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|idx| self.entries.remove(idx).1)
    }

    /// Returns the value of `key`, inserting the result of `make` if the key is missing.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let idx = match self.position(&key) {
            Ok(idx) => idx,
            Err(idx) => {
                self.entries.insert(idx, (key, make()));
                idx
            }
        };
        &mut self.entries[idx].1
    }

    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.entries.iter().map(|(key, _)| key)
    }

    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.entries.iter().map(|(_, value)| value)
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.iter_mut().map(|(_, value)| value)
    }

    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    fn position<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.entries.binary_search_by(|(it, _)| it.borrow().cmp(key))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    /// Keeps the last value of each key.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(iter: I) -> Self {
        let mut entries: Vec<(K, V)> = iter.into_iter().collect();
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        entries.dedup_by(|later, kept| {
            let is_same = later.0 == kept.0;
            if is_same {
                std::mem::swap(&mut later.1, &mut kept.1);
            }
            is_same
        });
        SortedMap { entries }
    }
}
