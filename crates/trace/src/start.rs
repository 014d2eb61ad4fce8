//! What a trace file begins with: all that the module was born with, so that it can be born again, and the names that
//! stand for its indices.

use cedarpulley::Balancer;
use cedarpulley::interface::*;
use cedarpulley_startup::StartupSettings;

use crate::codec::{DecodeError, Decoder, Encoder};

#[derive(Clone, Debug)]
pub struct Start {
    pub router: String,
    /// Of the module's source with its interface, and of the settings' text.
    pub module: [u8; 32],
    pub settings: [u8; 32],
    /// This file's number in the router's row, from 0: only a row from 0 on can be replayed.
    pub file: u64,
    /// Wall's clock at the router's time 0.
    pub wall_at_zero: Micros,
    pub triggers_named: Vec<String>,
    pub accounts_named: Vec<String>,
    pub fronts_named: Vec<String>,
    pub seed: u64,
    pub startup: StartupSettings,
}

/// What a file has of a router's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Extent {
    /// One file of its row, as it was written.
    #[default]
    Whole,
    /// A part that was cut out.
    Cut,
    /// Names and seed are no longer its own.
    Stripped,
    /// With another build's decisions in place of what was decided.
    Redone,
}

/// One router's file within a file.
#[derive(Clone, Debug)]
pub struct Source {
    pub start: Start,
    /// By how much its wall's clock is ahead of the first source's, as estimated on merging.
    pub clock_ahead: Micros,
    pub extent: Extent,
}

impl From<Start> for Source {
    fn from(start: Start) -> Self {
        Source {
            start,
            clock_ahead: 0,
            extent: Extent::Whole,
        }
    }
}

impl Source {
    /// The common wall's time of one of its own.
    pub fn wall(&self, at: Micros) -> Micros {
        self.start
            .wall_at_zero
            .saturating_add(at)
            .saturating_sub(self.clock_ahead)
    }
}

/// The start record of a file in the present format.
pub fn encode_sources(sources: &[Source]) -> Vec<u8> {
    let mut p = Encoder::default();
    p.unsigned(sources.len() as u64);
    for s in sources {
        p.signed(s.clock_ahead);
        p.byte(s.extent as u8);
        let body = s.start.encode();
        p.unsigned(body.len() as u64);
        p.bytes.extend(body);
    }
    p.bytes
}

pub fn decode_sources(format: u16, bytes: &[u8]) -> Result<Vec<Source>, DecodeError> {
    if format == 1 {
        return Ok(vec![Start::get(bytes)?.into()]);
    }
    let sources = Decoder::new(bytes).list(|g| {
        let ahead = g.signed()?;
        let extent = match g.byte()? {
            0 => Extent::Whole,
            1 => Extent::Cut,
            2 => Extent::Stripped,
            3 => Extent::Redone,
            _ => return Err(DecodeError::UnknownValue),
        };
        let size = usize::try_from(g.unsigned()?).map_err(|_| DecodeError::Truncated)?;
        Ok(Source {
            start: Start::get(g.take(size)?)?,
            clock_ahead: ahead,
            extent,
        })
    })?;
    if sources.is_empty() {
        Err(DecodeError::Truncated)
    } else {
        Ok(sources)
    }
}

/// Of this build's module.
pub fn module_digest() -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(include_bytes!("../../../src/control.rs"));
    hasher.update(include_bytes!("../../../src/interface.rs"));
    *hasher.finalize().as_bytes()
}

pub fn digest(text: &[u8]) -> [u8; 32] {
    *blake3::hash(text).as_bytes()
}

fn digest_of(g: &mut Decoder) -> Result<[u8; 32], DecodeError> {
    g.take(32)?.try_into().map_err(|_| DecodeError::Truncated)
}

