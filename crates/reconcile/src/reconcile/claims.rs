//! Who lays claim to a copy: a router that is alive, a plan that is under way, or whoever uses it. `orphan`
//! is asked about each copy that stands, by the router that is first for its worker.
//!
//! Mechanisms:
//! 1. A router that is gone, a plan that has ended, and a version that a plan has taken out of service claim
//!    nothing.
//! 2. What nobody claims is found once, and unloaded after a grace, in which an owner may come back.
//! 3. It is unloaded only after it has been idle for longer than any router may believe in it: so an unload
//!    leaves no router with a wrong belief.

use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::place::Place;
use super::{Output, Reconciler};
use crate::drift::{Cause, Kind};
use crate::observation::Entry;
use crate::repair::What;

/// So many times as the module keeps a copy after its use some router may believe in it: its last renewal by a worker's
/// word may have come when it had been idle for almost that long.
const BELIEVED_FOR: Micros = 2;

/// Why nobody claims a copy.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Why {
    Owner(Arc<str>),
    Plan(Arc<str>),
    Retired,
}

impl Reconciler {
    /// Symptom: a router died, or a plan ended, with copies ordered; they fill memory, and nobody ever asks for them.
    pub(super) fn orphan(
        &mut self,
        worker: &Arc<str>,
        place: &mut Place,
        began: Micros,
        e: &Entry,
        why: Option<Why>,
        out: &mut Vec<Output>,
    ) {
        let (now, function) = (self.now, &e.function);
        // A use is a claim, whoever's: so long as any router may still believe in the copy, it is not touched.
        let idle_for = self
            .terms
            .grace
            .max(self.terms.kept.saturating_mul(BELIEVED_FOR));
        let used = place
            .beliefs
            .get(function)
            .and_then(|b| b.used)
            .is_some_and(|at| now - at < idle_for);
        let Some(why) = why.filter(|_| !used && e.busy.unwrap_or(0) == 0) else {
            place.unclaimed.remove(function);
            return;
        };
        if !place.believable(function, Kind::Orphan) {
            self.counts.left_doubted += 1;
            return;
        }
        let known = place
            .unclaimed
            .get(function)
            .filter(|(_, before)| *before == why)
            .map(|u| u.0);
        let since = known.unwrap_or(now);
        if known.is_none() {
            let (kind, cause) = match &why {
                Why::Owner(_) => (Kind::Orphan, Cause::RouterGone),
                Why::Plan(_) => (Kind::Orphan, Cause::PlanEnded),
                Why::Retired => (Kind::OlderVersion, Cause::LostUnload),
            };
            place.unclaimed.insert(function.clone(), (now, why));
            self.found(worker, place, Some(function), kind, cause, out);
        }
        // Where the worker does not say for how long it was idle, it counts from when it was first seen so.
        let idle = e.idle.unwrap_or(now - since);
        if now - since >= self.terms.grace && idle >= idle_for {
            self.wait(
                worker,
                function,
                What::Unload {
                    term: e.term.clone(),
                },
                began,
                0.0,
            );
        }
    }

    /// Why no router and no plan claims it, if none does.
    pub(super) fn unclaimed(&self, e: &Entry) -> Option<Why> {
        if let Some(claims) = &self.claims {
            if claims.functions.contains(&e.function) {
                return None;
            }
            if claims.retired.contains(&e.function) {
                return Some(Why::Retired);
            }
            match &e.term {
                Some(term) if claims.terms.contains(term) => return None,
                Some(term) => return Some(Why::Plan(term.clone())),
                None => {}
            }
        }
        let owner = e.ordered_by.as_ref().filter(|by| **by != self.terms.me)?;
        // Without a group nothing is known of others.
        let gone = !self.members.is_empty() && !self.members.contains(owner);
        gone.then(|| Why::Owner(owner.clone()))
    }
}
