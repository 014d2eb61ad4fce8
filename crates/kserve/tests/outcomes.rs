//! The table from exchanges with a worker to dispatch outcomes.

use cedarpulley::interface::DispatchOutcome;
use cedarpulley_kserve::ExchangeOutcome;
use cedarpulley_kserve::outcomes::classify_inference;
use http::{HeaderMap, StatusCode};

fn answered(status: u16, pairs: &[(&'static str, &str)], body: &[u8]) -> DispatchOutcome {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.insert(*name, value.parse().expect("a header value"));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    classify_inference(&ExchangeOutcome::Responded {
        status,
        headers: &headers,
        body,
        function: "f",
    })
    .outcome
}

#[test]
fn each_exchange_has_its_dispatch_outcome() {
    let outcome = |exchange: ExchangeOutcome| classify_inference(&exchange).outcome;
    assert_eq!(
        outcome(ExchangeOutcome::Unreachable),
        DispatchOutcome::Unreachable
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
    assert_eq!(answered(200, &[], b"{}"), DispatchOutcome::Succeeded);
    assert_eq!(
        answered(404, &[("cedarpulley-ran", "no")], b""),
        DispatchOutcome::NotLoaded
    );
    assert_eq!(
        answered(503, &[("cedarpulley-ran", "no")], b""),
        DispatchOutcome::Rejected
    );
    assert_eq!(
        answered(500, &[("cedarpulley-ran", "no")], b""),
        DispatchOutcome::Errored
    );
}

/// A rejection that does not state that it came before the work proves nothing.
#[test]
fn a_rejection_without_ran_no_may_have_run() {
    for status in [404, 429, 503] {
        assert!(!answered(status, &[], b"").not_executed());
    }
}

#[test]
fn a_response_of_another_model_is_an_error() {
    assert_eq!(
        answered(200, &[("cedarpulley-model", "g")], b""),
        DispatchOutcome::Errored
    );
    assert_eq!(
        answered(200, &[], br#"{"model_name":"g","outputs":[]}"#),
        DispatchOutcome::Errored
    );
    assert_eq!(
        answered(200, &[], br#"{"model_name":"f","outputs":[]}"#),
        DispatchOutcome::Succeeded
    );
    let raw = |n| {
        answered(
            200,
            &[("inference-header-content-length", n)],
            b"{\"model_name\":\"f\"}\x01",
        )
    };
    assert_eq!(
        (raw("18"), raw("30"), raw("x")),
        (
            DispatchOutcome::Succeeded,
            DispatchOutcome::Errored,
            DispatchOutcome::Errored
        )
    );
}
