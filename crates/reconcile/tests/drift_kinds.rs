//! Each kind of drift and each rule by itself: one router, one or two workers, and reports as they may come.

use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_reconcile::polling::PollerRank;
use cedarpulley_reconcile::*;

const S: Micros = 1_000_000;
const KEPT: Micros = 30 * S;

fn arc(text: &str) -> Arc<str> {
    Arc::from(text)
}

struct TestRouter {
    reconciler: Reconciler,
    now: Micros,
    out: Vec<Output>,
}

impl TestRouter {
    fn new() -> TestRouter {
        let (poll_interval, grace_period) = (2 * S, 5 * S);
        let terms = ReconcilerSettings {
            router_name: arc("r0"),
            poll_interval,
            grace_period,
            belief_lifetime: KEPT,
            polls_per_s: 50.0,
            repairs_per_s: 10.0,
            seed: 3,
        };
        let mut router = TestRouter {
            reconciler: Reconciler::new(0, terms),
            now: 0,
            out: Vec::new(),
        };
        let seat = |w: &str| PolledWorker {
            worker: arc(w),
            id: arc(&format!("{w}-1")),
            memory_mb: 1000.0,
        };
        router.tell(Input::Workers(vec![seat("w"), seat("v")]));
        router.pass(S);
        router
    }

    fn tell(&mut self, input: Input) {
        self.reconciler.handle(self.now, input, &mut self.out);
    }

    /// Time goes by, and what falls due is done.
    fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while self.reconciler.next_due() <= until {
            self.now = self.now.max(self.reconciler.next_due());
            self.tell(Input::Tick);
        }
        self.now = until;
    }

    fn believes(&mut self, function: &str, change: Change) {
        self.tell(Input::BeliefChanged {
            worker: "w",
            function,
            change,
        });
    }

    /// An order ended well a while ago.
    fn loaded(&mut self, function: &str) {
        self.believes(function, Change::LoadOrdered);
        self.believes(
            function,
            Change::LoadOrderEnded {
                present: Some(true),
                copies: Some(1),
            },
        );
        self.pass(S);
    }

    fn used(&mut self, function: &str) {
        self.ran(function, true);
    }

    fn ran(&mut self, function: &str, was_present: bool) {
        self.believes(function, Change::Dispatched);
        self.believes(
            function,
            Change::DispatchEnded {
                present: Some(true),
                was_present,
                copy_mb: 10.0,
            },
        );
        self.pass(S);
    }

    fn answer(&mut self, began: Micros, life: u64, entries: &[FunctionReport]) -> Vec<Output> {
        self.out.clear();
        let observation = Observation {
            incarnation: Some(life),
            entries: entries.to_vec(),
            truncated: false,
        };
        self.tell(Input::Reported {
            worker: "w",
            began,
            observation,
        });
        self.out
            .drain(..)
            .filter(|o| !matches!(o, Output::Poll { .. }))
            .collect()
    }

    /// Asked now, answered a little later.
    fn says(&mut self, entries: &[FunctionReport]) -> Vec<Output> {
        let began = self.now;
        self.pass(10_000);
        let out = self.answer(began, 1, entries);
        self.pass(S);
        out
    }
}

fn held(function: &str, copies: u32) -> Output {
    Output::CorrectCopies {
        worker: arc("w"),
        function: arc(function),
        copies,
    }
}

fn found(kind: DriftKind, cause: DriftCause, function: &str) -> Output {
    let function = (!function.is_empty()).then(|| arc(function));
    Output::DriftFound(Drift {
        kind,
        cause,
        worker: arc("w"),
        function,
    })
}

fn one(function: &str) -> FunctionReport {
    FunctionReport::with_copies(function, 1)
}

