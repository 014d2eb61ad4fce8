//! The interface of the group's shared state for other parts of this router: [`SharedState`]. A part
//! publishes notes, has a majority decide, reads what other members published, and subscribes to changes of
//! its own keys. It needs to know neither the transport nor the agreement protocol.

use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;
use cedarpulley_replica::{Ballot, Input, Key, Note, Record};

use crate::peer_events::PeerEvent;
use crate::peers::Peers;

/// The shared state as other parts of this router use it. Cheap to clone.
#[derive(Clone)]
pub struct SharedState(Rc<Peers>);

/// A member of the group, as other parts see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its name as configured.
    pub name: String,
    /// Its region as configured.
    pub region: String,
    /// It is believed to be alive.
    pub alive: bool,
}

impl SharedState {
    /// The interface of this state.
    pub fn new(peers: Rc<Peers>) -> SharedState {
        SharedState(peers)
    }

    /// `listener` receives events of keys with this prefix, and every change of the believed members. It is
    /// called after the event, never from within a call to this type.
    pub fn subscribe(&self, prefix: &'static str, listener: impl Fn(PeerEvent) + 'static) {
        self.0.subscribe(prefix, Rc::new(listener));
    }

    /// Publishes an observation; a later observation of the same thing needs a higher version. It is
    /// forgotten after `retention` (microseconds).
    pub fn note(&self, key: Key, version: (u64, u64), value: Bytes, retention: Micros) {
        self.0.apply_replica(Input::PublishNote {
            key,
            version,
            value,
            retention,
        });
    }

    /// Has a majority decide the value of a key, one proposal at a time. The value decided, whoever proposed
    /// it, comes as [`PeerEvent::Decided`].
    pub fn choose(&self, key: Key, value: Bytes, retention: Micros) {
        self.0.apply_replica(Input::Choose {
            key,
            value,
            retention,
        });
    }

    /// Asks for the leadership of a key; [`PeerEvent::Decided`] tells whether this member may write in a
    /// term.
    pub fn lead(&self, key: Key, retention: Micros) {
        self.0.apply_replica(Input::Lead { key, retention });
    }

    /// Writes a value in a term that this member leads. Within a term, each value extends the previous one
    /// byte by byte.
    pub fn write(&self, key: Key, ballot: Ballot, value: Bytes, retention: Micros) {
        self.0.apply_replica(Input::Write {
            key,
            ballot,
            value,
            retention,
        });
    }

    /// The latest note that this member knows under a key.
    pub fn latest_note(&self, key: &str) -> Option<Note> {
        self.0.inspect(|state| match state.replica.record(key) {
            Some(Record::Note(note)) => Some(note.clone()),
            _ => None,
        })
    }

    /// The value that this member knows to have been accepted last; a majority may know a later one.
    pub fn accepted(&self, key: &str) -> Option<(Ballot, Bytes)> {
        self.0.inspect(|state| match state.replica.record(key) {
            Some(Record::Choice(choice)) => choice.accepted.clone(),
            _ => None,
        })
    }

    /// The same for all keys with this prefix.
    pub fn all_accepted(&self, prefix: &str) -> Vec<(Key, Ballot, Bytes)> {
        self.0.inspect(|state| {
            let matching = state
                .replica
                .records()
                .filter(|(key, _)| key.starts_with(prefix));
            let accepted = matching.filter_map(|(key, slot)| match &slot.record {
                Record::Choice(choice) => choice
                    .accepted
                    .clone()
                    .map(|(ballot, value)| (key.clone(), ballot, value)),
                _ => None,
            });
            accepted.collect()
        })
    }

    /// Adds a section of this name to `GET /state`.
    pub fn add_state_provider(
        &self,
        name: &'static str,
        provider: impl Fn() -> serde_json::Value + 'static,
    ) {
        self.0.add_state_provider(name, Box::new(provider));
    }

    /// All notes under keys with this prefix.
    pub fn notes(&self, prefix: &str) -> Vec<(Key, Note)> {
        self.0.inspect(|state| {
            let matching = state
                .replica
                .records()
                .filter(|(key, _)| key.starts_with(prefix));
            let notes = matching.filter_map(|(key, slot)| match &slot.record {
                Record::Note(note) => Some((key.clone(), note.clone())),
                _ => None,
            });
            notes.collect()
        })
    }

    /// This router's index among the members.
    pub fn own_index(&self) -> MemberIndex {
        self.0.inspect(|state| state.membership.group().own_index)
    }

    /// All members by index. `alive` is as believed, so that a flapping link does not show.
    pub fn members(&self) -> Vec<MemberView> {
        self.0.inspect(|state| {
            let members = state.membership.group().members.iter().zip(0..);
            let view =
                |(member, index): (&cedarpulley_membership::Member, MemberIndex)| MemberView {
                    name: member.name.clone(),
                    region: member.region.clone(),
                    alive: state.believed.is_alive(index),
                };
            members.map(view).collect()
        })
    }
}
