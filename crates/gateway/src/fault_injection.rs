//! Fault injection between the core and the sockets, used only to test the invariant checker
//! (`cedarpulley-invariant-checker`): one rule is violated on purpose, and the checker has to detect it. Without a
//! fault, all inputs and outputs pass unchanged.

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
use crate::task_owner::TaskOwner;

/// A fault is applied to every 15th eligible event.
const FAULT_EVERY: u64 = 15;
/// Delay of late answers and time limit of excess orders, in microseconds; longer than any client timeout in a test.
const LATE_DELAY: Micros = 8_000_000;
/// Number of duplicates sent of each dispatch to a cold worker.
const OVERLOAD_DUPLICATES: usize = 60;
/// Number of extra load orders sent for each load order of the core.
const EXCESS_ORDERS: usize = 12;
/// Interval between corruptions in microseconds; short enough for several corruptions in each reconciliation round of a
/// test.
const CORRUPTION_INTERVAL: Micros = 40_000;
/// Limit on corruptions, so that all recorded copies can be corrected before a test ends.
const MAX_CORRUPTIONS: u64 = 150;
/// Combined with the router's seed, so that these random numbers are independent of all others.
const CORRUPTION_SEED: u64 = 0x5b01;
/// Limit on the dispatch targets stored as candidates for corruption.
const MAX_TARGETS: usize = 1_000;
/// A version that no upgrade plan of a test uses.
const UNUSED_VERSION: &str = "977";

/// The rule or safety check to violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Rule 1: an answer is sent after the client timeout.
    LateAnswer,
    /// Rule 1: an answer is never sent.
    LostAnswer,
    /// Rule 1: an answer is sent twice.
    DuplicateAnswer,
    /// Rule 2: an invocation that may have run is dispatched again.
    RepeatedDispatch,
    /// Rule 3: workers that drain or leave are treated as in service.
    IgnoredDrains,
    /// Rule 4: workers that have just started receive each dispatch many times.
    OverloadedColdWorker,
    /// Rule 5: many load orders are sent instead of one.
    ExcessOrders,
    /// Rule 2, in a group: a dispatch is sent before a majority has stored its intent.
    SendWithoutMajority,
    /// A member takes over invocations based on its local knowledge, without fencing the owner.
    UnfencedTakeover,
    /// A member stores an intent that it has promised not to store any more.
    BrokenPromise,
    /// A member votes although it has lost its state.
    VoteWithoutMemory,
    /// A member treats the absence of a record as proof that nothing was sent.
    AbsenceAsProof,
    /// A member treats the failure of an owner as proof that the owner sent nothing.
    DeadOwnerAsProof,
    /// After a restart of all members, a member assumes that an event never happened if none has a record of it.
    TrustAfterFullRestart,
    /// A member votes on choices before they are written to its store.
    VoteBeforePersisted,
    /// Repeatedly corrupts the router's record of warm copies at workers; disables no safety check.
    CorruptedRecord,
}

impl InjectedFault {
    /// The safety check of the group's shared state that this fault disables, if any.
    pub fn disabled_check(self) -> Option<SafetyCheck> {
        Some(match self {
            InjectedFault::SendWithoutMajority => SafetyCheck::MajorityBeforeDispatch,
            InjectedFault::UnfencedTakeover => SafetyCheck::FencedTakeover,
            InjectedFault::BrokenPromise => SafetyCheck::KeptPromise,
            InjectedFault::VoteWithoutMemory => SafetyCheck::NoVoteWithoutState,
            InjectedFault::AbsenceAsProof => SafetyCheck::UnknownIsNotDispatched,
            InjectedFault::DeadOwnerAsProof => SafetyCheck::GoneOwnerMayHaveRun,
            InjectedFault::TrustAfterFullRestart => SafetyCheck::IntentsMayBeLostAfterRestarts,
            InjectedFault::VoteBeforePersisted => SafetyCheck::PersistBeforeVote,
            _ => return None,
        })
    }

    /// The fault with this name on the command line.
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
            "spoilt" => InjectedFault::CorruptedRecord,
            _ => return None,
        })
    }
}

/// Returns the address of a worker, if the core knows the worker.
pub type AddressLookup = Rc<dyn Fn(WorkerIndex) -> Option<SocketAddr>>;

/// Observes the traffic between the core and the sockets and injects one kind of fault into it.
pub struct FaultInjector {
    fault: Option<InjectedFault>,
    context: Rc<GatewayContext>,
    pool: Rc<Pool>,
    address: AddressLookup,
    /// Number of events to which the fault could have been applied.
    eligible_events: Cell<u64>,
    /// Addresses of workers whose slow start is hidden from the core.
    cold_workers: RefCell<Vec<String>>,
    /// Worker address and function of each dispatch sent: the record of these copies can be corrupted.
    sent_targets: RefCell<BTreeSet<(String, String)>>,
}

