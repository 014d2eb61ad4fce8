//! Explores every order of events of one invocation in a group of three, up to a depth, with the real state machines:
//! messages lost, duplicated and reordered, processes that crash, pause, resume and restart with and without their
//! state, wrong suspicions and timeouts at any moment. Breadth first, so that counterexamples are short.
//!
//! The routers around them are models: the broker delivers a message to one at a time; a permitted dispatch goes into a
//! buffer, from which it is sent at any later time; a worker runs it each time that it arrives.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley_membership::{Group, Member, MemberIndex};
use cedarpulley_replica::{
    Durability, Input, Key, Message, NoMajorityReason, Output, OwnershipDecision, RecordCopy,
    Replica, ReplicaSettings, SafetyCheck,
};

const N: usize = 3;
const KEPT: i64 = 1_000_000;
/// All is new, and whatever was before is over; nothing takes time until somebody's time runs out.
const NOW: i64 = 2 * KEPT;
const LATE: i64 = NOW + 10_000;
const X: &str = "x";

/// How often each fault may occur.
#[derive(Clone, Copy, Hash)]
struct FaultBudget {
    drops: u8,
    crashes: u8,
    /// Of these, so many come back with what they had; the others without.
    kept: u8,
    stops: u8,
    doubled: u8,
    /// How often one hears what another holds.
    told: u8,
    suspicions: u8,
    late: u8,
    /// It is delivered to two at once, each for the first time.
    twins: u8,
}

const NONE: FaultBudget = FaultBudget {
    drops: 0,
    crashes: 0,
    kept: 0,
    stops: 0,
    doubled: 0,
    told: 0,
    suspicions: 0,
    late: 0,
    twins: 0,
};

#[derive(Clone, Copy, Hash, PartialEq, Eq, Debug)]
enum Out {
    Asking,
    /// Leave was given; it is in a buffer.
    Buffered,
    /// Came to a worker, which ran it or will never.
    Sent {
        ran: bool,
    },
}

#[derive(Clone, Default, Hash)]
struct Router {
    holds: bool,
    goes: bool,
    out: BTreeMap<u64, Out>,
    stopped: bool,
    /// The broker has given it to somebody else, which this one has not found out.
    lost: bool,
}

/// A message on its way, and its part in the world's mark.
#[derive(Clone)]
struct Sent {
    from: u8,
    to: u8,
    nonce: u64,
    message: Arc<Message>,
    mark: [u64; 2],
}

impl Sent {
    fn new(from: usize, to: MemberIndex, nonce: u64, message: Message) -> Sent {
        let (from, to) = (from as u8, to as u8);
        let mark = [1u64, 2].map(|salt| hashed((salt, from, to, nonce, &message)));
        Sent {
            from,
            to,
            nonce,
            message: Arc::new(message),
            mark,
        }
    }
}

fn hashed(of: impl Hash) -> u64 {
    let mut h = DefaultHasher::new();
    of.hash(&mut h);
    h.finish()
}

/// What a crashed one leaves.
type Folder = Arc<Vec<(Key, RecordCopy)>>;

#[derive(Clone)]
struct World {
    replicas: [Option<Arc<Replica>>; N],
    /// Of each replica.
    marks: [[u64; 2]; N],
    folders: [Option<Folder>; N],
    routers: [Router; N],
    nonces: [u64; N],
    /// What each knows of each other.
    views: [[(u64, bool); N]; N],
    net: Vec<Sent>,
    /// The broker has it to give, and has given it before.
    ready: Option<bool>,
    answered: Option<bool>,
    effects: u8,
    /// The first dispatch and a retry.
    intents: u8,
    left: FaultBudget,
    twins: bool,
    last: u64,
}

fn terms(disabled_check: Option<SafetyCheck>) -> ReplicaSettings {
    ReplicaSettings {
        resend_interval: KEPT / 4,
        broadcast_delay: 0,
        comparison_interval: KEPT / 4,
        comparison_timeout: 5_000,
        backoff: 0,
        disabled_check,
        ..ReplicaSettings::with_defaults(KEPT, 5_000, 1)
    }
}

