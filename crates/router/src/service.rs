//! Until when new work may leave for a worker: a last look for what was decided a while ago and is only now
//! about to leave. Call [`Service::follow`] with each list; [`Service::takes_new`] answers.

use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState, Micros, WorkerIndex};

#[derive(Debug, Default)]
pub struct Service {
    grace: Micros,
    /// By worker.
    until: Vec<Micros>,
}

impl Service {
    pub fn new(grace: Micros) -> Self {
        Service {
            grace,
            until: Vec::new(),
        }
    }

    pub fn follow(&mut self, now: Micros, mode: EndpointListKind, entries: &[Endpoint]) {
        if mode == EndpointListKind::Failed {
            return;
        }
        let stops = now + self.grace;
        if mode != EndpointListKind::Changes {
            // Whoever is not named any more is gone, like one that is told to be gone.
            let named = |w: usize| entries.iter().any(|e| e.worker as usize == w);
            (0..self.until.len())
                .filter(|&w| !named(w))
                .for_each(|w| self.until[w] = self.until[w].min(now));
        }
        for e in entries {
            let w = e.worker as usize;
            if self.until.len() <= w {
                self.until.resize(w + 1, Micros::MIN);
            }
            self.until[w] = match e.state {
                EndpointState::InService => Micros::MAX,
                // Symptom: it was told so while the list was out of reach, and what waited for a connection leaves within
                // a grace that is long over. Nothing is lost by holding it back: nobody is there to serve it.
                EndpointState::Gone => self.until[w].min(now),
                // First heard of now, or told again: what was told first counts.
                EndpointState::Draining if self.until[w] == Micros::MIN => stops,
                EndpointState::Draining => self.until[w].min(stops),
            };
        }
    }

    /// This index goes to another worker.
    pub fn forget(&mut self, worker: WorkerIndex) {
        if let Some(until) = self.until.get_mut(worker as usize) {
            *until = Micros::MIN;
        }
    }

    pub fn takes_new(&self, now: Micros, worker: WorkerIndex) -> bool {
        self.until
            .get(worker as usize)
            .is_some_and(|until| now < *until)
    }
}
