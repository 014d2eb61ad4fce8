//! Keeps the instances of one process and hands them their news.

use std::collections::BTreeMap;

use cedarpulley::Balancer;
use cedarpulley::ids::{Interner, fingerprint};
use cedarpulley::interface::*;
use cedarpulley_startup::{RawSettings, ReportField, StartupSettings, micros_from_nanos};

use crate::codec::{self, Names, Values, unknown};
use crate::refused::{Refused, Result};

/// What keeps the id of an invocation alive: it is not ended, or a dispatch is still out.
#[derive(Clone, Copy, Default)]
struct Open {
    ended: bool,
    out: u32,
}

struct Instance {
    control: Balancer,
    fields: Vec<ReportField>,
    crowds: bool,
    triggers: u32,
    invs: Interner<String>,
    open: Vec<Open>,
    funcs: Interner<String>,
    workers: Interner<String>,
}

impl Names for Instance {
    fn inv(&self, ix: InvocationIndex) -> Result<&str> {
        self.invs
            .id(ix)
            .map(String::as_str)
            .ok_or(Refused::Unnamed { what: "invocation" })
    }
    fn func(&self, ix: FunctionIndex) -> Result<&str> {
        self.funcs
            .id(ix)
            .map(String::as_str)
            .ok_or(Refused::Unnamed { what: "function" })
    }
    fn worker(&self, ix: WorkerIndex) -> Result<&str> {
        self.workers
            .id(ix)
            .map(String::as_str)
            .ok_or(Refused::Unnamed { what: "worker" })
    }
}

impl Instance {
    fn tell(&mut self, now: Micros, router: u32, event: &Event, reply: &mut Vec<u8>) -> Result<()> {
        let mut actions = Vec::new();
        self.control.handle(now, event, &mut actions);
        let concerns = match *event {
            Event::Invocation(Arrival {
                invocation: inv, ..
            })
            | Event::ClientLeft { invocation: inv } => Some(inv),
            Event::DispatchEnded(DispatchEnded {
                invocation: inv,
                answered: concluded,
                ..
            }) => {
                let open = &mut self.open[inv as usize];
                open.out = open.out.saturating_sub(1);
                open.ended |= concluded;
                Some(inv)
            }
            _ => None,
        };
        if let Event::ClientLeft { invocation: inv } = *event {
            self.open[inv as usize].ended = true;
        }
        for action in &actions {
            codec::write(reply, router, action, self)?;
            match *action {
                Action::Dispatch {
                    invocation: inv, ..
                } => self.open[inv as usize].out += 1,
                Action::Reject {
                    invocation: inv, ..
                }
                | Action::Fail { invocation: inv } => self.open[inv as usize].ended = true,
                _ => {}
            }
        }
        // Only once every action is written may an id go.
        for action in &actions {
            match *action {
                Action::Reject {
                    invocation: inv, ..
                }
                | Action::Fail { invocation: inv } => self.release(inv),
                Action::ReleaseFunction { function: func } => self.funcs.release(func),
                _ => {}
            }
        }
        if let Some(inv) = concerns {
            self.release(inv);
        }
        Ok(())
    }

    fn release(&mut self, inv: InvocationIndex) {
        let open = self.open[inv as usize];
        if open.ended && open.out == 0 {
            self.invs.release(inv);
        }
    }

    fn known_worker(&self, id: &str) -> Result<WorkerIndex> {
        self.workers
            .find(id)
            .ok_or_else(|| Refused::Unlisted { id: id.to_owned() })
    }
}

fn out_of_place(word: &str, place: &'static str) -> Refused {
    Refused::OutOfPlace {
        word: word.to_owned(),
        place,
    }
}

/// A list whose entries are still coming in.
struct List {
    router: u32,
    mode: EndpointListKind,
    left: usize,
    entries: Vec<Endpoint>,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    now: Option<Micros>,
    list: Option<List>,
}

impl Host {
    /// Input may end between batches only.
    pub fn at_end(&self) -> Result<()> {
        if self.now.is_some() {
            Err(Refused::EndsEarly)
        } else {
            Ok(())
        }
    }

