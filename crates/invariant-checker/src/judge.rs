//! The rules, each from the lines that show it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write;
use std::path::Path;

use serde::Serialize;

use crate::kept::Kept;
use crate::log::{Line, read};
use crate::warm::{self, Prefixes, Stood};
use crate::{Effect, Terms, Unjudged};

/// A delivery with less time left than this cannot be answered in time by any router.
const ANSWERABLE_US: i64 = 150_000;
/// Times of two stand-ins' lines about one moment may be apart by this much: they are written by other threads.
const APART_US: i64 = 100_000;
/// A closed connection is seen on its other side within this time.
const CLOSE_SEEN_US: i64 = 500_000;
/// Breaks that are told one by one.
pub(crate) const TOLD: usize = 40;

#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub invocations: u64,
    pub answers: BTreeMap<String, u64>,
    pub unanswered: u64,
    pub double_answers: u64,
    /// Late because the broker took no publishes when they were due: no router could have answered.
    pub held_by_broker: u64,
    /// Late, or never told to a caller, because their router stood still or was cut off from the broker.
    pub held_by_rig: u64,
    pub rules: BTreeMap<String, u64>,
    pub within_objective: u64,
    pub dispatches: u64,
    pub loads: u64,
    pub redelivered: u64,
    pub effects: u64,
    pub repeats_dropped: u64,
    pub fetches: u64,
    pub by_type: BTreeMap<String, Tally>,
    pub by_account: BTreeMap<String, Tally>,
    /// By the queue that it was published to, or `calls`.
    pub by_front: BTreeMap<String, Tally>,
    pub by_reason: BTreeMap<String, u64>,
    pub breaks: Vec<String>,
    /// Breaks of what is promised beyond the rules: `sessions`, `floor` and `terms`.
    pub promises: BTreeMap<String, u64>,
    /// Sessions that ran.
    pub sessions: u64,
    pub prefixes: Prefixes,
    /// How often warm lanes fell below a floor by a fault, not by an order.
    pub floor_lost: u64,
    /// By model and region, where a floor held.
    pub floors: BTreeMap<String, Stood>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    pub taken: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub within_objective: u64,
}

#[derive(Default)]
struct Inv {
    kind: String,
    account: String,
    front: String,
    published: i64,
    timeout: Option<i64>,
    /// When, and to whom.
    delivered: Vec<(i64, String)>,
    answers: Vec<(i64, String, String)>,
    answered_by: String,
    expired: bool,
    dead: bool,
    /// A connection that its router broke off, when and which.
    lost: Option<(i64, String)>,
    dispatches: Vec<Dispatch>,
    ran: Vec<i64>,
}

struct Dispatch {
    at: i64,
    from: String,
    number: String,
    worker: String,
    left: Option<(i64, String)>,
    /// A cut held it back: it may have been sent since then.
    held_since: Option<i64>,
    /// Likewise its router's hanging up.
    unseen_since: Option<i64>,
}

impl Dispatch {
    /// It surely was out all the time between the two.
    fn surely_out(&self, since: i64, until: i64, leeway: i64) -> bool {
        let unseen = self.unseen_since.unwrap_or(i64::MAX);
        let open = self
            .left
            .as_ref()
            .is_none_or(|(t, _)| (*t).min(unseen) > until + CLOSE_SEEN_US + leeway);
        self.at <= since && open
    }

    /// When it was sent at the earliest.
    fn sent_since(&self) -> i64 {
        self.held_since.unwrap_or(self.at).min(self.at)
    }

    /// The worker did not say, before any work, that it would not run it.
    fn may_have_run(&self) -> bool {
        self.left.as_ref().is_none_or(|(_, how)| how != "refused")
    }
}

#[derive(Default)]
struct Process {
    cores: f64,
    cold_since: Option<i64>,
    sent: VecDeque<(i64, f64)>,
    over: bool,
}

