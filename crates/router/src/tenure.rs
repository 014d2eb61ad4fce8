//! When the index of a worker that is gone may be given out again: once nothing refers to it. Symptom: over a
//! long day new workers take the place of old ones, and whatever is kept by worker grows for ever. Call
//! [`Tenure::follow`] with each list, [`Tenure::hold`] and [`Tenure::let_go`] for what refers to a worker;
//! [`Tenure::ended`] names the free ones.

use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState, WorkerIndex};

#[derive(Clone, Copy, Debug, Default)]
struct Place {
    held: u32,
    listed: bool,
    /// Given out and not yet free again.
    taken: bool,
}

#[derive(Debug, Default)]
pub struct Tenure {
    places: Vec<Place>,
    ended: Vec<WorkerIndex>,
}

impl Tenure {
    pub fn follow(&mut self, mode: EndpointListKind, entries: &[Endpoint]) {
        if mode == EndpointListKind::Failed {
            return;
        }
        if mode != EndpointListKind::Changes {
            self.places.iter_mut().for_each(|p| p.listed = false);
        }
        for e in entries {
            let w = e.worker as usize;
            if self.places.len() <= w {
                self.places.resize(w + 1, Place::default());
            }
            self.places[w].taken = true;
            self.places[w].listed = e.state != EndpointState::Gone;
        }
        (0..self.places.len() as WorkerIndex).for_each(|w| self.look(w));
    }

    /// A dispatch, ended or not, of an invocation that is not over, or an order refers to it.
    pub fn hold(&mut self, worker: WorkerIndex) {
        if let Some(place) = self.places.get_mut(worker as usize) {
            place.held += 1;
        }
    }

    pub fn let_go(&mut self, worker: WorkerIndex) {
        if let Some(place) = self.places.get_mut(worker as usize) {
            place.held = place.held.saturating_sub(1);
            self.look(worker);
        }
    }

    fn look(&mut self, worker: WorkerIndex) {
        let place = &mut self.places[worker as usize];
        if place.taken && !place.listed && place.held == 0 {
            place.taken = false;
            self.ended.push(worker);
        }
    }

    /// Those that have become free since this was last asked.
    pub fn ended(&mut self) -> Vec<WorkerIndex> {
        std::mem::take(&mut self.ended)
    }
}
