//! Instances that are killed, or stop for a while.

use super::Simulation;

impl Simulation {
    /// Stops an instance, which still gets everything that is sent to it.
    pub fn freeze(&mut self, instance: usize) {
        if self.instances[instance].is_some() {
            self.frozen.get_or_insert_with(instance, Vec::new);
        }
    }

    /// Lets a frozen instance go on with what has happened meanwhile.
    pub fn thaw(&mut self, instance: usize) {
        for item in self.frozen.remove(&instance).into_iter().flatten() {
            self.process(item);
        }
        self.arm(instance);
    }

    pub fn kill(&mut self, instance: usize) {
        self.frozen.remove(&instance);
        self.break_passed_on(instance);
        self.instances[instance] = None;
        self.incarnations[instance] += 1;
        self.asked.values_mut().for_each(|it| it.retain(|it| it.0 != instance));
        self.begun.retain(|it| it.0 != instance);
        self.answers.retain(|it, _| it.0 != instance);
        self.callers.retain(|(it, _), _| *it != instance);
    }
}
