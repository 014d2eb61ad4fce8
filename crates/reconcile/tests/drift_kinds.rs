//! Tests each kind of drift and each rule separately, with one router, one or two workers, and scripted reports.

use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_reconcile::polling::PollerRank;
use cedarpulley_reconcile::*;

/// Microseconds in a second.
const SECOND: Micros = 1_000_000;
/// How long after its last use a copy is recorded as warm.
const RECORD_LIFETIME: Micros = 30 * SECOND;

fn arc(text: &str) -> Arc<str> {
    Arc::from(text)
}

/// A reconciler with simulated time and its collected outputs.
struct TestRouter {
    reconciler: Reconciler,
    now: Micros,
    out: Vec<Output>,
}

impl TestRouter {
    /// A router without a group that knows the workers `w` and `v`.
    fn new() -> TestRouter {
        let (poll_interval, grace_period) = (2 * SECOND, 5 * SECOND);
        let settings = ReconcilerSettings {
            router_name: arc("r0"),
            poll_interval,
            grace_period,
            record_lifetime: RECORD_LIFETIME,
            polls_per_s: 50.0,
            repairs_per_s: 10.0,
            seed: 3,
        };
        let mut router = TestRouter {
            reconciler: Reconciler::new(0, settings),
            now: 0,
            out: Vec::new(),
        };
        let listed_worker = |w: &str| PolledWorker {
            worker: arc(w),
            id: arc(&format!("{w}-1")),
            memory_mb: 1000.0,
        };
        router.handle(Input::Workers(vec![listed_worker("w"), listed_worker("v")]));
        router.advance(SECOND);
        router
    }

    fn handle(&mut self, input: Input) {
        self.reconciler.handle(self.now, input, &mut self.out);
    }

    /// Advances the time by `time` microseconds and processes the ticks that are due.
    fn advance(&mut self, time: Micros) {
        let until = self.now + time;
        while self.reconciler.next_due() <= until {
            self.now = self.now.max(self.reconciler.next_due());
            self.handle(Input::Tick);
        }
        self.now = until;
    }

    fn change_record(&mut self, function: &str, change: CopyChange) {
        self.handle(Input::RecordChanged {
            worker: "w",
            function,
            change,
        });
    }

    /// A load order for the function succeeds; then a second passes.
    fn complete_load_order(&mut self, function: &str) {
        self.change_record(function, CopyChange::LoadOrdered);
        self.change_record(
            function,
            CopyChange::LoadOrderEnded {
                present: Some(true),
                copies: Some(1),
            },
        );
        self.advance(SECOND);
    }

    /// An invocation runs on a copy that was loaded before; then a second passes.
    fn run_on_warm_copy(&mut self, function: &str) {
        self.run(function, true);
    }

    /// An invocation runs; then a second passes.
    fn run(&mut self, function: &str, was_present: bool) {
        self.change_record(function, CopyChange::Dispatched);
        self.change_record(
            function,
            CopyChange::DispatchEnded {
                present: Some(true),
                was_present,
                copy_mb: 10.0,
            },
        );
        self.advance(SECOND);
    }

    /// Passes a report of worker `w` on a poll that was sent at `began`; returns the outputs without polls.
    fn report_from(
        &mut self,
        began: Micros,
        incarnation: u64,
        entries: &[FunctionReport],
    ) -> Vec<Output> {
        self.out.clear();
        let observation = Observation {
            incarnation: Some(incarnation),
            entries: entries.to_vec(),
            truncated: false,
        };
        self.handle(Input::Reported {
            worker: "w",
            observation_began: began,
            observation,
        });
        self.out
            .drain(..)
            .filter(|o| !matches!(o, Output::Poll { .. }))
            .collect()
    }

    /// Passes a report on a poll that is sent now and answered 10 ms later; then a second passes.
    fn report(&mut self, entries: &[FunctionReport]) -> Vec<Output> {
        let began = self.now;
        self.advance(10_000);
        let out = self.report_from(began, 1, entries);
        self.advance(SECOND);
        out
    }
}

