//! What a router or a link was kept from, read from the rig's own lines: `router-paused`, and `link` for a directed
//! link that holds, loses or delays what passes. Asked for the few things that this makes unseeable; where a log has
//! none of these lines, nothing is allowed for.
//!
//! Mechanisms:
//! 1. What is held comes through within half a second of the end; until then it may be as old as the beginning, or
//!    as the longest delay where that is known. Cuts closer together than that count as one.
//! 2. A router that stands still, or whose link to or from the broker is held, answers as soon as it is over.
//! 3. What a list says to a router that stands still, or over a link that is held, is heard when it is over.

use std::collections::HashMap;

use crate::log::Line;

/// As in the stand-ins: what a cut held back has come through within this time of its end.
const COMES_THROUGH_US: i64 = 500_000;
/// Both stand-ins by the names of their logs.
const BROKER: &str = "broker";
const LIST: &str = "list";

#[derive(Clone, Copy, Debug)]
struct Time {
    began: i64,
    ended: i64,
    /// Nothing is held for longer.
    most: Option<i64>,
}

impl Time {
    fn covers(&self, t: i64) -> bool {
        self.began <= t && t <= self.ended.saturating_add(COMES_THROUGH_US)
    }
}

#[derive(Default)]
pub struct Kept {
    paused: HashMap<String, Vec<Time>>,
    links: HashMap<String, Vec<Time>>,
}

fn link(from: &str, to: &str, why: &str) -> String {
    format!("{from} {to} {why}")
}

fn note(times: &mut Vec<Time>, at: i64, on: bool, most: Option<i64>) {
    match (on, times.last_mut()) {
        // Set anew while it stands, or nearly so: what is longer counts.
        (true, Some(last)) if last.ended == i64::MAX || at - last.ended <= COMES_THROUGH_US => {
            last.most = last.most.zip(most).map(|(a, b)| a.max(b));
            last.ended = i64::MAX;
        }
        (true, _) => times.push(Time {
            began: at,
            ended: i64::MAX,
            most,
        }),
        (false, Some(last)) if last.ended == i64::MAX => last.ended = at,
        (false, _) => {}
    }
}

impl Kept {
    pub fn read(lines: &[Line]) -> Self {
        let mut kept = Kept::default();
        for l in lines {
            match l.what.as_str() {
                "router-paused" => note(
                    kept.paused.entry(l.text("address").to_owned()).or_default(),
                    l.t,
                    l.flag("on"),
                    None,
                ),
                "link" => {
                    let link = link(l.text("from"), l.text("to"), l.text("why"));
                    note(
                        kept.links.entry(link).or_default(),
                        l.t,
                        l.flag("on"),
                        l.number("most_us"),
                    );
                }
                // A fresh process stands still no more.
                "router-up" => note(
                    kept.paused.entry(l.text("address").to_owned()).or_default(),
                    l.t,
                    false,
                    None,
                ),
                _ => {}
            }
        }
        kept
    }

    fn times(&self, from: &str, to: &str, why: &str) -> &[Time] {
        self.links
            .get(&link(from, to, why))
            .map_or(&[], Vec::as_slice)
    }

    /// What came there at this time may have been sent since then.
    pub fn held_since(&self, from: &str, to: &str, t: i64) -> Option<i64> {
        let held = self.times(from, to, "held").iter().filter(|h| h.covers(t));
        held.map(|h| h.most.map_or(h.began, |m| h.began.max(t - m)))
            .min()
    }

    /// Since when the one may have hung up without the other's having seen it at this time.
    pub fn unseen_since(&self, from: &str, to: &str, t: i64) -> Option<i64> {
        let half = self
            .times(from, to, "half-open")
            .iter()
            .filter(|h| h.covers(t))
            .map(|h| h.began)
            .min();
        [self.held_since(from, to, t), half]
            .into_iter()
            .flatten()
            .min()
    }

    /// It could not give an answer that fell due then: it stood still, or did not reach the broker or hear it.
    pub fn kept_from_answering(&self, router: &str, due: i64, answerable: i64) -> bool {
        let ways = [
            self.times(router, BROKER, "held"),
            self.times(BROKER, router, "held"),
        ];
        let times = ways.into_iter().chain([self.stood_still(router)]).flatten();
        times
            .into_iter()
            .any(|h| h.began < due && h.ended.saturating_add(answerable) > due)
    }

    fn stood_still(&self, router: &str) -> &[Time] {
        self.paused.get(router).map_or(&[], Vec::as_slice)
    }

    pub fn stood_still_at(&self, router: &str, t: i64) -> bool {
        self.stood_still(router)
            .iter()
            .any(|p| p.began <= t && t <= p.ended)
    }

    /// When the router has heard what the list told it then, and has had the grace without standing still.
    pub fn heard(&self, router: &str, told: i64, grace: i64) -> i64 {
        let held = self.times(LIST, router, "held").iter();
        // It came through when that was over.
        let came = held
            .filter(|h| h.began <= told && told <= h.ended)
            .map(|h| h.ended)
            .max()
            .unwrap_or(told);
        // A grace that it stood still in begins again.
        let paused = self.stood_still(router).iter();
        paused
            .filter(|p| p.began <= came.saturating_add(grace) && came <= p.ended)
            .map(|p| p.ended)
            .fold(came, i64::max)
    }

    /// When it saw what was given to it then: a router that stood still did so when it went on.
    pub fn seen(&self, router: &str, given: i64) -> i64 {
        let paused = self.stood_still(router).iter();
        paused
            .filter(|p| p.began <= given && given <= p.ended)
            .map(|p| p.ended)
            .fold(given, i64::max)
    }
}