/// The correlation id within what a dispatch bears as its invocation.
pub(crate) fn id_of(invocation: &str) -> &str {
    invocation.split('|').nth(1).unwrap_or(invocation)
}

impl Verdict {
    pub fn broken(&self) -> u64 {
        self.rules.values().chain(self.promises.values()).sum()
    }

    fn breaks(&mut self, rule: u8, why: String) {
        *self.rules.entry(rule.to_string()).or_default() += 1;
        self.tells(format!("rule {rule}: {why}"));
    }

    pub(crate) fn fails(&mut self, promise: &str, why: String) {
        *self.promises.entry(promise.to_owned()).or_default() += 1;
        self.tells(format!("{promise}: {why}"));
    }

    fn tells(&mut self, what: String) {
        if self.breaks.len() < TOLD {
            self.breaks.push(what);
        }
    }

    /// The line that a run ends on.
    pub fn last_line(&self) -> String {
        let answers: u64 = self.answers.values().sum();
        format!(
            "audit: {} invocations, {answers} answers, {} breaks",
            self.invocations,
            self.broken()
        )
    }

    pub fn table(&self) -> String {
        let mut t = String::new();
        let part = |n: u64, of: u64| {
            if of == 0 {
                0.0
            } else {
                100.0 * n as f64 / of as f64
            }
        };
        let _ = writeln!(
            t,
            "{:<18} {:>8} {:>9} {:>9} {:>8} {:>12}",
            "", "taken", "succeeded", "throttled", "errored", "in objective"
        );
        for (name, s) in self
            .by_type
            .iter()
            .chain(&self.by_account)
            .chain(&self.by_front)
        {
            let _ = writeln!(
                t,
                "{name:<18} {:>8} {:>9} {:>9} {:>8} {:>11.1}%",
                s.taken,
                s.succeeded,
                s.throttled,
                s.errored,
                part(s.within_objective, s.taken)
            );
        }
        let _ = writeln!(
            t,
            "\ndispatches {}, effects {}, repeats dropped {}, loads {}, fetches {}, redelivered {}",
            self.dispatches,
            self.effects,
            self.repeats_dropped,
            self.loads,
            self.fetches,
            self.redelivered
        );
        let reasons: Vec<String> = self
            .by_reason
            .iter()
            .map(|(r, n)| format!("{r} {n}"))
            .collect();
        let _ = writeln!(t, "answers by reason: {}", reasons.join(", "));
        let _ = writeln!(
            t,
            "unanswered {}, answered twice {}, late as the broker took nothing {}, as a router was held {}",
            self.unanswered, self.double_answers, self.held_by_broker, self.held_by_rig
        );
        if self.sessions > 0 || !self.floors.is_empty() {
            let p = &self.prefixes;
            let _ = writeln!(
                t,
                "sessions {}, prefixes begun {}, found {}, rebuilt {}, floors lost {}",
                self.sessions, p.begun, p.found, p.rebuilt, self.floor_lost
            );
            let _ = writeln!(
                t,
                "rebuilt by cause: {:?}; astray: {}",
                p.by,
                p.astray.join(", ")
            );
            let promises: Vec<String> = self
                .promises
                .iter()
                .map(|(p, n)| format!("{p}: {n}"))
                .collect();
            let _ = writeln!(t, "promises broken: {}", promises.join(", "));
        }
        let rules: Vec<String> = self
            .rules
            .iter()
            .map(|(r, n)| format!("rule {r}: {n}"))
            .collect();
        let _ = writeln!(t, "breaks: {}", rules.join(", "));
        for why in &self.breaks {
            let _ = writeln!(t, "  {why}");
        }
        t
    }
}