fn correction(function: &str, copies: u32) -> Output {
    Output::CorrectCopies {
        worker: arc("w"),
        function: arc(function),
        copies,
    }
}

fn drift_found(kind: DriftKind, cause: DriftCause, function: &str) -> Output {
    let function = (!function.is_empty()).then(|| arc(function));
    Output::DriftFound(Drift {
        kind,
        cause,
        worker: arc("w"),
        function,
    })
}

fn one_copy(function: &str) -> FunctionReport {
    FunctionReport::with_copies(function, 1)
}

/// Guards against phantoms that stay recorded as warm, get the wrong cause, or are loaded again without load.
#[test]
fn a_phantom_is_reported_with_its_cause_and_loaded_again_only_under_load() {
    let mut router = TestRouter::new();
    router.run_on_warm_copy("busy");
    router.run_on_warm_copy("busy");
    router.run_on_warm_copy("other");
    router.complete_load_order("idle");
    assert_eq!(
        router.report(&[one_copy("busy"), one_copy("idle"), one_copy("other")]),
        []
    );
    let evicted = router.report(&[one_copy("idle"), one_copy("other")]);
    assert_eq!(
        evicted,
        [
            correction("busy", 0),
            drift_found(DriftKind::Phantom, DriftCause::Evicted, "busy")
        ]
    );
    router.advance(SECOND);
    assert!(
        router.out.contains(&Output::Load {
            worker: arc("w"),
            function: arc("busy")
        }),
        "{:?}",
        router.out
    );
    let lost = router.report(&[one_copy("other")]);
    assert_eq!(
        lost,
        [
            correction("idle", 0),
            drift_found(DriftKind::Phantom, DriftCause::LostLoad, "idle")
        ]
    );
    router.run("busy", false);
    let flushed = router.report(&[]);
    let cause = |o: &&Output| **o == drift_found(DriftKind::Phantom, DriftCause::Flushed, "busy");
    assert!(flushed.iter().any(|o| cause(&o)), "{flushed:?}");
    assert!(
        !router.reconciler.is_recorded_warm("w", "idle") && router.reconciler.counts.wanted >= 1
    );
    // No drift is reported twice.
    assert_eq!(router.report(&[]), []);
}

/// Guards against reports or unused load orders that count as recent uses.
#[test]
fn a_use_counts_as_recent_for_one_record_lifetime() {
    let mut router = TestRouter::new();
    let used_recently =
        |router: &TestRouter, f: &str| router.reconciler.used_recently(router.now, "w", f);
    router.run_on_warm_copy("a");
    router.complete_load_order("b");
    router.report(&[one_copy("a"), one_copy("b"), one_copy("c")]);
    // The copy of `b` was only ordered, and that of `c` only reported.
    assert_eq!(
        ["a", "b", "c"].map(|f| used_recently(&router, f)),
        [true, false, false]
    );
    assert!(
        router.reconciler.is_recorded_warm("w", "b")
            && router.reconciler.is_recorded_warm("w", "c")
    );
    router.run_on_warm_copy("b");
    router.report(&[one_copy("a")]);
    assert_eq!(["a", "b"].map(|f| used_recently(&router, f)), [true, false]);
    // A report renews the record, but does not count as a use.
    router.advance(RECORD_LIFETIME - 8 * SECOND);
    router.report(&[one_copy("a")]);
    router.advance(8 * SECOND);
    assert!(router.reconciler.is_recorded_warm("w", "a") && !used_recently(&router, "a"));
}

