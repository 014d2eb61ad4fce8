//! A debounced view of which members are alive. [`StableView::observe`] is called after each change and at
//! [`StableView::next_due`]; it says when the view has changed.
//!
//! Mechanisms:
//! 1. A change has to last for a delay before the view takes it.
//! 2. For a member that flapped lately the delay doubles with each flap, so that a flapping link changes the view only
//!    once it is quiet. Symptom: shares, placement and who polls whom are dealt anew with every flap.

use cedarpulley::interface::Micros;

use crate::group::MemberIndex;

/// The delay grows to 64 times at most: a minute for a second's.
const MAX_DOUBLINGS: u32 = 6;
/// One flap is forgotten after this many delays without another.
const DELAYS_PER_FORGOTTEN_FLAP: Micros = 16;

/// The debounced liveness of one member.
#[derive(Clone, Copy, Debug)]
struct DebouncedMember {
    is_alive: bool,
    /// As last observed.
    observed_alive: bool,
    /// When the observation last changed.
    changed_at: Micros,
    recent_flaps: u32,
}

impl DebouncedMember {
    fn is_pending(&self) -> bool {
        self.observed_alive != self.is_alive
    }

    /// When a pending change is taken: the first one after one delay, the next after two, and so on.
    fn settles_at(&self, delay: Micros) -> Micros {
        let doublings = self.recent_flaps.saturating_sub(1).min(MAX_DOUBLINGS);
        self.changed_at + (delay << doublings)
    }

    fn observe(&mut self, now: Micros, observed_alive: bool, delay: Micros) {
        if observed_alive == self.observed_alive {
            return;
        }
        let forgotten = (now - self.changed_at) / (delay.max(1) * DELAYS_PER_FORGOTTEN_FLAP);
        let remembered = self.recent_flaps.saturating_sub(forgotten.min(64) as u32);
        self.recent_flaps = (remembered + 1).min(MAX_DOUBLINGS + 1);
        self.observed_alive = observed_alive;
        self.changed_at = now;
    }
}

/// Which members are alive, changed only by what lasts.
#[derive(Debug)]
pub struct StableView {
    delay: Micros,
    members: Vec<DebouncedMember>,
    version: u64,
}

impl StableView {
    /// `delay`: how long a change of a member that did not flap has to last. All members are alive at first.
    pub fn new(now: Micros, members: usize, delay: Micros) -> Self {
        let alive = DebouncedMember {
            is_alive: true,
            observed_alive: true,
            changed_at: now,
            recent_flaps: 0,
        };
        StableView {
            delay,
            members: vec![alive; members],
            version: 1,
        }
    }

    /// `observed_alive`: whether a member is alive as observed now. True if the view has changed.
    pub fn observe(&mut self, now: Micros, observed_alive: impl Fn(MemberIndex) -> bool) -> bool {
        let mut changed = false;
        for (index, member) in (0..).zip(&mut self.members) {
            member.observe(now, observed_alive(index), self.delay);
            if member.is_pending() && now >= member.settles_at(self.delay) {
                member.is_alive = member.observed_alive;
                changed = true;
            }
        }
        self.version += u64::from(changed);
        changed
    }

    /// When the next pending change is taken if it lasts.
    pub fn next_due(&self) -> Micros {
        self.members
            .iter()
            .filter(|member| member.is_pending())
            .map(|member| member.settles_at(self.delay))
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// The members alive in this view.
    pub fn alive_members(&self) -> Vec<MemberIndex> {
        (0..self.members.len() as MemberIndex)
            .filter(|member| self.is_alive(*member))
            .collect()
    }

    /// Whether a member is alive in this view; false if there is none of this index.
    pub fn is_alive(&self, member: MemberIndex) -> bool {
        self.members
            .get(member as usize)
            .is_some_and(|member| member.is_alive)
    }

    /// Grows with each change of the view.
    pub fn version(&self) -> u64 {
        self.version
    }
}