/// Reads `traffic/` and `terms.json` in the folder.
pub fn judge(folder: &Path) -> Result<Verdict, Unjudged> {
    let path = folder.join("terms.json");
    let file = || path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|source| Unjudged::Unread {
        file: file(),
        source,
    })?;
    let terms: Terms = serde_json::from_str(&text).map_err(|source| Unjudged::NoTerms {
        file: file(),
        source,
    })?;
    let lines = read(&folder.join("traffic"))?;
    let mut v = Verdict::default();
    for rule in 1..=5 {
        v.rules.insert(rule.to_string(), 0);
    }
    for promise in [warm::SESSIONS, warm::FLOOR, warm::TERMS] {
        v.promises.insert(promise.into(), 0);
    }
    for fate in ["succeeded", "throttled", "errored"] {
        v.answers.insert(fate.into(), 0);
    }
    let kept = Kept::read(&lines);
    let invs = gather(&lines, &kept, &mut v);
    answers(
        &invs,
        &blocked(&lines),
        &killed(&lines),
        &kept,
        &terms,
        &mut v,
    );
    effects(&invs, &terms, &mut v);
    drains(&lines, &kept, &terms, &mut v);
    cold(&lines, &terms, &mut v);
    ration(&lines, &kept, &terms, &mut v);
    warm::sessions(&lines, &mut v);
    warm::one_planner(&lines, &mut v);
    warm::prefixes(&lines, &kept, &mut v);
    warm::floors(&lines, &terms, &mut v);
    Ok(v)
}

/// A cut held it back, as the stand-in saw or the rig says: it may have been sent since then.
fn held_since(l: &Line, kept: &Kept) -> Option<i64> {
    [
        l.number("held_since"),
        kept.held_since(l.text("from"), &l.of, l.t),
    ]
    .into_iter()
    .flatten()
    .min()
}

fn gather(lines: &[Line], kept: &Kept, v: &mut Verdict) -> BTreeMap<String, Inv> {
    let mut invs: BTreeMap<String, Inv> = BTreeMap::new();
    for l in lines {
        let id = id_of(l.text("id")).to_owned();
        match l.what.as_str() {
            "published" if l.text("fate").is_empty() => {
                let inv = invs.entry(id).or_default();
                inv.kind = l.text("type").to_owned();
                inv.account = l.text("account").to_owned();
                (inv.published, inv.timeout) = (l.t, l.number("timeout"));
                inv.front = l.text("queue").to_owned();
            }
            "published" => {
                let answer = (l.t, l.text("fate").to_owned(), l.text("reason").to_owned());
                let inv = invs.entry(id).or_default();
                inv.answers.push(answer);
                inv.answered_by = l.text("from").to_owned();
            }
            // Answers are delivered too, to their clients.
            "delivered" if !l.text("queue").starts_with("replies") => {
                v.redelivered += u64::from(l.flag("redelivered"));
                invs.entry(id)
                    .or_default()
                    .delivered
                    .push((l.t, l.text("to").to_owned()));
            }
            "expired" => invs.entry(id).or_default().expired = true,
            "lost" => invs.entry(id).or_default().lost = Some((l.t, l.text("to").to_owned())),
            "dead" => invs.entry(id).or_default().dead = true,
            "received" => {
                v.dispatches += 1;
                invs.entry(id).or_default().dispatches.push(Dispatch {
                    at: l.t,
                    from: l.text("from").to_owned(),
                    number: l.text("dispatch").to_owned(),
                    worker: l.of.clone(),
                    left: None,
                    held_since: held_since(l, kept),
                    unseen_since: None,
                });
            }
            "left" => {
                let inv = invs.entry(id).or_default();
                let same = |d: &&mut Dispatch| {
                    d.left.is_none()
                        && d.worker == l.of
                        && d.from == l.text("from")
                        && d.number == l.text("dispatch")
                };
                if let Some(d) = inv.dispatches.iter_mut().find(same) {
                    d.left = Some((l.t, l.text("how").to_owned()));
                    let unseen = kept.unseen_since(l.text("from"), &l.of, l.t);
                    d.unseen_since = [l.number("unseen_since"), unseen]
                        .into_iter()
                        .flatten()
                        .min();
                }
            }
            "ran" => {
                v.effects += 1;
                invs.entry(id).or_default().ran.push(l.t);
            }
            "repeat" => v.repeats_dropped += 1,
            "loading" => v.loads += 1,
            "fetch" => v.fetches += 1,
            _ => {}
        }
    }
    invs
}