/// Guards against loaded copies that are not recorded, whose record expires, or that shorten the poll interval.
#[test]
fn an_unseen_copy_is_recorded_and_renewed() {
    let mut router = TestRouter::new();
    let copy_by = |who: &str| FunctionReport {
        ordered_by: Some(arc(who)),
        ..one_copy("b")
    };
    assert_eq!(
        router.report(&[one_copy("a")]),
        [
            correction("a", 1),
            drift_found(DriftKind::Unseen, DriftCause::LoadedOnMiss, "a")
        ]
    );
    assert!(
        !router.out.contains(&Output::Poll { worker: arc("w") }),
        "a load by another router does not shorten the poll interval"
    );
    assert_eq!(
        router.report(&[one_copy("a"), copy_by("r1")])[1],
        drift_found(DriftKind::Unseen, DriftCause::LoadedElsewhere, "b")
    );
    router.advance(RECORD_LIFETIME - 10 * SECOND);
    // The record is renewed before the balancer stops expecting the copy, and no drift is reported.
    assert_eq!(
        router.report(&[one_copy("a"), copy_by("r1")]),
        [correction("a", 1), correction("b", 1)]
    );
    // The record of a copy that will soon be evicted because it is idle is not renewed.
    let idle = FunctionReport {
        idle: Some(RECORD_LIFETIME - SECOND),
        ..one_copy("c")
    };
    assert_eq!(router.report(&[one_copy("a"), copy_by("r1"), idle]), []);
}

/// Guards against a wrong number of copies that stays recorded.
#[test]
fn a_miscount_of_copies_is_corrected() {
    let mut router = TestRouter::new();
    router.complete_load_order("a");
    let three_copies = FunctionReport::with_copies("a", 3);
    assert_eq!(
        router.report(&[three_copies]),
        [
            correction("a", 3),
            drift_found(DriftKind::Miscounted, DriftCause::PartlyEvicted, "a")
        ]
    );
    assert_eq!(router.report(&[one_copy("a")]).len(), 2);
    assert_eq!(router.report(&[one_copy("a")]), []);
}

/// Guards against sessions that stay bound to a worker that has lost their prefix, and against releasing others.
#[test]
fn a_lost_prefix_releases_its_session() {
    let mut router = TestRouter::new();
    router.run_on_warm_copy("a");
    for (id, is_last) in [("s1", false), ("s2", false), ("s3", false), ("s3", true)] {
        router.change_record(
            "a",
            CopyChange::SessionUsed {
                id: arc(id),
                is_last,
            },
        );
    }
    router.advance(SECOND);
    let with_sessions = |ids: &[&str]| FunctionReport {
        sessions: Some(ids.iter().map(|i| arc(i)).collect()),
        ..one_copy("a")
    };
    // A worker that does not report sessions proves nothing; a session that has ended is not lost.
    assert_eq!(router.report(&[one_copy("a")]), []);
    assert_eq!(router.report(&[with_sessions(&["s1", "s2"])]), []);
    let lost = |ids: &[&str]| {
        let sessions = ids.iter().map(|i| arc(i)).collect();
        Output::PrefixLost {
            worker: arc("w"),
            function: arc("a"),
            sessions,
        }
    };
    assert_eq!(
        router.report(&[with_sessions(&["s2"])]),
        [
            lost(&["s1"]),
            drift_found(DriftKind::PrefixLost, DriftCause::Evicted, "a")
        ]
    );
    // A session that began after the poll was sent is not lost.
    let began = router.now;
    router.advance(SECOND);
    router.change_record(
        "a",
        CopyChange::SessionUsed {
            id: arc("s4"),
            is_last: false,
        },
    );
    assert_eq!(router.report_from(began, 1, &[with_sessions(&["s2"])]), []);
    router.advance(SECOND);
    assert!(
        router.report(&[]).contains(&lost(&["s2", "s4"])),
        "the prefixes are lost with the copy"
    );
}