fn group(me: usize) -> Group {
    let member = |n: usize| Member {
        name: format!("r{n}"),
        region: String::new(),
        weight: 1,
        witness: false,
    };
    Group::new("g", (0..N).map(member).collect(), &format!("r{me}")).expect("a group")
}

impl World {
    fn new(left: FaultBudget, without: Option<SafetyCheck>) -> World {
        let mut w = World {
            replicas: Default::default(),
            marks: [[0; 2]; N],
            folders: Default::default(),
            routers: Default::default(),
            nonces: [1, 2, 3],
            views: [[(0, false); N]; N],
            net: Vec::new(),
            ready: Some(false),
            answered: None,
            effects: 0,
            intents: 2,
            twins: left.twins > 0,
            left,
            last: 3,
        };
        for r in 0..N {
            let mut replica = Replica::new(0, group(r), terms(without), w.nonces[r], None);
            replica.handle(NOW, Input::Tick, &mut Vec::new());
            for m in 0..N {
                w.views[r][m] = (w.nonces[m], true);
                let input = Input::MemberChanged {
                    member: m as MemberIndex,
                    nonce: w.nonces[m],
                    alive: true,
                };
                replica.handle(NOW, input, &mut Vec::new());
            }
            assert!(replica.can_vote());
            w.replicas[r] = Some(Arc::new(replica));
            w.marked(r);
        }
        // What they compare at the start has no part in this.
        w.net.clear();
        w
    }

    fn marked(&mut self, r: usize) {
        let of = |salt: u64| {
            let mut h = DefaultHasher::new();
            salt.hash(&mut h);
            self.replicas[r]
                .as_ref()
                .map(|it| it.hash_state(&mut h))
                .is_some()
                .hash(&mut h);
            h.finish()
        };
        self.marks[r] = [of(1), of(2)];
    }

    fn mark(&self) -> u128 {
        let half = |n: usize| {
            let net = self
                .net
                .iter()
                .fold(0u64, |sum, sent| sum.wrapping_add(sent.mark[n]));
            let rest = (
                self.nonces,
                self.views,
                self.ready,
                self.answered,
                self.effects,
                self.left,
                (self.intents, self.last),
            );
            hashed((
                n,
                self.marks.map(|m| m[n]),
                &self.folders,
                &self.routers,
                net,
                rest,
            ))
        };
        u128::from(half(0)) << 64 | u128::from(half(1))
    }

    /// Something that is out at any process and may still have its effect, or had it.
    fn out_beside(&self, than: (usize, u64)) -> bool {
        let out = (0..N).flat_map(|r| self.routers[r].out.iter().map(move |(s, o)| (r, *s, *o)));
        let may = |o: Out| matches!(o, Out::Buffered | Out::Sent { ran: true });
        self.effects > 0 || out.into_iter().any(|(r, s, o)| may(o) && than != (r, s))
    }

