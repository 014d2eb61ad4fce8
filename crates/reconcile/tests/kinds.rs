//! Each kind of drift and each rule by itself: one router, one or two workers, and words as they may come.

use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_reconcile::polling::PollerRank;
use cedarpulley_reconcile::*;

const S: Micros = 1_000_000;
const KEPT: Micros = 30 * S;

fn arc(text: &str) -> Arc<str> {
    Arc::from(text)
}

struct Desk {
    it: Reconciler,
    now: Micros,
    out: Vec<Output>,
}

impl Desk {
    fn new() -> Desk {
        let (every, grace) = (2 * S, 5 * S);
        let terms = Terms {
            me: arc("r0"),
            every,
            grace,
            kept: KEPT,
            asks_per_s: 50.0,
            repairs_per_s: 10.0,
            seed: 3,
        };
        let mut desk = Desk {
            it: Reconciler::new(0, terms),
            now: 0,
            out: Vec::new(),
        };
        let seat = |w: &str| Seat {
            worker: arc(w),
            id: arc(&format!("{w}-1")),
            memory_mb: 1000.0,
        };
        desk.tell(Input::Workers(vec![seat("w"), seat("v")]));
        desk.pass(S);
        desk
    }

    fn tell(&mut self, input: Input) {
        self.it.handle(self.now, input, &mut self.out);
    }

    /// Time goes by, and what falls due is done.
    fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while self.it.next_due() <= until {
            self.now = self.now.max(self.it.next_due());
            self.tell(Input::Tick);
        }
        self.now = until;
    }

    fn believes(&mut self, function: &str, change: Change) {
        self.tell(Input::Believes {
            worker: "w",
            function,
            change,
        });
    }

    /// An order ended well a while ago.
    fn loaded(&mut self, function: &str) {
        self.believes(function, Change::Ordered);
        self.believes(
            function,
            Change::OrderEnded {
                stands: Some(true),
                copies: Some(1),
            },
        );
        self.pass(S);
    }

    fn used(&mut self, function: &str) {
        self.ran(function, true);
    }

    fn ran(&mut self, function: &str, found: bool) {
        self.believes(function, Change::Sent);
        self.believes(
            function,
            Change::Ended {
                stands: Some(true),
                found,
                copy_mb: 10.0,
            },
        );
        self.pass(S);
    }

    fn answer(&mut self, began: Micros, life: u64, entries: &[Entry]) -> Vec<Output> {
        self.out.clear();
        let observation = Observation {
            life: Some(life),
            entries: entries.to_vec(),
            cut: false,
        };
        self.tell(Input::Said {
            worker: "w",
            began,
            observation,
        });
        self.out
            .drain(..)
            .filter(|o| !matches!(o, Output::Ask { .. }))
            .collect()
    }

    /// Asked now, answered a little later.
    fn says(&mut self, entries: &[Entry]) -> Vec<Output> {
        let began = self.now;
        self.pass(10_000);
        let out = self.answer(began, 1, entries);
        self.pass(S);
        out
    }
}

fn held(function: &str, copies: u32) -> Output {
    Output::Held {
        worker: arc("w"),
        function: arc(function),
        copies,
    }
}

fn found(kind: Kind, cause: Cause, function: &str) -> Output {
    let function = (!function.is_empty()).then(|| arc(function));
    Output::Found(Drift {
        kind,
        cause,
        worker: arc("w"),
        function,
    })
}

fn one(function: &str) -> Entry {
    Entry::plain(function, 1)
}

