//! [`PendingRequests`]: the requests that were passed to the core and have not been answered yet.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use super::connection::ClientConnection;

/// Identifies a request in the inputs and outputs of the core. Tags are never reused.
pub(super) type Tag = u64;

/// A request without an answer.
#[derive(Clone)]
pub(super) struct PendingRequest {
    /// The id that its client gave it.
    pub id: Arc<str>,
    /// The connection on which it arrived and its answer is sent.
    pub connection: Rc<ClientConnection>,
    /// Whether at least one byte of an attempt was sent to a worker.
    pub attempt_sent: bool,
}

/// All pending requests, by their tags and by the ids that their clients gave them.
#[derive(Default)]
pub(super) struct PendingRequests {
    by_tag: RefCell<HashMap<Tag, PendingRequest>>,
    tags: RefCell<HashMap<Arc<str>, Tag>>,
    last_tag: Cell<Tag>,
}

impl PendingRequests {
    /// Adds a request, and returns its tag.
    pub fn add(&self, connection: Rc<ClientConnection>, id: Arc<str>) -> Tag {
        let tag = self.last_tag.get() + 1;
        self.last_tag.set(tag);
        self.tags.borrow_mut().insert(id.clone(), tag);
        let request = PendingRequest {
            id,
            connection,
            attempt_sent: false,
        };
        self.by_tag.borrow_mut().insert(tag, request);
        tag
    }

    /// The tag of the pending request with this id, and the connection on which its answer is sent.
    pub fn find(&self, id: &str) -> Option<(Tag, Rc<ClientConnection>)> {
        let tag = self.tags.borrow().get(id).copied()?;
        let connection = self.by_tag.borrow().get(&tag)?.connection.clone();
        Some((tag, connection))
    }

    /// Records that an attempt of the request with this id is being sent.
    pub fn attempt_sent(&self, id: &str) {
        let Some(tag) = self.tags.borrow().get(id).copied() else {
            return;
        };
        if let Some(request) = self.by_tag.borrow_mut().get_mut(&tag) {
            request.attempt_sent = true;
        }
    }

    /// Removes and returns a request.
    pub fn remove(&self, tag: Tag) -> Option<PendingRequest> {
        let pending = self.by_tag.borrow_mut().remove(&tag)?;
        self.tags.borrow_mut().remove(&pending.id);
        Some(pending)
    }

    /// Whether neither table is borrowed.
    pub fn is_unborrowed(&self) -> bool {
        self.by_tag.try_borrow_mut().is_ok() && self.tags.try_borrow_mut().is_ok()
    }
}