    fn feed(&mut self, r: usize, now: i64, input: Input) -> Result<(), String> {
        let Some(replica) = self.replicas[r].as_mut() else {
            return Ok(());
        };
        let mut out = Vec::new();
        Arc::make_mut(replica).handle(now, input, &mut out);
        self.marked(r);
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let sent = Sent::new(r, to, self.nonces[r], message);
                    // What is told without being asked comes by a step of its own.
                    if let Message::Update { .. } = *sent.message {
                        continue;
                    }
                    // The same again is what doubling is for.
                    if self.net.iter().all(|s| s.mark != sent.mark) {
                        self.net.push(sent);
                    }
                }
                Output::Decision { decision, .. } => self.verdict(r, decision)?,
                Output::DispatchPermission {
                    dispatch,
                    permission: Ok(_),
                    ..
                } => {
                    if self.routers[r].out.get(&dispatch) != Some(&Out::Asking) {
                        continue;
                    }
                    if self.out_beside((r, dispatch)) {
                        return Err(format!("leave for {dispatch} at {r} beside another"));
                    }
                    self.routers[r].out.insert(dispatch, Out::Buffered);
                }
                Output::DispatchPermission {
                    dispatch,
                    permission: Err(lack),
                    ..
                } => {
                    self.routers[r].out.remove(&dispatch);
                    self.routers[r].goes = false;
                    if lack != NoMajorityReason::OwnedElsewhere {
                        self.answers(r, false)?;
                    } else if !self.routers[r].holds {
                        self.feed(r, now, Input::Dropped { key: X.into() })?;
                    }
                }
                Output::ProposalEnded { .. } | Output::RecordChanged(_) | Output::Recovered => {}
            }
        }
        // A vote for what is over counts for nothing, whenever it comes.
        if let Some(it) = self.replicas[r].clone() {
            self.net
                .retain(|s| s.to as usize != r || it.awaits_vote(&s.message));
        }
        Ok(())
    }

    fn verdict(&mut self, r: usize, verdict: OwnershipDecision) -> Result<(), String> {
        if !self.routers[r].holds {
            return Ok(());
        }
        match verdict {
            OwnershipDecision::Dispatch { .. } => {
                // It may have been overtaken by now; then it gets no leave.
                self.routers[r].goes = true;
                Ok(())
            }
            OwnershipDecision::Wait => Ok(()),
            OwnershipDecision::Answer(_) => self.answers(r, true),
            OwnershipDecision::Indeterminate(_) | OwnershipDecision::NoMajority(_) => {
                self.answers(r, false)
            }
        }
    }

    /// The final answer, given and acknowledged in one.
    fn answers(&mut self, r: usize, success: bool) -> Result<(), String> {
        if !self.routers[r].holds {
            return Ok(());
        }
        let heard = !std::mem::take(&mut self.routers[r].lost);
        if heard && self.answered.is_some() && !self.twins {
            return Err("answered twice".into());
        }
        if success && self.effects == 0 {
            return Err("a success without an effect".into());
        }
        if heard {
            self.answered = Some(success);
        }
        (self.routers[r].holds, self.routers[r].goes) = (false, false);
        let end = if success {
            Input::Closed { key: X.into() }
        } else {
            Input::Dropped { key: X.into() }
        };
        if self.routers[r].out.is_empty() {
            self.feed(r, NOW, end)
        } else {
            Ok(())
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one scenario or table of cases, told in order"
    )]
    fn steps(
        &self,
        without: Option<SafetyCheck>,
        found: &mut dyn FnMut(Label, Result<World, String>),
    ) {
        let mut step = |label: Label, change: &dyn Fn(&mut World) -> Result<(), String>| {
            let mut next = self.clone();
            let result = change(&mut next);
            found(label, result.map(|()| next));
        };
        let runs = |r: usize| self.replicas[r].is_some() && !self.routers[r].stopped;
        for r in (0..N).filter(|r| runs(*r)) {
            // All are alike at first, but for the order of their ballots: from the one in the middle it goes up and
            // down.
            let first = |again: bool| again || r == 1;
            if let Some(again) = self
                .ready
                .filter(|again| !self.routers[r].holds && first(*again))
            {
                step(
                    ("delivered, and whether again", r, usize::from(again), 0),
                    &|w| {
                        w.ready = None;
                        w.taken(r, again)
                    },
                );
                if !again && self.left.twins > 0 {
                    for other in (0..N).filter(|o| *o != r && runs(*o)) {
                        step(("delivered to both", r, other, 0), &|w| {
                            (w.ready, w.left.twins) = (None, w.left.twins - 1);
                            w.taken(r, false)?;
                            w.taken(other, false)
                        });
                    }
                }
            }
            let router = &self.routers[r];
            if router.goes && router.holds && router.out.is_empty() && self.intents > 0 {
                step(("intends", r, r, self.last + 1), &|w| {
                    w.last += 1;
                    let dispatch = w.last;
                    w.intents -= 1;
                    w.routers[r].out.insert(dispatch, Out::Asking);
                    w.feed(
                        r,
                        NOW,
                        Input::RequestDispatch {
                            key: X.into(),
                            dispatch,
                            deduplication_scope: 0,
                            without_majority: false,
                        },
                    )
                });
            }
            for (&dispatch, &o) in &router.out {
                match o {
                    Out::Asking => {}
                    Out::Buffered => {
                        for ran in [true, false] {
                            step(
                                ("sends, and whether it ran", r, usize::from(ran), dispatch),
                                &|w| {
                                    w.routers[r].out.insert(dispatch, Out::Sent { ran });
                                    w.effects += u8::from(ran);
                                    if w.effects > 1 {
                                        Err("a second effect".into())
                                    } else {
                                        Ok(())
                                    }
                                },
                            );
                        }
                        step(("holds back", r, r, dispatch), &|w| {
                            w.ends(r, dispatch, false, false)
                        });
                    }
                    Out::Sent { ran } => {
                        step(
                            ("ends, and whether well", r, usize::from(ran), dispatch),
                            &|w| w.ends(r, dispatch, ran, ran),
                        );
                        step(("breaks", r, r, dispatch), &|w| {
                            w.ends(r, dispatch, true, false)
                        });
                    }
                }
            }
            if router.holds && (self.left.drops > 0 || router.lost) {
                step(("loses its channel", r, r, 0), &|w| {
                    if !std::mem::take(&mut w.routers[r].lost) {
                        (w.left.drops, w.ready) = (w.left.drops - 1, Some(true));
                    }
                    (w.routers[r].holds, w.routers[r].goes) = (false, false);
                    let out = w.routers[r].out.values().any(|o| *o != Out::Asking);
                    w.routers[r].out.retain(|_, o| *o != Out::Asking);
                    if out {
                        Ok(())
                    } else {
                        w.feed(r, NOW, Input::Dropped { key: X.into() })
                    }
                });
            }
            if self.left.stops > 0 {
                step(("is stopped", r, r, 0), &|w| {
                    (w.left.stops, w.routers[r].stopped) = (w.left.stops - 1, true);
                    Ok(())
                });
            }
            if self.left.late > 0 {
                step(("is out of time", r, r, 0), &|w| {
                    w.left.late -= 1;
                    w.feed(r, LATE, Input::Tick)
                });
            }
            for m in (0..N).filter(|m| *m != r) {
                let now = (self.nonces[m], true);
                if self.views[r][m] != now && self.replicas[m].is_some() {
                    step(("hears that it is alive", r, m, 0), &|w| w.view(r, m, now));
                }
                let holds = |r: usize| self.replicas[r].as_ref().and_then(|it| it.copy(NOW, X));
                if self.left.told > 0 && holds(m).is_some() && holds(m) != holds(r) {
                    step(("hears what it holds", r, m, 0), &|w| {
                        w.left.told -= 1;
                        w.tells(m, r)
                    });
                }
                let dead = (self.views[r][m].0, false);
                if self.views[r][m].1 && self.left.suspicions > 0 {
                    step(("holds for dead", r, m, 0), &|w| {
                        w.left.suspicions -= 1;
                        w.view(r, m, dead)
                    });
                }
            }
        }
        for r in 0..N {
            if self.routers[r].stopped && self.routers[r].holds && !self.routers[r].lost {
                step(("is given up by the broker", r, r, 0), &|w| {
                    (w.routers[r].lost, w.ready) = (true, Some(true));
                    Ok(())
                });
            }
            if self.routers[r].stopped {
                step(("wakes", r, r, 0), &|w| {
                    w.routers[r].stopped = false;
                    Ok(())
                });
            }
            if self.replicas[r].is_some() && self.left.crashes > 0 {
                step(("crashes", r, r, 0), &|w| {
                    w.left.crashes -= 1;
                    if w.routers[r].holds && !w.routers[r].lost {
                        w.ready = Some(true);
                    }
                    w.routers[r] = Router::default();
                    for to in (0..N).filter(|to| *to != r) {
                        w.last_words(r, to);
                    }
                    let replica = w.replicas[r].take().ok_or("it runs")?;
                    let held = replica
                        .records()
                        .map(|(k, s)| (k.clone(), s.to_copy(NOW)))
                        .collect();
                    w.folders[r] = Some(Arc::new(held));
                    w.marked(r);
                    Ok(())
                });
            }
            if self.replicas[r].is_none() {
                let ways: &[bool] = if self.left.kept > 0 {
                    &[true, false]
                } else {
                    &[false]
                };
                for &kept in ways {
                    step(
                        (
                            "starts anew, and whether with its memory",
                            r,
                            usize::from(kept),
                            0,
                        ),
                        &|w| {
                            w.left.kept -= u8::from(kept);
                            w.last += 1;
                            w.nonces[r] = w.last;
                            let folder = w.folders[r].take().filter(|_| kept).map(|f| f.to_vec());
                            let replica =
                                Replica::new(NOW, group(r), terms(without), w.nonces[r], folder);
                            w.replicas[r] = Some(Arc::new(replica));
                            w.marked(r);
                            w.views[r] = [(0, false); N];
                            let others: Vec<usize> = (0..N)
                                .filter(|m| *m != r && w.replicas[*m].is_some())
                                .collect();
                            for m in others {
                                w.view(r, m, (w.nonces[m], true))?;
                            }
                            Ok(())
                        },
                    );
                }
            }
        }
        for n in 0..self.net.len() {
            let Sent {
                from,
                to,
                nonce,
                ref message,
                ..
            } = self.net[n];
            if runs(to as usize) {
                let heard = |w: &mut World| {
                    let (from, message) = (MemberIndex::from(from), Message::clone(message));
                    w.feed(
                        to as usize,
                        NOW,
                        Input::MessageReceived {
                            from,
                            nonce,
                            transit: 0,
                            message,
                        },
                    )
                };
                step((word(message), to as usize, from as usize, 0), &|w| {
                    w.net.swap_remove(n);
                    heard(w)
                });
                if self.left.doubled > 0 {
                    step((word(message), to as usize, from as usize, 2), &|w| {
                        w.left.doubled -= 1;
                        heard(w)
                    });
                }
            }
        }
    }

    fn taken(&mut self, r: usize, redelivered: bool) -> Result<(), String> {
        self.routers[r].holds = true;
        self.feed(
            r,
            NOW,
            Input::Take {
                key: X.into(),
                durability: Durability::Majority,
                redelivered,
            },
        )
    }

    fn ends(
        &mut self,
        r: usize,
        dispatch: u64,
        may_have_run: bool,
        well: bool,
    ) -> Result<(), String> {
        self.routers[r].out.remove(&dispatch);
        self.feed(
            r,
            NOW,
            Input::DispatchEnded {
                key: X.into(),
                dispatch,
                may_have_run,
            },
        )?;
        if well {
            self.feed(
                r,
                NOW,
                Input::Answered {
                    key: X.into(),
                    answer: Bytes::from_static(b"done"),
                },
            )?;
        }
        match self.routers[r].holds {
            true if well || may_have_run => self.answers(r, well),
            true => Ok(()),
            false => self.feed(r, NOW, Input::Dropped { key: X.into() }),
        }
    }

    fn told_by(&self, m: usize) -> Option<Message> {
        let shared = self.replicas[m].as_ref()?.copy(NOW, X)?;
        Some(Message::Update {
            key: X.into(),
            record: shared,
        })
    }

    fn tells(&mut self, m: usize, r: usize) -> Result<(), String> {
        let Some(message) = self.told_by(m) else {
            return Ok(());
        };
        let (from, nonce) = (m as MemberIndex, self.nonces[m]);
        self.feed(
            r,
            NOW,
            Input::MessageReceived {
                from,
                nonce,
                transit: 0,
                message,
            },
        )
    }

    /// What it told before it crashed may come after.
    fn last_words(&mut self, r: usize, to: usize) {
        if let Some(message) = self.told_by(r) {
            self.net
                .push(Sent::new(r, to as MemberIndex, self.nonces[r], message));
        }
    }

    fn view(&mut self, r: usize, m: usize, view: (u64, bool)) -> Result<(), String> {
        self.views[r][m] = view;
        self.feed(
            r,
            NOW,
            Input::MemberChanged {
                member: m as MemberIndex,
                nonce: view.0,
                alive: view.1,
            },
        )
    }
}