#[test]
fn a_phantom_is_told_by_its_cause_and_loaded_again_under_load_only() {
    let mut d = Desk::new();
    d.used("busy");
    d.used("busy");
    d.used("other");
    d.loaded("idle");
    assert_eq!(d.says(&[one("busy"), one("idle"), one("other")]), []);
    let evicted = d.says(&[one("idle"), one("other")]);
    assert_eq!(
        evicted,
        [
            held("busy", 0),
            found(Kind::Phantom, Cause::Evicted, "busy")
        ]
    );
    d.pass(S);
    assert!(
        d.out.contains(&Output::Want {
            worker: arc("w"),
            function: arc("busy")
        }),
        "{:?}",
        d.out
    );
    let lost = d.says(&[one("other")]);
    assert_eq!(
        lost,
        [
            held("idle", 0),
            found(Kind::Phantom, Cause::LostLoad, "idle")
        ]
    );
    d.ran("busy", false);
    let flushed = d.says(&[]);
    let cause = |o: &&Output| **o == found(Kind::Phantom, Cause::Flushed, "busy");
    assert!(flushed.iter().any(|o| cause(&o)), "{flushed:?}");
    assert!(!d.it.believes_in("w", "idle") && d.it.counts.wanted >= 1);
    // Nothing is found twice.
    assert_eq!(d.says(&[]), []);
}

#[test]
fn what_this_router_used_lately_is_known_as_long_as_the_use_alone_is_believed() {
    let mut d = Desk::new();
    let lately = |d: &Desk, f: &str| d.it.used_lately(d.now, "w", f);
    d.used("a");
    d.loaded("b");
    d.says(&[one("a"), one("b"), one("c")]);
    // Of the others only words are known.
    assert_eq!(["a", "b", "c"].map(|f| lately(&d, f)), [true, false, false]);
    assert!(d.it.believes_in("w", "b") && d.it.believes_in("w", "c"));
    d.used("b");
    d.says(&[one("a")]);
    assert_eq!(["a", "b"].map(|f| lately(&d, f)), [true, false]);
    // A worker's word renews the belief, not the use.
    d.pass(KEPT - 8 * S);
    d.says(&[one("a")]);
    d.pass(8 * S);
    assert!(d.it.believes_in("w", "a") && !lately(&d, "a"));
}

#[test]
fn what_stands_and_is_not_believed_is_taken_up_and_kept() {
    let mut d = Desk::new();
    let by = |who: &str| Entry {
        ordered_by: Some(arc(who)),
        ..one("b")
    };
    assert_eq!(
        d.says(&[one("a")]),
        [held("a", 1), found(Kind::Unseen, Cause::LoadedOnMiss, "a")]
    );
    assert!(
        !d.out.contains(&Output::Ask { worker: arc("w") }),
        "what others load makes no haste"
    );
    assert_eq!(
        d.says(&[one("a"), by("r1")])[1],
        found(Kind::Unseen, Cause::LoadedElsewhere, "b")
    );
    d.pass(KEPT - 10 * S);
    // Renewed before the module stops believing, and no drift.
    assert_eq!(d.says(&[one("a"), by("r1")]), [held("a", 1), held("b", 1)]);
    // One that will be evicted for idleness soon is left to run out.
    let idle = Entry {
        idle: Some(KEPT - S),
        ..one("c")
    };
    assert_eq!(d.says(&[one("a"), by("r1"), idle]), []);
}

#[test]
fn copies_miscounted() {
    let mut d = Desk::new();
    d.loaded("a");
    let many = Entry::plain("a", 3);
    assert_eq!(
        d.says(&[many]),
        [
            held("a", 3),
            found(Kind::Miscounted, Cause::PartlyEvicted, "a")
        ]
    );
    assert_eq!(d.says(&[one("a")]).len(), 2);
    assert_eq!(d.says(&[one("a")]), []);
}

