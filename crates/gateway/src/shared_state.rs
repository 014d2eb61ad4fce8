//! The interface of the group's shared state for the other components of this router: [`SharedState`]. A component
//! publishes notes, has values decided by a majority, reads notes published by other members, and subscribes to
//! changes of its own keys. It depends neither on the transport nor on the agreement protocol.

use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;
use cedarpulley_replica::{Ballot, Input, Key, Note, Record};

use crate::peer_events::PeerEvent;
use crate::peers::Peers;

/// The shared state as used by the other components of this router. Cheap to clone.
#[derive(Clone)]
pub struct SharedState(Rc<Peers>);

/// A member of the group, as seen by the other components.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Configured name of the member.
    pub name: String,
    /// Configured region of the member.
    pub region: String,
    /// Whether the member is considered alive.
    pub alive: bool,
}

impl SharedState {
    /// Creates the interface of the state in `peers`.
    pub fn new(peers: Rc<Peers>) -> SharedState {
        SharedState(peers)
    }

    /// Subscribes to events of keys with this prefix, and to every change of the members considered alive. `listener`
    /// is called after the event, never from within a call to this type.
    pub fn subscribe(&self, prefix: &'static str, listener: impl Fn(PeerEvent) + 'static) {
        self.0.subscribe(prefix, Rc::new(listener));
    }

    /// Publishes a note; a later note under the same key needs a higher version. It is deleted after `retention`
    /// (microseconds).
    pub fn note(&self, key: Key, version: (u64, u64), value: Bytes, retention: Micros) {
        self.0.apply_replica(Input::PublishNote {
            key,
            version,
            value,
            retention,
        });
    }

    /// Proposes a value for a key, to be decided by a majority; one proposal is processed at a time. The decided value,
    /// which may have been proposed by another member, is reported as [`PeerEvent::Decided`].
    pub fn choose(&self, key: Key, value: Bytes, retention: Micros) {
        self.0.apply_replica(Input::Choose {
            key,
            value,
            retention,
        });
    }

    /// Requests the leadership of a key; [`PeerEvent::Decided`] reports whether this member may write in a
    /// term.
    pub fn request_leadership(&self, key: Key, retention: Micros) {
        self.0
            .apply_replica(Input::RequestLeadership { key, retention });
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

    /// The latest note under a key that this member has stored.
    pub fn latest_note(&self, key: &str) -> Option<Note> {
        self.0.inspect(|state| match state.replica.record(key) {
            Some(Record::Note(note)) => Some(note.clone()),
            _ => None,
        })
    }

    /// The value of a key that this member accepted last; a majority may have accepted a later one.
    pub fn accepted(&self, key: &str) -> Option<(Ballot, Bytes)> {
        self.0.inspect(|state| match state.replica.record(key) {
            Some(Record::Choice(choice)) => choice.accepted.clone(),
            _ => None,
        })
    }

    /// The values of all keys with this prefix that this member accepted last.
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

    /// Adds a section with this name to the response of `GET /state`.
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

    /// All members, by index. [`MemberView::alive`] is taken from the stabilized view, so that a flapping link does not
    /// change it repeatedly.
    pub fn members(&self) -> Vec<MemberView> {
        self.0.inspect(|state| {
            let members = state.membership.group().members.iter().zip(0..);
            let view =
                |(member, index): (&cedarpulley_membership::Member, MemberIndex)| MemberView {
                    name: member.name.clone(),
                    region: member.region.clone(),
                    alive: state.stable_view.is_alive(index),
                };
            members.map(view).collect()
        })
    }
}
