//! The peer group as a component of the process: the listener and the store, which must be acquired before a router
//! starts ([`PeerGroupResources::acquire`]), and the tasks of the running group ([`PeerGroup::run`]).

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use cedarpulley_errors::Remedy;
use cedarpulley_membership::MemberIndex;
use cedarpulley_net::{Clock, listen};
use cedarpulley_replica::{self as replica, SafetyCheck};
use cedarpulley_router::replication::ReplicationRequest;
use futures_lite::{FutureExt, StreamExt};
use thiserror::Error;

use crate::context::GatewayContext;
use crate::member_listener;
use crate::peer_settings::PeerSettings;
use crate::peer_store::{PeerStore, StoreError};
use crate::peer_transport::{PeerTransport, TransportHandle};
use crate::peers::{Peers, RestoredState};
use crate::shared_state::SharedState;
use crate::task_owner::TaskOwner;

/// Interval at which changes of the shared state are written to the store; they are written at once if a vote waits for
/// them.
const STORE_WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Why the peer group cannot start.
#[derive(Debug, Error)]
pub enum PeerGroupError {
    /// The address cannot be listened on.
    #[error("the group's listener at {address}: {source}")]
    Listen {
        /// The address that was configured.
        address: SocketAddr,
        /// The cause that the operating system gave.
        source: std::io::Error,
    },
    /// The store cannot be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl Remedy for PeerGroupError {
    fn remedy(&self) -> &'static str {
        match self {
            PeerGroupError::Listen { .. } => {
                "give peers.listen an address of this machine that no other process uses"
            }
            PeerGroupError::Store(failed) => failed.remedy(),
        }
    }
}

/// The listener, the store and the restored state of the group, acquired before a router starts.
pub struct PeerGroupResources {
    settings: PeerSettings,
    listener: Async<TcpListener>,
    store: Option<PeerStore>,
    restored: Option<RestoredState>,
    disabled_check: Option<SafetyCheck>,
}

impl PeerGroupResources {
    /// Binds the listener and opens the store. `disabled_check`: a safety check of the shared state to switch off, only
    /// for tests of the invariant checker. Fails if the address is in use or the store cannot be opened.
    pub fn acquire(
        settings: PeerSettings,
        clock: &Clock,
        disabled_check: Option<SafetyCheck>,
    ) -> Result<PeerGroupResources, PeerGroupError> {
        let listen_error = |source| PeerGroupError::Listen {
            address: settings.listen,
            source,
        };
        let listener = listen(settings.listen).map_err(listen_error)?;
        let (store, restored) = match &settings.state_folder {
            None => (None, None),
            Some(path) => {
                let identity = settings.group.fingerprint ^ u64::from(settings.group.own_index);
                let (store, restored) =
                    PeerStore::open(path, identity, clock.wall_time(), settings.retention)?;
                (Some(store), restored)
            }
        };
        Ok(PeerGroupResources {
            settings,
            listener,
            store,
            restored,
            disabled_check,
        })
    }
}

/// The group of a running router.
pub struct PeerGroup {
    peers: Rc<Peers>,
    transport: Rc<PeerTransport>,
    store: Option<Rc<PeerStore>>,
    listener: RefCell<Option<Async<TcpListener>>>,
    own_index: MemberIndex,
    name: String,
}

impl PeerGroup {
    /// Creates and connects the components of the group; nothing runs before [`PeerGroup::run`].
    pub fn new(context: &Rc<GatewayContext>, resources: PeerGroupResources) -> PeerGroup {
        let PeerGroupResources {
            settings,
            listener,
            store,
            restored,
            disabled_check,
        } = resources;
        // Above 0, and a collision with the nonce of another process is practically impossible.
        let nonce = uuid::Uuid::new_v4().as_u64_pair().0 | 1;
        let transport = Rc::new(PeerTransport::new(
            context.executor.clone(),
            context.local_address,
            settings.addresses.clone(),
        ));
        let transport_handle = Box::new(TransportHandle(transport.clone()));
        let peers = Rc::new(Peers::new(
            context.clone(),
            &settings,
            nonce,
            restored,
            disabled_check,
            transport_handle,
        ));
        let (store, listener) = (store.map(Rc::new), RefCell::new(Some(listener)));
        let name = settings.group.members[settings.group.own_index as usize]
            .name
            .clone();
        PeerGroup {
            peers,
            transport,
            store,
            listener,
            own_index: settings.group.own_index,
            name,
        }
    }

    /// Passes a request of the router core to the group.
    pub fn request(&self, request: ReplicationRequest) {
        self.peers.request(request);
    }

    /// This router's name within its group.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The interface of the shared state for the other components of this router.
    pub fn shared_state(&self) -> SharedState {
        SharedState::new(self.peers.clone())
    }

    /// Starts the tasks of the group; further calls have no effect.
    pub fn run(&self, context: &Rc<GatewayContext>) {
        let Some(listener) = self.listener.borrow_mut().take() else {
            return;
        };
        let executor = &context.executor;
        self.transport.run(&self.peers, self.own_index);
        let accepting = member_listener::accept_connections(
            self.peers.clone(),
            self.transport.clone(),
            listener,
        );
        executor.spawn(TaskOwner::Member(None), accepting).detach();
        let peers = self.peers.clone();
        let tick_task = async move {
            loop {
                peers.tick();
                peers.wait_until_due().await;
            }
        };
        executor.spawn(TaskOwner::Group, tick_task).detach();
        if let Some(store) = self.store.clone() {
            let write_task = write_changes(self.peers.clone(), store, context.clock);
            executor.spawn(TaskOwner::Group, write_task).detach();
        }
    }
}

/// Writes changes of the shared state to the store, until the router ends.
async fn write_changes(peers: Rc<Peers>, store: Rc<PeerStore>, clock: Clock) {
    let (mut interval, mut reported_serial) = (Timer::interval(STORE_WRITE_INTERVAL), 0);
    loop {
        let due = async { interval.next().await.is_some() };
        let requested = async {
            peers.write_requested().or(store.write_finished()).await;
            false
        };
        let due = due.or(requested).await;
        let serial = store.persisted_serial();
        if std::mem::replace(&mut reported_serial, serial) != serial {
            peers.apply_replica(replica::Input::Persisted { serial });
        }
        // Only one write runs at a time: changes made during a write are written together by the next one.
        if store.is_idle() && (due || peers.awaits_store()) {
            store.write(peers.changes(), clock.wall_time());
        }
    }
}