/// When the broker took no publishes.
fn blocked(lines: &[Line]) -> Vec<(i64, i64)> {
    let mut times: Vec<(i64, i64)> = Vec::new();
    for l in lines.iter().filter(|l| l.what == "blocked") {
        match (l.flag("on"), times.last_mut()) {
            (true, _) => times.push((l.t, i64::MAX)),
            (false, Some(last)) => last.1 = l.t,
            (false, None) => {}
        }
    }
    times
}

/// Which routers were killed outright, and when.
fn killed(lines: &[Line]) -> Vec<(i64, String)> {
    let kills = lines.iter().filter(|l| l.what == "router-down");
    kills.map(|l| (l.t, l.text("address").to_owned())).collect()
}

/// Rule 1: what was taken gets exactly one final answer before the client timeout, and nothing after.
fn answers(
    invs: &BTreeMap<String, Inv>,
    blocked: &[(i64, i64)],
    killed: &[(i64, String)],
    kept: &Kept,
    terms: &Terms,
    v: &mut Verdict,
) {
    for (id, inv) in invs {
        for (_, fate, reason) in &inv.answers {
            *v.answers.entry(fate.clone()).or_default() += 1;
            *v.by_reason.entry(reason.clone()).or_default() += 1;
        }
        let Some((first, _)) = inv.delivered.first() else {
            if !inv.answers.is_empty() {
                v.breaks(1, format!("{id} was answered and never taken"));
            }
            continue;
        };
        v.invocations += 1;
        let gives_up = inv.timeout.map_or(i64::MAX, |t| inv.published + t);
        let objective = terms
            .kinds
            .get(&inv.kind)
            .map_or(i64::MAX, |k| k.objective_us);
        let good = inv
            .answers
            .first()
            .is_some_and(|a| a.1 == "succeeded" && a.0 - inv.published <= objective);
        v.within_objective += u64::from(good);
        let kinds = v.by_type.entry(inv.kind.clone()).or_default();
        count(kinds, inv, good);
        let account = v.by_account.entry(inv.account.clone()).or_default();
        count(account, inv, good);
        let front = v.by_front.entry(inv.front.clone()).or_default();
        count(front, inv, good);
        if let Some(answer) = inv.answers.first()
            && let Some(d) = inv
                .dispatches
                .iter()
                .find(|d| d.sent_since() > answer.0 + APART_US + terms.leeway_us)
        {
            v.breaks(
                1,
                format!(
                    "{id} was dispatched {} ms after its answer",
                    (d.at - answer.0) / 1000
                ),
            );
        }
        match inv.answers.len() {
            // The broker took it back, from a router that was killed or lost its channel, and no one had it
            // again before its client gave up.
            0 if inv.expired || inv.dead => {}
            // What a router held when it was killed is no longer its duty.
            0 if inv.lost.as_ref().is_some_and(|(at, router)| {
                let apart = APART_US + terms.leeway_us;
                let held = first - apart..=at + apart;
                killed.iter().any(|(t, k)| k == router && held.contains(t))
            }) => {}
            // A caller has listened until its router went on, or nearly.
            0 if inv.lost.as_ref().is_some_and(|(at, router)| {
                let stood = |t: i64| kept.stood_still_at(router, t);
                stood(gives_up) && stood(at - ANSWERABLE_US)
            }) =>
            {
                v.held_by_rig += 1;
            }
            0 => {
                v.unanswered += 1;
                v.breaks(1, format!("{id} was taken and never answered"));
            }
            1 => {
                let last = inv.delivered.last().map_or(*first, |d| d.0);
                let late = inv.answers[0].0 - gives_up - terms.answer_slack_us;
                let held = blocked
                    .iter()
                    .any(|b| b.0 < gives_up && b.1 > gives_up - ANSWERABLE_US);
                if late > 0 && held {
                    v.held_by_broker += 1;
                } else if late > 0
                    && kept.kept_from_answering(&inv.answered_by, gives_up, ANSWERABLE_US)
                {
                    v.held_by_rig += 1;
                } else if late > terms.leeway_us && last < gives_up - ANSWERABLE_US {
                    v.breaks(
                        1,
                        format!(
                            "{id} was answered {} ms after its client gave up",
                            late / 1000
                        ),
                    );
                }
            }
            n => {
                v.double_answers += 1;
                v.breaks(1, format!("{id} got {n} answers"));
            }
        }
    }
}

