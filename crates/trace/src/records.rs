//! What a trace holds, record by record, and its bytes. Docs: `docs/design/trace-format.md`; a test holds that
//! files of earlier formats open.

use cedarpulley::interface::*;
use cedarpulley_router::entry::Short;
use cedarpulley_router::{Fate, FrontIndex, Reason};

use crate::codec::{DecodeError, Decoder, Encoder};

/// What kind of index a name is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Space {
    Function,
    Worker,
}

/// An event as the module was told, owned.
#[derive(Clone, Debug)]
pub enum RecordedEvent {
    List {
        kind: EndpointListKind,
        endpoints: Vec<Endpoint>,
    },
    Other(Event<'static>),
}

impl RecordedEvent {
    pub fn of(event: &Event) -> RecordedEvent {
        match *event {
            Event::EndpointList {
                kind: mode,
                endpoints: entries,
            } => RecordedEvent::List {
                kind: mode,
                endpoints: entries.to_vec(),
            },
            Event::Invocation(a) => RecordedEvent::Other(Event::Invocation(a)),
            Event::ClientLeft { invocation: inv } => {
                RecordedEvent::Other(Event::ClientLeft { invocation: inv })
            }
            Event::AnswerStarted {
                invocation: inv,
                dispatch,
                worker,
            } => RecordedEvent::Other(Event::AnswerStarted {
                invocation: inv,
                dispatch,
                worker,
            }),
            Event::DispatchEnded(e) => RecordedEvent::Other(Event::DispatchEnded(e)),
            Event::OrderEnded {
                worker,
                function: func,
                result,
                took,
                copies,
            } => RecordedEvent::Other(Event::OrderEnded {
                worker,
                function: func,
                result,
                took,
                copies,
            }),
            Event::ProbeEnded {
                worker,
                outcome,
                took,
                report,
            } => RecordedEvent::Other(Event::ProbeEnded {
                worker,
                outcome,
                took,
                report,
            }),
            Event::Timer { token } => RecordedEvent::Other(Event::Timer { token }),
            Event::CopyWanted {
                worker,
                function: asked,
            } => RecordedEvent::Other(Event::CopyWanted {
                worker,
                function: asked,
            }),
            Event::CopiesReported {
                worker,
                function: func,
                copies,
            } => RecordedEvent::Other(Event::CopiesReported {
                worker,
                function: func,
                copies,
            }),
        }
    }

