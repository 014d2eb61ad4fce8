//! What a trace file begins with: all that the module was born with, so that it can be born again, and the names that
//! stand for its indices.

use cedarpulley::Balancer;
use cedarpulley::interface::*;
use cedarpulley_startup::StartupSettings;

use crate::wire::{Bad, Get, Put};

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
    pub ahead: Micros,
    pub extent: Extent,
}

impl From<Start> for Source {
    fn from(start: Start) -> Self {
        Source {
            start,
            ahead: 0,
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
            .saturating_sub(self.ahead)
    }
}

/// The start record of a file in the present format.
pub fn put_sources(sources: &[Source]) -> Vec<u8> {
    let mut p = Put::default();
    p.u(sources.len() as u64);
    for s in sources {
        p.i(s.ahead);
        p.byte(s.extent as u8);
        let body = s.start.put();
        p.u(body.len() as u64);
        p.bytes.extend(body);
    }
    p.bytes
}

pub fn get_sources(format: u16, bytes: &[u8]) -> Result<Vec<Source>, Bad> {
    if format == 1 {
        return Ok(vec![Start::get(bytes)?.into()]);
    }
    let sources = Get::new(bytes).many(|g| {
        let ahead = g.i()?;
        let extent = match g.byte()? {
            0 => Extent::Whole,
            1 => Extent::Cut,
            2 => Extent::Stripped,
            3 => Extent::Redone,
            _ => return Err(Bad::Unknown),
        };
        let size = usize::try_from(g.u()?).map_err(|_| Bad::Short)?;
        Ok(Source {
            start: Start::get(g.take(size)?)?,
            ahead,
            extent,
        })
    })?;
    if sources.is_empty() {
        Err(Bad::Short)
    } else {
        Ok(sources)
    }
}

/// Of this build's module.
pub fn module_digest() -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for source in cedarpulley::MODULE_SOURCES {
        hasher.update(source.text.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

pub fn digest(text: &[u8]) -> [u8; 32] {
    *blake3::hash(text).as_bytes()
}

fn digest_of(g: &mut Get) -> Result<[u8; 32], Bad> {
    g.take(32)?.try_into().map_err(|_| Bad::Short)
}

impl Start {
    /// The module, born again.
    pub fn balancer(&self) -> Balancer {
        self.startup.balancer(self.seed)
    }

    pub fn put(&self) -> Vec<u8> {
        let mut out = Put::default();
        let p = &mut out;
        p.text(&self.router);
        p.bytes.extend_from_slice(&self.module);
        p.bytes.extend_from_slice(&self.settings);
        p.u(self.file);
        p.i(self.wall_at_zero);
        for names in [
            &self.triggers_named,
            &self.accounts_named,
            &self.fronts_named,
        ] {
            p.u(names.len() as u64);
            names.iter().for_each(|n| p.text(n));
        }
        p.u(self.seed);
        let f = &self.startup.fleet;
        [f.routers, f.position, f.zone]
            .into_iter()
            .for_each(|n| p.u(n.into()));
        p.i(f.granularity);
        let l = &self.startup.limits;
        p.u(l.max_dispatches.into());
        [l.hedged_requests, l.cancellation, l.probes]
            .into_iter()
            .for_each(|b| p.byte(b.into()));
        p.i(l.connect_timeout);
        p.i(l.max_retry_after);
        let r = &self.startup.rules;
        [r.answer_slack, r.drain_grace, r.list_request_timeout]
            .into_iter()
            .for_each(|t| p.i(t));
        p.byte(r.list_on_request.into());
        p.f(r.slow_start_fraction);
        p.i(r.slow_start_duration);
        p.f(r.overload_multiple);
        p.i(r.overload_window);
        p.u(self.startup.triggers.len() as u64);
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
                    p.i(window);
                }
            }
            p.i(t.latency_objective);
            p.f(t.objective_work_multiple);
            p.i(t.client_timeout);
            p.f(t.billed_value);
            p.f(t.late_value_fraction);
            p.byte(t.streamed.into());
        }
        p.u(self.startup.accounts.len() as u64);
        for a in &self.startup.accounts {
            p.f(a.quota_per_s);
            p.f(a.share);
        }
        let l = &self.startup.loads;
        p.i(l.idle_retention);
        [
            l.load_orders,
            l.loads_when_absent,
            l.reports_copy_status,
            l.reports_function_load,
        ]
        .into_iter()
        .for_each(|b| p.byte(b.into()));
        p.i(l.order_timeout);
        p.i(l.order_quota_window);
        p.f(l.order_quota_base);
        p.f(l.order_quota_per_invocation);
        p.u(l.memory_mb.len() as u64);
        l.memory_mb.iter().for_each(|m| p.f(*m));
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
        .for_each(|x| p.f(x));
        p.byte(match self.startup.reports {
            ReportSource::Answers => 0,
            ReportSource::Probes => 1,
            ReportSource::Nothing => 2,
        });
        out.bytes
    }

