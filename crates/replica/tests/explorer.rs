//! Explores the possible orders of events of one invocation in a group of three members with the real state machines,
//! up to a depth and a number of states. Faults may occur at any moment: messages are lost, duplicated and reordered,
//! processes crash, pause, resume and restart with and without their state, members are wrongly suspected, and timeouts
//! pass. The search is breadth-first, so that counterexamples are short.
//!
//! The broker, the routers and the workers are models: the broker delivers a message to one router at a time; a
//! permitted dispatch is put into a buffer, from which it is sent at any later time; a worker may run each dispatch
//! that it receives.

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

/// Number of members.
const MEMBERS: usize = 3;
/// Time in microseconds for which records are retained.
const RETENTION: i64 = 1_000_000;
/// Time of all steps but timeouts, in microseconds. It is late enough that all members have completed recovery.
const NOW: i64 = 2 * RETENTION;
/// Time of a timeout step, in microseconds: all timeouts that are pending at [`NOW`] have passed.
const AFTER_TIMEOUTS: i64 = NOW + 10_000;
/// Key of the invocation.
const KEY: &str = "x";

/// How often each fault may occur.
#[derive(Clone, Copy, Hash)]
struct FaultBudget {
    /// Losses of a router's channel to the broker.
    channel_losses: u8,
    /// Crashes of a process.
    crashes: u8,
    /// Restarts with the records from before the crash; all other restarts are without.
    restarts_with_records: u8,
    /// Suspensions of a process.
    suspensions: u8,
    /// Messages that are delivered twice.
    duplicates: u8,
    /// Updates by which a member receives the record of another one.
    updates: u8,
    /// Running members that are considered dead.
    suspicions: u8,
    /// Members whose timeouts pass.
    timeouts: u8,
    /// Deliveries of the message to two routers at once, to both as a first delivery.
    double_deliveries: u8,
}

/// No faults.
const NO_FAULTS: FaultBudget = FaultBudget {
    channel_losses: 0,
    crashes: 0,
    restarts_with_records: 0,
    suspensions: 0,
    duplicates: 0,
    updates: 0,
    suspicions: 0,
    timeouts: 0,
    double_deliveries: 0,
};

/// State of a dispatch.
#[derive(Clone, Copy, Hash, PartialEq, Eq, Debug)]
enum DispatchState {
    /// Permission was requested.
    Requested,
    /// Permission was given, and the dispatch is in a buffer.
    Buffered,
    /// The dispatch was sent to a worker, which ran it or will never run it.
    Sent { ran: bool },
}

/// Model of a router.
#[derive(Clone, Default, Hash)]
struct Router {
    /// The router has an unacknowledged delivery of the message.
    has_delivery: bool,
    /// The router may request a dispatch.
    may_dispatch: bool,
    /// The router's dispatches by number.
    dispatches: BTreeMap<u64, DispatchState>,
    /// The process is suspended.
    suspended: bool,
    /// The broker has taken the message back, which the router does not know yet.
    taken_back: bool,
}

/// A message in transit, and its contribution to the hash of the state.
#[derive(Clone)]
struct MessageInTransit {
    from: u8,
    to: u8,
    nonce: u64,
    message: Arc<Message>,
    hash: [u64; 2],
}

impl MessageInTransit {
    fn new(from: usize, to: MemberIndex, nonce: u64, message: Message) -> MessageInTransit {
        let (from, to) = (from as u8, to as u8);
        let hash = [1u64, 2].map(|salt| hash_of((salt, from, to, nonce, &message)));
        MessageInTransit {
            from,
            to,
            nonce,
            message: Arc::new(message),
            hash,
        }
    }
}

fn hash_of(of: impl Hash) -> u64 {
    let mut h = DefaultHasher::new();
    of.hash(&mut h);
    h.finish()
}

/// Records of a crashed process.
type StoredRecords = Arc<Vec<(Key, RecordCopy)>>;

