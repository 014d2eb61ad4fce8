//! What an operator reads of a group at one of its routers: `GET /state` as JSON, `GET /metrics` as counts. It changes
//! nothing.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use cedarpulley_membership::{MemberIx, Standing};
use cedarpulley_replica::{Record, Sent as SentState};
use metrics_exporter_prometheus::PrometheusBuilder;
use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::fellows::Fellows;
use crate::post::Sent;

fn standing(s: Standing) -> &'static str {
    match s {
        Standing::Unknown => "unknown",
        Standing::Alive => "alive",
        Standing::Suspected => "suspected",
        Standing::Dead => "dead",
    }
}

/// How far a record has advanced.
fn advanced(record: &Record) -> &'static str {
    match record {
        Record::Effect(e) if e.closed => "closed",
        Record::Effect(e) if e.fault => "fault",
        Record::Effect(e) if e.answer.is_some() => "answered",
        Record::Effect(e) if e.sendings.values().any(|s| s.state == SentState::MayHaveRun) => "may-have-run",
        Record::Effect(e) if e.sendings.values().any(|s| s.state == SentState::Intended) => "intended",
        Record::Effect(e) if e.taken => "taken",
        Record::Effect(_) => "fenced",
        Record::Choice(_) => "choice",
        Record::Note(_) => "note",
    }
}

/// Counts of several parts, whose names differ.
fn counts_of(parts: &[&dyn Named]) -> Value {
    let mut all = Map::new();
    for part in parts {
        if let Value::Object(counts) = part.named() {
            all.extend(counts);
        }
    }
    Value::Object(all)
}

trait Named {
    fn named(&self) -> Value;
}

impl<T: Serialize> Named for T {
    fn named(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}

pub fn state(fellows: &Fellows, sent: Sent) -> Value {
    let mut state = group(fellows, sent);
    if let Value::Object(state) = &mut state {
        state.extend(fellows.shown().into_iter().map(|(name, shown)| (name.to_owned(), shown)));
    }
    state
}

fn group(fellows: &Fellows, sent: Sent) -> Value {
    fellows.look(|now, membership, believed, replica, counts, stale_folder| {
        let group = membership.group();
        let member = |m: MemberIx| {
            let (known, of) = (membership.known(m), &group.members[m as usize]);
            json!({
                "name": of.name, "region": of.region, "weight": of.weight, "witness": of.witness,
                "standing": standing(known.standing), "why": known.why, "for_us": now - known.since,
                "turn": known.process.turn, "process": format!("{:016x}", known.process.nonce),
                "heard_us_ago": known.heard.map(|at| now - at), "believed_alive": believed.is_alive(m),
            })
        };
        let mut records: BTreeMap<&str, u64> = BTreeMap::new();
        // By key, so that members with the same records have the same.
        let mut alike = DefaultHasher::new();
        for (key, slot) in replica.records() {
            (key, &slot.record).hash(&mut alike);
            *records.entry(advanced(&slot.record)).or_default() += 1;
        }
        let mut claims: BTreeMap<&str, u64> = BTreeMap::new();
        for (_, claim) in replica.claimed() {
            *claims.entry(claim.word()).or_default() += 1;
        }
        json!({
            "group": group.name,
            "member": group.members[group.me as usize].name,
            "memory": replica.memory(),
            "folder_was_older": stale_folder,
            "view": {"version": membership.version(), "believed": believed.version()},
            "members": (0..group.len() as MemberIx).map(member).collect::<Vec<_>>(),
            "majority_alive": group.is_majority((0..group.len() as MemberIx).filter(|m| membership.lives(*m))),
            "records": records,
            "records_digest": format!("{:016x}", alike.finish()),
            "claims": claims,
            "lacking_leaves": replica.lacking(),
            "conflicts": replica.faults(),
            "counts": counts_of(&[&replica.counts, &membership.counts, counts, &sent]),
        })
    })
}

/// The counts of [`state`], in the text form that scrapers read.
pub fn metrics(fellows: &Fellows, sent: Sent) -> String {
    let state = state(fellows, sent);
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        for (name, value) in state["counts"].as_object().into_iter().flatten() {
            let name = format!("cedarpulley_group_{name}_total");
            metrics::counter!(name).absolute(value.as_u64().unwrap_or(0));
        }
        for (name, value) in state["reconcile"]["counts"].as_object().into_iter().flatten() {
            let name = format!("cedarpulley_reconcile_{name}_total");
            metrics::counter!(name).absolute(value.as_u64().unwrap_or(0));
        }
        for (kind, value) in state["records"].as_object().into_iter().flatten() {
            metrics::gauge!("cedarpulley_group_records", "state" => kind.clone())
                .set(value.as_f64().unwrap_or(0.0));
        }
        for member in state["members"].as_array().into_iter().flatten() {
            let (name, standing) = (member["name"].as_str(), member["standing"].as_str());
            let labels =
                [("member", name.unwrap_or("").to_owned()), ("standing", standing.unwrap_or("").to_owned())];
            metrics::gauge!("cedarpulley_group_member", &labels).set(1.0);
        }
        let faults = state["conflicts"].as_u64().unwrap_or(0);
        metrics::counter!("cedarpulley_group_conflicts_total").absolute(faults);
    });
    handle.render()
}