#[test]
fn a_lost_prefix_lets_its_session_go() {
    let mut d = Desk::new();
    d.used("a");
    for (id, over) in [("s1", false), ("s2", false), ("s3", false), ("s3", true)] {
        d.believes("a", Change::Session { id: arc(id), over });
    }
    d.pass(S);
    let with = |ids: &[&str]| Entry {
        sequences: Some(ids.iter().map(|i| arc(i)).collect()),
        ..one("a")
    };
    // A worker that says nothing of sessions proves nothing; one that ended is not missed.
    assert_eq!(d.says(&[one("a")]), []);
    assert_eq!(d.says(&[with(&["s1", "s2"])]), []);
    let lost = |ids: &[&str]| {
        let sessions = ids.iter().map(|i| arc(i)).collect();
        Output::PrefixLost {
            worker: arc("w"),
            function: arc("a"),
            sessions,
        }
    };
    assert_eq!(
        d.says(&[with(&["s2"])]),
        [lost(&["s1"]), found(Kind::PrefixLost, Cause::Evicted, "a")]
    );
    // One that began after the ask did is not missed.
    let began = d.now;
    d.pass(S);
    d.believes(
        "a",
        Change::Session {
            id: arc("s4"),
            over: false,
        },
    );
    assert_eq!(d.answer(began, 1, &[with(&["s2"])]), []);
    d.pass(S);
    assert!(d.says(&[]).contains(&lost(&["s2", "s4"])), "with its copy");
}

#[test]
fn another_process_takes_all_belief_with_it_and_the_old_one_is_void() {
    let mut d = Desk::new();
    d.used("a");
    d.used("b");
    assert_eq!(d.says(&[one("a"), one("b")]), []);
    let began = d.now;
    d.pass(S);
    let again = d.answer(began, 2, &[one("b")]);
    assert_eq!(
        again,
        [
            found(Kind::OtherIncarnation, Cause::Restarted, ""),
            held("a", 0)
        ]
    );
    // Of the earlier process: even one that left later.
    let late = d.answer(began + 1, 1, &[one("a")]);
    assert_eq!((late, d.it.counts.void_of_earlier_process), (vec![], 1));
    assert!(!d.it.believes_in("w", "a") && d.it.believes_in("w", "b"));
    // Told by the list, it is asked in haste, and nothing is believed.
    let seat = |w: &str, n: u32| Seat {
        worker: arc(w),
        id: arc(&format!("{w}-{n}")),
        memory_mb: 0.0,
    };
    d.tell(Input::Workers(vec![seat("w", 2), seat("v", 1)]));
    d.out.clear();
    assert!(!d.it.believes_in("w", "b"));
    d.pass(S / 4);
    assert!(d.out.contains(&Output::Ask { worker: arc("w") }));
    d.used("c");
    d.answer(d.now, 2, &[one("c"), one("z")]);
    assert!(
        !d.it.believes_in("w", "z"),
        "the list said that this process is gone"
    );
}

#[test]
fn what_began_before_the_last_change_overturns_nothing() {
    let mut d = Desk::new();
    let began = d.now;
    d.pass(S);
    d.loaded("a");
    assert_eq!(d.answer(began, 1, &[]), []);
    assert!(d.it.believes_in("w", "a") && d.it.counts.left_belief_newer == 1);
    // Nor does one that is older than what was taken already.
    assert_eq!(d.says(&[one("a"), one("b")]).len(), 2);
    assert_eq!(
        (d.answer(began, 1, &[]), d.it.counts.void_older),
        (vec![], 1)
    );
}

#[test]
fn what_is_loading_is_left_alone() {
    let mut d = Desk::new();
    d.used("a");
    d.used("b");
    d.used("c");
    d.believes("a", Change::Ordered);
    d.pass(S);
    // Nor is it taken up before its load has ended, though another copy stands there.
    d.believes("d", Change::Ordered);
    d.pass(S);
    let loading = Entry {
        loading: true,
        copies: 0,
        ..one("b")
    };
    assert_eq!(
        d.answer(d.now - 2, 1, &[one("a"), one("b"), one("c"), one("d")]),
        []
    );
    d.pass(S);
    let said = d.answer(d.now - 1, 1, std::slice::from_ref(&loading));
    assert_eq!(
        said,
        [held("c", 0), found(Kind::Phantom, Cause::Evicted, "c")]
    );
    assert_eq!(d.it.counts.left_under_load, 4);
    // What was to be loaded again and is being loaded by now is not asked for.
    d.believes("c", Change::Sent);
    d.pass(5 * S);
    assert_eq!(d.it.counts.wanted, 0);
    d.believes(
        "c",
        Change::Ended {
            stands: None,
            found: false,
            copy_mb: 0.0,
        },
    );
    d.believes(
        "a",
        Change::OrderEnded {
            stands: Some(true),
            copies: Some(1),
        },
    );
    d.pass(S);
    assert_eq!(d.says(&[loading])[0], held("a", 0));
}

