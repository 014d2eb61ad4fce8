//! The rules, judged from traces alone. Free of I/O: [`Rules::record`] takes each source's records in order, of any
//! number of sources; [`Rules::finish`] gives the breaks, and what a trace cannot show.
//!
//! A trace ends where the core's decisions do. What a program does to an answer or a dispatch after that (loses it,
//! sends it twice or late) is seen on the sockets only, by `cedarpulley audit`; so are rule 4, as the size of work is
//! in no trace, and what routers did to one another's messages, unless their marks were recorded.

use std::collections::{BTreeMap, HashMap, VecDeque};

use cedarpulley::interface::{
    Action, DeduplicationScope, DispatchOutcome, Effect, EndpointState, Event, InvocationIndex,
    Micros,
};
use cedarpulley_router::Fate;
use serde::Serialize;

use crate::records::{Record, RecordedEvent};
use crate::start::Source;

/// An answer is due so long before the client gives up as the settings say, which a trace does not hold; by this much
/// at least (the default) the client's own time is later than the one recorded.
const ANSWER_MARGIN: Micros = 100_000;
/// Breaks that are told one by one.
const TOLD: usize = 40;
/// Messages that are followed from router to router; beyond, they are counted as not seen.
const MOST_MARKS: usize = 1_000_000;

#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct RuleCheck {
    pub invocations: u64,
    pub rules: BTreeMap<u8, u64>,
    pub breaks: Vec<String>,
    /// Invocations that were open where their trace ends, or were lost in a gap.
    pub unseen: u64,
}

struct Sent {
    worker: u32,
    at: Micros,
    /// Absent: it is out.
    outcome: Option<DispatchOutcome>,
    /// A break, if it turns out that it was sent.
    suspect: Option<(u8, String)>,
}

struct Open {
    trigger: u32,
    mark: Option<u64>,
    gives_up: Micros,
    answered: bool,
    sent: Vec<Sent>,
}

#[derive(Default)]
struct Side {
    now: Micros,
    open: HashMap<InvocationIndex, Open>,
    marks: HashMap<InvocationIndex, u64>,
    /// Zone, cell, and since when it is told to drain or gone.
    workers: HashMap<u32, (u32, u32, Option<Micros>)>,
    taken: VecDeque<Micros>,
    orders: VecDeque<Micros>,
}

#[derive(Default)]
pub struct Rules {
    sides: HashMap<u32, Side>,
    /// Of messages that may not run twice: which source may have run them.
    ran: HashMap<u64, u32>,
    out: RuleCheck,
}

/// What is no longer within the window.
fn forget(times: &mut VecDeque<Micros>, until: Micros) {
    while times.front().is_some_and(|t| *t <= until) {
        times.pop_front();
    }
}

impl Rules {
    fn breaks(&mut self, rule: u8, why: String) {
        *self.out.rules.entry(rule).or_default() += 1;
        if self.out.breaks.len() < TOLD {
            self.out.breaks.push(format!("rule {rule}: {why}"));
        }
    }

    pub fn record(&mut self, source: u32, of: &Source, at: Micros, record: &Record) {
        let side = self.sides.entry(source).or_default();
        side.now = at;
        let told = |why: String| format!("{} at {} us: {why}", of.start.router, of.wall(at));
        match record {
            Record::Name { .. } | Record::TurnedAway { .. } => {}
            Record::Gap { .. } => {
                // What was open may have ended in the gap.
                self.out.unseen += side.open.len() as u64;
                side.open.clear();
            }
            Record::Taken { inv, mark, .. } => {
                if let Some(mark) = mark {
                    side.marks.insert(*inv, *mark);
                }
            }
            Record::Answered {
                inv: Some(inv),
                fate,
                ..
            } => {
                let Some(open) = side.open.get_mut(inv) else {
                    return;
                };
                // Those that wait for the same answer get it with the first.
                if std::mem::replace(&mut open.answered, true) {
                    return;
                }
                let late = at - open.gives_up - ANSWER_MARGIN - of.start.startup.rules.answer_slack;
                let effect = of
                    .start
                    .startup
                    .triggers
                    .get(open.trigger as usize)
                    .map(|t| t.effect);
                let ran = open
                    .sent
                    .iter()
                    .any(|s| s.outcome.is_none_or(|o| !o.not_executed()));
                if late > 0 {
                    self.breaks(
                        1,
                        told(format!(
                            "answered {} ms after its client gave up",
                            late / 1000
                        )),
                    );
                }
                // A tokened one's retry is dropped where it ran.
                if *fate == Fate::Throttled && ran && effect == Some(Effect::NonIdempotent) {
                    self.breaks(2, told("told harmless, and it may have run".into()));
                }
            }
            Record::Answered { .. } => {}
            Record::Decided {
                event: happened,
                actions,
            } => {
                self.told(source, of, at, happened);
                for action in actions {
                    self.asked(source, of, at, action);
                }
            }
        }
    }

