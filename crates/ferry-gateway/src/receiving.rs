//! Requests whose bodies are on the way, for which a shutdown waits.

use std::rc::Rc;

use ferry_serve::Event;

use crate::driver::{Driver, Phase};

/// A request whose body is on the way.
#[derive(Debug)]
pub struct ReceivingGuard {
    driver: Rc<Driver>,
}

impl ReceivingGuard {
    pub fn new(driver: &Rc<Driver>) -> ReceivingGuard {
        driver.n_receiving.set(driver.n_receiving.get() + 1);
        report(driver);
        ReceivingGuard { driver: driver.clone() }
    }
}

impl Drop for ReceivingGuard {
    fn drop(&mut self) {
        self.driver.n_receiving.set(self.driver.n_receiving.get() - 1);
        report(&self.driver);
    }
}

/// Tells the reducer how many there are, which it needs to know only during a shutdown.
pub fn report(driver: &Rc<Driver>) {
    let phase = *driver.phase.borrow();
    match phase {
        Phase::Serving | Phase::Stopped => (),
        Phase::Leaving | Phase::Closing => {
            driver.dispatch(Event::Receiving { n_requests: driver.n_receiving.get() });
        }
    }
}
