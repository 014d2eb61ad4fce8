//! Tests of the decision whether a request is admitted before its body is read.

mod harness;

use cedarpulley::interface::{Micros, TriggerType};
use cedarpulley_router::admission_control::{
    self, AdmissionControl, AdmissionDecision, AdmissionRequest, Occupancy, PartyOccupancy,
    RejectionReason,
};
use harness::SECOND;

/// A small request, and a router with `in_flight` of 100 invocations in flight.
fn request_at(in_flight: u32) -> (AdmissionRequest, Occupancy) {
    let request = AdmissionRequest {
        trigger: 0,
        account: 0,
        waited: 0,
        bytes: 10,
        connection_in_flight: 0,
        unread_answers: 0,
        abandoned: 0,
        last_abandoned_ago: 0,
        active_connections: 1,
        unread_bytes: 0,
    };
    let party = PartyOccupancy {
        in_flight,
        cap: 100.0,
        lacks_credit: false,
    };
    let occupancy = Occupancy {
        limit: 100.0,
        in_flight,
        front: party,
        account: party,
        free_bytes: 1000,
        typical_latency: 100_000,
        stopping: false,
    };
    (request, occupancy)
}

/// The reason for the rejection, if any; checks the range of its Retry-After.
fn rejection(decision: AdmissionDecision) -> Option<RejectionReason> {
    match decision {
        AdmissionDecision::Admitted => None,
        AdmissionDecision::Rejected {
            reason,
            retry_after,
        } => {
            assert!(
                (100_000..=10_000_000).contains(&retry_after),
                "{retry_after}"
            );
            Some(reason)
        }
    }
}

/// Why an admission control without history rejects the request, if it does.
fn decided(request: AdmissionRequest, occupancy: Occupancy) -> Option<RejectionReason> {
    rejection(AdmissionControl::default().decide(0, &request, 1.0, &occupancy))
}

/// Each case differs in one value from a request that is admitted while 60 of 100 invocations are in flight.
#[test]
fn each_admission_bound_has_its_rejection_reason() {
    let (request, occupancy) = request_at(60);
    assert_eq!(decided(request, occupancy), None);
    let stopping = Occupancy {
        stopping: true,
        ..occupancy
    };
    assert_eq!(decided(request, stopping), Some(RejectionReason::Stopping));
    let little_memory = Occupancy {
        free_bytes: 9,
        ..occupancy
    };
    assert_eq!(
        decided(request, little_memory),
        Some(RejectionReason::Memory)
    );
    let unread_by_others = AdmissionRequest {
        unread_bytes: 991,
        ..request
    };
    assert_eq!(
        decided(unread_by_others, occupancy),
        Some(RejectionReason::Memory)
    );
    let full = Occupancy {
        in_flight: 100,
        ..occupancy
    };
    assert_eq!(decided(request, full), Some(RejectionReason::All));
}

/// A front or an account is exhausted if it is at its cap, or if it is paced and has no credit.
#[test]
fn exhausted_front_or_account_is_rejected_with_its_reason() {
    let (request, occupancy) = request_at(60);
    let at_cap = PartyOccupancy {
        in_flight: 50,
        cap: 50.0,
        lacks_credit: false,
    };
    let without_credit = PartyOccupancy {
        lacks_credit: true,
        ..occupancy.front
    };
    for exhausted in [at_cap, without_credit] {
        let front = Occupancy {
            front: exhausted,
            ..occupancy
        };
        assert_eq!(decided(request, front), Some(RejectionReason::Front));
        let account = Occupancy {
            account: exhausted,
            ..occupancy
        };
        assert_eq!(decided(request, account), Some(RejectionReason::Account));
    }
}

/// While more than half of the limit is used, each of 10 connections may have up to 20 requests in flight. A connection
/// that does not read its answers, or abandons most of its requests, is rejected.
#[test]
fn connection_beyond_its_part_or_misbehaving_is_rejected() {
    let (request, occupancy) = request_at(60);
    let many = AdmissionRequest {
        active_connections: 10,
        connection_in_flight: 20,
        ..request
    };
    let less_busy = Occupancy {
        in_flight: 40,
        ..occupancy
    };
    assert_eq!(decided(many, occupancy), Some(RejectionReason::Connection));
    assert_eq!(decided(many, less_busy), None);
    let reads_nothing = AdmissionRequest {
        unread_answers: 32,
        ..request
    };
    assert_eq!(
        decided(reads_nothing, occupancy),
        Some(RejectionReason::Connection)
    );
    let abandoning = |abandoned, last_abandoned_ago| AdmissionRequest {
        abandoned,
        last_abandoned_ago,
        ..request
    };
    assert_eq!(
        decided(abandoning(24, 0), occupancy),
        Some(RejectionReason::Connection)
    );
    assert_eq!(decided(abandoning(24, SECOND), occupancy), None);
    assert_eq!(decided(abandoning(23, 0), occupancy), None);
}

#[test]
fn requests_worth_less_or_late_are_rejected_first() {
    let mut control = AdmissionControl::default();
    let valuable = TriggerType {
        billed_value: 5.0,
        ..harness::triggers()[0]
    };
    let cheap = harness::triggers()[0];
    let (request, occupancy) = request_at(80);
    let value = |t: &TriggerType, waited| admission_control::expected_value(t, waited, 0);
    (0..100).for_each(|n| {
        control.decide(
            0,
            &request,
            value(if n % 2 == 0 { &valuable } else { &cheap }, 0),
            &request_at(10).1,
        );
    });
    assert_eq!(
        rejection(control.decide(0, &request, value(&valuable, 0), &occupancy)),
        None
    );
    assert_eq!(
        rejection(control.decide(0, &request, value(&cheap, 0), &request_at(90).1)),
        Some(RejectionReason::Worth)
    );
    // A valuable request whose answer will be late has a tenth of its value, which is less than that of a cheap one
    // in time.
    assert_eq!(
        rejection(control.decide(0, &request, value(&valuable, SECOND), &request_at(90).1)),
        Some(RejectionReason::Worth)
    );
    assert_eq!(
        rejection(control.decide(0, &request, value(&valuable, 0), &request_at(99).1)),
        None
    );
}

#[test]
fn retry_after_grows_with_rejections_and_is_spread() {
    let mut control = AdmissionControl::default();
    let (request, occupancy) = request_at(100);
    (0..20).for_each(|_| control.answered(0));
    let retry_after_values = |control: &mut AdmissionControl, n: usize| {
        (0..n)
            .filter_map(|_| match control.decide(1, &request, 1.0, &occupancy) {
                AdmissionDecision::Rejected { retry_after, .. } => Some(retry_after),
                AdmissionDecision::Admitted => None,
            })
            .collect::<Vec<_>>()
    };
    let few = retry_after_values(&mut control, 10);
    let many = retry_after_values(&mut control, 100);
    let mean = |of: &[Micros]| of.iter().sum::<Micros>() / of.len() as Micros;
    assert!(mean(&many[90..]) > 3 * mean(&few), "{few:?} {many:?}");
    assert!(many.iter().collect::<std::collections::HashSet<_>>().len() > 50);
}
