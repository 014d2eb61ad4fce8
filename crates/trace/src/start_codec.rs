//! Encodes the start record. Fields are written in the order of this file; a later format may only append fields.

use cedarpulley::interface::*;
use cedarpulley_startup::StartupSettings;

use crate::codec::{DecodeError, Decoder, Encoder};
use crate::start::{Provenance, Source, StartRecord};

type Decoded<T> = Result<T, DecodeError>;

/// Encodes the sources of a file in the current format.
pub fn encode_sources(sources: &[Source]) -> Vec<u8> {
    let mut out = Encoder::default();
    out.unsigned(sources.len() as u64);
    for source in sources {
        out.signed(source.clock_ahead);
        out.byte(source.provenance as u8);
        let start = source.start.encode();
        out.unsigned(start.len() as u64);
        out.bytes.extend(start);
    }
    out.bytes
}

/// Decodes the sources of a file of any known format; returns at least one.
pub fn decode_sources(format: u16, bytes: &[u8]) -> Decoded<Vec<Source>> {
    if format == 1 {
        return Ok(vec![StartRecord::decode(bytes)?.into()]);
    }
    let sources = Decoder::new(bytes).list(decode_source)?;
    if sources.is_empty() {
        Err(DecodeError::Truncated)
    } else {
        Ok(sources)
    }
}

fn decode_source(input: &mut Decoder) -> Decoded<Source> {
    let clock_ahead = input.signed()?;
    let provenance = match input.byte()? {
        0 => Provenance::Original,
        1 => Provenance::Cut,
        2 => Provenance::Stripped,
        3 => Provenance::Redone,
        _ => return Err(DecodeError::UnknownValue),
    };
    let size = usize::try_from(input.unsigned()?).map_err(|_| DecodeError::Truncated)?;
    Ok(Source {
        start: StartRecord::decode(input.take(size)?)?,
        clock_ahead,
        provenance,
    })
}

impl StartRecord {
    /// Encodes the start record of one router, as in format 1.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Encoder::default();
        out.text(&self.router);
        out.bytes.extend_from_slice(&self.module_digest);
        out.bytes.extend_from_slice(&self.settings_digest);
        out.unsigned(self.file_number);
        out.signed(self.wall_at_zero);
        for names in [&self.trigger_names, &self.account_names, &self.front_names] {
            out.unsigned(names.len() as u64);
            names.iter().for_each(|name| out.text(name));
        }
        out.unsigned(self.seed);
        let startup = &self.startup;
        encode_fleet(&mut out, &startup.fleet);
        encode_limits(&mut out, &startup.limits);
        encode_rules(&mut out, &startup.rules);
        out.unsigned(startup.triggers.len() as u64);
        for trigger in &startup.triggers {
            encode_trigger(&mut out, trigger);
        }
        out.unsigned(startup.accounts.len() as u64);
        for account in &startup.accounts {
            out.float(account.quota_per_s);
            out.float(account.share);
        }
        encode_loads(&mut out, &startup.loads);
        encode_prices(&mut out, &startup.prices);
        out.byte(match startup.reports {
            ReportSource::Answers => 0,
            ReportSource::Probes => 1,
            ReportSource::Nothing => 2,
        });
        encode_state_limits(&mut out, &startup.state);
        out.bytes
    }

    /// Decodes a start record that [`StartRecord::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Decoded<StartRecord> {
        let input = &mut Decoder::new(bytes);
        Ok(StartRecord {
            router: input.text()?.to_owned(),
            module_digest: decode_digest(input)?,
            settings_digest: decode_digest(input)?,
            file_number: input.unsigned()?,
            wall_at_zero: input.signed()?,
            trigger_names: decode_names(input)?,
            account_names: decode_names(input)?,
            front_names: decode_names(input)?,
            seed: input.unsigned()?,
            startup: StartupSettings {
                fleet: decode_fleet(input)?,
                limits: decode_limits(input)?,
                rules: decode_rules(input)?,
                triggers: input.list(decode_trigger)?,
                accounts: input.list(decode_account)?,
                loads: decode_loads(input)?,
                prices: decode_prices(input)?,
                reports: decode_report_source(input)?,
                state: decode_state_limits(input)?,
            },
        })
    }
}

fn decode_digest(input: &mut Decoder) -> Decoded<[u8; 32]> {
    input
        .take(32)?
        .try_into()
        .map_err(|_| DecodeError::Truncated)
}

fn decode_names(input: &mut Decoder) -> Decoded<Vec<String>> {
    input.list(|input| input.text().map(str::to_owned))
}

fn encode_fleet(out: &mut Encoder, fleet: &FleetPosition) {
    out.unsigned(fleet.routers.into());
    out.unsigned(fleet.position.into());
    out.unsigned(fleet.zone.into());
    out.signed(fleet.granularity);
}

fn decode_fleet(input: &mut Decoder) -> Decoded<FleetPosition> {
    Ok(FleetPosition {
        routers: input.u32()?,
        position: input.u32()?,
        zone: input.u32()?,
        granularity: input.signed()?,
    })
}

fn encode_limits(out: &mut Encoder, limits: &DispatchLimits) {
    out.unsigned(limits.max_dispatches.into());
    out.byte(limits.hedged_requests.into());
    out.byte(limits.cancellation.into());
    out.byte(limits.probes.into());
    out.signed(limits.connect_timeout);
    out.signed(limits.max_retry_after);
}

