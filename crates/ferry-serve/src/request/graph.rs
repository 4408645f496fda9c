//! Which stages of a request read which, if it omits some.
//!
//! A stage without items is omitted: what comes after it reads the nearest stages before it that have
//! items. Where there are none, it reads the input of the request, like a first stage.

use ferry_model::RouteStage;

/// The stages of a request that have items, and what each of them reads.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StageGraph {
    /// By stage: the stages with items whose results it reads, sorted; none if it is omitted.
    reads: Vec<Option<Vec<usize>>>,
}

impl StageGraph {
    /// Returns the graph of a request with this number of items in each stage; a stage beyond the
    /// list has none.
    pub fn new(stages: &[RouteStage], items: &[u16]) -> StageGraph {
        let has_items = |idx: usize| items.get(idx).is_some_and(|it| 0 < *it);
        let reads = (0..stages.len()).map(|idx| {
            has_items(idx).then(|| {
                let mut visited = Vec::new();
                let mut reads = Vec::new();
                let mut pending = stages[idx].after.clone();
                while let Some(before) = pending.pop() {
                    if visited.contains(&before) || stages.len() <= before {
                        continue;
                    }
                    visited.push(before);
                    match has_items(before) {
                        true => reads.push(before),
                        false => pending.extend(&stages[before].after),
                    }
                }
                reads.sort_unstable();
                reads
            })
        });
        StageGraph { reads: reads.collect() }
    }

    pub fn has_items(&self, idx: usize) -> bool {
        self.reads.get(idx).is_some_and(Option::is_some)
    }

    /// Returns the stages whose results a stage reads, sorted.
    pub fn reads(&self, idx: usize) -> &[usize] {
        self.reads.get(idx).and_then(Option::as_deref).unwrap_or_default()
    }

    /// Returns the stages that read the results of a stage.
    pub fn readers(&self, idx: usize) -> impl Iterator<Item = usize> {
        (0..self.reads.len()).filter(move |it| self.reads(*it).contains(&idx))
    }

    /// Returns the stages with items whose results no other stage reads: the endpoint of the request
    /// does.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        let is_last = |idx: &usize| self.has_items(*idx) && self.readers(*idx).next().is_none();
        (0..self.reads.len()).filter(is_last)
    }
}