impl Start {
    /// The module, born again.
    pub fn balancer(&self) -> Balancer {
        self.startup.balancer(self.seed)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Encoder::default();
        let p = &mut out;
        p.text(&self.router);
        p.bytes.extend_from_slice(&self.module);
        p.bytes.extend_from_slice(&self.settings);
        p.unsigned(self.file);
        p.signed(self.wall_at_zero);
        for names in [
            &self.triggers_named,
            &self.accounts_named,
            &self.fronts_named,
        ] {
            p.unsigned(names.len() as u64);
            names.iter().for_each(|n| p.text(n));
        }
        p.unsigned(self.seed);
        let f = &self.startup.fleet;
        [f.routers, f.position, f.zone]
            .into_iter()
            .for_each(|n| p.unsigned(n.into()));
        p.signed(f.granularity);
        let l = &self.startup.limits;
        p.unsigned(l.max_dispatches.into());
        [l.hedged_requests, l.cancellation, l.probes]
            .into_iter()
            .for_each(|b| p.byte(b.into()));
        p.signed(l.connect_timeout);
        p.signed(l.max_retry_after);
        let r = &self.startup.rules;
        [r.answer_slack, r.drain_grace, r.list_request_timeout]
            .into_iter()
            .for_each(|t| p.signed(t));
        p.byte(r.list_on_request.into());
        p.float(r.slow_start_fraction);
        p.signed(r.slow_start_duration);
        p.float(r.overload_multiple);
        p.signed(r.overload_window);
        p.unsigned(self.startup.triggers.len() as u64);
        for t in &self.startup.triggers {
            match t.effect {
                Effect::Idempotent => p.byte(0),
                Effect::NonIdempotent => p.byte(1),
                Effect::IdempotentByKey {
                    scope: group,
                    window,
                } => {
                    p.byte(match group {
                        DeduplicationScope::All => 2,
                        DeduplicationScope::Zone => 3,
                        DeduplicationScope::Cell => 4,
                    });
                    p.signed(window);
                }
            }
            p.signed(t.latency_objective);
            p.float(t.objective_work_multiple);
            p.signed(t.client_timeout);
            p.float(t.billed_value);
            p.float(t.late_value_fraction);
            p.byte(t.streamed.into());
        }
        p.unsigned(self.startup.accounts.len() as u64);
        for a in &self.startup.accounts {
            p.float(a.quota_per_s);
            p.float(a.share);
        }
        let l = &self.startup.loads;
        p.signed(l.idle_retention);
        [
            l.load_orders,
            l.loads_when_absent,
            l.reports_copy_status,
            l.reports_function_load,
        ]
        .into_iter()
        .for_each(|b| p.byte(b.into()));
        p.signed(l.order_timeout);
        p.signed(l.order_quota_window);
        p.float(l.order_quota_base);
        p.float(l.order_quota_per_invocation);
        p.unsigned(l.memory_mb.len() as u64);
        l.memory_mb.iter().for_each(|m| p.float(*m));
        let c = &self.startup.prices;
        [
            c.crossing,
            c.fetch,
            c.waste,
            c.probe,
            c.late_error,
            c.over_quota,
        ]
        .into_iter()
        .for_each(|x| p.float(x));
        p.byte(match self.startup.reports {
            ReportSource::Answers => 0,
            ReportSource::Probes => 1,
            ReportSource::Nothing => 2,
        });
        out.bytes
    }

    pub fn get(bytes: &[u8]) -> Result<Start, DecodeError> {
        let g = &mut Decoder::new(bytes);
        let router = g.text()?.to_owned();
        let (module, settings) = (digest_of(g)?, digest_of(g)?);
        let (file, wall_at_zero) = (g.unsigned()?, g.signed()?);
        let names = |g: &mut Decoder| g.list(|g| g.text().map(str::to_owned));
        let (triggers_named, accounts_named, fronts_named) = (names(g)?, names(g)?, names(g)?);
        let seed = g.unsigned()?;
        let fleet = FleetPosition {
            routers: g.u32()?,
            position: g.u32()?,
            zone: g.u32()?,
            granularity: g.signed()?,
        };
        let limits = DispatchLimits {
            max_dispatches: g.u32()?,
            hedged_requests: g.flag()?,
            cancellation: g.flag()?,
            probes: g.flag()?,
            connect_timeout: g.signed()?,
            max_retry_after: g.signed()?,
        };
        let rules = RuleLimits {
            answer_slack: g.signed()?,
            drain_grace: g.signed()?,
            list_request_timeout: g.signed()?,
            list_on_request: g.flag()?,
            slow_start_fraction: g.float()?,
            slow_start_duration: g.signed()?,
            overload_multiple: g.float()?,
            overload_window: g.signed()?,
        };
        let triggers = g.list(|g| {
            let effect = match g.byte()? {
                0 => Effect::Idempotent,
                1 => Effect::NonIdempotent,
                2 => Effect::IdempotentByKey {
                    scope: DeduplicationScope::All,
                    window: g.signed()?,
                },
                3 => Effect::IdempotentByKey {
                    scope: DeduplicationScope::Zone,
                    window: g.signed()?,
                },
                4 => Effect::IdempotentByKey {
                    scope: DeduplicationScope::Cell,
                    window: g.signed()?,
                },
                _ => return Err(DecodeError::UnknownValue),
            };
            Ok(TriggerType {
                effect,
                latency_objective: g.signed()?,
                objective_work_multiple: g.float()?,
                client_timeout: g.signed()?,
                billed_value: g.float()?,
                late_value_fraction: g.float()?,
                streamed: g.flag()?,
            })
        })?;
        let accounts = g.list(|g| {
            Ok(Account {
                quota_per_s: g.float()?,
                share: g.float()?,
            })
        })?;
        let idle_kept = g.signed()?;
        let (orders, loads_when_absent, notes, crowds) =
            (g.flag()?, g.flag()?, g.flag()?, g.flag()?);
        let loads = LoadSettings {
            idle_retention: idle_kept,
            load_orders: orders,
            loads_when_absent,
            reports_copy_status: notes,
            reports_function_load: crowds,
            order_timeout: g.signed()?,
            order_quota_window: g.signed()?,
            order_quota_base: g.float()?,
            order_quota_per_invocation: g.float()?,
            memory_mb: g.list(Decoder::float)?,
        };
        let prices = Prices {
            crossing: g.float()?,
            fetch: g.float()?,
            waste: g.float()?,
            probe: g.float()?,
            late_error: g.float()?,
            over_quota: g.float()?,
        };
        let reports = match g.byte()? {
            0 => ReportSource::Answers,
            1 => ReportSource::Probes,
            2 => ReportSource::Nothing,
            _ => return Err(DecodeError::UnknownValue),
        };
        Ok(Start {
            router,
            module,
            settings,
            file,
            wall_at_zero,
            triggers_named,
            accounts_named,
            fronts_named,
            seed,
            startup: StartupSettings {
                fleet,
                limits,
                rules,
                triggers,
                accounts,
                loads,
                prices,
                reports,
            },
        })
    }
}