#[test]
fn a_phantom_is_reported_with_its_cause_and_loaded_again_only_under_load() {
    let mut router = TestRouter::new();
    router.used("busy");
    router.used("busy");
    router.used("other");
    router.loaded("idle");
    assert_eq!(router.says(&[one("busy"), one("idle"), one("other")]), []);
    let evicted = router.says(&[one("idle"), one("other")]);
    assert_eq!(
        evicted,
        [
            held("busy", 0),
            found(DriftKind::Phantom, DriftCause::Evicted, "busy")
        ]
    );
    router.pass(S);
    assert!(
        router.out.contains(&Output::Load {
            worker: arc("w"),
            function: arc("busy")
        }),
        "{:?}",
        router.out
    );
    let lost = router.says(&[one("other")]);
    assert_eq!(
        lost,
        [
            held("idle", 0),
            found(DriftKind::Phantom, DriftCause::LostLoad, "idle")
        ]
    );
    router.ran("busy", false);
    let flushed = router.says(&[]);
    let cause = |o: &&Output| **o == found(DriftKind::Phantom, DriftCause::Flushed, "busy");
    assert!(flushed.iter().any(|o| cause(&o)), "{flushed:?}");
    assert!(
        !router.reconciler.is_recorded_warm("w", "idle") && router.reconciler.counts.wanted >= 1
    );
    // Nothing is found twice.
    assert_eq!(router.says(&[]), []);
}

#[test]
fn a_recent_use_is_known_for_the_lifetime_of_a_belief() {
    let mut router = TestRouter::new();
    let lately = |router: &TestRouter, f: &str| router.reconciler.used_recently(router.now, "w", f);
    router.used("a");
    router.loaded("b");
    router.says(&[one("a"), one("b"), one("c")]);
    // Of the others only words are known.
    assert_eq!(
        ["a", "b", "c"].map(|f| lately(&router, f)),
        [true, false, false]
    );
    assert!(
        router.reconciler.is_recorded_warm("w", "b")
            && router.reconciler.is_recorded_warm("w", "c")
    );
    router.used("b");
    router.says(&[one("a")]);
    assert_eq!(["a", "b"].map(|f| lately(&router, f)), [true, false]);
    // A worker's word renews the belief, not the use.
    router.pass(KEPT - 8 * S);
    router.says(&[one("a")]);
    router.pass(8 * S);
    assert!(router.reconciler.is_recorded_warm("w", "a") && !lately(&router, "a"));
}

#[test]
fn an_unseen_copy_is_believed_and_renewed() {
    let mut router = TestRouter::new();
    let by = |who: &str| FunctionReport {
        ordered_by: Some(arc(who)),
        ..one("b")
    };
    assert_eq!(
        router.says(&[one("a")]),
        [
            held("a", 1),
            found(DriftKind::Unseen, DriftCause::LoadedOnMiss, "a")
        ]
    );
    assert!(
        !router.out.contains(&Output::Poll { worker: arc("w") }),
        "what others load makes no haste"
    );
    assert_eq!(
        router.says(&[one("a"), by("r1")])[1],
        found(DriftKind::Unseen, DriftCause::LoadedElsewhere, "b")
    );
    router.pass(KEPT - 10 * S);
    // Renewed before the module stops believing, and no drift.
    assert_eq!(
        router.says(&[one("a"), by("r1")]),
        [held("a", 1), held("b", 1)]
    );
    // One that will be evicted for idleness soon is left to run out.
    let idle = FunctionReport {
        idle: Some(KEPT - S),
        ..one("c")
    };
    assert_eq!(router.says(&[one("a"), by("r1"), idle]), []);
}

#[test]
fn a_miscount_of_copies_is_corrected() {
    let mut router = TestRouter::new();
    router.loaded("a");
    let many = FunctionReport::with_copies("a", 3);
    assert_eq!(
        router.says(&[many]),
        [
            held("a", 3),
            found(DriftKind::Miscounted, DriftCause::PartlyEvicted, "a")
        ]
    );
    assert_eq!(router.says(&[one("a")]).len(), 2);
    assert_eq!(router.says(&[one("a")]), []);
}

