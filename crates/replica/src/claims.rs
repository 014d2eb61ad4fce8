//! What this router has taken, by key, and in the order in which something of it is due. Called with [`Claims::change`]
//! for whatever changes a claim, so that the order is always right, and with [`Claims::next_due`] and [`Claims::due`].
//!
//! Symptom: each event looked at all claims, twice, for the next time that something is due. A router beside load fell
//! behind, each event cost more with every claim that was open, and a backlog of a second did not clear any more.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use cedarpulley::interface::Micros;

use crate::owning::Claim;
use crate::store::Key;

#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    all: BTreeMap<Key, Claim>,
    /// Of those of which something is due at some time.
    dues: BTreeSet<(Micros, Key)>,
}

/// The order follows from the claims.
impl Hash for Claims {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.all.hash(state);
    }
}

impl Claims {
    pub fn get(&self, key: &Key) -> Option<&Claim> {
        self.all.get(key)
    }

    pub fn contains_key(&self, key: &Key) -> bool {
        self.all.contains_key(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Claim)> {
        self.all.iter()
    }

    /// In the place of another one, if there is one.
    pub fn insert(&mut self, key: Key, claim: Claim) {
        self.remove(&key);
        self.enlist(&key, claim.due());
        self.all.insert(key, claim);
    }

    pub fn remove(&mut self, key: &Key) -> Option<Claim> {
        let claim = self.all.remove(key)?;
        self.strike(key, claim.due());
        Some(claim)
    }

    /// Nothing if there is no such claim.
    pub fn change<R>(&mut self, key: &Key, change: impl FnOnce(&mut Claim) -> R) -> Option<R> {
        let claim = self.all.get_mut(key)?;
        let before = claim.due();
        let changed = change(claim);
        let after = claim.due();
        if before != after {
            self.strike(key, before);
            self.enlist(key, after);
        }
        Some(changed)
    }

    pub fn next_due(&self) -> Micros {
        self.dues.first().map_or(Micros::MAX, |d| d.0)
    }

    /// Of which something is due by now.
    pub fn due(&self, now: Micros) -> Vec<Key> {
        self.dues
            .iter()
            .take_while(|d| d.0 <= now)
            .map(|d| d.1.clone())
            .collect()
    }

    fn enlist(&mut self, key: &Key, due: Micros) {
        if due < Micros::MAX {
            self.dues.insert((due, key.clone()));
        }
    }

    fn strike(&mut self, key: &Key, due: Micros) {
        if due < Micros::MAX {
            self.dues.remove(&(due, key.clone()));
        }
    }
}

#[cfg(test)]
mod tests {
    use cedarpulley_membership::{Group, Member};

    use super::*;
    use crate::owning::Need;
    use crate::replica::{Input, Replica, Terms, hashed};

    /// Whatever happens to claims, what is due next is what a look at all of them finds.
    #[test]
    fn the_order_is_that_of_the_claims() {
        let member = |n: usize| Member {
            name: format!("r{n}"),
            region: String::new(),
            weight: 1,
            witness: false,
        };
        let group = Group::new("g", (0..3).map(member).collect(), "r0").expect("a group");
        let kept = 20_000_000;
        let mut r = Replica::new(0, group, Terms::usual(kept, 500_000, 1), 7, None);
        // Nothing that it forgot is left.
        let (mut now, mut out) = (2 * kept, Vec::new());
        r.handle(now, Input::Tick, &mut out);
        let (mut asked, mut again) = (0, 0);
        for n in 0..20_000u64 {
            let draw = hashed(n);
            let (key, sending) = (Key::from(format!("k{}", draw % 40)), draw >> 8 & 3);
            let redelivered = draw >> 16 & 1 == 1;
            let input = match draw >> 32 & 15 {
                0..4 => Input::Take {
                    key,
                    need: Need::Held,
                    redelivered,
                },
                4..8 => Input::Intend {
                    key,
                    sending,
                    place: 0,
                    alone: redelivered,
                },
                8 => Input::Ended {
                    key,
                    sending,
                    may_have_run: redelivered,
                },
                9 => Input::Dropped { key },
                10 => Input::Closed { key },
                11 => Input::Member {
                    member: 1,
                    nonce: 8,
                    alive: redelivered,
                },
                12 => Input::Member {
                    member: 2,
                    nonce: 9,
                    alive: true,
                },
                _ => Input::Tick,
            };
            now += (draw >> 20 & 0xffff) as Micros / 4;
            r.handle(now, input, &mut out);
            let least = r
                .claims
                .iter()
                .map(|(_, c)| c.due())
                .min()
                .unwrap_or(Micros::MAX);
            assert_eq!(r.claims.next_due(), least, "after {n}");
            asked += u64::from(least < Micros::MAX);
            again += u64::from(least == Micros::MAX);
        }
        assert!(asked > 1_000 && again > 0, "{asked} {again}");
    }
}
