//! Checks how many results the stages and the engine of a request are given.

use super::Checker;

impl Checker {
    /// Records how many items a request asks for in each of its two stages; zero omits one.
    pub fn record_items(&self, id: &str, items: [usize; 2]) {
        if let Some(attempt) = self.attempts.borrow_mut().get_mut(id) {
            attempt.items = Some(items);
        }
    }

    /// Checks the number of results that a stage, or the engine of a request, is given.
    pub fn check_inputs(&self, id: &str, stage: Option<u64>, n_inputs: usize) {
        let items = self.attempts.borrow().get(id).and_then(|it| it.items);
        let Some([first, second]) = items else { return };
        let expected = match stage {
            Some(0) => 0,
            Some(_) => first,
            None if second == 0 => first,
            None => second,
        };
        if n_inputs != expected {
            self.add_violation(format!(
                "{id} with {first} and {second} items: {n_inputs} results instead of {expected} for \
                 stage {stage:?}"
            ));
        }
    }
}
