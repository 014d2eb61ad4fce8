//! Fault injection between the core and the sockets, only to test the auditor (`cedarpulley-invariant-checker`): one rule
//! is broken on purpose, and the auditor has to find it. Without a fault, everything passes unchanged.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use async_io::Timer;
use cedarpulley::interface::{EndpointState, Micros, WorkerIndex};
use cedarpulley_kserve::{client_requests, worker_requests};
use cedarpulley_net::duration_from_micros;
use cedarpulley_reconcile::polling::SeededRandom;
use cedarpulley_replica::SafetyCheck;
use cedarpulley_router::endpoint_list::WatchEvent;
use cedarpulley_router::{Answer, Delivery, Input, Output};

use crate::amqp_front::AmqpFront;
use crate::context::GatewayContext;
use crate::pool::Pool;
use crate::reconciliation::Reconciliation;

/// A fault applies to one in this many events.
const FAULT_EVERY: u64 = 15;
/// In microseconds: longer than any client waits in a test.
const LATE_DELAY: Micros = 8_000_000;
/// Extra copies of each request to a cold worker.
const OVERLOAD_COPIES: usize = 60;
/// Extra load orders for each order of the core.
const EXCESS_ORDERS: usize = 12;
/// Microseconds between corruptions, so that there are several in each round of a test. Their number is
/// limited, so that beliefs can become true again before it ends.
const CORRUPTION_INTERVAL: Micros = 40_000;
const MAX_CORRUPTIONS: u64 = 150;
/// Separates these random draws from all others.
const CORRUPTION_SEED: u64 = 0x5b01;
/// Beliefs remembered as corruptible.
const MAX_TARGETS: usize = 1_000;
/// A version that no upgrade plan of a test uses.
const UNUSED_VERSION: &str = "977";

/// The rule or safety check to break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Rule 1: answers after the client has given up.
    LateAnswer,
    /// Rule 1: an answer is never sent.
    LostAnswer,
    /// Rule 1: two answers.
    DuplicateAnswer,
    /// Rule 2: dispatches again what may have run.
    RepeatedDispatch,
    /// Rule 3: ignores that workers drain or leave.
    IgnoredDrains,
    /// Rule 4: sends many times over to workers that have just started.
    OverloadedColdWorker,
    /// Rule 5: many load orders instead of one.
    ExcessOrders,
    /// Rule 2, in a group: sends before a majority holds the intent.
    SendWithoutMajority,
    /// Takes over invocations on its own knowledge, without fencing the owner.
    UnfencedTakeover,
    /// Holds an intent that it has promised not to hold any more.
    BrokenPromise,
    /// Votes though it has lost its memory.
    VoteWithoutMemory,
    /// Takes missing knowledge as proof that nothing was sent.
    AbsenceAsProof,
    /// Takes an owner that has failed for one that sent nothing.
    DeadOwnerAsProof,
    /// After all members have restarted, trusts what none of them remembers.
    TrustAfterFullRestart,
    /// Votes on choices before its store has them.
    VoteBeforePersisted,
    /// Switches no safety check off: corrupts the router's own beliefs about copies at workers, repeatedly.
    CorruptedBelief,
}

impl InjectedFault {
    /// The safety check of the group's shared state that this fault switches off, if any.
    pub fn disabled_check(self) -> Option<SafetyCheck> {
        Some(match self {
            InjectedFault::SendWithoutMajority => SafetyCheck::MajorityBeforeDispatch,
            InjectedFault::UnfencedTakeover => SafetyCheck::FencedTakeover,
            InjectedFault::BrokenPromise => SafetyCheck::KeptPromise,
            InjectedFault::VoteWithoutMemory => SafetyCheck::NoVoteWithoutState,
            InjectedFault::AbsenceAsProof => SafetyCheck::KnownToBeTaken,
            InjectedFault::DeadOwnerAsProof => SafetyCheck::GoneOwnerMayHaveRun,
            InjectedFault::TrustAfterFullRestart => SafetyCheck::DoubtAfterRestarts,
            InjectedFault::VoteBeforePersisted => SafetyCheck::PersistBeforeVote,
            _ => return None,
        })
    }