#[test]
fn who_contradicts_itself_is_believed_once_it_says_it_twice() {
    let mut d = Desk::new();
    d.loaded("a");
    d.loaded("b");
    let two = [one("a"), Entry::plain("a", 2), one("b")];
    assert_eq!((d.says(&two), d.it.counts.contradictions), (vec![], 1));
    assert_eq!((d.says(&[one("a")]), d.it.counts.left_doubted), (vec![], 1));
    assert_eq!(d.says(&[one("a"), one("b")]), [], "it did not mean it");
    // As often as it is sound its doubt falls: by now its word counts again.
    assert_eq!(d.says(&[one("a")]).len(), 2);
    // An invocation that finds what was said to be gone refutes the worker.
    d.used("b");
    assert_eq!((d.it.counts.refuted, d.says(&[one("a")])), (1, vec![]));
    assert_eq!(d.says(&[one("a")]).len(), 2, "said twice in a row");
    // More than its memory.
    d.used("a");
    let large = Entry::plain("a", 400);
    assert_eq!(d.says(std::slice::from_ref(&large)), []);
    assert_eq!(d.says(&[large]).len(), 2);
}

#[test]
fn an_earlier_process_is_back_once_it_was_said_twice() {
    let mut d = Desk::new();
    d.used("a");
    let mut say = |life, what: &[Entry]| {
        d.pass(S);
        d.answer(d.now, life, what).len()
    };
    assert_eq!(
        [say(1, &[one("a")]), say(7, &[]), say(1, &[one("a")])],
        [0, 2, 0]
    );
    assert_eq!(say(1, &[one("a")]), 1, "said twice: another process");
    assert_eq!(say(1, &[one("a")]), 2, "and by now what it holds, too");
}

fn at_orphans(claims: Claims) -> Desk {
    let mut d = Desk::new();
    d.tell(Input::Members(["r0", "r1", "r2"].map(arc).to_vec()));
    // Whatever the hash says: it is first for this worker.
    d.tell(Input::Members(vec![arc("r0")]));
    d.tell(Input::Claims(claims));
    d
}

fn orphan(function: &str, by: &str, term: Option<&str>) -> Entry {
    let (ordered_by, term) = (Some(arc(by)), term.map(arc));
    Entry {
        ordered_by,
        term,
        busy: Some(0),
        idle: Some(2 * KEPT),
        ..one(function)
    }
}