fn word(message: &Message) -> &'static str {
    match message {
        Message::StoreIntent { .. } => "hears an intent from",
        Message::IntentStored { .. } => "hears that it is held by",
        Message::Fence { .. } => "hears a fence from",
        Message::Fenced { .. } => "hears a promise from",
        Message::Rejected { .. } => "hears a refusal from",
        Message::Update { .. } => "hears last words from",
        _ => "hears of a comparison from",
    }
}

/// What was done, by whom, to whom or whether, and with which dispatch.
type Label = (&'static str, usize, usize, u64);

struct Found {
    states: usize,
    depth: usize,
    broken: Option<Vec<String>>,
}

const THREADS: usize = 4;

/// All states within so many steps, or until so many were seen.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn explore(first: World, without: Option<SafetyCheck>, depth: usize, most: usize) -> Found {
    let mut seen: HashSet<u128> = HashSet::from([first.mark()]);
    let mut trail: Vec<(usize, Label)> = vec![(0, ("", 0, 0, 0))];
    let mut level = vec![(0, first)];
    for at in 0..depth {
        // By several threads, and joined in the order of the worlds that they began with: the same each time.
        let expand = |part: &[(usize, World)]| {
            let mut steps = Vec::new();
            for (ix, world) in part {
                world.steps(without, &mut |label, result| {
                    let marked = result.map(|w| (w.mark(), w));
                    if marked
                        .as_ref()
                        .map_or(true, |(mark, _)| !seen.contains(mark))
                    {
                        steps.push((*ix, label, marked));
                    }
                });
            }
            steps
        };
        let parts: Vec<_> = std::thread::scope(|scope| {
            let chunks = level.chunks(level.len().div_ceil(THREADS).max(1));
            let running: Vec<_> = chunks.map(|part| scope.spawn(|| expand(part))).collect();
            running
                .into_iter()
                .map(|t| t.join().expect("explored"))
                .collect()
        });
        let mut next = Vec::new();
        for (ix, label, result) in parts.into_iter().flatten() {
            match result {
                Ok((mark, w)) => {
                    if seen.len() < most && seen.insert(mark) {
                        trail.push((ix, label));
                        next.push((trail.len() - 1, w));
                    }
                }
                Err(why) => {
                    let (mut path, mut ix) = (vec![format!("{label:?}: {why}")], ix);
                    while ix > 0 {
                        path.push(format!("{:?}", trail[ix].1));
                        ix = trail[ix].0;
                    }
                    path.reverse();
                    return Found {
                        states: seen.len(),
                        depth: at,
                        broken: Some(path),
                    };
                }
            }
        }
        if next.is_empty() || seen.len() >= most {
            return Found {
                states: seen.len(),
                depth: at,
                broken: None,
            };
        }
        level = next;
    }
    Found {
        states: seen.len(),
        depth,
        broken: None,
    }
}

