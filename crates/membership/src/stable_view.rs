//! A debounced view of which members are alive. [`StableView::observe`] is called after each change and at
//! [`StableView::next_due`]; it returns whether the view has changed.
//!
//! Mechanisms:
//! 1. A change has to last for a delay before the view adopts it.
//! 2. The delay for a member doubles with each recent flap, so that a flapping link changes the view only once it is
//!    stable. Without this, shares, placement and the assignment of polling would be recomputed with every flap.

use cedarpulley::interface::Micros;

use crate::group::MemberIndex;

/// The delay grows to at most 64 times its base: with a base of one second, to about a minute.
const MAX_DOUBLINGS: u32 = 6;
/// Number of delays without a flap after which one earlier flap no longer counts.
const DELAYS_PER_FORGOTTEN_FLAP: Micros = 16;

/// The debounced liveness of one member.
#[derive(Clone, Copy, Debug)]
struct DebouncedMember {
    is_alive: bool,
    /// Whether the member was alive when last observed.
    observed_alive: bool,
    /// Time at which the observation last changed.
    changed_at: Micros,
    recent_flaps: u32,
}

impl DebouncedMember {
    fn is_pending(&self) -> bool {
        self.observed_alive != self.is_alive
    }

    /// Time at which a pending change is adopted: after one delay for the first flap, two for the second, then four and
    /// so on.
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

/// Debounced view of which members are alive; it changes only by observations that last.
#[derive(Debug)]
pub struct StableView {
    delay: Micros,
    members: Vec<DebouncedMember>,
    version: u64,
}

impl StableView {
    /// `delay` is the time for which a change has to last if the member did not flap before. All members are alive at
    /// first.
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

    /// `observed_alive` tells whether a member is alive as observed now. Returns whether the view has changed.
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

    /// Time at which the next pending change is adopted if it lasts.
    pub fn next_due(&self) -> Micros {
        self.members
            .iter()
            .filter(|member| member.is_pending())
            .map(|member| member.settles_at(self.delay))
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// The members that are alive in this view.
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

    /// Increases with each change of the view.
    pub fn version(&self) -> u64 {
        self.version
    }
}
