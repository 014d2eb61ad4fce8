//! Tests that the events of a response are in force as a whole before anything can be decided on them.

use std::collections::{BTreeMap, BTreeSet};

use cedarpulley::interface::{EndpointListKind, EndpointState};
use cedarpulley_platform::config::Names;
use cedarpulley_platform::discovery::{EndpointListUpdate, WorkerListFollower};
use proptest::prelude::*;

/// The workers that the events name, and the addresses that they may have.
const IDS: [&str; 4] = ["s-1", "s-2", "s-3", "s-4"];
const ADDRESSES: [&str; 2] = ["127.0.0.8:5050", "127.0.0.9:5050"];
const STATES: [&str; 3] = ["active", "leaving", "left"];

/// An entry of an event: indices of the worker, its state and its address.
type Entry = (usize, usize, usize);
/// An event: whether it is the complete list, and its entries.
type Event = (bool, Vec<Entry>);

fn batch_of(first_cursor: usize, events: &[Event]) -> String {
    let event = |(number, (full, entries)): (usize, &Event)| {
        let entry = |&(id, state, address): &Entry| {
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"","kind":"","cell":0,"state":"{}","started_ms":7}}"#,
                IDS[id], ADDRESSES[address], STATES[state]
            )
        };
        let servers: Vec<String> = entries.iter().map(entry).collect();
        format!(
            r#"{{"cursor":{},"nodes":{{"full":{full},"servers":[{}]}}}}"#,
            first_cursor + number,
            servers.join(",")
        )
    };
    let events: Vec<String> = events.iter().enumerate().map(event).collect();
    format!(r#"{{"cursor":0,"cmds":[{}]}}"#, events.join(","))
}

fn apply(
    follower: &mut WorkerListFollower,
    cursor: usize,
    events: &[Event],
) -> Vec<EndpointListUpdate> {
    let batch = serde_json::from_str(&batch_of(cursor, events)).expect("events");
    follower
        .apply_batch(&batch, &Names::default(), 0, 0)
        .expect("a well-formed batch")
}

/// The endpoint list as the router core sees it.
#[derive(Default)]
struct CoreView {
    states: BTreeMap<String, EndpointState>,
    /// Workers that have been gone at least once.
    departed: BTreeSet<String>,
}

impl CoreView {
    fn update(&mut self, update: &EndpointListUpdate) {
        if update.mode == EndpointListKind::Complete {
            let named = |id: &String| update.workers.iter().any(|worker| worker.address == *id);
            let missing = self.states.extract_if(.., |id, _| !named(id));
            self.departed.extend(missing.map(|(id, _)| id));
        }
        for worker in &update.workers {
            if worker.state == EndpointState::Gone {
                if self.states.remove(&worker.address).is_some() {
                    self.departed.insert(worker.address.clone());
                }
            } else {
                self.states.insert(worker.address.clone(), worker.state);
            }
        }
    }
}

/// Guards against a router that stands still for seconds: it chose workers that later events of the same response had
/// taken away, whose orders failed at once and were repeated.
#[test]
fn no_worker_without_an_address_is_in_service_while_a_batch_is_applied() {
    let mut follower = WorkerListFollower::default();
    let mut core = CoreView::default();
    let all = (0..IDS.len()).map(|id| (id, 0, 0)).collect();
    for update in apply(&mut follower, 1, &[(true, all)]) {
        core.update(&update);
    }
    let gone: Vec<Event> = (0..3).map(|id| (false, vec![(id, 2, 0)])).collect();
    for update in apply(&mut follower, 2, &gone) {
        core.update(&update);
        for id in core.states.keys() {
            assert!(follower.address(id).is_some(), "{id} has no address");
        }
    }
    assert_eq!(core.states.keys().collect::<Vec<_>>(), ["s-4"]);
}

fn drawn_batches() -> impl Strategy<Value = Vec<Vec<Event>>> {
    let entry = (0..IDS.len(), 0..STATES.len(), 0..ADDRESSES.len());
    let entries = prop::collection::btree_map(0..IDS.len(), entry, 0..4);
    let entries = entries.prop_map(|entries| {
        let entries = entries.into_iter();
        entries.map(|(id, (_, state, address))| (id, state, address))
    });
    let event = (
        prop::bool::weighted(0.2),
        entries.prop_map(Iterator::collect),
    );
    prop::collection::vec(prop::collection::vec(event, 0..6), 1..5)
}

proptest! {
    /// Applied as batches or one event at a time, the same events give the same list; within a batch every worker in the
    /// list has an address, and a worker that was gone in between is gone for the core, too.
    #[test]
    fn a_batch_gives_the_same_list_as_its_events(batches in drawn_batches()) {
        let (mut whole, mut single) = (WorkerListFollower::default(), WorkerListFollower::default());
        let (mut core, mut reference) = (CoreView::default(), CoreView::default());
        let mut cursor = 1;
        for events in &batches {
            for update in apply(&mut whole, cursor, events) {
                core.update(&update);
                for id in core.states.keys() {
                    prop_assert!(whole.address(id).is_some(), "{} has no address", id);
                }
            }
            let known_before: BTreeSet<String> = reference.states.keys().cloned().collect();
            reference.departed.clear();
            for event in events {
                for update in apply(&mut single, cursor, std::slice::from_ref(event)) {
                    reference.update(&update);
                }
                cursor += 1;
            }
            prop_assert_eq!(&core.states, &reference.states);
            for id in known_before.intersection(&reference.departed) {
                prop_assert!(core.departed.contains(id), "{} was gone", id);
            }
            for id in IDS {
                prop_assert_eq!(whole.address(id), single.address(id));
            }
            core.departed.clear();
        }
    }
}