/// Where these steps lead, each named as it is found.
fn after(
    faults: FaultBudget,
    without: Option<SafetyCheck>,
    path: &[(&str, usize, usize)],
) -> World {
    let mut at = World::new(faults, without);
    for (n, (what, a, b)) in path.iter().enumerate() {
        let mut next = None;
        at.steps(without, &mut |label, result| {
            if (label.0, label.1, label.2) == (*what, *a, *b) && next.is_none() {
                next = result.ok();
            }
        });
        at = next.unwrap_or_else(|| panic!("step {n}, {what}, is not possible"));
    }
    at
}

const DEEPEST: usize = 60;

fn sound(what: &str, faults: FaultBudget, path: &[(&str, usize, usize)], most: usize) {
    let found = explore(after(faults, None, path), None, DEEPEST, most);
    println!(
        "{what}: {} states, {} steps deep",
        found.states, found.depth
    );
    assert!(found.broken.is_none(), "{what}: {:#?}", found.broken);
}

fn broken(guard: SafetyCheck, faults: FaultBudget, path: &[(&str, usize, usize)], most: usize) {
    let found = explore(after(faults, Some(guard), path), Some(guard), DEEPEST, most);
    println!(
        "without {guard:?}: {} states, {} steps",
        found.states, found.depth
    );
    assert!(
        found.broken.is_some(),
        "without {guard:?} nothing is found in {} states",
        found.states
    );
}

