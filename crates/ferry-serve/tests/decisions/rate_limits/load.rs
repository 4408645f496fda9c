//! Requests that arrive at a steady pace, and what endpoints get of them.

use std::time::Duration;

use ferry_model::Moment;
use ferry_serve::RequestHead;

use crate::simulation::{Received, Simulation, head, ms};

/// Span in which requests are counted.
pub const WINDOW: Duration = ms(4_000);
/// Time after an endpoint first named its limit from which it holds.
pub const LEARNING_TIME: Duration = ms(3_000);

/// Requests that arrive at a steady pace, at one instance after the other.
pub struct Load {
    routes: &'static [&'static str],
    per_second: u64,
    n_sent: u64,
    /// Number of keys of different workspaces; none for the common key.
    n_keys: Option<u64>,
    /// Time for which callers wait, if it is another one than usual.
    time_left: Option<Duration>,
    /// The only instance that gets requests; none if all do.
    instance: Option<usize>,
}

impl Load {
    pub fn new(routes: &'static [&'static str], per_second: u64) -> Load {
        Load { routes, per_second, n_sent: 0, n_keys: None, time_left: None, instance: None }
    }

    /// Returns the number of requests that were sent.
    pub fn n_sent(&self) -> u64 {
        self.n_sent
    }

    pub fn with_time_left(self, time_left: Duration) -> Load {
        Load { time_left: Some(time_left), ..self }
    }

    pub fn with_instance(self, instance: usize) -> Load {
        Load { instance: Some(instance), ..self }
    }

    pub fn with_keys(self, n_keys: u64) -> Load {
        Load { n_keys: Some(n_keys), ..self }
    }

    /// Returns the number of the key of a request.
    pub fn key_of(number: u64, n_keys: u64) -> u64 {
        number / 2 % n_keys
    }

    /// Sends requests for a while and returns their attempts.
    pub fn send(&mut self, sim: &mut Simulation, time: Duration) -> Vec<String> {
        let until = sim.now + time;
        let mut attempts = Vec::new();
        while sim.now < until {
            let number = self.n_sent;
            self.n_sent += 1;
            let route = self.routes[number as usize % self.routes.len()];
            let attempt = format!("{route}-{number}");
            // Neighbours in the order of arrival have no prompt parts and no instance in common.
            let instance = (number * 7 % sim.instances.len() as u64) as usize;
            let instance = self.instance.unwrap_or(instance);
            if sim.instances[instance].is_some() {
                let mut head = head_of(route, &attempt, number);
                head.time_left = self.time_left.or(head.time_left);
                if let Some(n_keys) = self.n_keys {
                    head.key = Some(format!("key-{}", Load::key_of(number, n_keys)));
                }
                sim.arrive(instance, &attempt, head);
                attempts.push(attempt);
            }
            sim.run_for(Duration::from_secs(1) / self.per_second as u32);
        }
        attempts
    }
}

fn head_of(route: &str, attempt: &str, number: u64) -> RequestHead {
    let mut head = head(route, attempt);
    head.prompt[0].id = 100 + number % 12;
    head.prompt[1].id = 1_000 + number;
    head
}

/// Returns the largest number of requests that reached an endpoint within the window, from a moment
/// on, as far as `counts` counts them.
pub fn most_in_window(
    sim: &Simulation,
    id: &str,
    from: Moment,
    counts: impl Fn(&Received) -> bool,
) -> usize {
    let arrivals = &sim.endpoints.get(id).expect("the endpoint exists").arrivals;
    let counted = arrivals.iter().filter(|it| from <= it.at && counts(it));
    let counted: Vec<Moment> = counted.map(|it| it.at).collect();
    let in_window = |first: &Moment| {
        counted.iter().filter(|it| *first <= **it && **it < *first + WINDOW).count()
    };
    counted.iter().map(in_window).max().unwrap_or_default()
}

/// Returns the requests that an endpoint may get within the window by the platform's rule.
pub fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the requests that reached an endpoint within a span, as a share of those that it takes.
pub fn used_share(sim: &Simulation, id: &str, rate: f64, from: Moment, until: Moment) -> f64 {
    let arrivals = &sim.endpoints.get(id).expect("the endpoint exists").arrivals;
    let n_arrivals = arrivals.iter().filter(|it| from <= it.at && it.at < until).count();
    n_arrivals as f64 / (rate * (until - from).as_secs_f64())
}

/// Returns the requests that an endpoint takes within the window at its rate: one may have waited, and
/// the window begins and ends between two.
pub fn taken(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64()) as usize + 2
}
