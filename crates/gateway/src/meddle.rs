//! A meddler between the core and the sockets, for tests of the judge alone: it breaks one rule on purpose. Without
//! one, everything passes as it is.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use async_io::Timer;
use cedarpulley::interface::{Micros, Standing, WorkerIx};
use cedarpulley_kserve::{requests, serving};
use cedarpulley_net::micros;
use cedarpulley_reconcile::asking::Chance;
use cedarpulley_replica::Guard;
use cedarpulley_router::roster::News;
use cedarpulley_router::{Answer, Delivery, Input, Output};

use crate::context::GatewayContext;
use crate::front::Front;
use crate::pool::Pool;
use crate::reconciling::Reconciling;

/// It acts on one in so many.
const ONE_IN: u64 = 15;
/// Longer than any client of a day waits.
const LATE: Micros = 8_000_000;
/// As often again as it is sent.
const PUSHES: usize = 60;
const ORDERS: usize = 12;
/// Several in each round of a test, and an end, after which belief can come to be true.
const SPOILS_EVERY: Micros = 40_000;
const MOST_SPOILT: u64 = 150;
/// Its draws are its own.
const SPOILT: u64 = 0x5b01;
const MOST_SENT: usize = 1_000;
/// No plan of a test makes this version.
const NOBODYS: &str = "977";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meddle {
    /// Rule 1: answers after the client has given up.
    Late,
    /// An answer that never comes.
    Lost,
    /// Two answers.
    Double,
    /// Rule 2: dispatches once more what may have run.
    Repeat,
    /// Rule 3: does not hear that workers drain or go.
    Deaf,
    /// Rule 4: sends to young workers many times over.
    Push,
    /// Rule 5: many orders for one.
    Orders,
    /// Rule 2, in a group: sends before a majority holds the intent.
    Unheld,
    /// Takes messages over by what it knows itself.
    Unfenced,
    /// Holds what it has promised not to hold any more.
    Promise,
    /// Votes though it remembers nothing.
    Amnesia,
    /// Takes silence for proof that nothing was sent.
    Absent,
    /// Takes an owner that is gone for one that sent nothing.
    Gone,
    /// After all have started anew, trusts what none of them has.
    Undoubting,
    /// Votes on choices before its folder has them.
    Unkept,
    /// Takes out nothing: what it believes to stand at workers is made wrong, again and again.
    Spoilt,
}

impl Meddle {
    /// The guard of the group's shared state that it takes out.
    pub fn guard(self) -> Option<Guard> {
        Some(match self {
            Meddle::Unheld => Guard::Majority,
            Meddle::Unfenced => Guard::Fence,
            Meddle::Promise => Guard::Promise,
            Meddle::Amnesia => Guard::Abstaining,
            Meddle::Absent => Guard::Presence,
            Meddle::Gone => Guard::Gone,
            Meddle::Undoubting => Guard::Doubt,
            Meddle::Unkept => Guard::Kept,
            _ => return None,
        })
    }

    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "late" => Meddle::Late,
            "lost" => Meddle::Lost,
            "double" => Meddle::Double,
            "repeat" => Meddle::Repeat,
            "deaf" => Meddle::Deaf,
            "push" => Meddle::Push,
            "orders" => Meddle::Orders,
            "unheld" => Meddle::Unheld,
            "unfenced" => Meddle::Unfenced,
            "promise" => Meddle::Promise,
            "amnesia" => Meddle::Amnesia,
            "absent" => Meddle::Absent,
            "gone" => Meddle::Gone,
            "undoubting" => Meddle::Undoubting,
            "unkept" => Meddle::Unkept,
            "spoilt" => Meddle::Spoilt,
            _ => return None,
        })
    }
}

/// Where a worker is, while it is known.
pub type Address = Rc<dyn Fn(WorkerIx) -> Option<SocketAddr>>;

pub struct Meddler {
    kind: Option<Meddle>,
    context: Rc<GatewayContext>,
    pool: Rc<Pool>,
    address: Address,
    seen: Cell<u64>,
    young: RefCell<Vec<String>>,
    /// Where this router sent what, by address and function: what there is to be wrong about.
    sent: RefCell<BTreeSet<(String, String)>>,
}

impl Meddler {
    pub fn new(kind: Option<Meddle>, context: Rc<GatewayContext>, pool: Rc<Pool>, address: Address) -> Self {
        Meddler {
            kind,
            context,
            pool,
            address,
            seen: Cell::new(0),
            young: RefCell::default(),
            sent: RefCell::default(),
        }
    }

    /// Spoils beliefs, if it is of that kind: the module's, and what follows it where that is to correct it.
    pub async fn spoils(self: Rc<Self>, follows: Option<Rc<Reconciling>>) {
        if self.kind != Some(Meddle::Spoilt) {
            return;
        }
        let mut chance = Chance::new(self.context.seed ^ SPOILT);
        let mut spoilt = 0;
        while spoilt < MOST_SPOILT {
            Timer::after(micros(SPOILS_EVERY)).await;
            let Some((worker, function, copies)) = self.wrong(&mut chance) else { continue };
            if follows.as_ref().is_some_and(|f| !f.spoil(&worker, &function, copies)) {
                continue;
            }
            spoilt += 1;
            self.context.feed(Input::Held { worker: worker.into(), function: function.into(), copies });
        }
        tracing::info!(spoilt, "meddled: no more is spoilt");
    }

