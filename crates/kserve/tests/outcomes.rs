//! Classification of exchanges with a worker. Guards against an exchange after which the invocation may have run being
//! taken for proof that it did not run, which would let a retry run it twice.

use cedarpulley::interface::{DispatchOutcome, LoadOrderResult};
use cedarpulley_kserve::ExchangeOutcome;
use cedarpulley_kserve::outcomes::{
    classify_health_check, classify_inference, classify_load_order,
};
use http::{HeaderMap, StatusCode};

fn response_outcome(status: u16, pairs: &[(&'static str, &str)], body: &[u8]) -> DispatchOutcome {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.insert(*name, value.parse().expect("a valid header value"));
    }
    let status = StatusCode::from_u16(status).expect("a valid status");
    classify_inference(&ExchangeOutcome::Responded {
        status,
        headers: &headers,
        body,
        function: "f",
    })
    .outcome
}

/// Guards against blaming a worker for what this router could not send, and against an order that is given again at once.
#[test]
fn an_order_or_health_check_that_was_not_sent_tells_nothing_about_the_worker() {
    for not_sent in [
        ExchangeOutcome::NoConnection,
        ExchangeOutcome::ConnectionLimit,
        ExchangeOutcome::ConnectionLost { bytes_sent: false },
    ] {
        let (result, copies) = classify_load_order(&not_sent);
        assert_eq!(
            (result, copies),
            (LoadOrderResult::NotSent, 0),
            "{not_sent:?}"
        );
        let (outcome, _) = classify_health_check(&not_sent);
        assert!(
            matches!(
                outcome,
                DispatchOutcome::NotSent | DispatchOutcome::NoConnection
            ),
            "{not_sent:?}: {outcome:?}"
        );
    }
}

#[test]
fn each_exchange_has_its_dispatch_outcome() {
    let outcome = |exchange: ExchangeOutcome| classify_inference(&exchange).outcome;
    assert_eq!(
        outcome(ExchangeOutcome::Unreachable),
        DispatchOutcome::Unreachable
    );
    assert_eq!(
        outcome(ExchangeOutcome::NoConnection),
        DispatchOutcome::NoConnection
    );
    assert_eq!(
        outcome(ExchangeOutcome::ConnectionLimit),
        DispatchOutcome::Rejected
    );
    assert_eq!(
        outcome(ExchangeOutcome::ConnectionLost { bytes_sent: false }),
        DispatchOutcome::NotSent
    );
    assert_eq!(
        outcome(ExchangeOutcome::ConnectionLost { bytes_sent: true }),
        DispatchOutcome::ConnectionLost
    );
    assert_eq!(
        outcome(ExchangeOutcome::MalformedResponse),
        DispatchOutcome::ConnectionLost
    );
    assert_eq!(
        outcome(ExchangeOutcome::ResponseTooLarge),
        DispatchOutcome::Errored
    );
    assert_eq!(
        response_outcome(200, &[], b"{}"),
        DispatchOutcome::Succeeded
    );
    assert_eq!(
        response_outcome(404, &[("cedarpulley-ran", "no")], b""),
        DispatchOutcome::NotLoaded
    );
    assert_eq!(
        response_outcome(503, &[("cedarpulley-ran", "no")], b""),
        DispatchOutcome::Rejected
    );
    assert_eq!(
        response_outcome(500, &[("cedarpulley-ran", "no")], b""),
        DispatchOutcome::Errored
    );
}

/// A rejection without `cedarpulley-ran: no` does not prove that the invocation did not run.
#[test]
fn a_rejection_without_ran_no_may_have_run() {
    for status in [404, 429, 503] {
        assert!(!response_outcome(status, &[], b"").not_executed());
    }
}

#[test]
fn a_response_from_another_model_is_an_error() {
    assert_eq!(
        response_outcome(200, &[("cedarpulley-model", "g")], b""),
        DispatchOutcome::Errored
    );
    assert_eq!(
        response_outcome(200, &[], br#"{"model_name":"g","outputs":[]}"#),
        DispatchOutcome::Errored
    );
    assert_eq!(
        response_outcome(200, &[], br#"{"model_name":"f","outputs":[]}"#),
        DispatchOutcome::Succeeded
    );
    let outcome_with_json_length = |length| {
        response_outcome(
            200,
            &[("inference-header-content-length", length)],
            b"{\"model_name\":\"f\"}\x01",
        )
    };
    assert_eq!(
        (
            outcome_with_json_length("18"),
            outcome_with_json_length("30"),
            outcome_with_json_length("x")
        ),
        (
            DispatchOutcome::Succeeded,
            DispatchOutcome::Errored,
            DispatchOutcome::Errored
        )
    );
}
