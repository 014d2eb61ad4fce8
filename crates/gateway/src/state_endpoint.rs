//! The group's state for operators, read-only: `GET /state` as JSON, `GET /metrics` in the Prometheus text
//! format.

use std::collections::BTreeMap;

use cedarpulley_membership::{Member, MemberIndex, MemberState};
use cedarpulley_replica::{IntentState as SentState, Record, Replica};
use metrics_exporter_prometheus::PrometheusBuilder;
use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::peers::{PeerStateView, Peers};
use crate::send_queue::TransportCounts;

/// The name of a member's state in the responses.
fn liveness_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Unknown => "unknown",
        MemberState::Alive => "alive",
        MemberState::Suspected => "suspected",
        MemberState::Dead => "dead",
    }
}

/// The name of the stage that a record has reached.
fn record_stage(record: &Record) -> &'static str {
    match record {
        Record::Invocation(entry) if entry.closed => "closed",
        Record::Invocation(entry) if entry.has_conflict => "fault",
        Record::Invocation(entry) if entry.answer.is_some() => "answered",
        Record::Invocation(entry)
            if entry
                .intents
                .values()
                .any(|intent| intent.state == SentState::Indeterminate) =>
        {
            "may-have-run"
        }
        Record::Invocation(entry)
            if entry
                .intents
                .values()
                .any(|intent| intent.state == SentState::Intended) =>
        {
            "intended"
        }
        Record::Invocation(entry) if entry.taken => "taken",
        Record::Invocation(_) => "fenced",
        Record::Choice(_) => "choice",
        Record::Note(_) => "note",
    }
}

/// Merges the counts of several components into one object; the names of the counts are distinct.
fn merged_counts(components: &[&dyn ToJson]) -> Value {
    let mut all = Map::new();
    for component in components {
        if let Value::Object(counts) = component.to_json() {
            all.extend(counts);
        }
    }
    Value::Object(all)
}

/// Conversion to JSON that can be called on a trait object.
trait ToJson {
    fn to_json(&self) -> Value;
}

impl<T: Serialize> ToJson for T {
    fn to_json(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}

/// The complete state as JSON; docs/operate/group.md describes its keys.
pub fn state(peers: &Peers, transport: TransportCounts) -> Value {
    let mut state = group_state(peers, transport);
    if let Value::Object(state) = &mut state {
        state.extend(
            peers
                .provided_state()
                .into_iter()
                .map(|(name, state)| (name.to_owned(), state)),
        );
    }
    state
}

/// Numbers of records.
#[derive(Default)]
struct RecordCounts<'a> {
    by_stage: BTreeMap<&'a str, u64>,
    /// By owner and stage: the open invocations that the other members would take over if the owner failed now.
    open: BTreeMap<&'a str, BTreeMap<&'a str, u64>>,
}

fn count_records<'a>(members: &'a [Member], replica: &Replica) -> RecordCounts<'a> {
    let mut counts = RecordCounts::default();
    for (_, slot) in replica.records() {
        let stage = record_stage(&slot.record);
        *counts.by_stage.entry(stage).or_default() += 1;
        if let (Record::Invocation(effect), "taken" | "intended") = (&slot.record, stage) {
            let owner = members.get(effect.owner.ballot.member as usize);
            let owner = owner.map_or("", |member| member.name.as_str());
            *counts
                .open
                .entry(owner)
                .or_default()
                .entry(stage)
                .or_default() += 1;
        }
    }
    counts
}

fn group_state(peers: &Peers, transport: TransportCounts) -> Value {
    peers.inspect(|view| {
        let PeerStateView {
            now,
            membership,
            stable_view,
            replica,
            counts,
            store_was_older,
        } = view;
        let group = membership.group();
        let member = |m: MemberIndex| {
            let (status, settings) = (membership.status(m), &group.members[m as usize]);
            json!({
                "name": settings.name, "region": settings.region, "weight": settings.weight, "witness": settings.witness,
                "standing": liveness_name(status.state), "why": status.reason, "for_us": now - status.since,
                "turn": status.incarnation.number, "process": format!("{:016x}", status.incarnation.nonce),
                "heard_us_ago": status.last_received.map(|at| now - at), "believed_alive": stable_view.is_alive(m),
                "refused": peers.rejections(Some(m)),
            })
        };
        let RecordCounts { by_stage, open } = count_records(&group.members, replica);
        let mut claims: BTreeMap<&str, u64> = BTreeMap::new();
        for (_, claim) in replica.claims() {
            *claims.entry(claim.stage_name()).or_default() += 1;
        }
        json!({
            "group": group.name,
            "member": group.members[group.own_index as usize].name,
            "memory": replica.recovery_state(),
            "votes_on_choices": replica.can_vote_on_choices(),
            "choices_wait_for": members_choices_wait_for(replica),
            "folder_was_older": store_was_older,
            "view": {"version": membership.version(), "believed": stable_view.version()},
            "members": (0..group.len() as MemberIndex).map(member).collect::<Vec<_>>(),
            "strangers": peers.rejections(None),
            "majority_alive": group.is_majority((0..group.len() as MemberIndex).filter(|m| membership.is_alive(*m))),
            "records": by_stage,
            "open": open,
            "claims": claims,
            "lacking_leaves": replica.differing_leaves(),
            "conflicts": replica.conflicts(),
            "counts": merged_counts(&[&replica.counts, &membership.counts, &counts, &transport]),
        })
    })
}

/// The names of the members that this router has to reach before it may vote on choices; none if it may vote on them.
pub(crate) fn members_choices_wait_for(replica: &Replica) -> Vec<&str> {
    if replica.can_vote_on_choices() {
        return Vec::new();
    }
    let unreached = replica.members_unreached_by_recovery().into_iter();
    let members = &replica.group().members;
    unreached
        .map(|member| members[member as usize].name.as_str())
        .collect()
}

/// The counts of [`state`] in the Prometheus text format.
pub fn metrics(peers: &Peers, transport: TransportCounts) -> String {
    let state = state(peers, transport);
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        for (name, value) in state["counts"].as_object().into_iter().flatten() {
            let name = format!("cedarpulley_group_{name}_total");
            metrics::counter!(name).absolute(value.as_u64().unwrap_or(0));
        }
        for (name, value) in state["reconcile"]["counts"]
            .as_object()
            .into_iter()
            .flatten()
        {
            let name = format!("cedarpulley_reconcile_{name}_total");
            metrics::counter!(name).absolute(value.as_u64().unwrap_or(0));
        }
        for (kind, value) in state["records"].as_object().into_iter().flatten() {
            metrics::gauge!("cedarpulley_group_records", "state" => kind.clone())
                .set(value.as_f64().unwrap_or(0.0));
        }
        for member in state["members"].as_array().into_iter().flatten() {
            let (name, standing) = (member["name"].as_str(), member["standing"].as_str());
            let labels = [
                ("member", name.unwrap_or("").to_owned()),
                ("standing", standing.unwrap_or("").to_owned()),
            ];
            metrics::gauge!("cedarpulley_group_member", &labels).set(1.0);
        }
        let conflicts = state["conflicts"].as_u64().unwrap_or(0);
        metrics::counter!("cedarpulley_group_conflicts_total").absolute(conflicts);
    });
    handle.render()
}
