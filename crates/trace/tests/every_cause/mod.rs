//! A trace file of one router in which each cause that `explain` reports has a cost, and which contains each outcome
//! and action that `show`, `summary` and `rules` report. The records are constructed; no balancer made these decisions.
#![allow(dead_code, reason = "each test binary uses a part of this module")]

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::*;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::blocks::BlockBuilder;
use cedarpulley_trace::records::{NameKind, Record, RecordedEvent};
use cedarpulley_trace::start::StartRecord;
use cedarpulley_trace::writer::TraceFileWriter;

/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;
/// Duration of a dispatch to a warm copy.
const USUAL_DURATION: Micros = 60 * MILLISECOND;
/// A duration that makes an invocation late.
const LATE_DURATION: Micros = 900 * MILLISECOND;
/// Router time from which on the records are about loads, which count as one cause if there are loads of many functions.
pub const LOADS_AT: Micros = 100_000 * MILLISECOND;

/// Builds the records.
struct RecordingBuilder {
    block: BlockBuilder,
    now: Micros,
    /// Index of the last invocation.
    last_invocation: u32,
}

impl RecordingBuilder {
    fn new() -> RecordingBuilder {
        let mut recording = RecordingBuilder {
            block: BlockBuilder::default(),
            now: 0,
            last_invocation: 0,
        };
        let endpoint = |worker: u32| Endpoint {
            worker,
            fingerprint: u64::from(worker) + 99,
            zone: 0,
            machine_kind: 0,
            cell: 0,
            state: EndpointState::InService,
            weight: 1.0,
            started_at: None,
        };
        for n in 0..5 {
            recording
                .block
                .name(0, NameKind::Worker, n, &format!("w{n}"));
            recording
                .block
                .name(0, NameKind::Function, n, &format!("f{n}"));
        }
        recording.record(Record::Decided {
            event: RecordedEvent::List {
                kind: EndpointListKind::Complete,
                endpoints: (0..5).map(endpoint).collect(),
            },
            actions: vec![Action::RequestEndpointList { watch: true }],
        });
        recording
    }

    fn record(&mut self, record: Record) {
        self.block.record(self.now, &record);
        self.now += 1;
    }

    fn decided(&mut self, event: Event<'static>, actions: Vec<Action>) {
        self.record(Record::Decided {
            event: RecordedEvent::Other(event),
            actions,
        });
    }

    /// Records an arrival with the actions that `act` returns for its index; returns the index.
    fn arrives(
        &mut self,
        function: u32,
        waited: Micros,
        act: impl FnOnce(u32) -> Vec<Action>,
    ) -> u32 {
        self.last_invocation += 1;
        let invocation = self.last_invocation;
        self.record(Record::Accepted {
            invocation,
            front: invocation % 2,
            correlation_hash: Some(fingerprint(&format!("mark-{invocation}"))),
            redelivered: invocation.is_multiple_of(3),
        });
        let arrival = Arrival {
            invocation,
            trigger: 1,
            account: 0,
            function,
            fingerprint: fingerprint(&format!("f{function}")),
            cost_hint: None,
            load_hint: None,
            copy_mb: 1.0,
            lanes: 1,
            client_timeout_in: 4_000 * MILLISECOND,
            waited,
            repeat: false,
            preferred_worker: None,
        };
        self.decided(Event::Invocation(arrival), act(invocation));
        invocation
    }

    /// Records an arrival that is dispatched immediately.
    fn dispatched(&mut self, function: u32, worker: u32, waited: Micros) -> u32 {
        self.arrives(function, waited, |invocation| {
            let timeout = Some(2_000 * MILLISECOND);
            vec![Action::Dispatch {
                invocation,
                worker,
                timeout,
            }]
        })
    }

    fn answered(&mut self, invocation: Option<u32>, outcome: FinalOutcome, reason: AnswerReason) {
        self.record(Record::Answered {
            invocation,
            front: 0,
            outcome,
            reason,
            trigger: 1,
            account: 0,
            took: 70 * MILLISECOND,
        });
    }

    fn ended(
        &mut self,
        invocation: u32,
        worker: u32,
        took: Micros,
        outcome: DispatchOutcome,
        copy_status: CopyStatus,
    ) {
        let ended = DispatchEnded {
            invocation,
            dispatch: 0,
            worker,
            outcome,
            took,
            answered: outcome == DispatchOutcome::Succeeded,
            copy_status,
            function_load: None,
            report: LoadReport::default(),
        };
        let actions = if outcome == DispatchOutcome::Succeeded {
            vec![]
        } else {
            vec![Action::Fail { invocation }]
        };
        self.decided(Event::DispatchEnded(ended), actions);
    }