    /// The fault of this name on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "late" => InjectedFault::LateAnswer,
            "lost" => InjectedFault::LostAnswer,
            "double" => InjectedFault::DuplicateAnswer,
            "repeat" => InjectedFault::RepeatedDispatch,
            "deaf" => InjectedFault::IgnoredDrains,
            "push" => InjectedFault::OverloadedColdWorker,
            "orders" => InjectedFault::ExcessOrders,
            "unheld" => InjectedFault::SendWithoutMajority,
            "unfenced" => InjectedFault::UnfencedTakeover,
            "promise" => InjectedFault::BrokenPromise,
            "amnesia" => InjectedFault::VoteWithoutMemory,
            "absent" => InjectedFault::AbsenceAsProof,
            "gone" => InjectedFault::DeadOwnerAsProof,
            "undoubting" => InjectedFault::TrustAfterFullRestart,
            "unkept" => InjectedFault::VoteBeforePersisted,
            "spoilt" => InjectedFault::CorruptedBelief,
            _ => return None,
        })
    }
}

/// The address of a worker, while it is known.
pub type AddressLookup = Rc<dyn Fn(WorkerIndex) -> Option<SocketAddr>>;

/// Sees what passes between the core and the sockets, and breaks one rule in it.
pub struct FaultInjector {
    fault: Option<InjectedFault>,
    context: Rc<GatewayContext>,
    pool: Rc<Pool>,
    address: AddressLookup,
    observed: Cell<u64>,
    cold_workers: RefCell<Vec<String>>,
    /// Where this router sent what, as address and function: the beliefs that can be corrupted.
    sent: RefCell<BTreeSet<(String, String)>>,
}

impl FaultInjector {
    /// Without a fault, everything passes unchanged.
    pub fn new(
        fault: Option<InjectedFault>,
        context: Rc<GatewayContext>,
        pool: Rc<Pool>,
        address: AddressLookup,
    ) -> Self {
        FaultInjector {
            fault,
            context,
            pool,
            address,
            observed: Cell::new(0),
            cold_workers: RefCell::default(),
            sent: RefCell::default(),
        }
    }

    /// Corrupts beliefs if that is the fault: the module's, and those that the reconciliation follows, if
    /// there is one to correct them.
    pub async fn corrupt_beliefs(self: Rc<Self>, reconciliation: Option<Rc<Reconciliation>>) {
        if self.fault != Some(InjectedFault::CorruptedBelief) {
            return;
        }
        let mut chance = SeededRandom::new(self.context.seed ^ CORRUPTION_SEED);
        let mut corrupted = 0;
        while corrupted < MAX_CORRUPTIONS {
            Timer::after(duration_from_micros(CORRUPTION_INTERVAL)).await;
            let Some((worker, function, copies)) = self.wrong_belief(&mut chance) else {
                continue;
            };
            if reconciliation.as_ref().is_some_and(|reconciliation| {
                !reconciliation.corrupt_belief(&worker, &function, copies)
            }) {
                continue;
            }
            corrupted += 1;
            self.context.feed(Input::CopiesReported {
                worker: worker.into(),
                function: function.into(),
                copies,
            });
        }
        tracing::info!(spoilt = corrupted, "meddled: no more is spoilt");
    }

    /// A wrong belief: a copy forgotten, one that may not exist, too many copies, or a version that nobody
    /// has.
    fn wrong_belief(&self, chance: &mut SeededRandom) -> Option<(String, String, u32)> {
        let sent = self.sent.borrow();
        let mut random_target = || {
            sent.iter()
                .nth((chance.draw() * sent.len() as f64) as usize)
                .cloned()
        };
        let ((worker, function), (_, another)) = (random_target()?, random_target()?);
        Some(match (chance.draw() * 4.0) as u32 {
            0 => (worker, function, 0),
            1 => (worker, another, 1),
            2 => (worker, function, 2 + (chance.draw() * 3.0) as u32),
            _ => (
                worker,
                client_requests::function_name(&function, UNUSED_VERSION)?,
                1,
            ),
        })
    }

    fn is_due(&self) -> bool {
        self.observed.set(self.observed.get() + 1);
        self.observed.get().is_multiple_of(FAULT_EVERY)
    }

    /// Delivers an answer through its front, as the fault has it.
    pub fn answer(&self, front: &Rc<AmqpFront>, delivery: Delivery, answer: Answer) {
        match self.fault {
            Some(InjectedFault::LostAnswer) if self.is_due() => front.discard(delivery),
            Some(InjectedFault::DuplicateAnswer) if self.is_due() => {
                front.answer(delivery, &answer);
                front.answer(delivery, &answer);
            }
            Some(InjectedFault::LateAnswer) if self.is_due() => {
                let front = front.clone();
                let late = async move {
                    Timer::after(duration_from_micros(LATE_DELAY)).await;
                    front.answer(delivery, &answer);
                };
                self.context.executor.spawn(late).detach();
            }
            _ => front.answer(delivery, &answer),
        }
    }