#[test]
fn a_lost_prefix_releases_its_session() {
    let mut router = TestRouter::new();
    router.used("a");
    for (id, is_last) in [("s1", false), ("s2", false), ("s3", false), ("s3", true)] {
        router.believes(
            "a",
            Change::SessionUsed {
                id: arc(id),
                is_last,
            },
        );
    }
    router.pass(S);
    let with = |ids: &[&str]| FunctionReport {
        sessions: Some(ids.iter().map(|i| arc(i)).collect()),
        ..one("a")
    };
    // A worker that says nothing of sessions proves nothing; one that ended is not missed.
    assert_eq!(router.says(&[one("a")]), []);
    assert_eq!(router.says(&[with(&["s1", "s2"])]), []);
    let lost = |ids: &[&str]| {
        let sessions = ids.iter().map(|i| arc(i)).collect();
        Output::PrefixLost {
            worker: arc("w"),
            function: arc("a"),
            sessions,
        }
    };
    assert_eq!(
        router.says(&[with(&["s2"])]),
        [
            lost(&["s1"]),
            found(DriftKind::PrefixLost, DriftCause::Evicted, "a")
        ]
    );
    // One that began after the ask did is not missed.
    let began = router.now;
    router.pass(S);
    router.believes(
        "a",
        Change::SessionUsed {
            id: arc("s4"),
            is_last: false,
        },
    );
    assert_eq!(router.answer(began, 1, &[with(&["s2"])]), []);
    router.pass(S);
    assert!(
        router.says(&[]).contains(&lost(&["s2", "s4"])),
        "with its copy"
    );
}

#[test]
fn a_new_incarnation_voids_all_belief_and_reports_of_the_old_one() {
    let mut router = TestRouter::new();
    router.used("a");
    router.used("b");
    assert_eq!(router.says(&[one("a"), one("b")]), []);
    let began = router.now;
    router.pass(S);
    let again = router.answer(began, 2, &[one("b")]);
    assert_eq!(
        again,
        [
            found(DriftKind::OtherIncarnation, DriftCause::Restarted, ""),
            held("a", 0)
        ]
    );
    // Of the earlier process: even one that left later.
    let late = router.answer(began + 1, 1, &[one("a")]);
    assert_eq!(
        (late, router.reconciler.counts.void_of_earlier_process),
        (vec![], 1)
    );
    assert!(
        !router.reconciler.is_recorded_warm("w", "a")
            && router.reconciler.is_recorded_warm("w", "b")
    );
    // Told by the list, it is asked in haste, and nothing is believed.
    let seat = |w: &str, n: u32| PolledWorker {
        worker: arc(w),
        id: arc(&format!("{w}-{n}")),
        memory_mb: 0.0,
    };
    router.tell(Input::Workers(vec![seat("w", 2), seat("v", 1)]));
    router.out.clear();
    assert!(!router.reconciler.is_recorded_warm("w", "b"));
    router.pass(S / 4);
    assert!(router.out.contains(&Output::Poll { worker: arc("w") }));
    router.used("c");
    router.answer(router.now, 2, &[one("c"), one("z")]);
    assert!(
        !router.reconciler.is_recorded_warm("w", "z"),
        "the list said that this process is gone"
    );
}

#[test]
fn a_report_older_than_the_last_change_corrects_nothing() {
    let mut router = TestRouter::new();
    let began = router.now;
    router.pass(S);
    router.loaded("a");
    assert_eq!(router.answer(began, 1, &[]), []);
    assert!(
        router.reconciler.is_recorded_warm("w", "a")
            && router.reconciler.counts.left_belief_newer == 1
    );
    // Nor does one that is older than what was taken already.
    assert_eq!(router.says(&[one("a"), one("b")]).len(), 2);
    assert_eq!(
        (
            router.answer(began, 1, &[]),
            router.reconciler.counts.void_older
        ),
        (vec![], 1)
    );
}

