//! The group that this router belongs to, as one part of the process: who is alive (`cedarpulley-membership`) and what
//! is shared (`cedarpulley-replica`). It decides nothing of its own: what the core asks and what comes from other
//! members goes to those two, and what they want is carried out here, through the desk and [`Post`].
//!
//! Called with [`Fellows::ask`] for what the core asks, [`Fellows::heard`] for what came from a member, and
//! [`Fellows::tick`] when [`Fellows::rings`] says so.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_membership::{self as membership, Believed, Group, MemberIx, Membership, Process};
use cedarpulley_net::Alarm;
use cedarpulley_replica::{self as replica, Guard, Need, Replica};
use cedarpulley_router::group::{self, Ask, Refusal, Told};
use cedarpulley_router::{Answer, Fate, Input, Payload, Reason};
use serde::{Deserialize, Serialize};
use smol::channel::{Receiver, Sender};

use crate::desk::Desk;
use crate::strangers::{Refused, Strange, Strangers};

/// A first message of a member may have been under way for ever, for all that is known.
const UNKNOWN_TRANSIT: Micros = Micros::MAX / 4;

/// What a router is told of its group.
#[derive(Clone, Debug)]
pub struct Peers {
    pub listen: SocketAddr,
    pub group: Group,
    /// Where each member is reached from here, in the group's order.
    pub addresses: Vec<SocketAddr>,
    pub folder: Option<PathBuf>,
    pub probe_every: Micros,
    pub answer_within: Micros,
    pub suspected_for: Micros,
    /// A change of who is alive is believed after this time.
    pub believed_after: Micros,
    pub kept: Micros,
    pub copied_within: Micros,
    pub catch_up_bytes_per_s: u64,
    pub most_records: usize,
}

impl Peers {
    /// Leave has grown old before another member can take this one for dead.
    pub fn leave_kept(&self) -> Micros {
        self.suspected_for / 2
    }
}

/// What goes from one member to another in one piece.
#[derive(Debug, Serialize, Deserialize)]
pub struct Envelope {
    pub version: u16,
    /// Of the whole group: strangers have another one.
    pub group: u64,
    pub from: MemberIx,
    pub to: MemberIx,
    pub process: Process,
    /// The sender's own clock, and the receiver's as the sender last heard it, with the process that it was of. So the
    /// receiver knows by its own clock for how long this can have been under way.
    pub clock: Micros,
    pub echo: Micros,
    pub echo_of: u64,
    /// Each encoded by itself.
    pub messages: Vec<Bytes>,
}

#[derive(Serialize, Deserialize)]
enum Letter {
    Membership(membership::Message),
    Replica(replica::Message),
}

/// How messages leave this process.
pub trait Post {
    /// `bulk`: it may wait behind others. `made_up_for`: if there is no room it may be lost.
    fn put(&self, to: MemberIx, letter: Bytes, bulk: bool, made_up_for: bool);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub envelopes: u64,
    pub other_version: u64,
    pub other_group: u64,
    pub other_member: u64,
    pub unreadable: u64,
    /// Answers that another member had kept and that could not be read here.
    pub unreadable_answers: u64,
}

struct State {
    membership: Membership,
    believed: Believed,
    replica: Replica,
    /// Of each member: its clock as it was last heard, and the process.
    clocks: Vec<(Micros, u64)>,
    counts: Counts,
    strangers: Strangers,
    /// For whoever is being answered now.
    replies: Option<(MemberIx, Vec<Bytes>)>,
    /// It began from a folder, and that was older than what others know of it.
    had_folder: bool,
    stale_folder: bool,
}

/// What other parts of this router hear of the group.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// What was proposed here came to this.
    Decided(replica::Key, replica::Outcome),
    /// Another member made a note or a choice known.
    Noticed(replica::Key),
    /// Who is believed alive has changed.
    Alive,
}

pub type Listener = Rc<dyn Fn(News)>;

enum Tell {
    Core(Told),
    Listeners(News),
}