    /// Whether the answer to this request is to be lost.
    pub fn loses_answer(&self) -> bool {
        self.fault == Some(InjectedFault::LostAnswer) && self.is_due()
    }

    /// Sees each output of the core, and sends more than the core requested.
    pub fn observe(&self, output: &Output) {
        match (self.fault, output) {
            (
                Some(InjectedFault::CorruptedBelief),
                Output::Send {
                    worker, function, ..
                },
            ) => self.remember_target(*worker, function),
            (Some(InjectedFault::RepeatedDispatch), Output::Send { .. }) if self.is_due() => {
                self.send_copies(output, 1)
            }
            (Some(InjectedFault::OverloadedColdWorker), Output::Send { worker, .. }) => {
                let address = (self.address)(*worker).map(|address| address.to_string());
                if address.is_some_and(|address| self.cold_workers.borrow().contains(&address)) {
                    self.send_copies(output, OVERLOAD_COPIES);
                }
            }
            (
                Some(InjectedFault::ExcessOrders),
                Output::Order {
                    ticket,
                    function,
                    copies,
                    ..
                },
            ) if *copies > 0 => {
                for _ in 0..EXCESS_ORDERS {
                    self.send_excess_order(ticket.worker, function.clone());
                }
            }
            _ => {}
        }
    }

    /// Notes where this router sent what, up to a limit.
    fn remember_target(&self, worker: WorkerIndex, function: &str) {
        let mut sent = self.sent.borrow_mut();
        if let Some(address) = (self.address)(worker).filter(|_| sent.len() < MAX_TARGETS) {
            sent.insert((address.to_string(), function.to_owned()));
        }
    }

    /// Orders one more copy; no one waits for the answer.
    fn send_excess_order(&self, worker: WorkerIndex, function: Arc<str>) {
        let (pool, address_of) = (self.pool.clone(), self.address.clone());
        let order = async move {
            let Some(address) = address_of(worker) else {
                return;
            };
            let request = worker_requests::load(
                &address.to_string(),
                &function,
                1,
                None,
                worker_requests::OrderIssuer::default(),
            );
            let _ = pool.order(address, request, LATE_DELAY).await;
        };
        self.context.executor.spawn(order).detach();
    }

    /// Repeats a dispatch this many times, past the core.
    fn send_copies(&self, output: &Output, times: usize) {
        let Output::Send {
            worker,
            function,
            trigger,
            call,
            ..
        } = output
        else {
            return;
        };
        for _ in 0..times {
            let (context, pool, address_of) = (
                self.context.clone(),
                self.pool.clone(),
                self.address.clone(),
            );
            let (worker, function) = (*worker, function.clone());
            let (trigger, call) = (*trigger as usize, call.clone());
            let send = async move {
                let Some(address) = address_of(worker) else {
                    return;
                };
                let marks = worker_requests::InvocationHeaders {
                    invocation: call.name.as_deref(),
                    dispatch: 99,
                    idempotency_key: None,
                    trigger_type: &context.names.triggers[trigger],
                    account: None,
                    time_left: call.time_left,
                    session: None,
                };
                let request = worker_requests::infer(
                    &address.to_string(),
                    &function,
                    marks,
                    call.body.bytes,
                    call.body.first_part_length,
                );
                let _ = pool.exchange(address, request, false, || true).await;
            };
            self.context.executor.spawn(send).detach();
        }
    }

    /// The worker list event, as far as the fault lets it through.
    pub fn filter_list_event(&self, mut event: WatchEvent) -> WatchEvent {
        let slices = match &mut event {
            WatchEvent::Listing { slices, .. } => slices.as_mut_slice(),
            WatchEvent::Changed(slice) => std::slice::from_mut(slice),
            _ => return event,
        };
        for worker in slices
            .iter_mut()
            .flat_map(|slice| &mut slice.entries)
            .map(|entry| &mut entry.worker)
        {
            match self.fault {
                Some(InjectedFault::IgnoredDrains) => worker.state = EndpointState::InService,
                Some(InjectedFault::OverloadedColdWorker) if worker.started_at.is_some() => {
                    self.cold_workers.borrow_mut().push(worker.address.clone());
                    worker.started_at = None;
                }
                _ => {}
            }
        }
        match (self.fault, &event) {
            (Some(InjectedFault::IgnoredDrains), WatchEvent::Removed { version, .. }) => {
                WatchEvent::Bookmark(*version)
            }
            _ => event,
        }
    }
}