#[test]
fn a_function_that_is_loading_is_left_alone() {
    let mut router = TestRouter::new();
    router.used("a");
    router.used("b");
    router.used("c");
    router.believes("a", Change::LoadOrdered);
    router.pass(S);
    // Nor is it taken up before its load has ended, though another copy stands there.
    router.believes("d", Change::LoadOrdered);
    router.pass(S);
    let loading = FunctionReport {
        loading: true,
        copies: 0,
        ..one("b")
    };
    assert_eq!(
        router.answer(router.now - 2, 1, &[one("a"), one("b"), one("c"), one("d")]),
        []
    );
    router.pass(S);
    let said = router.answer(router.now - 1, 1, std::slice::from_ref(&loading));
    assert_eq!(
        said,
        [
            held("c", 0),
            found(DriftKind::Phantom, DriftCause::Evicted, "c")
        ]
    );
    assert_eq!(router.reconciler.counts.left_under_load, 4);
    // What was to be loaded again and is being loaded by now is not asked for.
    router.believes("c", Change::Dispatched);
    router.pass(5 * S);
    assert_eq!(router.reconciler.counts.wanted, 0);
    router.believes(
        "c",
        Change::DispatchEnded {
            present: None,
            was_present: false,
            copy_mb: 0.0,
        },
    );
    router.believes(
        "a",
        Change::LoadOrderEnded {
            present: Some(true),
            copies: Some(1),
        },
    );
    router.pass(S);
    assert_eq!(router.says(&[loading])[0], held("a", 0));
}

#[test]
fn a_doubted_worker_is_believed_after_two_equal_reports() {
    let mut router = TestRouter::new();
    router.loaded("a");
    router.loaded("b");
    let two = [one("a"), FunctionReport::with_copies("a", 2), one("b")];
    assert_eq!(
        (router.says(&two), router.reconciler.counts.contradictions),
        (vec![], 1)
    );
    assert_eq!(
        (
            router.says(&[one("a")]),
            router.reconciler.counts.left_doubted
        ),
        (vec![], 1)
    );
    assert_eq!(router.says(&[one("a"), one("b")]), [], "it did not mean it");
    // As often as it is sound its doubt falls: by now its word counts again.
    assert_eq!(router.says(&[one("a")]).len(), 2);
    // An invocation that finds what was said to be gone refutes the worker.
    router.used("b");
    assert_eq!(
        (router.reconciler.counts.refuted, router.says(&[one("a")])),
        (1, vec![])
    );
    assert_eq!(router.says(&[one("a")]).len(), 2, "said twice in a row");
    // More than its memory.
    router.used("a");
    let large = FunctionReport::with_copies("a", 400);
    assert_eq!(router.says(std::slice::from_ref(&large)), []);
    assert_eq!(router.says(&[large]).len(), 2);
}

#[test]
fn a_former_incarnation_is_accepted_after_two_reports() {
    let mut router = TestRouter::new();
    router.used("a");
    let mut say = |life, what: &[FunctionReport]| {
        router.pass(S);
        router.answer(router.now, life, what).len()
    };
    assert_eq!(
        [say(1, &[one("a")]), say(7, &[]), say(1, &[one("a")])],
        [0, 2, 0]
    );
    assert_eq!(say(1, &[one("a")]), 1, "said twice: another process");
    assert_eq!(say(1, &[one("a")]), 2, "and by now what it holds, too");
}

fn at_orphans(claims: Claims) -> TestRouter {
    let mut router = TestRouter::new();
    router.tell(Input::Members(["r0", "r1", "r2"].map(arc).to_vec()));
    // Whatever the hash says: it is first for this worker.
    router.tell(Input::Members(vec![arc("r0")]));
    router.tell(Input::Claims(claims));
    router
}

