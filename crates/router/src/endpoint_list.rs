//! What the worker list says, though its watch breaks, repeats itself or goes back in time. The list is published
//! in slices (as Kubernetes does with endpoint slices: a listing, then a watch of changes from its version on).
//! Call [`Roster::news`] with each piece that arrives; it says what the module is to be told and what to do next.
//!
//! Mechanisms:
//! 1. Each slice has a version; an older one than known changes nothing.
//! 2. A listing older than what is known is not believed until it has come a few times (the publisher restarted
//!    with fresh numbers); the last view holds meanwhile.
//! 3. A worker named in several slices counts as the newest slice says; equally new ones, as the most cautious.
//! 4. A start is known by its mark; a worker with a new mark has just started, whatever its clock says.

use std::collections::{BTreeMap, HashMap};

use cedarpulley::interface::{EndpointListKind, EndpointState, Micros};

/// So many listings in a row that go back in time mean that the publisher has restarted.
const RESTARTED_AFTER: u32 = 3;
/// Workers that are kept account of; what a list names beyond is left out and counted.
const MOST_WORKERS: usize = 20_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// By which it is known: where it is, or its id where the list gives one.
    pub address: String,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub standing: EndpointState,
    pub weight: f64,
    /// On the router's clock.
    pub started: Option<Micros>,
}

/// One worker as a slice names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub worker: Listed,
    /// Changes whenever the worker's process starts anew.
    pub start_mark: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Slice {
    pub name: String,
    pub version: u64,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Listing {
        version: u64,
        slices: Vec<Slice>,
    },
    Changed(Slice),
    Removed {
        name: String,
        version: u64,
    },
    /// Nothing changed up to this version.
    Bookmark(u64),
    /// The watch ended or could not be had; `too_old`: the version asked for is no longer kept.
    Broken {
        too_old: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Tell the core.
    Tell {
        mode: EndpointListKind,
        workers: Vec<Listed>,
    },
    /// Ask for a whole listing.
    List,
    /// Watch for changes after this version.
    Watch(u64),
}

#[derive(Debug, Default)]
pub struct Roster {
    version: u64,
    slices: BTreeMap<String, Slice>,
    told: BTreeMap<String, Listed>,
    marks: HashMap<String, (String, Option<Micros>)>,
    went_back: u32,
    listed: bool,
    /// A view was told before, so a worker not in it is new.
    joined: bool,
    /// Pieces that were older than what is known, and workers beyond the bound.
    pub stale: u64,
    pub left_out: u64,
}

impl Roster {
    pub fn news(&mut self, now: Micros, news: News) -> Vec<Step> {
        match news {
            News::Listing { version, slices } => {
                if self.listed && version < self.version && self.went_back + 1 < RESTARTED_AFTER {
                    // Symptom: a lagging copy of the publisher answers. Workers long gone would come back.
                    self.went_back += 1;
                    self.stale += 1;
                    return vec![Step::List];
                }
                self.went_back = 0;
                self.listed = true;
                self.version = version;
                self.slices = slices.into_iter().map(|s| (s.name.clone(), s)).collect();
                let view = self.view(now);
                self.told = view.clone();
                let workers = view.into_values().collect();
                vec![
                    Step::Tell {
                        mode: EndpointListKind::Complete,
                        workers,
                    },
                    Step::Watch(version),
                ]
            }
            News::Changed(slice) => {
                let known = self.slices.get(&slice.name).map_or(0, |s| s.version);
                if slice.version <= known || !self.listed {
                    self.stale += 1;
                    return Vec::new();
                }
                self.version = self.version.max(slice.version);
                self.slices.insert(slice.name.clone(), slice);
                self.tell_changes(now)
            }
            News::Removed { name, version } => {
                if self.slices.get(&name).is_none_or(|s| s.version > version) {
                    self.stale += 1;
                    return Vec::new();
                }
                self.version = self.version.max(version);
                self.slices.remove(&name);
                self.tell_changes(now)
            }
            News::Bookmark(version) => {
                self.version = self.version.max(version);
                Vec::new()
            }
            News::Broken { too_old } => {
                let failed = Step::Tell {
                    mode: EndpointListKind::Failed,
                    workers: Vec::new(),
                };
                match self.listed && !too_old {
                    true => vec![failed, Step::Watch(self.version)],
                    false => vec![failed, Step::List],
                }
            }
        }
    }

    fn tell_changes(&mut self, now: Micros) -> Vec<Step> {
        let view = self.view(now);
        let mut workers: Vec<Listed> = view
            .iter()
            .filter(|(a, w)| self.told.get(*a) != Some(w))
            .map(|(_, w)| w.clone())
            .collect();
        let gone = self.told.iter().filter(|(a, _)| !view.contains_key(*a));
        workers.extend(gone.map(|(_, w)| Listed {
            standing: EndpointState::Gone,
            ..w.clone()
        }));
        self.told = view;
        if workers.is_empty() {
            Vec::new()
        } else {
            vec![Step::Tell {
                mode: EndpointListKind::Changes,
                workers,
            }]
        }
    }

    /// Every worker once.
    fn view(&mut self, now: Micros) -> BTreeMap<String, Listed> {
        let caution = |s: EndpointState| match s {
            EndpointState::InService => 0,
            EndpointState::Draining => 1,
            EndpointState::Gone => 2,
        };
        let mut newest: BTreeMap<&str, (u64, &Entry)> = BTreeMap::new();
        for slice in self.slices.values() {
            for entry in &slice.entries {
                let known = newest.get(entry.worker.address.as_str());
                let better = known.is_none_or(|(v, e)| {
                    (slice.version, caution(entry.worker.standing))
                        > (*v, caution(e.worker.standing))
                });
                if better {
                    newest.insert(&entry.worker.address, (slice.version, entry));
                }
            }
        }
        if newest.len() > MOST_WORKERS {
            self.left_out += (newest.len() - MOST_WORKERS) as u64;
        }
        let mut view = BTreeMap::new();
        for (address, (_, entry)) in newest.into_iter().take(MOST_WORKERS) {
            let started = match self.marks.get(address) {
                // The same process: its start is what was made of it first, whatever is said of it now.
                Some((mark, started)) if *mark == entry.start_mark => *started,
                // Symptom: a restarted worker whose clock is off looks old and is pushed over cold.
                Some(_) => Some(now),
                // One that joins later and does not say since when has just come up, for all that is known.
                None => entry
                    .worker
                    .started
                    .map(|s| s.min(now))
                    .or(self.joined.then_some(now)),
            };
            self.marks
                .insert(address.to_owned(), (entry.start_mark.clone(), started));
            view.insert(
                address.to_owned(),
                Listed {
                    started,
                    ..entry.worker.clone()
                },
            );
        }
        self.joined = true;
        self.marks
            .retain(|a, _| view.contains_key(a) || self.told.contains_key(a));
        view
    }
}
