//! [`TaskOwner`]: whose task holds the event loop, for the log.

use std::net::SocketAddr;

use cedarpulley_membership::MemberIndex;
use cedarpulley_net::TaskExecutor;
use cedarpulley_router::FrontIndex;

/// Runs all tasks of a router on its single thread.
pub type Executor = TaskExecutor<TaskOwner>;

/// The owner of a task of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskOwner {
    /// Passes timers to the core.
    Timers,
    /// Follows the list of workers.
    EndpointList,
    /// Consumes the queue of this front.
    Broker(FrontIndex),
    /// Accepts connections of clients at this front.
    Accepting(FrontIndex),
    /// Serves a connection of a client.
    Client {
        /// The front at which the client connected.
        front: FrontIndex,
        /// Number of the connection at that front.
        connection: u64,
    },
    /// Serves a call over gRPC at this front.
    Call(FrontIndex),
    /// Serves a connection to the worker at this address.
    Worker(SocketAddr),
    /// Sends an invocation or an order to a worker, and handles the answer.
    Dispatch,
    /// Reports the end of a request to the core.
    RequestEnd,
    /// Exchanges messages with a member of the group; `None` before it is known which one.
    Member(Option<MemberIndex>),
    /// Advances the state that the group shares.
    Group,
    /// Assigns requests to sessions and versions.
    Admission,
    /// Advances upgrades.
    Upgrades,
    /// Compares the warm index with what the workers hold.
    Reconciliation,
    /// Closes idle connections, flushes files and watches certificates.
    Housekeeping,
    /// Injects the fault that a test asks for.
    FaultInjection,
}
