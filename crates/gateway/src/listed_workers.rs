//! The workers of the endpoint list, and the detection of workers that an update removes or replaces.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use cedarpulley::interface::{EndpointListKind, EndpointState};
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_upgrade::Name;

/// Workers by name, shared with the components that read them.
#[derive(Default)]
pub(crate) struct ListedWorkers(Rc<RefCell<BTreeMap<Name, ListedWorker>>>);

impl ListedWorkers {
    /// The shared map, which reflects all updates.
    pub(crate) fn map(&self) -> Rc<RefCell<BTreeMap<Name, ListedWorker>>> {
        self.0.clone()
    }

    /// Applies an update; returns the workers that are gone or have restarted.
    pub(crate) fn apply_update(
        &self,
        kind: EndpointListKind,
        workers: &[ListedWorker],
    ) -> Vec<Name> {
        let mut gone = Vec::new();
        let mut known = self.0.borrow_mut();
        if matches!(kind, EndpointListKind::Complete | EndpointListKind::Cached) {
            let is_listed = |name: &Name| workers.iter().any(|w| *w.address == **name);
            gone.extend(known.keys().filter(|name| !is_listed(name)).cloned());
        }
        for worker in workers {
            let name = Name::from(&*worker.address);
            let previous = known.get(&name);
            let restarted = previous.is_some_and(|p| p.started_at != worker.started_at);
            if restarted || worker.state == EndpointState::Gone {
                gone.push(name.clone());
            }
            if worker.state != EndpointState::Gone {
                known.insert(name, worker.clone());
            }
        }
        let is_absent = |name: &Name| {
            workers
                .iter()
                .all(|w| *w.address != **name || w.state == EndpointState::Gone)
        };
        for name in gone.iter().filter(|name| is_absent(name)) {
            known.remove(name);
        }
        gone
    }
}
