//! A file of one router in which each cause that `explain` knows costs something, and each fate and action that
//! `show`, `summary` and `rules` tell of occurs. Invented: no module decided it.
#![allow(dead_code, reason = "each test binary uses its part")]

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::*;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::blocks::BlockBuilder;
use cedarpulley_trace::records::{NameKind, Record, RecordedEvent};
use cedarpulley_trace::start::StartRecord;
use cedarpulley_trace::writer::TraceFileWriter;

const MS: Micros = 1_000;
/// Of a dispatch that finds its copy.
const USUAL: Micros = 60 * MS;
const LATE: Micros = 900 * MS;
/// Records after this time are of loads, which count as one cause if there are many.
pub const LOADS_AT: Micros = 100_000 * MS;

struct RecordingBuilder {
    block: BlockBuilder,
    now: Micros,
    inv: u32,
}

impl RecordingBuilder {
    fn new() -> RecordingBuilder {
        let mut recording = RecordingBuilder {
            block: BlockBuilder::default(),
            now: 0,
            inv: 0,
        };
        let entry = |worker: u32| Endpoint {
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
                endpoints: (0..5).map(entry).collect(),
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

    fn arrives(
        &mut self,
        function: u32,
        waited: Micros,
        act: impl FnOnce(u32) -> Vec<Action>,
    ) -> u32 {
        self.inv += 1;
        let invocation = self.inv;
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
            client_timeout_in: 4_000 * MS,
            waited,
            repeat: false,
            preferred_worker: None,
        };
        self.decided(Event::Invocation(arrival), act(invocation));
        invocation
    }

    fn sent(&mut self, function: u32, worker: u32, waited: Micros) -> u32 {
        self.arrives(function, waited, |invocation| {
            let timeout = Some(2_000 * MS);
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
            took: 70 * MS,
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
        let ending = DispatchEnded {
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
        let act = if outcome == DispatchOutcome::Succeeded {
            vec![]
        } else {
            vec![Action::Fail { invocation }]
        };
        self.decided(Event::DispatchEnded(ending), act);
    }

    fn succeeds(&mut self, inv: u32, worker: u32, took: Micros, note: CopyStatus) {
        self.now += took;
        self.answered(Some(inv), FinalOutcome::Succeeded, AnswerReason::Worker);
        self.ended(inv, worker, took, DispatchOutcome::Succeeded, note);
    }

    /// Sent once, and lost as its dispatch ends so.
    fn fails(&mut self, worker: u32, outcome: DispatchOutcome) {
        let inv = self.sent(0, worker, 0);
        self.now += USUAL;
        self.ended(inv, worker, USUAL, outcome, CopyStatus::Unreported);
        self.answered(Some(inv), FinalOutcome::Errored, AnswerReason::GivenUp);
    }

    fn queued(&mut self, function: u32, act: impl FnOnce(u32) -> Vec<Action>) {
        let invocation = self.arrives(function, 0, act);
        self.now += LATE;
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

    fn limits(&mut self) {
        for why in [
            RejectionReason::Front,
            RejectionReason::Account,
            RejectionReason::Connection,
            RejectionReason::Memory,
            RejectionReason::Worth,
        ] {
            self.rejected(why);
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

    fn workers(&mut self) {
        for _ in 0..10 {
            let inv = self.sent(0, 0, 0);
            self.succeeds(inv, 0, USUAL, CopyStatus::Warm);
        }
        self.fails(1, DispatchOutcome::TimedOut);
        self.fails(2, DispatchOutcome::Errored);
        self.fails(2, DispatchOutcome::Rejected);
        self.fails(2, DispatchOutcome::NotLoaded);
        let slow = self.sent(0, 3, 0);
        self.succeeds(slow, 3, LATE, CopyStatus::Warm);
        let came_late = self.sent(0, 0, LATE);
        self.succeeds(came_late, 0, USUAL, CopyStatus::Warm);
        // Late by a little more than the objective, at the usual pace of nothing else.
        let own = self.sent(0, 0, 750 * MS);
        self.succeeds(own, 0, USUAL, CopyStatus::Warm);
        let left = self.sent(0, 0, 0);
        self.decided(
            Event::ClientLeft { invocation: left },
            vec![Action::Cancel {
                invocation: left,
                dispatch: 0,
            }],
        );
    }

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

pub fn start() -> StartRecord {
    StartRecord {
        file_number: 0,
        ..super::every_record::start(0)
    }
}

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
    let mut sheet = TraceFileWriter::begin(Vec::new(), &[start().into()]).expect("written");
    sheet
        .write_block(0, &recording.block.close())
        .expect("written");
    sheet.finish().expect("written")
}
