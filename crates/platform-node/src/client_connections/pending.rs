//! [`PendingRequests`]: the requests that were passed to the core and have not been answered yet.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use super::connection::ClientConnection;

/// Identifies a request in the inputs and outputs of the core. Tags are never reused.
pub(super) type Tag = u64;

/// A request without an answer, and the connection on which it arrived.
struct PendingRequest {
    connection: Rc<ClientConnection>,
    id: Arc<str>,
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
        self.by_tag
            .borrow_mut()
            .insert(tag, PendingRequest { connection, id });
        tag
    }

    /// Whether a request with this id is pending.
    pub fn contains(&self, id: &str) -> bool {
        self.tags.borrow().contains_key(id)
    }

    /// The tag of the pending request with this id, and the connection on which its answer is sent.
    pub fn find(&self, id: &str) -> Option<(Tag, Rc<ClientConnection>)> {
        let tag = self.tags.borrow().get(id).copied()?;
        let connection = self.by_tag.borrow().get(&tag)?.connection.clone();
        Some((tag, connection))
    }

    /// Removes a request, and returns its id and the connection on which its answer is sent.
    pub fn remove(&self, tag: Tag) -> Option<(Arc<str>, Rc<ClientConnection>)> {
        let pending = self.by_tag.borrow_mut().remove(&tag)?;
        self.tags.borrow_mut().remove(&pending.id);
        Some((pending.id, pending.connection))
    }

    /// Whether neither table is borrowed.
    pub fn is_unborrowed(&self) -> bool {
        self.by_tag.try_borrow_mut().is_ok() && self.tags.try_borrow_mut().is_ok()
    }
}