impl FaultInjector {
    /// Creates an injector; without a fault, all inputs and outputs pass unchanged.
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
            eligible_events: Cell::new(0),
            cold_workers: RefCell::default(),
            sent_targets: RefCell::default(),
        }
    }

    /// If the fault is [`InjectedFault::CorruptedRecord`], corrupts the warm copies recorded by the balancer and, if
    /// it is configured, by the reconciliation, which has to correct them.
    pub async fn corrupt_records(self: Rc<Self>, reconciliation: Option<Rc<Reconciliation>>) {
        if self.fault != Some(InjectedFault::CorruptedRecord) {
            return;
        }
        let mut random = SeededRandom::new(self.context.seed ^ CORRUPTION_SEED);
        let mut corrupted = 0;
        while corrupted < MAX_CORRUPTIONS {
            Timer::after(duration_from_micros(CORRUPTION_INTERVAL)).await;
            let Some((worker, function, copies)) = self.wrong_record(&mut random) else {
                continue;
            };
            if reconciliation.as_ref().is_some_and(|reconciliation| {
                !reconciliation.corrupt_recorded_copies(&worker, &function, copies)
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

    /// Draws a wrong record as worker, function and number of copies: a missing copy, a copy that may not exist, too
    /// many copies, or a copy of a version that no worker has.
    fn wrong_record(&self, random: &mut SeededRandom) -> Option<(String, String, u32)> {
        let sent = self.sent_targets.borrow();
        let mut random_target = || {
            sent.iter()
                .nth((random.draw() * sent.len() as f64) as usize)
                .cloned()
        };
        let ((worker, function), (_, another)) = (random_target()?, random_target()?);
        Some(match (random.draw() * 4.0) as u32 {
            0 => (worker, function, 0),
            1 => (worker, another, 1),
            2 => (worker, function, 2 + (random.draw() * 3.0) as u32),
            _ => (
                worker,
                client_requests::function_name(&function, UNUSED_VERSION)?,
                1,
            ),
        })
    }

    /// Counts an eligible event, and returns whether the fault is applied to it.
    fn is_due(&self) -> bool {
        self.eligible_events.set(self.eligible_events.get() + 1);
        self.eligible_events.get().is_multiple_of(FAULT_EVERY)
    }

    /// Delivers an answer through its front, and applies the fault if it concerns answers.
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
                let executor = &self.context.executor;
                executor.spawn(TaskOwner::FaultInjection, late).detach();
            }
            _ => front.answer(delivery, &answer),
        }
    }

    /// Returns whether the current answer is to be lost.
    pub fn loses_answer(&self) -> bool {
        self.fault == Some(InjectedFault::LostAnswer) && self.is_due()
    }

    /// Observes each output of the core, and sends additional requests if the fault requires them.
    pub fn observe(&self, output: &Output) {
        match (self.fault, output) {
            (
                Some(InjectedFault::CorruptedRecord),
                Output::Send {
                    worker, function, ..
                },
            ) => self.remember_target(*worker, function),
            (Some(InjectedFault::RepeatedDispatch), Output::Send { .. }) if self.is_due() => {
                self.send_duplicates(output, 1)
            }
            (Some(InjectedFault::OverloadedColdWorker), Output::Send { worker, .. }) => {
                let address = (self.address)(*worker).map(|address| address.to_string());
                if address.is_some_and(|address| self.cold_workers.borrow().contains(&address)) {
                    self.send_duplicates(output, OVERLOAD_DUPLICATES);
                }
            }
            (
                Some(InjectedFault::ExcessOrders),
                Output::LoadOrder {
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

    /// Stores the worker and function of a dispatch as a candidate for corruption, up to [`MAX_TARGETS`].
    fn remember_target(&self, worker: WorkerIndex, function: &str) {
        let mut sent = self.sent_targets.borrow_mut();
        if let Some(address) = (self.address)(worker).filter(|_| sent.len() < MAX_TARGETS) {
            sent.insert((address.to_string(), function.to_owned()));
        }
    }

    /// Orders one more copy and ignores the answer.
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
        let executor = &self.context.executor;
        executor.spawn(TaskOwner::FaultInjection, order).detach();
    }

    /// Sends a dispatch `times` more times; the core does not learn of it.
    fn send_duplicates(&self, output: &Output, times: usize) {
        let Output::Send {
            worker,
            function,
            trigger,
            request,
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
            let (trigger, request) = (*trigger as usize, request.clone());
            let send = async move {
                let Some(address) = address_of(worker) else {
                    return;
                };
                let headers = worker_requests::InvocationHeaders {
                    invocation: request.name.as_deref(),
                    dispatch: 99,
                    idempotency_key: None,
                    trigger_type: &context.names.triggers[trigger],
                    account: None,
                    time_left: request.time_left,
                    session: None,
                };
                let http_request = worker_requests::infer(
                    &address.to_string(),
                    &function,
                    headers,
                    request.body.bytes,
                    request.body.first_part_length,
                );
                let _ = pool.exchange(address, http_request, false, || true).await;
            };
            let executor = &self.context.executor;
            executor.spawn(TaskOwner::FaultInjection, send).detach();
        }
    }

    /// Returns the event of the endpoint list, changed if the fault concerns it.
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