    /// A belief to be had instead of the true one: a copy forgotten, one that may not be there, copies too many, or a
    /// version that nobody has.
    fn wrong(&self, chance: &mut Chance) -> Option<(String, String, u32)> {
        let sent = self.sent.borrow();
        let mut one = || sent.iter().nth((chance.draw() * sent.len() as f64) as usize).cloned();
        let ((worker, function), (_, another)) = (one()?, one()?);
        Some(match (chance.draw() * 4.0) as u32 {
            0 => (worker, function, 0),
            1 => (worker, another, 1),
            2 => (worker, function, 2 + (chance.draw() * 3.0) as u32),
            _ => (worker, serving::function(&function, NOBODYS)?, 1),
        })
    }

    fn turn(&self) -> bool {
        self.seen.set(self.seen.get() + 1);
        self.seen.get().is_multiple_of(ONE_IN)
    }

    pub fn answer(&self, front: &Rc<Front>, delivery: Delivery, answer: Answer) {
        match self.kind {
            Some(Meddle::Lost) if self.turn() => front.discard(delivery),
            Some(Meddle::Double) if self.turn() => {
                front.answer(delivery, &answer);
                front.answer(delivery, &answer);
            }
            Some(Meddle::Late) if self.turn() => {
                let front = front.clone();
                let late = async move {
                    Timer::after(micros(LATE)).await;
                    front.answer(delivery, &answer);
                };
                self.context.executor.spawn(late).detach();
            }
            _ => front.answer(delivery, &answer),
        }
    }

    /// Whether this answer to a caller never comes.
    pub fn loses(&self) -> bool {
        self.kind == Some(Meddle::Lost) && self.turn()
    }

    /// Sends more than the core wants.
    pub fn see(&self, output: &Output) {
        match (self.kind, output) {
            (Some(Meddle::Spoilt), Output::Send { worker, function, .. }) => {
                let mut sent = self.sent.borrow_mut();
                if let Some(address) = (self.address)(*worker).filter(|_| sent.len() < MOST_SENT) {
                    sent.insert((address.to_string(), function.to_string()));
                }
            }
            (Some(Meddle::Repeat), Output::Send { .. }) if self.turn() => self.again(output, 1),
            (Some(Meddle::Push), Output::Send { worker, .. }) => {
                let address = (self.address)(*worker).map(|a| a.to_string());
                if address.is_some_and(|a| self.young.borrow().contains(&a)) {
                    self.again(output, PUSHES);
                }
            }
            (Some(Meddle::Orders), Output::Order { ticket, function, copies, .. }) if *copies > 0 => {
                for _ in 0..ORDERS {
                    let (pool, whereabouts) = (self.pool.clone(), self.address.clone());
                    let (worker, function) = (ticket.worker, function.clone());
                    let order = async move {
                        let Some(address) = whereabouts(worker) else { return };
                        let request = requests::load(
                            &address.to_string(),
                            &function,
                            1,
                            None,
                            requests::Orderer::default(),
                        );
                        let _ = pool.order(address, request, LATE).await;
                    };
                    self.context.executor.spawn(order).detach();
                }
            }
            _ => {}
        }
    }

    fn again(&self, output: &Output, times: usize) {
        let Output::Send { worker, function, trigger, call, .. } = output else { return };
        for _ in 0..times {
            let (context, pool, whereabouts) =
                (self.context.clone(), self.pool.clone(), self.address.clone());
            let (worker, function) = (*worker, function.clone());
            let (trigger, call) = (*trigger as usize, call.clone());
            let send = async move {
                let Some(address) = whereabouts(worker) else { return };
                let marks = requests::Marks {
                    invocation: call.mark.as_deref(),
                    dispatch: 99,
                    token: None,
                    trigger: &context.names.triggers[trigger],
                    account: None,
                    time_left: call.time_left,
                    session: None,
                };
                let request =
                    requests::infer(&address.to_string(), &function, marks, call.body.bytes, call.body.first);
                let _ = pool.exchange(address, request, false, || true).await;
            };
            self.context.executor.spawn(send).detach();
        }
    }

    /// What the list says, as far as this lets it through.
    pub fn news(&self, mut news: News) -> News {
        let slices = match &mut news {
            News::Listing { slices, .. } => slices.as_mut_slice(),
            News::Changed(slice) => std::slice::from_mut(slice),
            _ => return news,
        };
        for worker in slices.iter_mut().flat_map(|s| &mut s.entries).map(|e| &mut e.worker) {
            match self.kind {
                Some(Meddle::Deaf) => worker.standing = Standing::InService,
                Some(Meddle::Push) if worker.started.is_some() => {
                    self.young.borrow_mut().push(worker.address.clone());
                    worker.started = None;
                }
                _ => {}
            }
        }
        match (self.kind, &news) {
            (Some(Meddle::Deaf), News::Removed { version, .. }) => News::Bookmark(*version),
            _ => news,
        }
    }
}