#[test]
fn what_nobody_claims_is_unloaded_after_a_grace() {
    let claims = Claims {
        terms: [arc("7.1")].into(),
        functions: [arc("wanted")].into(),
        retired: [arc("old")].into(),
    };
    // Its owner comes back later, and this router stays the first all the same.
    let back = (0..99)
        .map(|n| format!("x{n}"))
        .find(|x| PollerRank::of("w-1", "r0", &[arc("r0"), arc(x)]).is_first());
    let back = back.expect("one that goes after it");
    let mut d = at_orphans(claims);
    let said = [
        orphan("gone", &back, None),
        orphan("ended", "r0", Some("6.0")),
        orphan("old", "r0", None),
        orphan("wanted", "r1", None),
        orphan("planned", "r1", Some("7.1")),
        orphan("mine", "r0", None),
        Entry {
            busy: Some(1),
            ..orphan("busy", "r1", None)
        },
        Entry {
            idle: Some(S),
            ..orphan("lately", "r1", None)
        },
    ];
    let kinds = [
        found(Kind::Orphan, Cause::PlanEnded, "ended"),
        found(Kind::Orphan, Cause::RouterGone, "gone"),
        found(Kind::Orphan, Cause::RouterGone, "lately"),
        found(Kind::OlderVersion, Cause::LostUnload, "old"),
    ];
    assert_eq!(d.says(&said), kinds);
    let unloads = |d: &mut Desk| {
        let mut all = Vec::new();
        for o in d.out.drain(..) {
            if let Output::Unload { function, .. } = o {
                all.push(function.to_string());
            }
        }
        all.sort();
        all
    };
    d.pass(3 * S);
    assert_eq!(
        (d.says(&said), unloads(&mut d)),
        (vec![], vec![]),
        "within the grace"
    );
    d.pass(5 * S);
    d.says(&said);
    d.pass(3 * S);
    assert_eq!(unloads(&mut d), ["ended", "gone", "old"]);
    // The order was lost: found again, and unloaded again after another grace.
    assert_eq!(d.says(&said).len(), 3);
    d.pass(6 * S);
    d.answer(d.now - 1, 1, &said);
    // Meanwhile its owner came back, a plan lays claim, an invocation uses it.
    d.tell(Input::Members(vec![arc("r0"), arc(&back)]));
    d.tell(Input::Claims(Claims {
        terms: [arc("6.0")].into(),
        ..Claims::default()
    }));
    assert_eq!(d.it.repairs_waiting(), 3);
    d.pass(3 * S);
    assert_eq!(d.it.repairs_waiting(), 0);
    assert_eq!(unloads(&mut d), Vec::<String>::new());
}

#[test]
fn who_is_no_longer_first_leaves_a_repair_to_another() {
    let other = (0..99)
        .map(|n| format!("x{n}"))
        .find(|x| PollerRank::of("w-1", "r0", &[arc("r0"), arc(x)]).position() == 1);
    let other = other.expect("one that goes before it");
    let mut d = at_orphans(Claims::default());
    d.says(&[orphan("gone", "r1", None)]);
    d.pass(6 * S);
    d.answer(d.now - 1, 1, &[orphan("gone", "r1", None)]);
    assert_eq!(d.it.repairs_waiting(), 1);
    d.tell(Input::Members(vec![arc("r0"), arc(&other)]));
    d.pass(S);
    assert_eq!((d.it.repairs_waiting(), d.it.counts.unloaded), (0, 0));
}

#[test]
fn only_the_one_that_asks_a_worker_repairs_there_and_from_its_own_word() {
    let members: Vec<Arc<str>> = (0..9).map(|n| arc(&format!("r{n}"))).collect();
    let (mut unloads, mut asks) = (0, 0);
    for m in &members {
        let mut d = Desk::new();
        let terms = Terms {
            me: m.clone(),
            every: 2 * S,
            grace: 0,
            kept: 1,
            asks_per_s: 50.0,
            repairs_per_s: 10.0,
            seed: 3,
        };
        d.it = Reconciler::new(0, terms);
        d.tell(Input::Members(members.clone()));
        d.tell(Input::Workers(vec![Seat {
            worker: arc("w"),
            id: arc("w-1"),
            memory_mb: 0.0,
        }]));
        let said = [Entry {
            idle: Some(KEPT),
            ..orphan("gone", "x", None)
        }];
        // All ask at once, as after a change of view.
        let out = (d.says(&said), d.says(&said)).0;
        let note = out.iter().find_map(|o| match o {
            Output::Note { id, version, value } => Some((id.clone(), *version, value.clone())),
            _ => None,
        });
        let (id, version, value) = note.expect("each shares what it heard");
        d.pass(3 * S);
        let unloaded = d.it.counts.unloaded;
        unloads += u64::from(unloaded > 0);
        asks += u64::from(d.it.counts.asks > 0);
        d.tell(Input::Noted {
            id: &id,
            version: (0, version.1 + 9),
            transit: 0,
            value: &value,
        });
        d.pass(S);
        assert_eq!(d.it.counts.unloaded, unloaded, "a note repairs nothing");
    }
    assert_eq!((unloads, asks), (1, 1));
}