fn orphan(function: &str, by: &str, term: Option<&str>) -> FunctionReport {
    let (ordered_by, term) = (Some(arc(by)), term.map(arc));
    FunctionReport {
        ordered_by,
        term,
        busy: Some(0),
        idle: Some(2 * KEPT),
        ..one(function)
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn an_unclaimed_copy_is_unloaded_after_the_grace_period() {
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
    let mut router = at_orphans(claims);
    let said = [
        orphan("gone", &back, None),
        orphan("ended", "r0", Some("6.0")),
        orphan("old", "r0", None),
        orphan("wanted", "r1", None),
        orphan("planned", "r1", Some("7.1")),
        orphan("mine", "r0", None),
        FunctionReport {
            busy: Some(1),
            ..orphan("busy", "r1", None)
        },
        FunctionReport {
            idle: Some(S),
            ..orphan("lately", "r1", None)
        },
    ];
    let kinds = [
        found(DriftKind::Orphan, DriftCause::PlanEnded, "ended"),
        found(DriftKind::Orphan, DriftCause::RouterGone, "gone"),
        found(DriftKind::Orphan, DriftCause::RouterGone, "lately"),
        found(DriftKind::OlderVersion, DriftCause::LostUnload, "old"),
    ];
    assert_eq!(router.says(&said), kinds);
    let unloads = |router: &mut TestRouter| {
        let mut all = Vec::new();
        for o in router.out.drain(..) {
            if let Output::Unload { function, .. } = o {
                all.push(function.to_string());
            }
        }
        all.sort();
        all
    };
    router.pass(3 * S);
    assert_eq!(
        (router.says(&said), unloads(&mut router)),
        (vec![], vec![]),
        "within the grace"
    );
    router.pass(5 * S);
    router.says(&said);
    router.pass(3 * S);
    assert_eq!(unloads(&mut router), ["ended", "gone", "old"]);
    // The order was lost: found again, and unloaded again after another grace.
    assert_eq!(router.says(&said).len(), 3);
    router.pass(6 * S);
    router.answer(router.now - 1, 1, &said);
    // Meanwhile its owner came back, a plan lays claim, an invocation uses it.
    router.tell(Input::Members(vec![arc("r0"), arc(&back)]));
    router.tell(Input::Claims(Claims {
        terms: [arc("6.0")].into(),
        ..Claims::default()
    }));
    assert_eq!(router.reconciler.queued_repairs(), 3);
    router.pass(3 * S);
    assert_eq!(router.reconciler.queued_repairs(), 0);
    assert_eq!(unloads(&mut router), Vec::<String>::new());
}

#[test]
fn a_router_that_is_no_longer_first_drops_its_repairs() {
    let other = (0..99)
        .map(|n| format!("x{n}"))
        .find(|x| PollerRank::of("w-1", "r0", &[arc("r0"), arc(x)]).position() == 1);
    let other = other.expect("one that goes before it");
    let mut router = at_orphans(Claims::default());
    router.says(&[orphan("gone", "r1", None)]);
    router.pass(6 * S);
    router.answer(router.now - 1, 1, &[orphan("gone", "r1", None)]);
    assert_eq!(router.reconciler.queued_repairs(), 1);
    router.tell(Input::Members(vec![arc("r0"), arc(&other)]));
    router.pass(S);
    assert_eq!(
        (
            router.reconciler.queued_repairs(),
            router.reconciler.counts.unloaded
        ),
        (0, 0)
    );
}

#[test]
fn only_the_first_in_rank_repairs_and_only_from_its_own_poll() {
    let members: Vec<Arc<str>> = (0..9).map(|n| arc(&format!("r{n}"))).collect();
    let (mut unloads, mut asks) = (0, 0);
    for m in &members {
        let mut router = TestRouter::new();
        let terms = ReconcilerSettings {
            router_name: m.clone(),
            poll_interval: 2 * S,
            grace_period: 0,
            belief_lifetime: 1,
            polls_per_s: 50.0,
            repairs_per_s: 10.0,
            seed: 3,
        };
        router.reconciler = Reconciler::new(0, terms);
        router.tell(Input::Members(members.clone()));
        router.tell(Input::Workers(vec![PolledWorker {
            worker: arc("w"),
            id: arc("w-1"),
            memory_mb: 0.0,
        }]));
        let said = [FunctionReport {
            idle: Some(KEPT),
            ..orphan("gone", "x", None)
        }];
        // All ask at once, as after a change of view.
        let out = (router.says(&said), router.says(&said)).0;
        let note = out.iter().find_map(|o| match o {
            Output::SendNote { id, version, value } => Some((id.clone(), *version, value.clone())),
            _ => None,
        });
        let (id, version, value) = note.expect("each shares what it heard");
        router.pass(3 * S);
        let unloaded = router.reconciler.counts.unloaded;
        unloads += u64::from(unloaded > 0);
        asks += u64::from(router.reconciler.counts.asks > 0);
        router.tell(Input::NoteReceived {
            id: &id,
            version: (0, version.1 + 9),
            transit: 0,
            value: &value,
        });
        router.pass(S);
        assert_eq!(
            router.reconciler.counts.unloaded, unloaded,
            "a note repairs nothing"
        );
    }
    assert_eq!((unloads, asks), (1, 1));
}

#[test]
fn a_note_is_dated_by_its_longest_transit() {
    let mut other = TestRouter::new();
    other.tell(Input::Members(["r0", "r1"].map(arc).to_vec()));
    let Some(Output::SendNote { id, value, .. }) = other.says(&[one("b")]).into_iter().next()
    else {
        panic!()
    };
    let mut router = TestRouter::new();
    router.loaded("a");
    let mut note = |version, transit, value: &[u8]| {
        router.out.clear();
        router.tell(Input::NoteReceived {
            id: &id,
            version: (0, version),
            transit,
            value,
        });
        router
            .out
            .iter()
            .filter(|o| matches!(o, Output::CorrectCopies { .. }))
            .count()
    };
    assert_eq!(
        note(1, 5 * S, &value),
        1,
        "of what changed since nothing is said"
    );
    assert_eq!(note(2, S / 2, &value), 1, "gone since");
    assert_eq!([note(2, 0, &value), note(3, 0, &[9, 9, 9])], [0, 0]);
    let c = router.reconciler.counts;
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
fn after_a_flush_loads_are_rate_limited_and_the_busiest_come_first() {
    let mut router = TestRouter::new();
    for n in 0..40 {
        let function = format!("f{n}");
        for _ in 0..=n % 8 {
            router.believes(&function, Change::Dispatched);
            router.believes(
                &function,
                Change::DispatchEnded {
                    present: Some(true),
                    was_present: true,
                    copy_mb: 1.0,
                },
            );
        }
    }
    router.pass(S);
    assert_eq!(
        router
            .says(&[])
            .iter()
            .filter(|o| matches!(o, Output::CorrectCopies { copies: 0, .. }))
            .count(),
        40
    );
    let wanted = |router: &TestRouter| {
        router
            .out
            .iter()
            .filter(|o| matches!(o, Output::Load { .. }))
            .count()
    };
    assert!(
        (6..=20).contains(&wanted(&router)),
        "ten a second, spread by chance: {}",
        wanted(&router)
    );
    let first = router.out.iter().find_map(|o| match o {
        Output::Load { function, .. } => Some(function.to_string()),
        _ => None,
    });
    assert_eq!(
        first.map(|f| f[1..].parse::<u32>().expect("a number") % 8),
        Some(7)
    );
    router.pass(20 * S);
    assert!(router.reconciler.counts.wanted <= 40 && router.reconciler.queued_repairs() == 0);
}

#[test]
fn an_unresponsive_worker_is_polled_rarely_and_the_next_in_rank_takes_over() {
    let mut router = TestRouter::new();
    router.tell(Input::Unresponsive { worker: "w" });
    router.out.clear();
    router.pass(6 * S);
    assert!(!router.out.contains(&Output::Poll { worker: arc("w") }));
    router.pass(3 * S);
    assert!(router.out.contains(&Output::Poll { worker: arc("w") }));
    // Of three, each has a rank of its own; whoever hears nothing asks in turn.
    let members = ["r0", "r1", "r2"].map(arc);
    let mut at = Vec::new();
    for me in &members {
        let mut router = TestRouter::new();
        let terms = ReconcilerSettings {
            router_name: me.clone(),
            poll_interval: 2 * S,
            grace_period: S,
            belief_lifetime: S,
            polls_per_s: 5.0,
            repairs_per_s: 1.0,
            seed: 1,
        };
        router.reconciler = Reconciler::new(0, terms);
        router.tell(Input::Members(members.to_vec()));
        router.tell(Input::Workers(vec![PolledWorker {
            worker: arc("w"),
            id: arc("w-1"),
            memory_mb: 0.0,
        }]));
        router.out.clear();
        let began = router.now;
        while !router.out.contains(&Output::Poll { worker: arc("w") }) {
            router.pass(S);
        }
        at.push((router.now - began) / (24 * S));
    }
    at.sort();
    assert_eq!(at, [0, 1, 2]);
}
