//! What a part of this router may have of its group, and no more: [`Shared`]. It notes what it observed, has a majority
//! decide, reads what others made known, and hears of changes to keys of its own. Who rests on it knows neither the
//! sockets nor how the group agrees.

use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIx;
use cedarpulley_replica::{Ballot, Input, Key, Note, Record};

use crate::fellows::{Fellows, News};

#[derive(Clone)]
pub struct Shared(Rc<Fellows>);

/// A member as a part sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fellow {
    pub name: String,
    pub region: String,
    pub alive: bool,
}

impl Shared {
    pub fn new(fellows: Rc<Fellows>) -> Shared {
        Shared(fellows)
    }

    /// Hears of keys that begin with this, and of who is believed alive; after what happened, never within a call.
    pub fn listen(&self, prefix: &'static str, hear: impl Fn(News) + 'static) {
        self.0.listen(prefix, Rc::new(hear));
    }

    /// A later observation of the same thing has a higher version. `kept`: forgotten after so long.
    pub fn note(&self, key: Key, version: (u64, u64), value: Bytes, kept: Micros) {
        self.0.replica(Input::Noted { key, version, value, kept });
    }

    /// Comes to `News::Decided` with what was decided, whoever proposed it. One at a time for a key.
    pub fn choose(&self, key: Key, value: Bytes, kept: Micros) {
        self.0.replica(Input::Choose { key, value, kept });
    }

    /// Comes to `News::Decided`: this member may write in a term, or not.
    pub fn lead(&self, key: Key, kept: Micros) {
        self.0.replica(Input::Lead { key, kept });
    }

    /// Values of one term grow, byte by byte.
    pub fn write(&self, key: Key, ballot: Ballot, value: Bytes, kept: Micros) {
        self.0.replica(Input::Write { key, ballot, value, kept });
    }

    pub fn noted(&self, key: &str) -> Option<Note> {
        self.0.look(|_, _, _, replica, _, _| match replica.record(key) {
            Some(Record::Note(note)) => Some(note.clone()),
            _ => None,
        })
    }

    /// What this member knows to have been accepted last; a majority may know more.
    pub fn accepted(&self, key: &str) -> Option<(Ballot, Bytes)> {
        self.0.look(|_, _, _, replica, _, _| match replica.record(key) {
            Some(Record::Choice(choice)) => choice.accepted.clone(),
            _ => None,
        })
    }

    /// All that this member knows to have been accepted last under keys that begin so.
    pub fn all_accepted(&self, prefix: &str) -> Vec<(Key, Ballot, Bytes)> {
        self.0.look(|_, _, _, replica, _, _| {
            let ours = replica.records().filter(|(key, _)| key.starts_with(prefix));
            let accepted = ours.filter_map(|(key, slot)| match &slot.record {
                Record::Choice(choice) => {
                    choice.accepted.clone().map(|(ballot, value)| (key.clone(), ballot, value))
                }
                _ => None,
            });
            accepted.collect()
        })
    }

    /// An operator reads it under this name in `GET /state`.
    pub fn show(&self, name: &'static str, shown: impl Fn() -> serde_json::Value + 'static) {
        self.0.show(name, Box::new(shown));
    }

    /// All notes under keys that begin so.
    pub fn notes(&self, prefix: &str) -> Vec<(Key, Note)> {
        self.0.look(|_, _, _, replica, _, _| {
            let ours = replica.records().filter(|(key, _)| key.starts_with(prefix));
            let notes = ours.filter_map(|(key, slot)| match &slot.record {
                Record::Note(note) => Some((key.clone(), note.clone())),
                _ => None,
            });
            notes.collect()
        })
    }

    pub fn me(&self) -> MemberIx {
        self.0.look(|_, membership, _, _, _, _| membership.group().me)
    }

    /// By index; alive as it is believed, so that a flapping link does not show.
    pub fn fellows(&self) -> Vec<Fellow> {
        self.0.look(|_, membership, believed, _, _, _| {
            let members = membership.group().members.iter().zip(0..);
            let fellow = |(m, ix): (&cedarpulley_membership::Member, MemberIx)| Fellow {
                name: m.name.clone(),
                region: m.region.clone(),
                alive: believed.is_alive(ix),
            };
            members.map(fellow).collect()
        })
    }
}