    /// Takes one line; true when it closed a batch and the reply is whole.
    pub fn line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<bool> {
        let mut v = Values::of(line);
        let word = v.text("message")?;
        if self.list.is_some() {
            if word != "m" {
                return Err(out_of_place(word, "where a list entry is due"));
            }
            self.entry(v, reply)?;
            return Ok(false);
        }
        if word == "clock" {
            if self.now.is_some() {
                return Err(out_of_place(word, "within a batch"));
            }
            self.now = Some(v.time("clock")?);
            v.end()?;
            return Ok(false);
        }
        let Some(now) = self.now else {
            return Err(out_of_place(word, "outside a batch"));
        };
        if word == "commit" {
            v.end()?;
            self.now = None;
            reply.extend_from_slice(b"eor\n");
            return Ok(true);
        }
        self.event(now, word, v, reply)?;
        Ok(false)
    }

    fn event(&mut self, now: Micros, word: &str, mut v: Values, reply: &mut Vec<u8>) -> Result<()> {
        const WORDS: [&str; 11] = [
            "born",
            "sync",
            "query",
            "vanished",
            "under_way",
            "datagram",
            "bell",
            "power_off",
            "loaded",
            "response",
            "echo",
        ];
        if !WORDS.contains(&word) {
            return Err(unknown("event", word));
        }
        let router: u32 = v.value("routerId")?;
        if word == "born" {
            let seed = v.value("seed")?;
            let text = v.rest();
            let raw = RawSettings::from_pairs(&text)?;
            let settings = StartupSettings::read(&raw)?;
            let instance = Instance {
                control: settings.balancer(seed),
                triggers: settings.triggers.len() as u32,
                crowds: settings.loads.reports_function_load,
                fields: ReportField::from_settings(&raw),
                invs: Interner::default(),
                open: Vec::new(),
                funcs: Interner::default(),
                workers: Interner::default(),
            };
            self.instances.insert(router, instance);
            return Ok(());
        }
        if word == "power_off" {
            v.end()?;
            return self
                .instances
                .remove(&router)
                .map(|_| ())
                .ok_or(Refused::NotAlive { router });
        }
        let it = self
            .instances
            .get_mut(&router)
            .ok_or(Refused::NotAlive { router })?;
        match word {
            "sync" => {
                let _epoch: Option<i64> = v.maybe("epoch")?;
                let mode = codec::mode(v.text("mode")?)?;
                let left = v.maybe("membersList")?.unwrap_or(0);
                v.end()?;
                let list = List {
                    router,
                    mode,
                    left,
                    entries: Vec::new(),
                };
                match left {
                    0 => it.tell(
                        now,
                        router,
                        &Event::EndpointList {
                            kind: mode,
                            endpoints: &[],
                        },
                        reply,
                    )?,
                    _ => self.list = Some(list),
                }
            }
            "query" => {
                let id = v.text("requestId")?;
                let cost_hint: Option<i64> = v.maybe("costGuess")?;
                let load_ms: Option<f64> = v.maybe("loadTimeMs")?;
                let account = v.maybe("realm")?.unwrap_or(0);
                let copy_mb = v.maybe("residentMb")?.unwrap_or(0.0);
                let client_gives_up_in = v.time("expiresIn")?;
                let bits: u32 = v.maybe("bits")?.unwrap_or(0);
                let name = v.text("fn")?;
                let trigger: u32 = v.value("category")?;
                let lanes: Option<f64> = v.maybe("atOnce")?;
                v.end()?;
                if trigger >= it.triggers {
                    return Err(unknown("category", &trigger.to_string()));
                }
                if it.invs.find(id).is_some() {
                    return Err(Refused::InUse { id: id.to_owned() });
                }
                let inv = it.invs.intern(id);
                let func = it.funcs.intern(name);
                if it.open.len() <= inv as usize {
                    it.open.resize(inv as usize + 1, Open::default());
                }
                it.open[inv as usize] = Open::default();
                let arrival = Arrival {
                    invocation: inv,
                    trigger,
                    account,
                    function: func,
                    fingerprint: fingerprint(name),
                    cost_hint: cost_hint.filter(|_| bits & 1 != 0).map(micros_from_nanos),
                    load_hint: load_ms.map(|ms| (ms * 1e3) as Micros),
                    copy_mb,
                    lanes: lanes.unwrap_or(1.0).max(1.0) as u32,
                    client_timeout_in: client_gives_up_in,
                    waited: 0,
                    repeat: bits & 2 != 0,
                    preferred_worker: None,
                };
                it.tell(now, router, &Event::Invocation(arrival), reply)?;
            }
            "vanished" => {
                let id = v.text("requestId")?;
                v.end()?;
                if let Some(inv) = it.invs.find(id) {
                    it.tell(now, router, &Event::ClientLeft { invocation: inv }, reply)?;
                }
            }
            "under_way" => {
                let id = v.text("requestId")?;
                let dispatch = v.value("n")?;
                let worker = it.known_worker(v.text("worker")?)?;
                v.time("lag")?;
                v.end()?;
                if let Some(inv) = it.invs.find(id) {
                    it.tell(
                        now,
                        router,
                        &Event::AnswerStarted {
                            invocation: inv,
                            dispatch,
                            worker,
                        },
                        reply,
                    )?;
                }
            }
            "datagram" => {
                // Nothing is said between routers; what comes is read and left.
                v.value::<u32>("srcPeer")?;
                v.text("payload")?;
                v.end()?;
            }
            "bell" => {
                let token = v.value("token")?;
                v.end()?;
                it.tell(now, router, &Event::Timer { token }, reply)?;
            }
            "loaded" => {
                let name = v.text("fn")?;
                let result = codec::order_result(v.text("result")?)?;
                let took = v.time("lag")?;
                let copies = v.maybe("unitsHeld")?.unwrap_or(0);
                let worker = it.known_worker(v.text("worker")?)?;
                v.end()?;
                if let Some(func) = it.funcs.find(name) {
                    it.tell(
                        now,
                        router,
                        &Event::OrderEnded {
                            worker,
                            function: func,
                            result,
                            took,
                            copies,
                        },
                        reply,
                    )?;
                }
            }
            "response" => {
                let id = v.text("requestId")?;
                let concluded = v.flag("complete")?;
                let took = v.time("lag")?;
                let dispatch = v.value("n")?;
                let worker = it.known_worker(v.text("worker")?)?;
                let remark = v.maybe("remark")?;
                let outcome = codec::outcome(v.text("result")?)?;
                let report = codec::report(v.text("serverStats")?, &it.fields)?;
                v.end()?;
                let (note, crowd) = codec::remark(remark, outcome, it.crowds);
                if let Some(inv) = it.invs.find(id) {
                    let ending = DispatchEnded {
                        invocation: inv,
                        dispatch,
                        worker,
                        outcome,
                        took,
                        answered: concluded,
                        copy_status: note,
                        function_load: crowd,
                        report,
                    };
                    it.tell(now, router, &Event::DispatchEnded(ending), reply)?;
                }
            }
            "echo" => {
                let worker = it.known_worker(v.text("worker")?)?;
                let outcome = codec::outcome(v.text("result")?)?;
                let took = v.time("lag")?;
                let report = codec::report(v.text("serverStats")?, &it.fields)?;
                v.end()?;
                it.tell(
                    now,
                    router,
                    &Event::ProbeEnded {
                        worker,
                        outcome,
                        took,
                        report,
                    },
                    reply,
                )?;
            }
            _ => unreachable!("checked against the words above"),
        }
        Ok(())
    }

