//! The group as `serve.rs` has it: what must be had before a router starts ([`Ground::take`]: its listener, its folder),
//! and the tasks that run beside it ([`Circle::run`]).

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use cedarpulley_errors::Remedy;
use cedarpulley_membership::MemberIx;
use cedarpulley_net::{Clock, listen};
use cedarpulley_replica::{self as replica, Guard};
use cedarpulley_router::group::Ask;
use futures_lite::{FutureExt, StreamExt};
use thiserror::Error;

use crate::desk::Desk;
use crate::fellows::{Fellows, Kept, Peers};
use crate::folder::{self, Folder};
use crate::post::{self, Office, Slot};
use crate::shared::Shared;

/// What a group shares is written to its folder this often; at once where a vote waits for it.
const WRITE_BEHIND: Duration = Duration::from_millis(50);

#[derive(Debug, Error)]
pub enum Failed {
    #[error("the group's listener at {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error(transparent)]
    Folder(#[from] folder::Failed),
}

impl Remedy for Failed {
    fn remedy(&self) -> &'static str {
        match self {
            Failed::Listen { .. } => "give peers.listen an address of this machine that nobody else has",
            Failed::Folder(failed) => failed.remedy(),
        }
    }
}

pub struct Ground {
    peers: Peers,
    listener: Async<TcpListener>,
    folder: Option<Folder>,
    kept: Option<Kept>,
    without: Option<Guard>,
}

impl Ground {
    /// `without`: for tests of the judge, one guard is out.
    pub fn take(peers: Peers, clock: &Clock, without: Option<Guard>) -> Result<Ground, Failed> {
        let wrong = |source| Failed::Listen { address: peers.listen, source };
        let listener = listen(peers.listen).map_err(wrong)?;
        let (folder, kept) = match &peers.folder {
            None => (None, None),
            Some(path) => {
                let mark = peers.group.mark ^ u64::from(peers.group.me);
                let (folder, kept) = Folder::open(path, mark, clock.wall(), peers.kept)?;
                (Some(folder), kept)
            }
        };
        Ok(Ground { peers, listener, folder, kept, without })
    }
}

pub struct Circle {
    fellows: Rc<Fellows>,
    office: Rc<Office>,
    folder: Option<Rc<Folder>>,
    listener: RefCell<Option<Async<TcpListener>>>,
    me: MemberIx,
    name: String,
}

impl Circle {
    pub fn new(desk: &Rc<Desk>, ground: Ground) -> Circle {
        let Ground { peers, listener, folder, kept, without } = ground;
        // Above 0, and random beyond what any two processes share.
        let nonce = uuid::Uuid::new_v4().as_u64_pair().0 | 1;
        let office = Rc::new(Office::new(desk.executor.clone(), desk.from, peers.addresses.clone()));
        let post = Box::new(Slot(office.clone()));
        let fellows = Rc::new(Fellows::new(desk.clone(), &peers, nonce, kept, without, post));
        let (folder, listener) = (folder.map(Rc::new), RefCell::new(Some(listener)));
        let name = peers.group.members[peers.group.me as usize].name.clone();
        Circle { fellows, office, folder, listener, me: peers.group.me, name }
    }

    /// What the core wants of its group.
    pub fn ask(&self, ask: Ask) {
        self.fellows.ask(ask);
    }

    /// This router, as its group knows it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// For other parts of this router.
    pub fn shared(&self) -> Shared {
        Shared::new(self.fellows.clone())
    }

    /// Begins its tasks, once.
    pub fn run(&self, desk: &Rc<Desk>) {
        let Some(listener) = self.listener.borrow_mut().take() else { return };
        let executor = &desk.executor;
        self.office.run(&self.fellows, self.me);
        executor.spawn(post::listens(self.fellows.clone(), self.office.clone(), listener)).detach();
        let fellows = self.fellows.clone();
        let ticks = async move {
            loop {
                fellows.tick();
                fellows.rings().await;
            }
        };
        executor.spawn(ticks).detach();
        if let Some(folder) = self.folder.clone() {
            let (fellows, clock) = (self.fellows.clone(), desk.clock);
            let writes = async move {
                let (mut behind, mut known) = (Timer::interval(WRITE_BEHIND), 0);
                loop {
                    let due = async { behind.next().await.is_some() };
                    let urged = async {
                        fellows.is_urged().or(folder.has_written()).await;
                        false
                    };
                    let due = due.or(urged).await;
                    let serial = folder.kept();
                    if std::mem::replace(&mut known, serial) != serial {
                        fellows.replica(replica::Input::Kept { serial });
                    }
                    // One at a time: what is wanted meanwhile goes together with the next.
                    if folder.is_idle() && (due || fellows.awaits_folder()) {
                        let (turn, serial, changes) = fellows.changes();
                        folder.put(turn, serial, clock.wall(), changes);
                    }
                }
            };
            executor.spawn(writes).detach();
        }
    }
}