fn count(tally: &mut Tally, inv: &Inv, good: bool) {
    tally.taken += 1;
    tally.within_objective += u64::from(good);
    match inv.answers.first().map(|a| a.1.as_str()) {
        Some("succeeded") => tally.succeeded += 1,
        Some("throttled") => tally.throttled += 1,
        Some("errored") => tally.errored += 1,
        _ => {}
    }
}

/// Rule 2: no effect twice, and no dispatch or throttling reply that could lead to it.
fn effects(invs: &BTreeMap<String, Inv>, terms: &Terms, v: &mut Verdict) {
    for (id, inv) in invs {
        let Some(kind) = terms.kinds.get(&inv.kind) else {
            continue;
        };
        let ran = inv.dispatches.iter().find(|d| d.may_have_run());
        if kind.effect != Effect::Idempotent && inv.ran.len() > 1 {
            v.breaks(
                2,
                format!("{id} ({}) took effect {} times", inv.kind, inv.ran.len()),
            );
        }
        if let Some(first) = ran {
            let later = inv.dispatches.iter().filter(|d| d.at > first.at);
            let wrong = match kind.effect {
                Effect::Idempotent => 0,
                Effect::NonIdempotent => later.count(),
                Effect::Tokened => later.filter(|d| d.at - first.at > kind.window_us).count(),
            };
            if wrong > 0 {
                v.breaks(
                    2,
                    format!(
                        "{id} ({}) was dispatched again though it may have run",
                        inv.kind
                    ),
                );
            }
            let throttled = inv
                .answers
                .iter()
                .any(|a| a.1 == "throttled" && a.0 > first.at);
            if kind.effect == Effect::NonIdempotent && throttled {
                v.breaks(
                    2,
                    format!("{id} ({}) was throttled though it may have run", inv.kind),
                );
            }
        }
        if terms.second_copies {
            continue;
        }
        for pair in inv.dispatches.windows(2) {
            // Symptom: behind a cut, a worker works on what its router has timed out and sent elsewhere.
            let both = pair[0].surely_out(pair[1].sent_since(), pair[1].at, terms.leeway_us);
            if both && pair[0].from == pair[1].from {
                v.breaks(2, format!("{id} had two dispatches out at once"));
            }
        }
    }
}