    fn entry(&mut self, mut v: Values, reply: &mut Vec<u8>) -> Result<()> {
        let (Some(list), Some(now)) = (&mut self.list, self.now) else {
            return Err(out_of_place("m", "outside a list"));
        };
        let router = list.router;
        let it = self
            .instances
            .get_mut(&router)
            .ok_or(Refused::NotAlive { router })?;
        let id = v.text("worker")?;
        let entry = Endpoint {
            worker: it.workers.intern(id),
            fingerprint: fingerprint(id),
            zone: v.maybe("dc")?.unwrap_or(0),
            machine_kind: v.maybe("model")?.unwrap_or(0),
            cell: v.maybe("group")?.unwrap_or(0),
            state: codec::standing(v.text("readiness")?)?,
            weight: v.maybe("powerHint")?.unwrap_or(1.0),
            started_at: v
                .maybe::<i64>("startTime")?
                .filter(|t| *t != 0)
                .map(micros_from_nanos),
        };
        v.end()?;
        list.entries.push(entry);
        list.left -= 1;
        if list.left == 0
            && let Some(List {
                router,
                mode,
                entries,
                ..
            }) = self.list.take()
        {
            it.tell(
                now,
                router,
                &Event::EndpointList {
                    kind: mode,
                    endpoints: &entries,
                },
                reply,
            )?;
        }
        Ok(())
    }
}