fn decode_limits(input: &mut Decoder) -> Decoded<DispatchLimits> {
    Ok(DispatchLimits {
        max_dispatches: input.u32()?,
        hedged_requests: input.flag()?,
        cancellation: input.flag()?,
        probes: input.flag()?,
        connect_timeout: input.signed()?,
        max_retry_after: input.signed()?,
    })
}

fn encode_rules(out: &mut Encoder, rules: &RuleLimits) {
    out.signed(rules.answer_slack);
    out.signed(rules.drain_grace);
    out.signed(rules.list_request_timeout);
    out.byte(rules.list_on_request.into());
    out.float(rules.slow_start_fraction);
    out.signed(rules.slow_start_duration);
    out.float(rules.overload_multiple);
    out.signed(rules.overload_window);
}

fn decode_rules(input: &mut Decoder) -> Decoded<RuleLimits> {
    Ok(RuleLimits {
        answer_slack: input.signed()?,
        drain_grace: input.signed()?,
        list_request_timeout: input.signed()?,
        list_on_request: input.flag()?,
        slow_start_fraction: input.float()?,
        slow_start_duration: input.signed()?,
        overload_multiple: input.float()?,
        overload_window: input.signed()?,
    })
}

fn encode_effect(out: &mut Encoder, effect: Effect) {
    match effect {
        Effect::Idempotent => out.byte(0),
        Effect::NonIdempotent => out.byte(1),
        Effect::IdempotentByKey { scope, window } => {
            out.byte(match scope {
                DeduplicationScope::All => 2,
                DeduplicationScope::Zone => 3,
                DeduplicationScope::Cell => 4,
            });
            out.signed(window);
        }
    }
}

fn decode_effect(input: &mut Decoder) -> Decoded<Effect> {
    let scope = match input.byte()? {
        0 => return Ok(Effect::Idempotent),
        1 => return Ok(Effect::NonIdempotent),
        2 => DeduplicationScope::All,
        3 => DeduplicationScope::Zone,
        4 => DeduplicationScope::Cell,
        _ => return Err(DecodeError::UnknownValue),
    };
    Ok(Effect::IdempotentByKey {
        scope,
        window: input.signed()?,
    })
}

fn encode_trigger(out: &mut Encoder, trigger: &TriggerType) {
    encode_effect(out, trigger.effect);
    out.signed(trigger.latency_objective);
    out.float(trigger.objective_work_multiple);
    out.signed(trigger.client_timeout);
    out.float(trigger.billed_value);
    out.float(trigger.late_value_fraction);
    out.byte(trigger.streamed.into());
}

fn decode_trigger(input: &mut Decoder) -> Decoded<TriggerType> {
    Ok(TriggerType {
        effect: decode_effect(input)?,
        latency_objective: input.signed()?,
        objective_work_multiple: input.float()?,
        client_timeout: input.signed()?,
        billed_value: input.float()?,
        late_value_fraction: input.float()?,
        streamed: input.flag()?,
    })
}

fn decode_account(input: &mut Decoder) -> Decoded<Account> {
    Ok(Account {
        quota_per_s: input.float()?,
        share: input.float()?,
    })
}

fn encode_loads(out: &mut Encoder, loads: &LoadSettings) {
    out.signed(loads.idle_retention);
    out.byte(loads.load_orders.into());
    out.byte(loads.loads_when_absent.into());
    out.byte(loads.reports_copy_status.into());
    out.byte(loads.reports_function_load.into());
    out.signed(loads.order_timeout);
    out.signed(loads.order_quota_window);
    out.float(loads.order_quota_base);
    out.float(loads.order_quota_per_invocation);
    out.unsigned(loads.memory_mb.len() as u64);
    loads.memory_mb.iter().for_each(|mb| out.float(*mb));
}

fn decode_loads(input: &mut Decoder) -> Decoded<LoadSettings> {
    Ok(LoadSettings {
        idle_retention: input.signed()?,
        load_orders: input.flag()?,
        loads_when_absent: input.flag()?,
        reports_copy_status: input.flag()?,
        reports_function_load: input.flag()?,
        order_timeout: input.signed()?,
        order_quota_window: input.signed()?,
        order_quota_base: input.float()?,
        order_quota_per_invocation: input.float()?,
        memory_mb: input.list(Decoder::float)?,
    })
}

fn encode_prices(out: &mut Encoder, prices: &Prices) {
    out.float(prices.crossing);
    out.float(prices.fetch);
    out.float(prices.waste);
    out.float(prices.probe);
    out.float(prices.late_error);
    out.float(prices.over_quota);
}

fn decode_prices(input: &mut Decoder) -> Decoded<Prices> {
    Ok(Prices {
        crossing: input.float()?,
        fetch: input.float()?,
        waste: input.float()?,
        probe: input.float()?,
        late_error: input.float()?,
        over_quota: input.float()?,
    })
}

/// Encodes nothing if there are no bounds, as in traces that were written before there were any.
fn encode_state_limits(out: &mut Encoder, limits: &StateLimits) {
    if let Some(bytes) = limits.function_bytes {
        out.unsigned(bytes);
    }
}

fn decode_state_limits(input: &mut Decoder) -> Decoded<StateLimits> {
    let function_bytes = match input.is_empty() {
        true => None,
        false => Some(input.unsigned()?),
    };
    Ok(StateLimits { function_bytes })
}

fn decode_report_source(input: &mut Decoder) -> Decoded<ReportSource> {
    match input.byte()? {
        0 => Ok(ReportSource::Answers),
        1 => Ok(ReportSource::Probes),
        2 => Ok(ReportSource::Nothing),
        _ => Err(DecodeError::UnknownValue),
    }
}