/// A state of the group, the broker, the routers and the workers.
#[derive(Clone)]
struct GroupState {
    replicas: [Option<Arc<Replica>>; MEMBERS],
    /// Two hashes of the state of each replica.
    replica_hashes: [[u64; 2]; MEMBERS],
    /// Records of each crashed process.
    stores: [Option<StoredRecords>; MEMBERS],
    routers: [Router; MEMBERS],
    nonces: [u64; MEMBERS],
    /// For each member, the nonce that it knows of each other member and whether it considers that member alive.
    views: [[(u64, bool); MEMBERS]; MEMBERS],
    in_transit: Vec<MessageInTransit>,
    /// If the broker can deliver the message, whether it was delivered before.
    deliverable: Option<bool>,
    /// The final answer, if given: whether it was a success.
    answered: Option<bool>,
    /// How often a worker ran the invocation.
    executions: u8,
    /// Dispatches that may still be requested: the first one and a retry.
    intents: u8,
    /// Faults that may still occur.
    remaining_faults: FaultBudget,
    /// Whether the message may be delivered to two routers at once.
    may_deliver_twice: bool,
    /// The last number given to a process (as its nonce) or to a dispatch.
    last_id: u64,
}

fn settings(disabled_check: Option<SafetyCheck>) -> ReplicaSettings {
    ReplicaSettings {
        resend_interval: RETENTION / 4,
        broadcast_delay: 0,
        comparison_interval: RETENTION / 4,
        comparison_timeout: 5_000,
        backoff: 0,
        disabled_check,
        ..ReplicaSettings::with_defaults(RETENTION, 5_000, 1)
    }
}

fn group(own_index: usize) -> Group {
    let member = |n: usize| Member {
        name: format!("r{n}"),
        region: String::new(),
        weight: 1,
        witness: false,
    };
    Group::new(
        "g",
        (0..MEMBERS).map(member).collect(),
        &format!("r{own_index}"),
    )
    .expect("a valid group")
}

