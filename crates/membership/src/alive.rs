//! Which members are alive, as far as this one can tell (after SWIM, Das, Gupta and Motivala 2002, for small groups: the
//! whole table goes along where it differs). Called with [`Membership::handle`]: what came or that time passed goes in,
//! messages and changes come out; [`Membership::next_due`] says when it wants to be called again.
//!
//! Mechanisms:
//! 1. Probes: one member after the other, in an order drawn anew each round. One that does not answer is asked for
//!    through others, so that one bad link takes nobody for dead.
//! 2. Suspicion: who answers nobody is suspected, and dead if nothing is heard in time. Dead ones are still probed.
//! 3. Refutation: each process counts turns; whoever reads that it is suspected, dead or another process takes the next
//!    turn. The higher turn is right, at the same turn the worse standing.
//! 4. Waking: a process that was stopped does not hold its own silence against the others.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::group::{Group, MemberIndex};

/// Through so many others a silent member is asked for: with one, that one's own bad link would decide.
const ASKED_THROUGH: usize = 2;
/// Questions on behalf of others that are kept at once; one more is not asked, and the asker suspects a little sooner.
const MOST_ASKED: usize = 256;
/// A tick that comes later than due by this many probe times: this process was stopped.
const STOPPED: Micros = 4;

/// One process of a member. `nonce` is unlike that of any other process; `turn` only grows, over restarts too.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Process {
    pub turn: u64,
    pub nonce: u64,
}

/// The order is that of caution.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Standing {
    /// Nothing was heard of it yet.
    #[default]
    Unknown,
    Alive,
    Suspected,
    Dead,
}

/// Why a member is held for what it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    #[default]
    NeverHeard,
    /// This router is it.
    Itself,
    Answered,
    /// It answered others that were asked to ask it.
    AnsweredOthers,
    /// Neither it nor those asked on our behalf answered.
    Silent,
    /// It was suspected, and nothing came in time.
    SilentTooLong,
    /// Another member says so.
    Told,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    pub member: MemberIndex,
    pub process: Process,
    pub standing: Standing,
}

/// Between members. The rows go along where the tables differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    Probe {
        serial: u64,
        table: u64,
        rows: Vec<Row>,
    },
    /// `of` answered: the sender itself, or whom it was asked to ask.
    Answer {
        serial: u64,
        of: MemberIndex,
        table: u64,
        rows: Vec<Row>,
    },
    AskFor {
        serial: u64,
        whom: MemberIndex,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// One member is probed this often.
    pub probe_every: Micros,
    /// An answer comes within this time, or others are asked to ask.
    pub answer_within: Micros,
    /// A suspected member is dead after this time.
    pub suspected_for: Micros,
    pub seed: u64,
}

#[derive(Debug)]
pub enum Input {
    Heard {
        from: MemberIndex,
        process: Process,
        message: Message,
    },
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: MemberIndex,
        message: Message,
    },
    /// Its standing or its process changed.
    Changed(MemberIndex),
}

/// What is known of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    pub process: Process,
    pub standing: Standing,
    pub since: Micros,
    pub why: Why,
    /// When anything last came from it directly.
    pub heard: Option<Micros>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub probes: u64,
    pub asked_for: u64,
    pub suspected: u64,
    pub refuted: u64,
    /// Of these, so often as another process of this member, later than this one began: its folder is an older one.
    pub outdated: u64,
    pub deaths: u64,
    /// This process noticed that it had been stopped.
    pub woken: u64,
    /// Questions on behalf of others that there was no room for.
    pub unasked: u64,
}

#[derive(Clone, Copy, Debug)]
struct Probing {
    whom: MemberIndex,
    serial: u64,
    through_others: bool,
    due: Micros,
}

#[derive(Debug)]
pub struct Membership {
    group: Group,
    terms: Terms,
    known: Vec<Known>,
    /// Changes with every change of the table.
    version: u64,
    probing: Option<Probing>,
    next_probe: Micros,
    round: Vec<MemberIndex>,
    /// Whom this one asks on behalf of whom, by the serial of its own probe.
    asked: BTreeMap<u64, (MemberIndex, u64, MemberIndex, Micros)>,
    serial: u64,
    draws: u64,
    pub counts: Counts,
}