const CHANNEL: FaultBudget = FaultBudget {
    drops: 1,
    told: 1,
    ..NONE
};
const TWINS: FaultBudget = FaultBudget {
    twins: 1,
    told: 1,
    ..NONE
};
const STOPPED: FaultBudget = FaultBudget {
    stops: 1,
    suspicions: 1,
    told: 1,
    ..NONE
};
const WOKEN: FaultBudget = FaultBudget {
    stops: 1,
    told: 1,
    ..NONE
};
const LATE_STOP: FaultBudget = FaultBudget {
    stops: 1,
    late: 1,
    ..NONE
};
const CRASH: FaultBudget = FaultBudget { crashes: 1, ..NONE };
const AMNESIA: FaultBudget = FaultBudget {
    crashes: 1,
    stops: 1,
    told: 1,
    ..NONE
};

/// Its owner is stopped while its intent is on the way, and somebody else has it.
const ASKING: &[(&str, usize, usize)] = &[
    ("delivered, and whether again", 1, 0),
    ("hears what it holds", 0, 1),
    ("intends", 1, 1),
    ("is stopped", 1, 1),
    ("is given up by the broker", 1, 1),
    ("delivered, and whether again", 0, 1),
];

/// Its owner is stopped with leave to send, and the other one that holds the intent has lost its memory.
const FORGOTTEN: &[(&str, usize, usize)] = &[
    ("delivered, and whether again", 1, 0),
    ("hears what it holds", 0, 1),
    ("intends", 1, 1),
    ("hears an intent from", 2, 1),
    ("hears that it is held by", 1, 2),
    ("is stopped", 1, 1),
    ("is given up by the broker", 1, 1),
    ("crashes", 2, 2),
    ("starts anew, and whether with its memory", 2, 0),
];