/// Guards against copies of an earlier worker process that stay recorded, or are recorded from its late reports.
#[test]
fn a_new_incarnation_voids_all_records_and_reports_of_the_old_one() {
    let mut router = TestRouter::new();
    router.run_on_warm_copy("a");
    router.run_on_warm_copy("b");
    assert_eq!(router.report(&[one_copy("a"), one_copy("b")]), []);
    let began = router.now;
    router.advance(SECOND);
    let after_restart = router.report_from(began, 2, &[one_copy("b")]);
    assert_eq!(
        after_restart,
        [
            drift_found(DriftKind::OtherIncarnation, DriftCause::Restarted, ""),
            correction("a", 0)
        ]
    );
    // A report of the earlier process is void even if its poll was sent later.
    let late = router.report_from(began + 1, 1, &[one_copy("a")]);
    assert_eq!(
        (late, router.reconciler.counts.void_of_earlier_process),
        (vec![], 1)
    );
    assert!(
        !router.reconciler.is_recorded_warm("w", "a")
            && router.reconciler.is_recorded_warm("w", "b")
    );
    // When the endpoint list shows a new process, the worker is polled soon, and nothing is recorded as warm.
    let listed_worker = |w: &str, n: u32| PolledWorker {
        worker: arc(w),
        id: arc(&format!("{w}-{n}")),
        memory_mb: 0.0,
    };
    router.handle(Input::Workers(vec![
        listed_worker("w", 2),
        listed_worker("v", 1),
    ]));
    router.out.clear();
    assert!(!router.reconciler.is_recorded_warm("w", "b"));
    router.advance(SECOND / 4);
    assert!(router.out.contains(&Output::Poll { worker: arc("w") }));
    router.run_on_warm_copy("c");
    router.report_from(router.now, 2, &[one_copy("c"), one_copy("z")]);
    assert!(
        !router.reconciler.is_recorded_warm("w", "z"),
        "the endpoint list showed that this process has ended"
    );
}

/// Guards against a delayed report that overwrites newer knowledge.
#[test]
fn a_report_older_than_the_last_change_corrects_nothing() {
    let mut router = TestRouter::new();
    let began = router.now;
    router.advance(SECOND);
    router.complete_load_order("a");
    assert_eq!(router.report_from(began, 1, &[]), []);
    assert!(
        router.reconciler.is_recorded_warm("w", "a")
            && router.reconciler.counts.left_belief_newer == 1
    );
    // A report that began before the last accepted one corrects nothing either.
    assert_eq!(router.report(&[one_copy("a"), one_copy("b")]).len(), 2);
    assert_eq!(
        (
            router.report_from(began, 1, &[]),
            router.reconciler.counts.void_older
        ),
        (vec![], 1)
    );
}

/// Guards against correcting or loading again a function whose load is in progress.
#[test]
fn a_loading_function_is_not_corrected() {
    let mut router = TestRouter::new();
    router.run_on_warm_copy("a");
    router.run_on_warm_copy("b");
    router.run_on_warm_copy("c");
    router.change_record("a", CopyChange::LoadOrdered);
    router.advance(SECOND);
    // A function whose load has not ended is not recorded as warm even if another copy is loaded.
    router.change_record("d", CopyChange::LoadOrdered);
    router.advance(SECOND);
    let loading = FunctionReport {
        loading: true,
        copies: 0,
        ..one_copy("b")
    };
    assert_eq!(
        router.report_from(
            router.now - 2,
            1,
            &[one_copy("a"), one_copy("b"), one_copy("c"), one_copy("d")]
        ),
        []
    );
    router.advance(SECOND);
    let outputs = router.report_from(router.now - 1, 1, std::slice::from_ref(&loading));
    assert_eq!(
        outputs,
        [
            correction("c", 0),
            drift_found(DriftKind::Phantom, DriftCause::Evicted, "c")
        ]
    );
    assert_eq!(router.reconciler.counts.left_under_load, 4);
    // A queued load of a function that has started to load in the meantime is dropped.
    router.change_record("c", CopyChange::Dispatched);
    router.advance(5 * SECOND);
    assert_eq!(router.reconciler.counts.wanted, 0);
    router.change_record(
        "c",
        CopyChange::DispatchEnded {
            present: None,
            was_present: false,
            copy_mb: 0.0,
        },
    );
    router.change_record(
        "a",
        CopyChange::LoadOrderEnded {
            present: Some(true),
            copies: Some(1),
        },
    );
    router.advance(SECOND);
    assert_eq!(router.report(&[loading])[0], correction("a", 0));
}