    pub fn get(bytes: &[u8]) -> Result<Start, Bad> {
        let g = &mut Get::new(bytes);
        let router = g.text()?.to_owned();
        let (module, settings) = (digest_of(g)?, digest_of(g)?);
        let (file, wall_at_zero) = (g.u()?, g.i()?);
        let names = |g: &mut Get| g.many(|g| g.text().map(str::to_owned));
        let (triggers_named, accounts_named, fronts_named) = (names(g)?, names(g)?, names(g)?);
        let seed = g.u()?;
        let fleet = FleetPosition {
            routers: g.u32()?,
            position: g.u32()?,
            zone: g.u32()?,
            granularity: g.i()?,
        };
        let limits = DispatchLimits {
            max_dispatches: g.u32()?,
            hedged_requests: g.flag()?,
            cancellation: g.flag()?,
            probes: g.flag()?,
            connect_timeout: g.i()?,
            max_retry_after: g.i()?,
        };
        let rules = RuleLimits {
            answer_slack: g.i()?,
            drain_grace: g.i()?,
            list_request_timeout: g.i()?,
            list_on_request: g.flag()?,
            slow_start_fraction: g.f()?,
            slow_start_duration: g.i()?,
            overload_multiple: g.f()?,
            overload_window: g.i()?,
        };
        let triggers = g.many(|g| {
            let effect = match g.byte()? {
                0 => Effect::Idempotent,
                1 => Effect::NonIdempotent,
                2 => Effect::IdempotentByKey {
                    scope: DeduplicationScope::All,
                    window: g.i()?,
                },
                3 => Effect::IdempotentByKey {
                    scope: DeduplicationScope::Zone,
                    window: g.i()?,
                },
                4 => Effect::IdempotentByKey {
                    scope: DeduplicationScope::Cell,
                    window: g.i()?,
                },
                _ => return Err(Bad::Unknown),
            };
            Ok(TriggerType {
                effect,
                latency_objective: g.i()?,
                objective_work_multiple: g.f()?,
                client_timeout: g.i()?,
                billed_value: g.f()?,
                late_value_fraction: g.f()?,
                streamed: g.flag()?,
            })
        })?;
        let accounts = g.many(|g| {
            Ok(Account {
                quota_per_s: g.f()?,
                share: g.f()?,
            })
        })?;
        let idle_kept = g.i()?;
        let (orders, loads_when_absent, notes, crowds) =
            (g.flag()?, g.flag()?, g.flag()?, g.flag()?);
        let loads = LoadSettings {
            idle_retention: idle_kept,
            load_orders: orders,
            loads_when_absent,
            reports_copy_status: notes,
            reports_function_load: crowds,
            order_timeout: g.i()?,
            order_quota_window: g.i()?,
            order_quota_base: g.f()?,
            order_quota_per_invocation: g.f()?,
            memory_mb: g.many(Get::f)?,
        };
        let prices = Prices {
            crossing: g.f()?,
            fetch: g.f()?,
            waste: g.f()?,
            probe: g.f()?,
            late_error: g.f()?,
            over_quota: g.f()?,
        };
        let reports = match g.byte()? {
            0 => ReportSource::Answers,
            1 => ReportSource::Probes,
            2 => ReportSource::Nothing,
            _ => return Err(Bad::Unknown),
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