pub struct Fellows {
    desk: Rc<Desk>,
    nonce: u64,
    mark: u64,
    me: MemberIx,
    members: usize,
    state: RefCell<State>,
    post: Box<dyn Post>,
    /// For the core and for listeners, one after the other.
    told: RefCell<VecDeque<Tell>>,
    /// Which keys each hears of.
    listeners: RefCell<Vec<(&'static str, Listener)>>,
    telling: std::cell::Cell<bool>,
    /// What other parts show beside the group, under their names.
    shows: RefCell<Vec<(&'static str, Show)>>,
    alarm: Alarm,
    /// A vote waits for the folder.
    urge: (Sender<()>, Receiver<()>),
}

type Show = Box<dyn Fn() -> serde_json::Value>;

/// What a kept folder held.
#[derive(Default)]
pub struct Kept {
    pub turn: u64,
    pub records: Vec<(replica::Key, replica::Shared)>,
}

impl Fellows {
    pub fn new(
        desk: Rc<Desk>,
        peers: &Peers,
        nonce: u64,
        kept: Option<Kept>,
        without: Option<Guard>,
        post: Box<dyn Post>,
    ) -> Self {
        let now = desk.clock.now();
        let group = peers.group.clone();
        let (mark, me, n) = (group.mark, group.me, group.len());
        let terms = membership::Terms {
            probe_every: peers.probe_every,
            answer_within: peers.answer_within,
            suspected_for: peers.suspected_for,
            seed: desk.seed,
        };
        let (turn, had_folder) = (kept.as_ref().map_or(0, |k| k.turn), kept.is_some());
        let membership = Membership::new(now, group.clone(), terms, nonce, turn);
        let terms = replica::Terms {
            most_records: peers.most_records,
            catch_up_bytes_per_s: peers.catch_up_bytes_per_s,
            written: peers.folder.is_some(),
            without,
            ..replica::Terms::usual(peers.kept, peers.copied_within, desk.seed)
        };
        let replica = Replica::new(now, group, terms, nonce, kept.map(|k| k.records));
        let state = State {
            membership,
            believed: Believed::new(now, n, peers.believed_after),
            replica,
            clocks: vec![(0, 0); n],
            counts: Counts::default(),
            strangers: Strangers::new(n),
            replies: None,
            had_folder,
            stale_folder: false,
        };
        Fellows {
            desk,
            nonce,
            mark,
            me,
            members: n,
            state: RefCell::new(state),
            post,
            told: RefCell::default(),
            listeners: RefCell::default(),
            telling: std::cell::Cell::new(false),
            shows: RefCell::default(),
            alarm: Alarm::default(),
            urge: smol::channel::bounded(1),
        }
    }

    /// What the core wants of its group.
    pub fn ask(&self, ask: Ask) {
        let input = match ask {
            Ask::Take { key, need, redelivered } => {
                let need = match need {
                    group::Need::Known => Need::Known,
                    group::Need::Held => Need::Held,
                };
                replica::Input::Take { key, need, redelivered }
            }
            Ask::Leave { key, sending, place, alone } => {
                replica::Input::Intend { key, sending, place, alone }
            }
            Ask::Left { key, sending, place } => replica::Input::Left { key, sending, place },
            Ask::Ended { key, sending, may_have_run } => replica::Input::Ended { key, sending, may_have_run },
            Ask::Answered { key, answer } => replica::Input::Answered { key, answer: packed(&answer) },
            Ask::Closed { key } => replica::Input::Closed { key },
            Ask::Dropped { key } => replica::Input::Dropped { key },
        };
        self.replica(input);
    }

    pub fn replica(&self, input: replica::Input) {
        let now = self.desk.clock.now();
        let mut out = Vec::new();
        self.state.borrow_mut().replica.handle(now, input, &mut out);
        self.carry(out);
    }

    pub fn tick(&self) {
        let now = self.desk.clock.now();
        let mut out = Vec::new();
        self.state.borrow_mut().membership.handle(now, membership::Input::Tick, &mut out);
        self.members(out);
        self.replica(replica::Input::Tick);
    }

    /// Until something is due.
    pub async fn rings(&self) {
        self.alarm.rings(&self.desk.clock).await;
    }

    /// What came from a member, as its bytes; what is to go back at once.
    pub fn heard(&self, address: Option<IpAddr>, bytes: &[u8]) -> Result<Envelope, Strange> {
        let now = self.desk.clock.now();
        let envelope = self.known(bytes).map_err(|refused| {
            let refused = Refused { address, ..refused };
            self.refuse(now, refused);
            refused.why
        })?;
        let (from, process) = (envelope.from, envelope.process);
        let transit = {
            let mut state = self.state.borrow_mut();
            state.counts.envelopes += 1;
            state.strangers.taken(from);
            state.clocks[from as usize] = (envelope.clock, process.nonce);
            state.replies = Some((from, Vec::new()));
            match envelope.echo_of == self.nonce {
                true => (now - envelope.echo).max(0),
                false => UNKNOWN_TRANSIT,
            }
        };
        let mut out = Vec::new();
        self.state.borrow_mut().membership.came_from(now, from, process, &mut out);
        self.members(out);
        for letter in envelope.messages {
            let Ok(letter) = postcard::from_bytes::<Letter>(&letter) else {
                self.state.borrow_mut().counts.unreadable += 1;
                continue;
            };
            match letter {
                Letter::Membership(message) => {
                    let mut out = Vec::new();
                    let input = membership::Input::Heard { from, process, message };
                    self.state.borrow_mut().membership.handle(now, input, &mut out);
                    self.members(out);
                }
                Letter::Replica(message) => {
                    self.replica(replica::Input::Heard { from, nonce: process.nonce, transit, message });
                }
            }
        }
        let messages = self.state.borrow_mut().replies.take().map(|r| r.1).unwrap_or_default();
        Ok(self.envelope(from, messages))
    }

    /// It, if it is of this group and for this member.
    fn known(&self, bytes: &[u8]) -> Result<Envelope, Refused> {
        let nobody = Refused { why: Strange::Unreadable, version: None, from: None, address: None };
        // The version is in front in all versions, whatever comes after it.
        let Ok((version, _)) = postcard::take_from_bytes::<u16>(bytes) else { return Err(nobody) };
        let read = postcard::from_bytes::<Envelope>(bytes).ok();
        let of_group = read.as_ref().filter(|e| e.group == self.mark);
        let from = of_group.filter(|e| e.from != self.me && (e.from as usize) < self.members);
        let from = from.map(|e| (e.from, e.process.nonce));
        let why = match &read {
            _ if version != replica::VERSION => Strange::Version,
            None => Strange::Unreadable,
            Some(e) if e.group != self.mark => Strange::Group,
            Some(e) if e.to != self.me || from.is_none() => Strange::Member,
            Some(_) => return read.ok_or(nobody),
        };
        Err(Refused { why, version: Some(version), from, address: None })
    }

    fn refuse(&self, now: Micros, refused: Refused) {
        let mut state = self.state.borrow_mut();
        state.counts.envelopes += 1;
        *match refused.why {
            Strange::Version => &mut state.counts.other_version,
            Strange::Group => &mut state.counts.other_group,
            Strange::Member => &mut state.counts.other_member,
            Strange::Unreadable => &mut state.counts.unreadable,
        } += 1;
        if state.strangers.refused(now, refused) {
            let members = &state.membership.group().members;
            let member = refused.from.map(|(m, _)| members[m as usize].name.as_str());
            let (version, address) = (refused.version, refused.address.map(|a| a.to_string()));
            tracing::warn!(member, version, address, "group: refused: {}", refused.why.line());
        }
    }

    pub fn envelope(&self, to: MemberIx, messages: Vec<Bytes>) -> Envelope {
        let state = self.state.borrow();
        let (echo, echo_of) = state.clocks.get(to as usize).copied().unwrap_or_default();
        Envelope {
            version: replica::VERSION,
            group: self.mark,
            from: self.me,
            to,
            process: state.membership.me(),
            clock: self.desk.clock.now(),
            echo,
            echo_of,
            messages,
        }
    }

    fn members(&self, outputs: Vec<membership::Output>) {
        let now = self.desk.clock.now();
        for output in outputs {
            match output {
                membership::Output::Send { to, message } => {
                    self.put(to, Letter::Membership(message), false, false)
                }
                membership::Output::Changed(member) => self.changed(now, member),
            }
        }
        self.believe(now);
    }

    fn changed(&self, now: Micros, member: MemberIx) {
        let (known, alive, name) = {
            let mut state = self.state.borrow_mut();
            let known = state.membership.known(member);
            // Others knew a later process of this member than its folder did. Symptom: one that was suspected for a
            // while, and refuted that, was shown as one with an older folder.
            let outdated = state.membership.counts.outdated > 0;
            state.stale_folder |= member == self.me && state.had_folder && outdated;
            (
                known,
                state.membership.lives(member),
                state.membership.group().members[member as usize].name.clone(),
            )
        };
        tracing::info!(member = name, standing = ?known.standing, why = ?known.why, turn = known.process.turn, "group");
        self.replica(replica::Input::Member { member, nonce: known.process.nonce, alive });
        self.believe(now);
    }

    fn believe(&self, now: Micros) {
        let changed = {
            let mut state = self.state.borrow_mut();
            let State { membership, believed, .. } = &mut *state;
            let changed = believed.see(now, |m| membership.lives(m));
            if changed {
                tracing::info!(alive = ?believed.alive(), version = believed.version(), "group: believed alive");
            }
            changed
        };
        if changed {
            self.news(News::Alive);
            self.tell();
        }
    }

    fn put(&self, to: MemberIx, letter: Letter, bulk: bool, made_up_for: bool) {
        // Its own types can always be encoded.
        let Ok(letter) = postcard::to_stdvec(&letter).map(Bytes::from) else { return };
        if let Some((asker, replies)) = self.state.borrow_mut().replies.as_mut()
            && *asker == to
        {
            return replies.push(letter);
        }
        self.post.put(to, letter, bulk, made_up_for);
    }

    fn carry(&self, outputs: Vec<replica::Output>) {
        for output in outputs {
            match output {
                replica::Output::Send { to, message } => {
                    let (bulk, made_up_for) = (message.is_bulk(), message.is_made_up_for());
                    self.put(to, Letter::Replica(message), bulk, made_up_for);
                }
                replica::Output::Verdict { key, verdict } => {
                    let verdict = self.verdict(verdict);
                    self.told.borrow_mut().push_back(Tell::Core(Told::Verdict { key, verdict }));
                }
                replica::Output::Leave { sending, left, .. } => {
                    let left = left.map_err(|lack| match lack {
                        replica::Lack::Elsewhere => Refusal::Elsewhere,
                        _ => Refusal::NoMajority,
                    });
                    self.told.borrow_mut().push_back(Tell::Core(Told::Leave { sending, left }));
                }
                replica::Output::Whole => tracing::info!("group: this router remembers enough to vote"),
                replica::Output::Decided { key, outcome } => self.news(News::Decided(key, outcome)),
                replica::Output::Noticed(key) => self.news(News::Noticed(key)),
            }
        }
        let (due, urgent) = {
            let state = self.state.borrow();
            let members = state.membership.next_due().min(state.believed.next_due());
            (members.min(state.replica.next_due()), state.replica.awaits_folder())
        };
        self.alarm.set(due);
        if urgent {
            // One that is full says so already.
            let _ = self.urge.0.try_send(());
        }
        self.tell();
    }

    /// Nobody who listens for it: it is not kept.
    fn news(&self, news: News) {
        if !self.listeners.borrow().is_empty() {
            self.told.borrow_mut().push_back(Tell::Listeners(news));
        }
    }

    /// What the core and listeners do then may ask again; that is told after this.
    fn tell(&self) {
        if self.telling.replace(true) {
            return;
        }
        loop {
            let Some(next) = self.told.borrow_mut().pop_front() else { break };
            match next {
                Tell::Core(told) => self.desk.feed(Input::Group(told)),
                Tell::Listeners(news) => {
                    let hears = |prefix: &str| match &news {
                        News::Decided(key, _) | News::Noticed(key) => key.starts_with(prefix),
                        News::Alive => true,
                    };
                    let listeners = self.listeners.borrow().clone();
                    listeners.iter().filter(|(p, _)| hears(p)).for_each(|(_, hear)| hear(news.clone()));
                }
            }
        }
        self.telling.set(false);
    }

    /// From now on it hears of keys that begin so, and of who is believed alive.
    pub fn listen(&self, prefix: &'static str, hear: Listener) {
        self.listeners.borrow_mut().push((prefix, hear));
    }

    pub fn show(&self, name: &'static str, shown: Show) {
        self.shows.borrow_mut().push((name, shown));
    }

    /// What other parts show.
    pub fn shown(&self) -> Vec<(&'static str, serde_json::Value)> {
        self.shows.borrow().iter().map(|(name, shown)| (*name, shown())).collect()
    }

    fn verdict(&self, verdict: replica::Verdict) -> group::Verdict {
        match verdict {
            replica::Verdict::Go { first_ago } => group::Verdict::Go { first_ago },
            replica::Verdict::Waits => group::Verdict::Waits,
            replica::Verdict::Answer(bytes) => match unpacked(&bytes) {
                Some(answer) => group::Verdict::Answer(answer),
                None => {
                    self.state.borrow_mut().counts.unreadable_answers += 1;
                    group::Verdict::MayHaveRun
                }
            },
            replica::Verdict::MayHaveRun(because) => {
                tracing::debug!(?because, "group: may have run");
                group::Verdict::MayHaveRun
            }
            replica::Verdict::NoMajority(lack) => {
                tracing::warn!(?lack, "group: no majority");
                group::Verdict::NoMajority
            }
        }
    }

    /// What has changed since it was last asked, for the folder; the turn of this process, and the changes' serial.
    pub fn changes(&self) -> (u64, u64, Vec<(replica::Key, Option<replica::Shared>)>) {
        let mut state = self.state.borrow_mut();
        let (serial, changes) = state.replica.changes(self.desk.clock.now());
        (state.membership.me().turn, serial, changes)
    }

    /// A vote waits for changes that were not asked for yet.
    pub fn awaits_folder(&self) -> bool {
        self.state.borrow().replica.awaits_folder()
    }

    /// Until one does, since this was last waited for.
    pub async fn is_urged(&self) {
        // Its other end is its own, so it never closes.
        let _ = self.urge.1.recv().await;
    }

    /// Who of this member's name was refused, or with none of nobody's.
    pub fn strangers(&self, member: Option<MemberIx>) -> serde_json::Value {
        self.state.borrow().strangers.shown(self.desk.clock.now(), member)
    }

    /// All else that can be shown.
    pub fn look<R>(
        &self,
        look: impl FnOnce(Micros, &Membership, &Believed, &Replica, &Counts, bool) -> R,
    ) -> R {
        let state = self.state.borrow();
        let State { membership, believed, replica, counts, stale_folder, .. } = &*state;
        look(self.desk.clock.now(), membership, believed, replica, counts, *stale_folder)
    }
}

#[derive(Serialize, Deserialize)]
struct Packed {
    alone: bool,
    first: Option<u32>,
    body: Bytes,
}

/// Only successes are shared.
fn packed(answer: &Answer) -> Bytes {
    let packed = Packed {
        alone: answer.reason == Reason::Alone,
        first: answer.body.first,
        body: answer.body.bytes.clone(),
    };
    postcard::to_stdvec(&packed).map(Bytes::from).unwrap_or_default()
}

fn unpacked(bytes: &[u8]) -> Option<Answer> {
    let Packed { alone, first, body } = postcard::from_bytes(bytes).ok()?;
    let reason = if alone { Reason::Alone } else { Reason::Worker };
    Some(Answer { fate: Fate::Succeeded, reason, return_after: None, body: Payload { bytes: body, first } })
}