/// Guards against accepting a single difference from a worker that contradicted itself or was refuted.
#[test]
fn a_difference_from_a_doubted_worker_is_accepted_after_two_reports() {
    let mut router = TestRouter::new();
    router.complete_load_order("a");
    router.complete_load_order("b");
    let two = [
        one_copy("a"),
        FunctionReport::with_copies("a", 2),
        one_copy("b"),
    ];
    assert_eq!(
        (router.report(&two), router.reconciler.counts.contradictions),
        (vec![], 1)
    );
    assert_eq!(
        (
            router.report(&[one_copy("a")]),
            router.reconciler.counts.left_doubted
        ),
        (vec![], 1)
    );
    assert_eq!(
        router.report(&[one_copy("a"), one_copy("b")]),
        [],
        "the next report does not confirm the difference"
    );
    // Each consistent report lowers the doubt, so this report is accepted at once.
    assert_eq!(router.report(&[one_copy("a")]).len(), 2);
    // An invocation that finds a copy which the worker reported as absent refutes the report.
    router.run_on_warm_copy("b");
    assert_eq!(
        (
            router.reconciler.counts.refuted,
            router.report(&[one_copy("a")])
        ),
        (1, vec![])
    );
    assert_eq!(
        router.report(&[one_copy("a")]).len(),
        2,
        "reported twice in succession"
    );
    // The reported copies exceed the worker's memory.
    router.run_on_warm_copy("a");
    let large = FunctionReport::with_copies("a", 400);
    assert_eq!(router.report(std::slice::from_ref(&large)), []);
    assert_eq!(router.report(&[large]).len(), 2);
}

/// Guards against a late report of an earlier process that counts as a restart, and against ignoring a worker forever
/// if its earlier incarnation is the current one.
#[test]
fn a_former_incarnation_is_accepted_after_two_reports() {
    let mut router = TestRouter::new();
    router.run_on_warm_copy("a");
    let mut report = |incarnation, what: &[FunctionReport]| {
        router.advance(SECOND);
        router.report_from(router.now, incarnation, what).len()
    };
    assert_eq!(
        [
            report(1, &[one_copy("a")]),
            report(7, &[]),
            report(1, &[one_copy("a")])
        ],
        [0, 2, 0]
    );
    assert_eq!(
        report(1, &[one_copy("a")]),
        1,
        "reported twice: a change of process"
    );
    assert_eq!(
        report(1, &[one_copy("a")]),
        2,
        "from now on its functions are accepted too"
    );
}

/// A router that is the only member and has seen `r1` and `r2` leave the group.
fn router_after_departures(claims: Claims) -> TestRouter {
    let mut router = TestRouter::new();
    router.handle(Input::Members(["r0", "r1", "r2"].map(arc).to_vec()));
    // As the only member it is first for the worker, whatever the hash is.
    router.handle(Input::Members(vec![arc("r0")]));
    router.handle(Input::Claims(claims));
    router
}

/// A report of an idle copy that was ordered by the router `by`, possibly for the plan of a term.
fn ordered_copy(function: &str, by: &str, term: Option<&str>) -> FunctionReport {
    let (ordered_by, term) = (Some(arc(by)), term.map(arc));
    FunctionReport {
        ordered_by,
        term,
        busy: Some(0),
        idle: Some(2 * RECORD_LIFETIME),
        ..one_copy(function)
    }
}