/// The same with both holders of the intent started anew, one of them with what it had.
const BOTH_ANEW: FaultBudget = FaultBudget {
    crashes: 2,
    kept: 1,
    told: 1,
    ..NONE
};
const BOTH: &[(&str, usize, usize)] = &[
    ("delivered, and whether again", 1, 0),
    ("hears what it holds", 0, 1),
    ("intends", 1, 1),
    ("hears an intent from", 2, 1),
    ("hears that it is held by", 1, 2),
    ("sends, and whether it ran", 1, 1),
    ("crashes", 1, 1),
    ("crashes", 2, 2),
];

#[test]
fn broker_channel_lost_at_any_moment() {
    sound("channel", CHANNEL, &[], 300_000);
}

#[test]
fn message_delivered_to_two_routers_at_once() {
    sound("twins", TWINS, &[], 300_000);
}

#[test]
fn process_paused_at_any_moment_and_resumed_late() {
    sound("stopped, out of time", LATE_STOP, &[], 150_000);
    sound("stopped, taken for dead", STOPPED, &[], 150_000);
    sound("stopped while it asks", STOPPED, ASKING, 100_000);
}

#[test]
fn process_crashed_at_any_moment_and_restarted_without_state() {
    sound("crash", CRASH, &[], 150_000);
    sound("memory lost", AMNESIA, FORGOTTEN, 100_000);
    sound("both started anew", BOTH_ANEW, BOTH, 100_000);
}

#[test]
fn duplicated_messages() {
    sound(
        "doubled",
        FaultBudget {
            doubled: 1,
            stops: 1,
            ..NONE
        },
        ASKING_UNTOLD,
        100_000,
    );
}

const ASKING_UNTOLD: &[(&str, usize, usize)] = &[
    ("delivered, and whether again", 1, 0),
    ("intends", 1, 1),
    ("hears an intent from", 2, 1),
];

#[test]
fn each_disabled_safety_check_is_found() {
    broken(SafetyCheck::MajorityBeforeDispatch, TWINS, &[], 10_000);
    broken(SafetyCheck::FirstBallotAlone, TWINS, &[], 10_000);
    broken(SafetyCheck::FencedTakeover, CHANNEL, &[], 20_000);
    broken(SafetyCheck::KeptPromise, WOKEN, ASKING, 200_000);
    broken(SafetyCheck::UnansweredMayHold, WOKEN, ASKING, 200_000);
    broken(SafetyCheck::GoneOwnerMayHaveRun, STOPPED, ASKING, 200_000);
    broken(SafetyCheck::NoVoteWithoutState, AMNESIA, FORGOTTEN, 100_000);
}