    fn told(&mut self, source: u32, of: &Source, at: Micros, happened: &RecordedEvent) {
        let side = self.sides.entry(source).or_default();
        match happened {
            RecordedEvent::List {
                endpoints: entries, ..
            } => {
                for e in entries {
                    let since = match e.state {
                        EndpointState::InService => None,
                        _ => side.workers.get(&e.worker).and_then(|w| w.2).or(Some(at)),
                    };
                    side.workers.insert(e.worker, (e.zone, e.cell, since));
                }
            }
            RecordedEvent::Other(Event::Invocation(a)) => {
                self.out.invocations += 1;
                let window = of.start.startup.loads.order_quota_window;
                if window > 0 {
                    side.taken.push_back(at);
                    forget(&mut side.taken, at - window);
                }
                let mark = side.marks.remove(&a.invocation);
                let gives_up = at.saturating_add(a.client_timeout_in);
                let open = Open {
                    trigger: a.trigger,
                    mark,
                    gives_up,
                    answered: false,
                    sent: Vec::new(),
                };
                if let Some(before) = side.open.insert(a.invocation, open) {
                    self.over(of, before, at);
                }
            }
            RecordedEvent::Other(Event::ClientLeft { invocation: inv }) => {
                if let Some(open) = side.open.get_mut(inv) {
                    open.answered = true;
                }
            }
            RecordedEvent::Other(Event::DispatchEnded(e)) => {
                let Some(open) = side.open.get_mut(&e.invocation) else {
                    return;
                };
                // Concluded without an answer: its front was lost, and nobody waits for it here.
                open.answered |= e.answered;
                let (mark, trigger) = (open.mark, open.trigger);
                let Some(sent) = open.sent.get_mut(e.dispatch as usize) else {
                    return;
                };
                sent.outcome = Some(e.outcome);
                let suspect = sent
                    .suspect
                    .take()
                    .filter(|_| e.outcome != DispatchOutcome::NotSent);
                let once = of
                    .start
                    .startup
                    .triggers
                    .get(trigger as usize)
                    .map(|t| t.effect)
                    == Some(Effect::NonIdempotent);
                if let Some(mark) = mark.filter(|_| once && !e.outcome.not_executed()) {
                    if self.ran.len() < MOST_MARKS {
                        self.ran.insert(mark, source);
                    } else {
                        self.out.unseen += 1;
                    }
                }
                if let Some((rule, why)) = suspect {
                    self.breaks(rule, why);
                }
            }
            RecordedEvent::Other(_) => {}
        }
    }

    fn asked(&mut self, source: u32, of: &Source, at: Micros, action: &Action) {
        let Some(side) = self.sides.get_mut(&source) else {
            return;
        };
        let told = |why: &str| format!("{} at {} us: {why}", of.start.router, of.wall(at));
        match *action {
            Action::Dispatch {
                invocation: inv,
                worker,
                ..
            } => {
                let Some(open) = side.open.get_mut(&inv) else {
                    return;
                };
                let place = side.workers.get(&worker).copied();
                let ran = |s: &Sent| s.outcome.is_none_or(|o| !o.not_executed());
                let trigger = of.start.startup.triggers.get(open.trigger as usize);
                let elsewhere = open
                    .mark
                    .and_then(|m| self.ran.get(&m))
                    .is_some_and(|who| *who != source);
                let mut suspect = None;
                match trigger.map(|t| t.effect) {
                    Some(Effect::NonIdempotent) if open.sent.iter().any(ran) || elsewhere => {
                        suspect = Some((2, told("sent again, and it may have run")));
                    }
                    Some(Effect::IdempotentByKey {
                        scope: group,
                        window,
                    }) => {
                        for s in open.sent.iter().filter(|s| ran(s)) {
                            let before = side.workers.get(&s.worker);
                            let same = match group {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => {
                                    before.map(|w| w.0) == place.map(|w| w.0)
                                }
                                DeduplicationScope::Cell => {
                                    before.map(|w| w.1) == place.map(|w| w.1)
                                }
                            };
                            if !same || at - s.at > window {
                                suspect =
                                    Some((2, told("a repeat outside of its group or window")));
                            }
                        }
                    }
                    _ => {}
                }
                if !of.start.startup.limits.hedged_requests
                    && open.sent.iter().any(|s| s.outcome.is_none())
                {
                    suspect = Some((2, told("a second copy where none is allowed")));
                }
                if let Some((_, _, Some(since))) = place
                    && at - since > of.start.startup.rules.drain_grace
                {
                    suspect = Some((
                        3,
                        told("sent to one that is draining or gone, past the grace"),
                    ));
                }
                if open.answered {
                    suspect = Some((1, told("sent after its answer")));
                }
                open.sent.push(Sent {
                    worker,
                    at,
                    outcome: None,
                    suspect,
                });
            }
            Action::LoadOrder { copies, .. } if copies > 0 => {
                let window = of.start.startup.loads.order_quota_window;
                if window <= 0 {
                    return;
                }
                side.orders.push_back(at);
                forget(&mut side.orders, at - window);
                forget(&mut side.taken, at - window);
                let allowed = of.start.startup.loads.order_quota_base
                    + of.start.startup.loads.order_quota_per_invocation * side.taken.len() as f64;
                if side.orders.len() as f64 > allowed + 1e-9 {
                    let why = format!(
                        "{} orders, and {allowed:.1} were allowed",
                        side.orders.len()
                    );
                    self.breaks(5, told(&why));
                }
            }
            _ => {}
        }
    }

    /// Nothing more comes of it.
    fn over(&mut self, of: &Source, open: Open, last: Micros) {
        if !open.answered {
            if last > open.gives_up + ANSWER_MARGIN {
                let why = format!(
                    "{}: taken and never answered, due at {} us",
                    of.start.router,
                    of.wall(open.gives_up)
                );
                self.breaks(1, why);
            } else {
                self.out.unseen += 1;
            }
        }
    }

    /// `sources` by the numbers with which the records came.
    pub fn finish(mut self, sources: &HashMap<u32, Source>) -> RuleCheck {
        let mut sides: Vec<(u32, Side)> = std::mem::take(&mut self.sides).into_iter().collect();
        sides.sort_by_key(|(n, _)| *n);
        for (n, side) in sides {
            let Some(of) = sources.get(&n) else { continue };
            let mut open: Vec<(InvocationIndex, Open)> = side.open.into_iter().collect();
            open.sort_by_key(|(inv, _)| *inv);
            for (_, open) in open {
                self.over(of, open, side.now);
            }
        }
        self.out
    }
}