/// Guards against unclaimed copies that stay loaded, against unloading copies that are claimed or in use, and against
/// unloads that are sent although a claim has returned.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn an_unclaimed_copy_is_unloaded_after_the_grace_period() {
    let claims = Claims {
        terms: [arc("7.1")].into(),
        functions: [arc("wanted")].into(),
        retired: [arc("old")].into(),
    };
    // The owner that returns later ranks after this router, so that this router stays first.
    let returning = (0..99)
        .map(|n| format!("x{n}"))
        .find(|x| PollerRank::of("w-1", "r0", &[arc("r0"), arc(x)]).is_first());
    let returning = returning.expect("a name that ranks after r0");
    let mut router = router_after_departures(claims);
    let entries = [
        ordered_copy("gone", &returning, None),
        ordered_copy("ended", "r0", Some("6.0")),
        ordered_copy("old", "r0", None),
        ordered_copy("wanted", "r1", None),
        ordered_copy("planned", "r1", Some("7.1")),
        ordered_copy("mine", "r0", None),
        FunctionReport {
            busy: Some(1),
            ..ordered_copy("busy", "r1", None)
        },
        FunctionReport {
            idle: Some(SECOND),
            ..ordered_copy("lately", "r1", None)
        },
    ];
    let expected = [
        drift_found(DriftKind::Orphan, DriftCause::PlanEnded, "ended"),
        drift_found(DriftKind::Orphan, DriftCause::RouterGone, "gone"),
        drift_found(DriftKind::Orphan, DriftCause::RouterGone, "lately"),
        drift_found(DriftKind::OlderVersion, DriftCause::LostUnload, "old"),
    ];
    assert_eq!(router.report(&entries), expected);
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
    router.advance(3 * SECOND);
    assert_eq!(
        (router.report(&entries), unloads(&mut router)),
        (vec![], vec![]),
        "within the grace period"
    );
    router.advance(5 * SECOND);
    router.report(&entries);
    router.advance(3 * SECOND);
    assert_eq!(unloads(&mut router), ["ended", "gone", "old"]);
    // If the unload order is lost, the copies are found again and unloaded after another grace period.
    assert_eq!(router.report(&entries).len(), 3);
    router.advance(6 * SECOND);
    router.report_from(router.now - 1, 1, &entries);
    // In the meantime the owner has returned, a plan in progress claims a copy, and the third is no longer retired.
    router.handle(Input::Members(vec![arc("r0"), arc(&returning)]));
    router.handle(Input::Claims(Claims {
        terms: [arc("6.0")].into(),
        ..Claims::default()
    }));
    assert_eq!(router.reconciler.queued_repairs(), 3);
    router.advance(3 * SECOND);
    assert_eq!(router.reconciler.queued_repairs(), 0);
    assert_eq!(unloads(&mut router), Vec::<String>::new());
}

/// Guards against repairs by two routers after the ranks have changed.
#[test]
fn a_router_that_is_no_longer_first_drops_its_repairs() {
    let other = (0..99)
        .map(|n| format!("x{n}"))
        .find(|x| PollerRank::of("w-1", "r0", &[arc("r0"), arc(x)]).position() == 1);
    let other = other.expect("a name that ranks before r0");
    let mut router = router_after_departures(Claims::default());
    router.report(&[ordered_copy("gone", "r1", None)]);
    router.advance(6 * SECOND);
    router.report_from(router.now - 1, 1, &[ordered_copy("gone", "r1", None)]);
    assert_eq!(router.reconciler.queued_repairs(), 1);
    router.handle(Input::Members(vec![arc("r0"), arc(&other)]));
    router.advance(SECOND);
    assert_eq!(
        (
            router.reconciler.queued_repairs(),
            router.reconciler.counts.unloaded
        ),
        (0, 0)
    );
}

/// Guards against repairs by several members, or because of a note.
#[test]
fn only_the_first_in_rank_repairs_and_only_from_its_own_poll() {
    let members: Vec<Arc<str>> = (0..9).map(|n| arc(&format!("r{n}"))).collect();
    let (mut unloads, mut polling_members) = (0, 0);
    for m in &members {
        let mut router = TestRouter::new();
        let settings = ReconcilerSettings {
            router_name: m.clone(),
            poll_interval: 2 * SECOND,
            grace_period: 0,
            record_lifetime: 1,
            polls_per_s: 50.0,
            repairs_per_s: 10.0,
            seed: 3,
        };
        router.reconciler = Reconciler::new(0, settings);
        router.handle(Input::Members(members.clone()));
        router.handle(Input::Workers(vec![PolledWorker {
            worker: arc("w"),
            id: arc("w-1"),
            memory_mb: 0.0,
        }]));
        let entries = [FunctionReport {
            idle: Some(RECORD_LIFETIME),
            ..ordered_copy("gone", "x", None)
        }];
        // All members receive a report at the same time, as after a change of the membership view.
        let out = (router.report(&entries), router.report(&entries)).0;
        let note = out.iter().find_map(|o| match o {
            Output::SendNote { id, version, value } => Some((id.clone(), *version, value.clone())),
            _ => None,
        });
        let (id, version, value) = note.expect("each member shares its report");
        router.advance(3 * SECOND);
        let unloaded = router.reconciler.counts.unloaded;
        unloads += u64::from(unloaded > 0);
        polling_members += u64::from(router.reconciler.counts.asks > 0);
        router.handle(Input::NoteReceived {
            id: &id,
            version: (0, version.1 + 9),
            transit: 0,
            value: &value,
        });
        router.advance(SECOND);
        assert_eq!(
            router.reconciler.counts.unloaded, unloaded,
            "a note repairs nothing"
        );
    }
    assert_eq!((unloads, polling_members), (1, 1));
}