    pub fn event(&self) -> Event<'_> {
        match self {
            RecordedEvent::List {
                kind: mode,
                endpoints: entries,
            } => Event::EndpointList {
                kind: *mode,
                endpoints: entries,
            },
            RecordedEvent::Other(event) => *event,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Record {
    /// Comes in each block before the first record that uses the index.
    Name {
        kind: Space,
        index: u32,
        name: String,
    },
    /// The module was told this and asked for that.
    Decided {
        event: RecordedEvent,
        actions: Vec<Action>,
    },
    /// The front's part of an invocation that the next decided event tells of; `mark`: a number for the mark that
    /// its client gave it.
    Taken {
        inv: InvocationIndex,
        front: FrontIndex,
        mark: Option<u64>,
        redelivered: bool,
    },
    /// A final answer left the core; `inv` absent: it was answered at once and never was the module's.
    Answered {
        inv: Option<InvocationIndex>,
        front: FrontIndex,
        fate: Fate,
        reason: Reason,
        trigger: u32,
        account: u32,
        took: Micros,
    },
    /// Turned away at the door.
    TurnedAway {
        front: FrontIndex,
        trigger: u32,
        account: u32,
        why: Short,
    },
    /// So many records were lost here, as the disk did not keep up.
    Gap {
        records: u64,
        from: Micros,
        until: Micros,
    },
}

/// A table for a small set, and a match that stops the build where the set has grown and its table has not: a value
/// without a tag would make its block unreadable.
macro_rules! table {
    ($name:ident, $check:ident, $of:ident: $($value:ident),+) => {
        const $name: &[$of] = &[$($of::$value),+];
        #[allow(dead_code)]
        fn $check(value: $of) {
            match value {
                $($of::$value => {})+
            }
        }
    };
}

table!(REASONS, reasons, Reason: Worker, GivenUp, Expired, MayHaveRun, Overdue, Functions, Size, Share, NoMajority, SessionOver, Alone);
table!(FATES, fates, Fate: Succeeded, Throttled, Errored);
table!(SHORTS, shorts, Short: Stopping, Memory, All, Front, Account, Connection, Worth);
table!(OUTCOMES, outcomes, DispatchOutcome: Succeeded, Errored, Rejected, TimedOut, Unreachable, ConnectionLost, Cancelled, NotSent, NotLoaded);
table!(NOTES, notes, CopyStatus: Unreported, Warm, LoadStarted, LoadAwaited, LoadFailed);
table!(RESULTS, results, LoadOrderResult: Loaded, NoCapacity, LoadFailed, ConnectionLost, Unreachable, TimedOut);
table!(MODES, modes, EndpointListKind: Changes, Complete, Cached, Failed);
table!(STANDINGS, standings, EndpointState: InService, Draining, Gone);

/// The tag of a value is its place in its table: tables only grow at their end.
fn put_of<T: PartialEq>(p: &mut Encoder, table: &[T], value: &T) {
    p.byte(
        table
            .iter()
            .position(|t| t == value)
            .unwrap_or(usize::from(u8::MAX)) as u8,
    );
}

fn get_of<T: Copy>(g: &mut Decoder, table: &[T]) -> Result<T, DecodeError> {
    table
        .get(usize::from(g.byte()?))
        .copied()
        .ok_or(DecodeError::UnknownValue)
}

fn put_report(p: &mut Encoder, r: &LoadReport) {
    let all = [
        r.in_flight,
        r.queued,
        r.utilization,
        r.loads_in_progress,
        r.memory_fraction,
    ];
    p.byte(
        all.iter()
            .enumerate()
            .map(|(n, v)| u8::from(v.is_some()) << n)
            .sum(),
    );
    all.into_iter().flatten().for_each(|v| p.float(v));
}

fn get_report(g: &mut Decoder) -> Result<LoadReport, DecodeError> {
    let bits = g.byte()?;
    let mut next = |n: u8| {
        if bits >> n & 1 == 1 {
            g.float().map(Some)
        } else {
            Ok(None)
        }
    };
    Ok(LoadReport {
        in_flight: next(0)?,
        queued: next(1)?,
        utilization: next(2)?,
        loads_in_progress: next(3)?,
        memory_fraction: next(4)?,
    })
}

fn put_event(p: &mut Encoder, event: &Event) {
    match event {
        Event::EndpointList {
            kind: mode,
            endpoints: entries,
        } => {
            p.byte(0);
            put_of(p, MODES, mode);
            p.unsigned(entries.len() as u64);
            for e in *entries {
                p.unsigned(e.worker.into());
                p.unsigned(e.fingerprint);
                p.unsigned(e.zone.into());
                p.unsigned(e.machine_kind.into());
                p.unsigned(e.cell.into());
                put_of(p, STANDINGS, &e.state);
                p.float(e.weight);
                p.optional(e.started_at, Encoder::signed);
            }
        }
        Event::Invocation(a) => {
            // As it has always been, where no worker is preferred.
            p.byte(if a.preferred_worker.is_some() { 8 } else { 1 });
            p.unsigned(a.invocation.into());
            p.unsigned(a.trigger.into());
            p.unsigned(a.account.into());
            p.unsigned(a.function.into());
            p.optional(a.cost_hint, Encoder::signed);
            p.optional(a.load_hint, Encoder::signed);
            p.float(a.copy_mb);
            p.unsigned(a.lanes.into());
            p.signed(a.client_timeout_in);
            p.signed(a.waited);
            p.byte(u8::from(a.repeat));
            a.preferred_worker
                .into_iter()
                .for_each(|w| p.unsigned(w.into()));
        }
        Event::ClientLeft { invocation: inv } => {
            p.byte(2);
            p.unsigned((*inv).into());
        }
        Event::AnswerStarted {
            invocation: inv,
            dispatch,
            worker,
        } => {
            p.byte(3);
            [*inv, *dispatch, *worker]
                .into_iter()
                .for_each(|n| p.unsigned(n.into()));
        }
        Event::DispatchEnded(e) => {
            p.byte(4);
            [e.invocation, e.dispatch, e.worker]
                .into_iter()
                .for_each(|n| p.unsigned(n.into()));
            put_of(p, OUTCOMES, &e.outcome);
            p.signed(e.took);
            p.byte(u8::from(e.answered));
            put_of(p, NOTES, &e.copy_status);
            p.optional(e.function_load, |p, n| p.unsigned(n.into()));
            put_report(p, &e.report);
        }
        Event::OrderEnded {
            worker,
            function: func,
            result,
            took,
            copies,
        } => {
            p.byte(5);
            p.unsigned((*worker).into());
            p.unsigned((*func).into());
            put_of(p, RESULTS, result);
            p.signed(*took);
            p.unsigned((*copies).into());
        }
        Event::ProbeEnded {
            worker,
            outcome,
            took,
            report,
        } => {
            p.byte(6);
            p.unsigned((*worker).into());
            put_of(p, OUTCOMES, outcome);
            p.signed(*took);
            put_report(p, report);
        }
        Event::Timer { token } => {
            p.byte(7);
            p.unsigned(*token);
        }
        Event::CopyWanted {
            worker,
            function: asked,
        } => {
            p.byte(9);
            [*worker, asked.function, asked.trigger, asked.lanes]
                .into_iter()
                .for_each(|n| p.unsigned(n.into()));
        }
        Event::CopiesReported {
            worker,
            function: func,
            copies,
        } => {
            p.byte(10);
            [*worker, *func, *copies]
                .into_iter()
                .for_each(|n| p.unsigned(n.into()));
        }
    }
}

fn get_arrival(g: &mut Decoder, fingerprint: &dyn Fn(u32) -> u64) -> Result<Arrival, DecodeError> {
    let (inv, trigger, account, func) = (g.u32()?, g.u32()?, g.u32()?, g.u32()?);
    Ok(Arrival {
        invocation: inv,
        trigger,
        account,
        function: func,
        fingerprint: fingerprint(func),
        cost_hint: g.optional(Decoder::signed)?,
        load_hint: g.optional(Decoder::signed)?,
        copy_mb: g.float()?,
        lanes: g.u32()?,
        client_timeout_in: g.signed()?,
        waited: g.signed()?,
        repeat: g.flag()?,
        preferred_worker: None,
    })
}

/// `fingerprint` of an arrival's function comes from its name, as every router makes it.
fn get_event(
    g: &mut Decoder,
    fingerprint: &dyn Fn(u32) -> u64,
) -> Result<RecordedEvent, DecodeError> {
    Ok(match g.byte()? {
        0 => {
            let mode = get_of(g, MODES)?;
            let entries = g.list(|g| {
                Ok(Endpoint {
                    worker: g.u32()?,
                    fingerprint: g.unsigned()?,
                    zone: g.u32()?,
                    machine_kind: g.u32()?,
                    cell: g.u32()?,
                    state: get_of(g, STANDINGS)?,
                    weight: g.float()?,
                    started_at: g.optional(Decoder::signed)?,
                })
            })?;
            RecordedEvent::List {
                kind: mode,
                endpoints: entries,
            }
        }
        1 => RecordedEvent::Other(Event::Invocation(get_arrival(g, fingerprint)?)),
        8 => {
            let arrival = get_arrival(g, fingerprint)?;
            let prefers = Some(g.u32()?);
            RecordedEvent::Other(Event::Invocation(Arrival {
                preferred_worker: prefers,
                ..arrival
            }))
        }
        9 => {
            let (worker, func, trigger, lanes) = (g.u32()?, g.u32()?, g.u32()?, g.u32()?);
            let asked = FunctionInfo {
                function: func,
                fingerprint: fingerprint(func),
                trigger,
                lanes,
            };
            RecordedEvent::Other(Event::CopyWanted {
                worker,
                function: asked,
            })
        }
        10 => RecordedEvent::Other(Event::CopiesReported {
            worker: g.u32()?,
            function: g.u32()?,
            copies: g.u32()?,
        }),
        2 => RecordedEvent::Other(Event::ClientLeft {
            invocation: g.u32()?,
        }),
        3 => RecordedEvent::Other(Event::AnswerStarted {
            invocation: g.u32()?,
            dispatch: g.u32()?,
            worker: g.u32()?,
        }),
        4 => RecordedEvent::Other(Event::DispatchEnded(DispatchEnded {
            invocation: g.u32()?,
            dispatch: g.u32()?,
            worker: g.u32()?,
            outcome: get_of(g, OUTCOMES)?,
            took: g.signed()?,
            answered: g.flag()?,
            copy_status: get_of(g, NOTES)?,
            function_load: g.optional(Decoder::u32)?,
            report: get_report(g)?,
        })),
        5 => RecordedEvent::Other(Event::OrderEnded {
            worker: g.u32()?,
            function: g.u32()?,
            result: get_of(g, RESULTS)?,
            took: g.signed()?,
            copies: g.u32()?,
        }),
        6 => RecordedEvent::Other(Event::ProbeEnded {
            worker: g.u32()?,
            outcome: get_of(g, OUTCOMES)?,
            took: g.signed()?,
            report: get_report(g)?,
        }),
        7 => RecordedEvent::Other(Event::Timer {
            token: g.unsigned()?,
        }),
        _ => return Err(DecodeError::UnknownValue),
    })
}

pub fn encode_action(p: &mut Encoder, action: &Action) {
    match *action {
        Action::Dispatch {
            invocation: inv,
            worker,
            timeout: time_out,
        } => {
            p.byte(0);
            p.unsigned(inv.into());
            p.unsigned(worker.into());
            p.optional(time_out, Encoder::signed);
        }
        Action::Cancel {
            invocation: inv,
            dispatch,
        } => {
            p.byte(1);
            p.unsigned(inv.into());
            p.unsigned(dispatch.into());
        }
        Action::Reject {
            invocation: inv,
            retry_after: return_after,
        } => {
            p.byte(2);
            p.unsigned(inv.into());
            p.optional(return_after, Encoder::signed);
        }
        Action::Fail { invocation: inv } => {
            p.byte(3);
            p.unsigned(inv.into());
        }
        Action::LoadOrder {
            worker,
            function: func,
            copies,
        } => {
            p.byte(4);
            [worker, func, copies]
                .into_iter()
                .for_each(|n| p.unsigned(n.into()));
        }
        Action::Unload {
            worker,
            function: func,
        } => {
            p.byte(5);
            p.unsigned(worker.into());
            p.unsigned(func.into());
        }
        Action::Probe { worker } => {
            p.byte(6);
            p.unsigned(worker.into());
        }
        Action::Timer { token, after } => {
            p.byte(7);
            p.unsigned(token);
            p.signed(after);
        }
        Action::RequestEndpointList { watch: follow } => {
            p.byte(8);
            p.byte(u8::from(follow));
        }
        Action::ReleaseFunction { function: func } => {
            p.byte(9);
            p.unsigned(func.into());
        }
    }
}

fn get_action(g: &mut Decoder) -> Result<Action, DecodeError> {
    Ok(match g.byte()? {
        0 => Action::Dispatch {
            invocation: g.u32()?,
            worker: g.u32()?,
            timeout: g.optional(Decoder::signed)?,
        },
        1 => Action::Cancel {
            invocation: g.u32()?,
            dispatch: g.u32()?,
        },
        2 => Action::Reject {
            invocation: g.u32()?,
            retry_after: g.optional(Decoder::signed)?,
        },
        3 => Action::Fail {
            invocation: g.u32()?,
        },
        4 => Action::LoadOrder {
            worker: g.u32()?,
            function: g.u32()?,
            copies: g.u32()?,
        },
        5 => Action::Unload {
            worker: g.u32()?,
            function: g.u32()?,
        },
        6 => Action::Probe { worker: g.u32()? },
        7 => Action::Timer {
            token: g.unsigned()?,
            after: g.signed()?,
        },
        8 => Action::RequestEndpointList { watch: g.flag()? },
        9 => Action::ReleaseFunction { function: g.u32()? },
        _ => return Err(DecodeError::UnknownValue),
    })
}

/// Kinds of records; the high bits of the tag are kept for later.
const NAME: u8 = 1;
const DECIDED: u8 = 2;
const TAKEN: u8 = 3;
const ANSWERED: u8 = 4;
const TURNED_AWAY: u8 = 5;
const GAP: u8 = 6;

/// Without copying what the module was told.
pub fn encode_decided(p: &mut Encoder, event: &Event, actions: &[Action]) {
    p.byte(DECIDED);
    put_event(p, event);
    p.unsigned(actions.len() as u64);
    actions.iter().for_each(|a| encode_action(p, a));
}

pub fn encode_record(p: &mut Encoder, record: &Record) {
    match record {
        Record::Name {
            kind: space,
            index: ix,
            name: text,
        } => {
            p.byte(NAME);
            p.byte(u8::from(*space == Space::Worker));
            p.unsigned((*ix).into());
            p.text(text);
        }
        Record::Decided {
            event: happened,
            actions,
        } => encode_decided(p, &happened.event(), actions),
        Record::Taken {
            inv,
            front,
            mark,
            redelivered,
        } => {
            p.byte(TAKEN);
            p.unsigned((*inv).into());
            p.unsigned((*front).into());
            p.optional(*mark, |p, m| p.bytes.extend_from_slice(&m.to_le_bytes()));
            p.byte(u8::from(*redelivered));
        }
        Record::Answered {
            inv,
            front,
            fate,
            reason,
            trigger,
            account,
            took,
        } => {
            p.byte(ANSWERED);
            p.optional(*inv, |p, n| p.unsigned(n.into()));
            p.unsigned((*front).into());
            put_of(p, FATES, fate);
            put_of(p, REASONS, reason);
            p.unsigned((*trigger).into());
            p.unsigned((*account).into());
            p.signed(*took);
        }
        Record::TurnedAway {
            front,
            trigger,
            account,
            why,
        } => {
            p.byte(TURNED_AWAY);
            [*front, *trigger, *account]
                .into_iter()
                .for_each(|n| p.unsigned(n.into()));
            put_of(p, SHORTS, why);
        }
        Record::Gap {
            records,
            from,
            until,
        } => {
            p.byte(GAP);
            p.unsigned(*records);
            p.signed(*from);
            p.signed(*until);
        }
    }
}

pub fn decode_record(
    g: &mut Decoder,
    fingerprint: &dyn Fn(u32) -> u64,
) -> Result<Record, DecodeError> {
    Ok(match g.byte()? {
        NAME => Record::Name {
            kind: if g.flag()? {
                Space::Worker
            } else {
                Space::Function
            },
            index: g.u32()?,
            name: g.text()?.to_owned(),
        },
        DECIDED => Record::Decided {
            event: get_event(g, fingerprint)?,
            actions: g.list(get_action)?,
        },
        TAKEN => Record::Taken {
            inv: g.u32()?,
            front: g.u32()?,
            mark: g.optional(|g| {
                let bytes = g.take(8)?.try_into().map_err(|_| DecodeError::Truncated)?;
                Ok(u64::from_le_bytes(bytes))
            })?,
            redelivered: g.flag()?,
        },
        ANSWERED => Record::Answered {
            inv: g.optional(Decoder::u32)?,
            front: g.u32()?,
            fate: get_of(g, FATES)?,
            reason: get_of(g, REASONS)?,
            trigger: g.u32()?,
            account: g.u32()?,
            took: g.signed()?,
        },
        TURNED_AWAY => Record::TurnedAway {
            front: g.u32()?,
            trigger: g.u32()?,
            account: g.u32()?,
            why: get_of(g, SHORTS)?,
        },
        GAP => Record::Gap {
            records: g.unsigned()?,
            from: g.signed()?,
            until: g.signed()?,
        },
        _ => return Err(DecodeError::UnknownValue),
    })
}