    fn succeeds(&mut self, invocation: u32, worker: u32, took: Micros, copy_status: CopyStatus) {
        self.now += took;
        self.answered(
            Some(invocation),
            FinalOutcome::Succeeded,
            AnswerReason::Worker,
        );
        self.ended(
            invocation,
            worker,
            took,
            DispatchOutcome::Succeeded,
            copy_status,
        );
    }

    /// Records an invocation whose only dispatch ends with this outcome, and which fails.
    fn fails(&mut self, worker: u32, outcome: DispatchOutcome) {
        let invocation = self.dispatched(0, worker, 0);
        self.now += USUAL_DURATION;
        self.ended(
            invocation,
            worker,
            USUAL_DURATION,
            outcome,
            CopyStatus::Unreported,
        );
        self.answered(
            Some(invocation),
            FinalOutcome::Errored,
            AnswerReason::GivenUp,
        );
    }

    /// Records an invocation that is queued, never dispatched and finally throttled.
    fn queued(&mut self, function: u32, act: impl FnOnce(u32) -> Vec<Action>) {
        let invocation = self.arrives(function, 0, act);
        self.now += LATE_DURATION;
        self.decided(
            Event::Timer { token: 7 },
            vec![Action::Reject {
                invocation,
                retry_after: None,
            }],
        );
        self.answered(
            Some(invocation),
            FinalOutcome::Throttled,
            AnswerReason::GivenUp,
        );
    }

    fn rejected(&mut self, reason: RejectionReason) {
        self.record(Record::Rejected {
            front: 1,
            trigger: 1,
            account: 1,
            reason,
        });
    }

    /// Records invocations that a limit rejects.
    fn limits(&mut self) {
        for reason in [
            RejectionReason::Front,
            RejectionReason::Account,
            RejectionReason::Connection,
            RejectionReason::Memory,
            RejectionReason::Worth,
        ] {
            self.rejected(reason);
        }
        for reason in [
            AnswerReason::Share,
            AnswerReason::Expired,
            AnswerReason::MayHaveRun,
            AnswerReason::Size,
            AnswerReason::NoMajority,
            AnswerReason::SessionOver,
            AnswerReason::Functions,
        ] {
            self.answered(None, FinalOutcome::Throttled, reason);
        }
    }

    /// Records invocations that fail or are late at a worker.
    fn workers(&mut self) {
        for _ in 0..10 {
            let invocation = self.dispatched(0, 0, 0);
            self.succeeds(invocation, 0, USUAL_DURATION, CopyStatus::Warm);
        }
        self.fails(1, DispatchOutcome::TimedOut);
        self.fails(2, DispatchOutcome::Errored);
        self.fails(2, DispatchOutcome::Rejected);
        self.fails(2, DispatchOutcome::NotLoaded);
        let slow = self.dispatched(0, 3, 0);
        self.succeeds(slow, 3, LATE_DURATION, CopyStatus::Warm);
        let expired = self.dispatched(0, 0, LATE_DURATION);
        self.succeeds(expired, 0, USUAL_DURATION, CopyStatus::Warm);
        // Slightly later than the objective, although the dispatch takes the usual time.
        let own_execution = self.dispatched(0, 0, 750 * MILLISECOND);
        self.succeeds(own_execution, 0, USUAL_DURATION, CopyStatus::Warm);
        let cancelled = self.dispatched(0, 0, 0);
        self.decided(
            Event::ClientLeft {
                invocation: cancelled,
            },
            vec![Action::Cancel {
                invocation: cancelled,
                dispatch: 0,
            }],
        );
    }

    /// Records invocations that wait for loads of several functions.
    fn loads(&mut self) {
        self.now = LOADS_AT;
        for function in 1..4 {
            self.queued(function, |_| {
                vec![Action::LoadOrder {
                    worker: 1,
                    function,
                    copies: 1,
                }]
            });
        }
    }
}

/// The start record of the router.
pub fn start() -> StartRecord {
    StartRecord {
        file_number: 0,
        ..super::every_record::start(0)
    }
}

/// The whole trace file.
pub fn file() -> Vec<u8> {
    let mut recording = RecordingBuilder::new();
    recording.limits();
    recording.workers();
    recording.queued(0, |_| vec![]);
    recording.record(Record::Gap {
        records: 12,
        from: recording.now,
        until: recording.now + 5,
    });
    recording.loads();
    let mut file = TraceFileWriter::begin(Vec::new(), &[start().into()]).expect("written");
    file.write_block(0, &recording.block.close())
        .expect("written");
    file.finish().expect("written")
}