/// Rule 3: nothing new past the grace after this router was told.
fn drains(lines: &[Line], kept: &Kept, terms: &Terms, v: &mut Verdict) {
    let mut address: HashMap<&str, String> = HashMap::new();
    // By router and worker: since when it is told to be draining or gone.
    let mut told: HashMap<(String, String), i64> = HashMap::new();
    for l in lines {
        match l.what.as_str() {
            "up" => {
                address.insert(&l.of, l.text("address").to_owned());
            }
            "told" => {
                let key = (l.text("to").to_owned(), l.text("worker").to_owned());
                if l.flag("gone") || l.flag("draining") {
                    told.entry(key).or_insert(l.t);
                } else {
                    told.remove(&key);
                }
            }
            "router-up" => told.retain(|(to, _), _| to != l.text("address")),
            "listed" => {
                let all = l.texts("workers");
                for worker in address.values().filter(|a| !all.contains(&a.as_str())) {
                    told.entry((l.text("to").to_owned(), worker.clone()))
                        .or_insert(l.t);
                }
            }
            // When it was sent is not known: a cut held it back.
            "received" | "ordered" if held_since(l, kept).is_some() => {}
            "received" | "ordered" => {
                let Some(worker) = address.get(l.of.as_str()) else {
                    continue;
                };
                let since = told.get(&(l.text("from").to_owned(), worker.clone()));
                let grace = terms.drain_grace_us + APART_US + terms.leeway_us;
                let since = since.map(|told| kept.heard(l.text("from"), *told, grace));
                if let Some(since) = since.filter(|s| l.t.saturating_sub(*s) > grace) {
                    let late = (l.t - since) / 1000;
                    v.breaks(
                        3,
                        format!(
                            "{} got something from {} {late} ms after it was told",
                            l.of,
                            l.text("from")
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Rule 4: a cold worker is not sent, by all routers together, more than the multiple of what it can do.
fn cold(lines: &[Line], terms: &Terms, v: &mut Verdict) {
    let mut processes: HashMap<&str, Process> = HashMap::new();
    for l in lines {
        match l.what.as_str() {
            "up" => {
                let cold_since = l.flag("cold").then_some(l.t);
                let process = Process {
                    cores: l.real("cores"),
                    cold_since,
                    ..Process::default()
                };
                processes.insert(&l.of, process);
            }
            "received" => {
                let Some(p) = processes.get_mut(l.of.as_str()) else {
                    continue;
                };
                let Some(since) = p.cold_since.filter(|s| l.t - s < terms.cold_for_us) else {
                    continue;
                };
                p.sent.push_back((l.t, l.real("work")));
                while p
                    .sent
                    .front()
                    .is_some_and(|s| l.t - s.0 > terms.overload_window_us)
                {
                    p.sent.pop_front();
                }
                let age = (l.t - since) as f64 / terms.cold_for_us.max(1) as f64;
                let grown = terms.cold_part + (1.0 - terms.cold_part) * age;
                let can = p.cores * grown * terms.overload_window_us as f64;
                let sent: f64 = p.sent.iter().map(|s| s.1).sum();
                if sent > terms.overload_multiple * can && !p.over {
                    p.over = true;
                    v.breaks(
                        4,
                        format!("{} was sent {:.1} times what it could do", l.of, sent / can),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Rule 5: orders to load within the ration, for each router.
fn ration(lines: &[Line], kept: &Kept, terms: &Terms, v: &mut Verdict) {
    if terms.ration_window_us <= 0 {
        return;
    }
    #[derive(Default)]
    struct Router {
        taken: VecDeque<i64>,
        ordered: VecDeque<i64>,
    }
    let mut routers: HashMap<&str, Router> = HashMap::new();
    for l in lines {
        match l.what.as_str() {
            // A fresh process knows nothing of what the one before ordered or took.
            "router-up" => {
                routers.remove(l.text("address"));
            }
            "delivered" => routers
                .entry(l.text("to"))
                .or_default()
                .taken
                .push_back(kept.seen(l.text("to"), l.t)),
            "ordered" if held_since(l, kept).is_some() => {}
            "ordered" => {
                let r = routers.entry(l.text("from")).or_default();
                r.ordered.push_back(l.t);
                // At the edge of the window an order counts a little less long, an invocation a little longer.
                let (window, apart) = (terms.ration_window_us, APART_US + terms.leeway_us);
                while r.ordered.front().is_some_and(|t| l.t - t > window - apart) {
                    r.ordered.pop_front();
                }
                while r.taken.front().is_some_and(|t| l.t - t > window + apart) {
                    r.taken.pop_front();
                }
                let most = terms.ration_few + terms.ration_part * r.taken.len() as f64;
                if r.ordered.len() as f64 > most {
                    let n = r.ordered.len();
                    v.breaks(
                        5,
                        format!(
                            "{} gave {n} orders where {most:.1} are allowed",
                            l.text("from")
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}