#[test]
fn a_note_is_as_old_as_it_may_have_been_under_way() {
    let mut other = Desk::new();
    other.tell(Input::Members(["r0", "r1"].map(arc).to_vec()));
    let Some(Output::Note { id, value, .. }) = other.says(&[one("b")]).into_iter().next() else {
        panic!()
    };
    let mut d = Desk::new();
    d.loaded("a");
    let mut note = |version, transit, value: &[u8]| {
        d.out.clear();
        d.tell(Input::Noted {
            id: &id,
            version: (0, version),
            transit,
            value,
        });
        d.out
            .iter()
            .filter(|o| matches!(o, Output::Held { .. }))
            .count()
    };
    assert_eq!(
        note(1, 5 * S, &value),
        1,
        "of what changed since nothing is said"
    );
    assert_eq!(note(2, S / 2, &value), 1, "gone since");
    assert_eq!([note(2, 0, &value), note(3, 0, &[9, 9, 9])], [0, 0]);
    let c = d.it.counts;
    assert_eq!(
        (
            c.notes,
            c.notes_old,
            c.notes_unreadable,
            c.left_belief_newer
        ),
        (4, 1, 1, 1)
    );
}

#[test]
fn after_a_flush_of_everything_loads_come_one_by_one_the_busiest_first() {
    let mut d = Desk::new();
    for n in 0..40 {
        let function = format!("f{n}");
        for _ in 0..=n % 8 {
            d.believes(&function, Change::Sent);
            d.believes(
                &function,
                Change::Ended {
                    stands: Some(true),
                    found: true,
                    copy_mb: 1.0,
                },
            );
        }
    }
    d.pass(S);
    assert_eq!(
        d.says(&[])
            .iter()
            .filter(|o| matches!(o, Output::Held { copies: 0, .. }))
            .count(),
        40
    );
    let wanted = |d: &Desk| {
        d.out
            .iter()
            .filter(|o| matches!(o, Output::Want { .. }))
            .count()
    };
    assert!(
        (6..=20).contains(&wanted(&d)),
        "ten a second, spread by chance: {}",
        wanted(&d)
    );
    let first = d.out.iter().find_map(|o| match o {
        Output::Want { function, .. } => Some(function.to_string()),
        _ => None,
    });
    assert_eq!(
        first.map(|f| f[1..].parse::<u32>().expect("a number") % 8),
        Some(7)
    );
    d.pass(20 * S);
    assert!(d.it.counts.wanted <= 40 && d.it.repairs_waiting() == 0);
}

#[test]
fn who_is_silent_is_asked_rarely_and_the_next_in_line_takes_over() {
    let mut d = Desk::new();
    d.tell(Input::Silent { worker: "w" });
    d.out.clear();
    d.pass(6 * S);
    assert!(!d.out.contains(&Output::Ask { worker: arc("w") }));
    d.pass(3 * S);
    assert!(d.out.contains(&Output::Ask { worker: arc("w") }));
    // Of three, each has a rank of its own; whoever hears nothing asks in turn.
    let members = ["r0", "r1", "r2"].map(arc);
    let mut at = Vec::new();
    for me in &members {
        let mut d = Desk::new();
        let terms = Terms {
            me: me.clone(),
            every: 2 * S,
            grace: S,
            kept: S,
            asks_per_s: 5.0,
            repairs_per_s: 1.0,
            seed: 1,
        };
        d.it = Reconciler::new(0, terms);
        d.tell(Input::Members(members.to_vec()));
        d.tell(Input::Workers(vec![Seat {
            worker: arc("w"),
            id: arc("w-1"),
            memory_mb: 0.0,
        }]));
        d.out.clear();
        let began = d.now;
        while !d.out.contains(&Output::Ask { worker: arc("w") }) {
            d.pass(S);
        }
        at.push((d.now - began) / (24 * S));
    }
    at.sort();
    assert_eq!(at, [0, 1, 2]);
}
