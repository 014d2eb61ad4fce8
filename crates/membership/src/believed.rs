//! When a change of who is alive is acted upon. Called with [`Believed::see`] after each change and at
//! [`Believed::next_due`]; gives the members that are believed alive once that has changed.
//!
//! Mechanisms:
//! 1. A change must last for a while before it is believed.
//! 2. Who changed often of late has to be the same for longer, twice as long each time: what a flapping link says is
//!    believed once it is quiet. Symptom: shares, places and who asks whom are dealt anew with every flap.

use cedarpulley::interface::Micros;

use crate::group::MemberIndex;

/// Doublings at most: a minute's hold for a second's.
const MOST_DOUBLINGS: u32 = 6;
/// One flap is forgiven after this many holds without another.
const FORGIVEN_AFTER: Micros = 16;

#[derive(Clone, Copy, Debug)]
struct Place {
    believed: bool,
    seen: bool,
    /// When it was last seen to change.
    since: Micros,
    flaps: u32,
}

#[derive(Debug)]
pub struct Believed {
    hold: Micros,
    places: Vec<Place>,
    version: u64,
}

impl Believed {
    /// `hold`: a change of who never flapped is believed after this time. At first everybody is believed alive.
    pub fn new(now: Micros, members: usize, hold: Micros) -> Self {
        let place = Place {
            believed: true,
            seen: true,
            since: now,
            flaps: 0,
        };
        Believed {
            hold,
            places: vec![place; members],
            version: 1,
        }
    }

    /// The first change of all is held once, the next twice as long, and so on.
    fn settles(&self, p: &Place) -> Micros {
        p.since + (self.hold << p.flaps.saturating_sub(1).min(MOST_DOUBLINGS))
    }

    /// `alive`: by member. True if what is believed has changed.
    pub fn see(&mut self, now: Micros, alive: impl Fn(MemberIndex) -> bool) -> bool {
        let mut changed = false;
        for m in 0..self.places.len() {
            let (seen, mut p) = (alive(m as MemberIndex), self.places[m]);
            if seen != p.seen {
                let quiet = (now - p.since) / (self.hold.max(1) * FORGIVEN_AFTER);
                p.flaps =
                    (p.flaps.saturating_sub(quiet.min(64) as u32) + 1).min(MOST_DOUBLINGS + 1);
                (p.seen, p.since) = (seen, now);
            }
            if p.seen != p.believed && now >= self.settles(&p) {
                p.believed = p.seen;
                changed = true;
            }
            self.places[m] = p;
        }
        self.version += u64::from(changed);
        changed
    }

    pub fn next_due(&self) -> Micros {
        let due = |p: &Place| (p.seen != p.believed).then(|| self.settles(p));
        self.places
            .iter()
            .filter_map(due)
            .min()
            .unwrap_or(Micros::MAX)
    }

    pub fn alive(&self) -> Vec<MemberIndex> {
        (0..self.places.len() as MemberIndex)
            .filter(|m| self.places[*m as usize].believed)
            .collect()
    }

    pub fn is_alive(&self, member: MemberIndex) -> bool {
        self.places.get(member as usize).is_some_and(|p| p.believed)
    }

    pub fn version(&self) -> u64 {
        self.version
    }
}