impl GroupState {
    fn new(remaining_faults: FaultBudget, disabled_check: Option<SafetyCheck>) -> GroupState {
        let mut w = GroupState {
            replicas: Default::default(),
            replica_hashes: [[0; 2]; MEMBERS],
            stores: Default::default(),
            routers: Default::default(),
            nonces: [1, 2, 3],
            views: [[(0, false); MEMBERS]; MEMBERS],
            in_transit: Vec::new(),
            deliverable: Some(false),
            answered: None,
            executions: 0,
            intents: 2,
            may_deliver_twice: remaining_faults.double_deliveries > 0,
            remaining_faults,
            last_id: 3,
        };
        for r in 0..MEMBERS {
            let mut replica =
                Replica::new(0, group(r), settings(disabled_check), w.nonces[r], None);
            replica.handle(NOW, Input::Tick, &mut Vec::new());
            for m in 0..MEMBERS {
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
            w.update_replica_hashes(r);
        }
        // Comparisons at the start are not explored.
        w.in_transit.clear();
        w
    }

    /// Recomputes the hashes of a replica.
    fn update_replica_hashes(&mut self, r: usize) {
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
        self.replica_hashes[r] = [of(1), of(2)];
    }

    /// Hash of the whole state, by which states that were already explored are recognized.
    fn state_hash(&self) -> u128 {
        let half = |n: usize| {
            let in_transit = self
                .in_transit
                .iter()
                .fold(0u64, |sum, sent| sum.wrapping_add(sent.hash[n]));
            let rest = (
                self.nonces,
                self.views,
                self.deliverable,
                self.answered,
                self.executions,
                self.remaining_faults,
                (self.intents, self.last_id),
            );
            hash_of((
                n,
                self.replica_hashes.map(|m| m[n]),
                &self.stores,
                &self.routers,
                in_transit,
                rest,
            ))
        };
        u128::from(half(0)) << 64 | u128::from(half(1))
    }

    /// Whether any dispatch other than `excluded` has run, or may still run.
    fn may_run_besides(&self, excluded: (usize, u64)) -> bool {
        let out = (0..MEMBERS).flat_map(|r| {
            self.routers[r]
                .dispatches
                .iter()
                .map(move |(s, o)| (r, *s, *o))
        });
        let may_run = |o: DispatchState| {
            matches!(
                o,
                DispatchState::Buffered | DispatchState::Sent { ran: true }
            )
        };
        self.executions > 0
            || out
                .into_iter()
                .any(|(r, s, o)| may_run(o) && excluded != (r, s))
    }

    fn handle(&mut self, r: usize, now: i64, input: Input) -> Result<(), String> {
        let Some(replica) = self.replicas[r].as_mut() else {
            return Ok(());
        };
        let mut out = Vec::new();
        Arc::make_mut(replica).handle(now, input, &mut out);
        self.update_replica_hashes(r);
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let sent = MessageInTransit::new(r, to, self.nonces[r], message);
                    // Unsolicited updates are modelled by a separate step.
                    if let Message::Update { .. } = *sent.message {
                        continue;
                    }
                    // A second equal message is modelled by the step that duplicates messages.
                    if self.in_transit.iter().all(|s| s.hash != sent.hash) {
                        self.in_transit.push(sent);
                    }
                }
                Output::Decision { decision, .. } => self.on_decision(r, decision)?,
                Output::DispatchPermission {
                    dispatch,
                    permission: Ok(_),
                    ..
                } => {
                    if self.routers[r].dispatches.get(&dispatch) != Some(&DispatchState::Requested)
                    {
                        continue;
                    }
                    if self.may_run_besides((r, dispatch)) {
                        return Err(format!(
                            "dispatch {dispatch} is permitted at {r} while another one may run"
                        ));
                    }
                    self.routers[r]
                        .dispatches
                        .insert(dispatch, DispatchState::Buffered);
                }
                Output::DispatchPermission {
                    dispatch,
                    permission: Err(reason),
                    ..
                } => {
                    self.routers[r].dispatches.remove(&dispatch);
                    self.routers[r].may_dispatch = false;
                    if reason != NoMajorityReason::OwnedElsewhere {
                        self.answer(r, false)?;
                    } else if !self.routers[r].has_delivery {
                        self.handle(r, now, Input::Abandoned { key: KEY.into() })?;
                    }
                }
                Output::ProposalEnded { .. } | Output::RecordChanged(_) | Output::Recovered => {}
            }
        }
        // Votes that the replica no longer awaits have no effect, and are removed to reduce the number of states.
        if let Some(it) = self.replicas[r].clone() {
            self.in_transit
                .retain(|s| s.to as usize != r || it.is_message_relevant(&s.message));
        }
        Ok(())
    }

    fn on_decision(&mut self, r: usize, decision: OwnershipDecision) -> Result<(), String> {
        if !self.routers[r].has_delivery {
            return Ok(());
        }
        match decision {
            OwnershipDecision::Dispatch { .. } => {
                // If another router has taken over meanwhile, the dispatch will not be permitted.
                self.routers[r].may_dispatch = true;
                Ok(())
            }
            OwnershipDecision::Wait => Ok(()),
            OwnershipDecision::Answer(_) => self.answer(r, true),
            OwnershipDecision::Indeterminate(_) | OwnershipDecision::NoMajority(_) => {
                self.answer(r, false)
            }
        }
    }

    /// Gives the final answer and acknowledges the message in one step.
    fn answer(&mut self, r: usize, success: bool) -> Result<(), String> {
        if !self.routers[r].has_delivery {
            return Ok(());
        }
        let is_acknowledged = !std::mem::take(&mut self.routers[r].taken_back);
        if is_acknowledged && self.answered.is_some() && !self.may_deliver_twice {
            return Err("answered twice".into());
        }
        if success && self.executions == 0 {
            return Err("a success of an invocation that did not run".into());
        }
        if is_acknowledged {
            self.answered = Some(success);
        }
        (self.routers[r].has_delivery, self.routers[r].may_dispatch) = (false, false);
        let end = if success {
            Input::DeliveryFinal { key: KEY.into() }
        } else {
            Input::Abandoned { key: KEY.into() }
        };
        if self.routers[r].dispatches.is_empty() {
            self.handle(r, NOW, end)
        } else {
            Ok(())
        }
    }

    /// Passes each possible next step with the state after it, or the violated invariant, to `found`.
    #[expect(clippy::too_many_lines, reason = "one list of all steps")]
    fn steps(
        &self,
        disabled_check: Option<SafetyCheck>,
        found: &mut dyn FnMut(Label, Result<GroupState, String>),
    ) {
        let mut step = |label: Label, change: &dyn Fn(&mut GroupState) -> Result<(), String>| {
            let mut next = self.clone();
            let result = change(&mut next);
            found(label, result.map(|()| next));
        };
        let is_running = |r: usize| self.replicas[r].is_some() && !self.routers[r].suspended;
        for r in (0..MEMBERS).filter(|r| is_running(*r)) {
            // At first, the routers differ only in the order of their ballots. Starting with the middle one covers
            // takeovers by a router with a higher and with a lower ballot.
            let first = |redelivered: bool| redelivered || r == 1;
            if let Some(redelivered) = self
                .deliverable
                .filter(|redelivered| !self.routers[r].has_delivery && first(*redelivered))
            {
                step(
                    (
                        "receives the message (1: redelivered)",
                        r,
                        usize::from(redelivered),
                        0,
                    ),
                    &|w| {
                        w.deliverable = None;
                        w.deliver(r, redelivered)
                    },
                );
                if !redelivered && self.remaining_faults.double_deliveries > 0 {
                    for other in (0..MEMBERS).filter(|o| *o != r && is_running(*o)) {
                        step(("receives the message together with", r, other, 0), &|w| {
                            (w.deliverable, w.remaining_faults.double_deliveries) =
                                (None, w.remaining_faults.double_deliveries - 1);
                            w.deliver(r, false)?;
                            w.deliver(other, false)
                        });
                    }
                }
            }
            let router = &self.routers[r];
            if router.may_dispatch
                && router.has_delivery
                && router.dispatches.is_empty()
                && self.intents > 0
            {
                step(("requests a dispatch", r, r, self.last_id + 1), &|w| {
                    w.last_id += 1;
                    let dispatch = w.last_id;
                    w.intents -= 1;
                    w.routers[r]
                        .dispatches
                        .insert(dispatch, DispatchState::Requested);
                    w.handle(
                        r,
                        NOW,
                        Input::RequestDispatch {
                            key: KEY.into(),
                            dispatch,
                            deduplication_scope: 0,
                            without_majority: false,
                        },
                    )
                });
            }
            for (&dispatch, &o) in &router.dispatches {
                match o {
                    DispatchState::Requested => {}
                    DispatchState::Buffered => {
                        for ran in [true, false] {
                            step(
                                (
                                    "sends the dispatch (1: it runs)",
                                    r,
                                    usize::from(ran),
                                    dispatch,
                                ),
                                &|w| {
                                    w.routers[r]
                                        .dispatches
                                        .insert(dispatch, DispatchState::Sent { ran });
                                    w.executions += u8::from(ran);
                                    if w.executions > 1 {
                                        Err("a second execution".into())
                                    } else {
                                        Ok(())
                                    }
                                },
                            );
                        }
                        step(("discards the permitted dispatch", r, r, dispatch), &|w| {
                            w.end_dispatch(r, dispatch, false, false)
                        });
                    }
                    DispatchState::Sent { ran } => {
                        step(
                            (
                                "receives the result of the dispatch (1: it ran)",
                                r,
                                usize::from(ran),
                                dispatch,
                            ),
                            &|w| w.end_dispatch(r, dispatch, ran, ran),
                        );
                        step(
                            ("loses the connection of the dispatch", r, r, dispatch),
                            &|w| w.end_dispatch(r, dispatch, true, false),
                        );
                    }
                }
            }
            if router.has_delivery
                && (self.remaining_faults.channel_losses > 0 || router.taken_back)
            {
                step(("loses its channel to the broker", r, r, 0), &|w| {
                    if !std::mem::take(&mut w.routers[r].taken_back) {
                        (w.remaining_faults.channel_losses, w.deliverable) =
                            (w.remaining_faults.channel_losses - 1, Some(true));
                    }
                    (w.routers[r].has_delivery, w.routers[r].may_dispatch) = (false, false);
                    let out = w.routers[r]
                        .dispatches
                        .values()
                        .any(|o| *o != DispatchState::Requested);
                    w.routers[r]
                        .dispatches
                        .retain(|_, o| *o != DispatchState::Requested);
                    if out {
                        Ok(())
                    } else {
                        w.handle(r, NOW, Input::Abandoned { key: KEY.into() })
                    }
                });
            }
            if self.remaining_faults.suspensions > 0 {
                step(("is suspended", r, r, 0), &|w| {
                    (w.remaining_faults.suspensions, w.routers[r].suspended) =
                        (w.remaining_faults.suspensions - 1, true);
                    Ok(())
                });
            }
            if self.remaining_faults.timeouts > 0 {
                step(("reaches its timeouts", r, r, 0), &|w| {
                    w.remaining_faults.timeouts -= 1;
                    w.handle(r, AFTER_TIMEOUTS, Input::Tick)
                });
            }
            for m in (0..MEMBERS).filter(|m| *m != r) {
                let now = (self.nonces[m], true);
                if self.views[r][m] != now && self.replicas[m].is_some() {
                    step(("learns of the process of", r, m, 0), &|w| {
                        w.view(r, m, now)
                    });
                }
                let record_of =
                    |r: usize| self.replicas[r].as_ref().and_then(|it| it.copy(NOW, KEY));
                if self.remaining_faults.updates > 0
                    && record_of(m).is_some()
                    && record_of(m) != record_of(r)
                {
                    step(("receives the record of", r, m, 0), &|w| {
                        w.remaining_faults.updates -= 1;
                        w.deliver_update(m, r)
                    });
                }
                let dead = (self.views[r][m].0, false);
                if self.views[r][m].1 && self.remaining_faults.suspicions > 0 {
                    step(("considers dead", r, m, 0), &|w| {
                        w.remaining_faults.suspicions -= 1;
                        w.view(r, m, dead)
                    });
                }
            }
        }
        for r in 0..MEMBERS {
            if self.routers[r].suspended
                && self.routers[r].has_delivery
                && !self.routers[r].taken_back
            {
                step(
                    ("has its message taken back by the broker", r, r, 0),
                    &|w| {
                        (w.routers[r].taken_back, w.deliverable) = (true, Some(true));
                        Ok(())
                    },
                );
            }
            if self.routers[r].suspended {
                step(("resumes", r, r, 0), &|w| {
                    w.routers[r].suspended = false;
                    Ok(())
                });
            }
            if self.replicas[r].is_some() && self.remaining_faults.crashes > 0 {
                step(("crashes", r, r, 0), &|w| {
                    w.remaining_faults.crashes -= 1;
                    if w.routers[r].has_delivery && !w.routers[r].taken_back {
                        w.deliverable = Some(true);
                    }
                    w.routers[r] = Router::default();
                    for to in (0..MEMBERS).filter(|to| *to != r) {
                        w.send_last_update(r, to);
                    }
                    let replica = w.replicas[r].take().ok_or("no process is running")?;
                    let held = replica
                        .records()
                        .map(|(k, s)| (k.clone(), s.to_copy(NOW)))
                        .collect();
                    w.stores[r] = Some(Arc::new(held));
                    w.update_replica_hashes(r);
                    Ok(())
                });
            }
            if self.replicas[r].is_none() {
                let choices: &[bool] = if self.remaining_faults.restarts_with_records > 0 {
                    &[true, false]
                } else {
                    &[false]
                };
                for &with_records in choices {
                    step(
                        (
                            "restarts (1: with its records)",
                            r,
                            usize::from(with_records),
                            0,
                        ),
                        &|w| {
                            w.remaining_faults.restarts_with_records -= u8::from(with_records);
                            w.last_id += 1;
                            w.nonces[r] = w.last_id;
                            let records = w.stores[r]
                                .take()
                                .filter(|_| with_records)
                                .map(|f| f.to_vec());
                            let replica = Replica::new(
                                NOW,
                                group(r),
                                settings(disabled_check),
                                w.nonces[r],
                                records,
                            );
                            w.replicas[r] = Some(Arc::new(replica));
                            w.update_replica_hashes(r);
                            w.views[r] = [(0, false); MEMBERS];
                            let others: Vec<usize> = (0..MEMBERS)
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
        for n in 0..self.in_transit.len() {
            let MessageInTransit {
                from,
                to,
                nonce,
                ref message,
                ..
            } = self.in_transit[n];
            if is_running(to as usize) {
                let deliver_message = |w: &mut GroupState| {
                    let (from, message) = (MemberIndex::from(from), Message::clone(message));
                    w.handle(
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
                step((label_of(message), to as usize, from as usize, 0), &|w| {
                    w.in_transit.swap_remove(n);
                    deliver_message(w)
                });
                if self.remaining_faults.duplicates > 0 {
                    step((label_of(message), to as usize, from as usize, 2), &|w| {
                        w.remaining_faults.duplicates -= 1;
                        deliver_message(w)
                    });
                }
            }
        }
    }

    /// The broker delivers the message to a router.
    fn deliver(&mut self, r: usize, redelivered: bool) -> Result<(), String> {
        self.routers[r].has_delivery = true;
        self.handle(
            r,
            NOW,
            Input::Announce {
                key: KEY.into(),
                durability: Durability::Majority,
                redelivered,
            },
        )
    }

    /// Ends a dispatch; `answer_received` tells whether an answer was received.
    fn end_dispatch(
        &mut self,
        r: usize,
        dispatch: u64,
        may_have_run: bool,
        answer_received: bool,
    ) -> Result<(), String> {
        self.routers[r].dispatches.remove(&dispatch);
        self.handle(
            r,
            NOW,
            Input::DispatchEnded {
                key: KEY.into(),
                dispatch,
                may_have_run,
            },
        )?;
        if answer_received {
            self.handle(
                r,
                NOW,
                Input::Answered {
                    key: KEY.into(),
                    answer: Bytes::from_static(b"done"),
                },
            )?;
        }
        match self.routers[r].has_delivery {
            true if answer_received || may_have_run => self.answer(r, answer_received),
            true => Ok(()),
            false => self.handle(r, NOW, Input::Abandoned { key: KEY.into() }),
        }
    }

    /// The update that a member would send.
    fn update_from(&self, m: usize) -> Option<Message> {
        let shared = self.replicas[m].as_ref()?.copy(NOW, KEY)?;
        Some(Message::Update {
            key: KEY.into(),
            record: shared,
        })
    }

    /// Delivers an update of member `m` to member `r`.
    fn deliver_update(&mut self, m: usize, r: usize) -> Result<(), String> {
        let Some(message) = self.update_from(m) else {
            return Ok(());
        };
        let (from, nonce) = (m as MemberIndex, self.nonces[m]);
        self.handle(
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

    /// Puts the last update of a crashing process in transit, as it may arrive after the crash.
    fn send_last_update(&mut self, r: usize, to: usize) {
        if let Some(message) = self.update_from(r) {
            self.in_transit.push(MessageInTransit::new(
                r,
                to as MemberIndex,
                self.nonces[r],
                message,
            ));
        }
    }

    /// Sets what member `r` knows of member `m`: its nonce, and whether it is alive.
    fn view(&mut self, r: usize, m: usize, view: (u64, bool)) -> Result<(), String> {
        self.views[r][m] = view;
        self.handle(
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

/// Label of the step in which a message is delivered.
fn label_of(message: &Message) -> &'static str {
    match message {
        Message::StoreIntent { .. } => "receives an intent from",
        Message::IntentStored { .. } => "receives a vote for its intent from",
        Message::Fence { .. } => "receives a fence from",
        Message::Fenced { .. } => "receives a promise from",
        Message::Rejected { .. } => "receives a rejection from",
        Message::Update { .. } => "receives a last update from",
        _ => "receives a comparison message from",
    }
}

/// Label of a step: what happened, the member that it happened to, the other member or a flag, and the dispatch; a 2 in
/// the last place marks a duplicated message.
type Label = (&'static str, usize, usize, u64);

/// Result of an exploration.
struct Exploration {
    /// Number of different states.
    states: usize,
    /// Number of steps explored.
    depth: usize,
    /// Steps to the violation of an invariant, if one was found.
    counterexample: Option<Vec<String>>,
}

const THREADS: usize = 4;

/// Explores all states within `depth` steps, until `max_states` states were seen or an invariant was violated.
#[expect(clippy::too_many_lines, reason = "one breadth-first search")]
fn explore(
    first: GroupState,
    disabled_check: Option<SafetyCheck>,
    depth: usize,
    max_states: usize,
) -> Exploration {
    let mut seen: HashSet<u128> = HashSet::from([first.state_hash()]);
    let mut predecessors: Vec<(usize, Label)> = vec![(0, ("", 0, 0, 0))];
    let mut level = vec![(0, first)];
    for at in 0..depth {
        // Several threads expand the states. Their results are joined in the order of these states, so that each run
        // gives the same result.
        let expand = |part: &[(usize, GroupState)]| {
            let mut steps = Vec::new();
            for (ix, state) in part {
                state.steps(disabled_check, &mut |label, result| {
                    let hashed = result.map(|w| (w.state_hash(), w));
                    if hashed
                        .as_ref()
                        .map_or(true, |(hash, _)| !seen.contains(hash))
                    {
                        steps.push((*ix, label, hashed));
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
                .map(|t| t.join().expect("the thread does not panic"))
                .collect()
        });
        let mut next = Vec::new();
        for (ix, label, result) in parts.into_iter().flatten() {
            match result {
                Ok((hash, w)) => {
                    if seen.len() < max_states && seen.insert(hash) {
                        predecessors.push((ix, label));
                        next.push((predecessors.len() - 1, w));
                    }
                }
                Err(violation) => {
                    let (mut path, mut ix) = (vec![format!("{label:?}: {violation}")], ix);
                    while ix > 0 {
                        path.push(format!("{:?}", predecessors[ix].1));
                        ix = predecessors[ix].0;
                    }
                    path.reverse();
                    return Exploration {
                        states: seen.len(),
                        depth: at,
                        counterexample: Some(path),
                    };
                }
            }
        }
        if next.is_empty() || seen.len() >= max_states {
            return Exploration {
                states: seen.len(),
                depth: at,
                counterexample: None,
            };
        }
        level = next;
    }
    Exploration {
        states: seen.len(),
        depth,
        counterexample: None,
    }
}

/// The state after the steps of `path`; each is given by the first three parts of its label.
fn state_after(
    faults: FaultBudget,
    disabled_check: Option<SafetyCheck>,
    path: &[(&str, usize, usize)],
) -> GroupState {
    let mut state = GroupState::new(faults, disabled_check);
    for (n, (what, a, b)) in path.iter().enumerate() {
        let mut next = None;
        state.steps(disabled_check, &mut |label, result| {
            if (label.0, label.1, label.2) == (*what, *a, *b) && next.is_none() {
                next = result.ok();
            }
        });
        state = next.unwrap_or_else(|| panic!("step {n}, {what}, is not possible"));
    }
    state
}

/// Greatest number of steps explored.
const MAX_DEPTH: usize = 60;

/// Checks that no invariant is violated in any explored state.
fn assert_holds(what: &str, faults: FaultBudget, path: &[(&str, usize, usize)], max_states: usize) {
    let found = explore(state_after(faults, None, path), None, MAX_DEPTH, max_states);
    println!(
        "{what}: {} states, {} steps deep",
        found.states, found.depth
    );
    assert!(
        found.counterexample.is_none(),
        "{what}: {:#?}",
        found.counterexample
    );
}

/// Checks that an invariant is violated if a safety check is disabled.
fn assert_violation(
    check: SafetyCheck,
    faults: FaultBudget,
    path: &[(&str, usize, usize)],
    max_states: usize,
) {
    let found = explore(
        state_after(faults, Some(check), path),
        Some(check),
        MAX_DEPTH,
        max_states,
    );
    println!(
        "without {check:?}: {} states, {} steps",
        found.states, found.depth
    );
    assert!(
        found.counterexample.is_some(),
        "without {check:?}, no invariant is violated in {} states",
        found.states
    );
}

const CHANNEL_LOSS: FaultBudget = FaultBudget {
    channel_losses: 1,
    updates: 1,
    ..NO_FAULTS
};
const DOUBLE_DELIVERY: FaultBudget = FaultBudget {
    double_deliveries: 1,
    updates: 1,
    ..NO_FAULTS
};
const SUSPENSION_AND_SUSPICION: FaultBudget = FaultBudget {
    suspensions: 1,
    suspicions: 1,
    updates: 1,
    ..NO_FAULTS
};
const SUSPENSION: FaultBudget = FaultBudget {
    suspensions: 1,
    updates: 1,
    ..NO_FAULTS
};
const SUSPENSION_AND_TIMEOUT: FaultBudget = FaultBudget {
    suspensions: 1,
    timeouts: 1,
    ..NO_FAULTS
};
const CRASH: FaultBudget = FaultBudget {
    crashes: 1,
    ..NO_FAULTS
};
const CRASH_AND_SUSPENSION: FaultBudget = FaultBudget {
    crashes: 1,
    suspensions: 1,
    updates: 1,
    ..NO_FAULTS
};

/// The owner is suspended while its intent is in transit, and the message is redelivered to another router.
const OWNER_SUSPENDED_BEFORE_VOTES: &[(&str, usize, usize)] = &[
    ("receives the message (1: redelivered)", 1, 0),
    ("receives the record of", 0, 1),
    ("requests a dispatch", 1, 1),
    ("is suspended", 1, 1),
    ("has its message taken back by the broker", 1, 1),
    ("receives the message (1: redelivered)", 0, 1),
];

/// The owner is suspended with a permitted dispatch, and the other member that stored the intent restarts without its
/// records.
const OWNER_SUSPENDED_AND_VOTER_RESTARTED: &[(&str, usize, usize)] = &[
    ("receives the message (1: redelivered)", 1, 0),
    ("receives the record of", 0, 1),
    ("requests a dispatch", 1, 1),
    ("receives an intent from", 2, 1),
    ("receives a vote for its intent from", 1, 2),
    ("is suspended", 1, 1),
    ("has its message taken back by the broker", 1, 1),
    ("crashes", 2, 2),
    ("restarts (1: with its records)", 2, 0),
];

/// Both members that stored the intent restart, one of them with its records.
const TWO_CRASHES: FaultBudget = FaultBudget {
    crashes: 2,
    restarts_with_records: 1,
    updates: 1,
    ..NO_FAULTS
};
/// The owner has sent its dispatch, and both members that stored the intent have crashed.
const DISPATCHED_AND_BOTH_CRASHED: &[(&str, usize, usize)] = &[
    ("receives the message (1: redelivered)", 1, 0),
    ("receives the record of", 0, 1),
    ("requests a dispatch", 1, 1),
    ("receives an intent from", 2, 1),
    ("receives a vote for its intent from", 1, 2),
    ("sends the dispatch (1: it runs)", 1, 1),
    ("crashes", 1, 1),
    ("crashes", 2, 2),
];

#[test]
fn broker_channel_lost_at_any_moment() {
    assert_holds("channel lost", CHANNEL_LOSS, &[], 300_000);
}

#[test]
fn message_delivered_to_two_routers_at_once() {
    assert_holds("delivered twice", DOUBLE_DELIVERY, &[], 300_000);
}

#[test]
fn process_paused_at_any_moment_and_resumed_late() {
    assert_holds(
        "suspended, timeouts pass",
        SUSPENSION_AND_TIMEOUT,
        &[],
        150_000,
    );
    assert_holds(
        "suspended, considered dead",
        SUSPENSION_AND_SUSPICION,
        &[],
        150_000,
    );
    assert_holds(
        "suspended while it requests a dispatch",
        SUSPENSION_AND_SUSPICION,
        OWNER_SUSPENDED_BEFORE_VOTES,
        100_000,
    );
}

#[test]
fn process_crashed_at_any_moment_and_restarted_without_state() {
    assert_holds("crash", CRASH, &[], 150_000);
    assert_holds(
        "records lost",
        CRASH_AND_SUSPENSION,
        OWNER_SUSPENDED_AND_VOTER_RESTARTED,
        100_000,
    );
    assert_holds(
        "both restarted",
        TWO_CRASHES,
        DISPATCHED_AND_BOTH_CRASHED,
        100_000,
    );
}

#[test]
fn duplicated_messages() {
    assert_holds(
        "duplicated messages",
        FaultBudget {
            duplicates: 1,
            suspensions: 1,
            ..NO_FAULTS
        },
        INTENT_STORED_ONCE,
        100_000,
    );
}

/// The owner has requested a dispatch, and one other member has stored its intent.
const INTENT_STORED_ONCE: &[(&str, usize, usize)] = &[
    ("receives the message (1: redelivered)", 1, 0),
    ("requests a dispatch", 1, 1),
    ("receives an intent from", 2, 1),
];

#[test]
fn each_disabled_safety_check_is_found() {
    assert_violation(
        SafetyCheck::MajorityBeforeDispatch,
        DOUBLE_DELIVERY,
        &[],
        10_000,
    );
    assert_violation(SafetyCheck::FirstBallotAlone, DOUBLE_DELIVERY, &[], 10_000);
    assert_violation(SafetyCheck::FencedTakeover, CHANNEL_LOSS, &[], 20_000);
    assert_violation(
        SafetyCheck::KeptPromise,
        SUSPENSION,
        OWNER_SUSPENDED_BEFORE_VOTES,
        200_000,
    );
    assert_violation(
        SafetyCheck::UnansweredMayHold,
        SUSPENSION,
        OWNER_SUSPENDED_BEFORE_VOTES,
        200_000,
    );
    assert_violation(
        SafetyCheck::GoneOwnerMayHaveRun,
        SUSPENSION_AND_SUSPICION,
        OWNER_SUSPENDED_BEFORE_VOTES,
        200_000,
    );
    assert_violation(
        SafetyCheck::NoVoteWithoutState,
        CRASH_AND_SUSPENSION,
        OWNER_SUSPENDED_AND_VOTER_RESTARTED,
        100_000,
    );
}