/// Guards against a delayed note that overwrites newer knowledge, and against old or malformed notes.
#[test]
fn a_note_is_dated_by_its_longest_transit() {
    let mut other = TestRouter::new();
    other.handle(Input::Members(["r0", "r1"].map(arc).to_vec()));
    let Some(Output::SendNote { id, value, .. }) =
        other.report(&[one_copy("b")]).into_iter().next()
    else {
        panic!()
    };
    let mut router = TestRouter::new();
    router.complete_load_order("a");
    let mut note = |version, transit, value: &[u8]| {
        router.out.clear();
        router.handle(Input::NoteReceived {
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
        note(1, 5 * SECOND, &value),
        1,
        "the report is older than the record of `a`"
    );
    assert_eq!(
        note(2, SECOND / 2, &value),
        1,
        "`a` is missing from a later report"
    );
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

/// Guards against a burst of loads at a worker that has lost all its copies, and against loading idle functions first.
#[test]
fn after_a_flush_loads_are_rate_limited_and_the_busiest_come_first() {
    let mut router = TestRouter::new();
    for n in 0..40 {
        let function = format!("f{n}");
        for _ in 0..=n % 8 {
            router.change_record(&function, CopyChange::Dispatched);
            router.change_record(
                &function,
                CopyChange::DispatchEnded {
                    present: Some(true),
                    was_present: true,
                    copy_mb: 1.0,
                },
            );
        }
    }
    router.advance(SECOND);
    assert_eq!(
        router
            .report(&[])
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
        "ten loads per second at random intervals: {}",
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
    router.advance(20 * SECOND);
    assert!(router.reconciler.counts.wanted <= 40 && router.reconciler.queued_repairs() == 0);
}

/// Guards against frequent polls of an unresponsive worker, and against a worker that nothing polls because the first
/// member hangs.
#[test]
fn an_unresponsive_worker_is_polled_rarely_and_the_next_in_rank_takes_over() {
    let mut router = TestRouter::new();
    router.handle(Input::Unresponsive { worker: "w" });
    router.out.clear();
    router.advance(6 * SECOND);
    assert!(!router.out.contains(&Output::Poll { worker: arc("w") }));
    router.advance(3 * SECOND);
    assert!(router.out.contains(&Output::Poll { worker: arc("w") }));
    // Each of three members has a different rank; without poll results they poll one after another.
    let members = ["r0", "r1", "r2"].map(arc);
    let mut at = Vec::new();
    for me in &members {
        let mut router = TestRouter::new();
        let settings = ReconcilerSettings {
            router_name: me.clone(),
            poll_interval: 2 * SECOND,
            grace_period: SECOND,
            record_lifetime: SECOND,
            polls_per_s: 5.0,
            repairs_per_s: 1.0,
            seed: 1,
        };
        router.reconciler = Reconciler::new(0, settings);
        router.handle(Input::Members(members.to_vec()));
        router.handle(Input::Workers(vec![PolledWorker {
            worker: arc("w"),
            id: arc("w-1"),
            memory_mb: 0.0,
        }]));
        router.out.clear();
        let began = router.now;
        while !router.out.contains(&Output::Poll { worker: arc("w") }) {
            router.advance(SECOND);
        }
        at.push((router.now - began) / (24 * SECOND));
    }
    at.sort();
    assert_eq!(at, [0, 1, 2]);
}