impl Membership {
    /// `before`: the turn that this member is known to have had, from a kept folder.
    pub fn new(now: Micros, group: Group, terms: Terms, nonce: u64, before: u64) -> Self {
        let mut known = vec![
            Known {
                since: now,
                ..Known::default()
            };
            group.len()
        ];
        known[group.me as usize] = Known {
            process: Process {
                turn: before + 1,
                nonce,
            },
            standing: Standing::Alive,
            since: now,
            why: Why::Itself,
            heard: None,
        };
        Membership {
            group,
            terms,
            known,
            version: 1,
            probing: None,
            next_probe: now,
            round: Vec::new(),
            asked: BTreeMap::new(),
            serial: 0,
            draws: 0,
            counts: Counts::default(),
        }
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Heard {
                from,
                process,
                message,
            } => self.heard(now, from, process, message, out),
            Input::Tick => {}
        }
        self.pass(now, out);
    }

    pub fn next_due(&self) -> Micros {
        let dead = |k: &Known| {
            (k.standing == Standing::Suspected).then_some(k.since + self.terms.suspected_for)
        };
        let deaths = self
            .known
            .iter()
            .filter_map(dead)
            .min()
            .unwrap_or(Micros::MAX);
        self.probing
            .map_or(self.next_probe, |p| p.due.min(self.next_probe))
            .min(deaths)
    }

    pub fn group(&self) -> &Group {
        &self.group
    }

    pub fn me(&self) -> Process {
        self.known[self.group.me as usize].process
    }

    pub fn known(&self, member: MemberIndex) -> Known {
        self.known.get(member as usize).copied().unwrap_or_default()
    }

    /// Suspected ones still count: suspicion is often refuted.
    pub fn lives(&self, member: MemberIndex) -> bool {
        matches!(
            self.known(member).standing,
            Standing::Alive | Standing::Suspected
        )
    }

    /// Of the table; grows with each change that this member saw.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Something came from this member by another way.
    pub fn came_from(
        &mut self,
        now: Micros,
        from: MemberIndex,
        process: Process,
        out: &mut Vec<Output>,
    ) {
        if from == self.group.me || from as usize >= self.known.len() {
            return;
        }
        self.known[from as usize].heard = Some(now);
        self.take(
            now,
            Row {
                member: from,
                process,
                standing: Standing::Alive,
            },
            Why::Answered,
            out,
        );
    }

    fn heard(
        &mut self,
        now: Micros,
        from: MemberIndex,
        process: Process,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        if from == self.group.me || from as usize >= self.known.len() {
            return;
        }
        self.came_from(now, from, process, out);
        match message {
            Message::Probe {
                serial,
                table,
                rows,
            } => {
                let differ = table != self.table();
                self.learn(now, &rows, out);
                let rows = if differ || table != self.table() {
                    self.rows()
                } else {
                    Vec::new()
                };
                let message = Message::Answer {
                    serial,
                    of: self.group.me,
                    table: self.table(),
                    rows,
                };
                out.push(Output::Send { to: from, message });
            }
            Message::Answer {
                serial,
                of,
                table,
                rows,
            } => {
                self.learn(now, &rows, out);
                if let Some((asker, their, whom, _)) = self.asked.remove(&serial)
                    && whom == of
                {
                    let rows = self.row(whom).into_iter().collect();
                    let message = Message::Answer {
                        serial: their,
                        of,
                        table: 0,
                        rows,
                    };
                    out.push(Output::Send { to: asker, message });
                }
                if self
                    .probing
                    .is_some_and(|p| p.serial == serial && p.whom == of)
                {
                    self.probing = None;
                    if of != from {
                        self.answered_others(now, of, out);
                    }
                }
                // It lacks something that is known here: told at once, not a round later.
                if of == from && table != 0 && table != self.table() {
                    self.serial += 1;
                    let (serial, table, rows) = (self.serial, self.table(), self.rows());
                    out.push(Output::Send {
                        to: from,
                        message: Message::Probe {
                            serial,
                            table,
                            rows,
                        },
                    });
                }
            }
            Message::AskFor { serial, whom } => {
                if whom == self.group.me || whom as usize >= self.known.len() {
                    return;
                }
                if self.asked.len() >= MOST_ASKED {
                    self.counts.unasked += 1;
                    return;
                }
                self.serial += 1;
                let until = now + self.terms.probe_every.max(self.terms.answer_within);
                self.asked.insert(self.serial, (from, serial, whom, until));
                let (serial, table, rows) = (self.serial, self.table(), self.rows());
                out.push(Output::Send {
                    to: whom,
                    message: Message::Probe {
                        serial,
                        table,
                        rows,
                    },
                });
            }
        }
    }

    fn answered_others(&mut self, now: Micros, of: MemberIndex, out: &mut Vec<Output>) {
        let k = &mut self.known[of as usize];
        if k.standing == Standing::Suspected {
            // Whoever found it alive passes its refutation on; until that comes its time does not run out.
            k.since = now;
        } else if k.why == Why::Silent || k.why == Why::NeverHeard {
            k.why = Why::AnsweredOthers;
            out.push(Output::Changed(of));
        }
    }

    fn pass(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now - self.next_probe > STOPPED * self.terms.probe_every {
            // Symptom: stopped for minutes and woken, everybody is overdue at once. None of that is their silence.
            self.counts.woken += 1;
            self.probing = None;
            self.next_probe = now;
            for k in self
                .known
                .iter_mut()
                .filter(|k| k.standing == Standing::Suspected)
            {
                k.since = now;
            }
        }
        for m in 0..self.known.len() {
            let k = self.known[m];
            if k.standing == Standing::Suspected && now >= k.since + self.terms.suspected_for {
                self.counts.deaths += 1;
                self.becomes(
                    now,
                    m as MemberIndex,
                    k.process,
                    Standing::Dead,
                    Why::SilentTooLong,
                    out,
                );
            }
        }
        if let Some(p) = self.probing.filter(|p| now >= p.due) {
            if !p.through_others {
                self.ask_others(now, p, out);
            } else {
                self.probing = None;
                let k = self.known(p.whom);
                if k.standing == Standing::Alive {
                    self.counts.suspected += 1;
                    self.becomes(
                        now,
                        p.whom,
                        k.process,
                        Standing::Suspected,
                        Why::Silent,
                        out,
                    );
                }
            }
        }
        self.asked.retain(|_, a| a.3 > now);
        if now >= self.next_probe {
            self.next_probe = now + self.terms.probe_every;
            if self.probing.is_none() {
                self.probe(now, out);
            }
        }
    }

    fn probe(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.round.is_empty() {
            self.round = self.group.others().collect();
            self.draws += 1;
            let draw = (self.terms.seed, self.draws);
            self.round.sort_by_cached_key(|m| hashed((draw, *m)));
        }
        let Some(whom) = self.round.pop() else { return };
        self.serial += 1;
        self.counts.probes += 1;
        let due = now + self.terms.answer_within;
        self.probing = Some(Probing {
            whom,
            serial: self.serial,
            through_others: false,
            due,
        });
        let (serial, table) = (self.serial, self.table());
        // Who is not known to be alive has to learn what is held of it.
        let rows = if self.known(whom).standing == Standing::Alive {
            Vec::new()
        } else {
            self.rows()
        };
        out.push(Output::Send {
            to: whom,
            message: Message::Probe {
                serial,
                table,
                rows,
            },
        });
    }

    fn ask_others(&mut self, now: Micros, p: Probing, out: &mut Vec<Output>) {
        let mut others: Vec<MemberIndex> = self
            .group
            .others()
            .filter(|m| *m != p.whom && self.known(*m).standing == Standing::Alive)
            .collect();
        self.draws += 1;
        let draw = (self.terms.seed, self.draws);
        others.sort_by_cached_key(|m| hashed((draw, *m)));
        for to in others.into_iter().take(ASKED_THROUGH) {
            self.counts.asked_for += 1;
            out.push(Output::Send {
                to,
                message: Message::AskFor {
                    serial: p.serial,
                    whom: p.whom,
                },
            });
        }
        // Two more ways than the direct one.
        let due = now + 2 * self.terms.answer_within;
        self.probing = Some(Probing {
            through_others: true,
            due,
            ..p
        });
    }

    fn learn(&mut self, now: Micros, rows: &[Row], out: &mut Vec<Output>) {
        for row in rows.iter().take(self.known.len()) {
            self.take(now, *row, Why::Told, out);
        }
    }

    fn take(&mut self, now: Micros, row: Row, why: Why, out: &mut Vec<Output>) {
        let Some(k) = self.known.get(row.member as usize).copied() else {
            return;
        };
        if row.standing == Standing::Unknown {
            return;
        }
        if row.member == self.group.me {
            // Symptom: a late answer, a cut or an earlier process's turn makes others hold this one for something
            // else than it is.
            let wrong = row.standing != Standing::Alive || row.process.nonce != k.process.nonce;
            if row.process.turn >= k.process.turn && wrong {
                self.counts.refuted += 1;
                self.counts.outdated += u64::from(row.process.nonce != k.process.nonce);
                let process = Process {
                    turn: row.process.turn + 1,
                    nonce: k.process.nonce,
                };
                self.becomes(now, row.member, process, Standing::Alive, Why::Itself, out);
            }
            return;
        }
        if (row.process, row.standing) > (k.process, k.standing) {
            let same = row.process == k.process && row.standing == k.standing;
            let since = if same { k.since } else { now };
            self.becomes(since, row.member, row.process, row.standing, why, out);
        }
    }

    fn becomes(
        &mut self,
        now: Micros,
        member: MemberIndex,
        process: Process,
        standing: Standing,
        why: Why,
        out: &mut Vec<Output>,
    ) {
        let k = &mut self.known[member as usize];
        *k = Known {
            process,
            standing,
            since: now,
            why,
            heard: k.heard,
        };
        self.version += 1;
        out.push(Output::Changed(member));
    }

    fn row(&self, member: MemberIndex) -> Option<Row> {
        let k = self.known(member);
        (k.standing != Standing::Unknown).then_some(Row {
            member,
            process: k.process,
            standing: k.standing,
        })
    }

    fn rows(&self) -> Vec<Row> {
        (0..self.known.len() as MemberIndex)
            .filter_map(|m| self.row(m))
            .collect()
    }

    /// The same at two members that hold all for the same; never 0.
    fn table(&self) -> u64 {
        hashed(self.rows()) | 1
    }
}

fn hashed(of: impl std::hash::Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(of)
}
