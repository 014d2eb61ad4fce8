//! The one table from what happened on a socket to an outcome. What it rests on: a request of which no byte left
//! never ran; once a byte has left, whatever breaks may have run; and a worker's own refusal counts as never run
//! only if it says so in so many words (`cedarpulley-ran: no`), which it does before it begins.

use cedarpulley::interface::{CopyStatus, DispatchOutcome, LoadOrderResult, LoadReport};
use http::{HeaderMap, StatusCode};

use crate::reports;
use crate::requests::{JSON_LENGTH, VERSIONS};

/// Answers up to this size are looked into for the model they name.
const LOOKED_INTO: usize = 64 * 1024;

/// How an exchange with a worker ended.
#[derive(Clone, Debug)]
pub enum Ended<'a> {
    /// Refused, reset or unanswered while connecting.
    NoConnection,
    /// As many connections as are allowed to this worker are in use.
    NoRoom,
    /// The connection failed; `left`: a byte of the request had gone out.
    Broke { left: bool },
    /// A head without end or that is no HTTP, or a body that broke off.
    Garbled,
    /// The answer was beyond the bound and was not read to its end.
    TooLarge,
    Answered {
        status: StatusCode,
        headers: &'a HeaderMap,
        body: &'a [u8],
        function: &'a str,
    },
}

/// What an ending means to the module.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    pub outcome: DispatchOutcome,
    pub note: CopyStatus,
    pub crowd: Option<u32>,
    pub report: LoadReport,
}

impl Reading {
    fn bare(outcome: DispatchOutcome) -> Self {
        Reading {
            outcome,
            note: CopyStatus::Unreported,
            crowd: None,
            report: LoadReport::default(),
        }
    }
}

pub fn infer(ended: &Ended) -> Reading {
    match ended {
        Ended::NoConnection => Reading::bare(DispatchOutcome::Unreachable),
        // Full for this router, as a full queue there would be.
        Ended::NoRoom => Reading::bare(DispatchOutcome::Rejected),
        // Symptom: the worker closes an idle connection just as a request is written to it.
        Ended::Broke { left: false } => Reading::bare(DispatchOutcome::NotSent),
        Ended::Broke { left: true } | Ended::Garbled => {
            Reading::bare(DispatchOutcome::ConnectionLost)
        }
        Ended::TooLarge => Reading::bare(DispatchOutcome::Errored),
        Ended::Answered {
            status,
            headers,
            body,
            function,
        } => {
            let refused = reports::text(headers, reports::RAN) == Some("no");
            let outcome = match status.as_u16() {
                // Symptom: raw tensors are told of that are not there.
                200 if json_length(headers, body).is_none() => DispatchOutcome::Errored,
                200 if other_model(headers, body, function) => DispatchOutcome::Errored,
                200 => DispatchOutcome::Succeeded,
                404 if refused => DispatchOutcome::NotLoaded,
                429 | 503 if refused => DispatchOutcome::Rejected,
                _ => DispatchOutcome::Errored,
            };
            Reading {
                outcome,
                note: reports::note(headers),
                crowd: reports::number(headers, reports::CROWD),
                report: reports::load(headers),
            }
        }
    }
}

/// How much of an answer is JSON: all of it, unless the binary-data extension says less; absent if it says more.
pub fn json_length(headers: &HeaderMap, body: &[u8]) -> Option<usize> {
    match headers.get(JSON_LENGTH) {
        None => Some(body.len()),
        Some(_) => reports::number(headers, JSON_LENGTH)
            .map(|n| n as usize)
            .filter(|n| *n <= body.len()),
    }
}

/// An order to load or a question; with how many copies stand.
pub fn order(ended: &Ended) -> (LoadOrderResult, u32) {
    match ended {
        Ended::NoConnection => (LoadOrderResult::Unreachable, 0),
        Ended::NoRoom | Ended::Broke { .. } | Ended::Garbled | Ended::TooLarge => {
            (LoadOrderResult::ConnectionLost, 0)
        }
        Ended::Answered {
            status, headers, ..
        } => {
            let copies = reports::number(headers, reports::COPIES);
            match status.as_u16() {
                200 => (LoadOrderResult::Loaded, copies.unwrap_or(1)),
                // Ready: no.
                404 => (LoadOrderResult::Loaded, 0),
                429 | 503 | 507 => (LoadOrderResult::NoCapacity, copies.unwrap_or(0)),
                _ => (LoadOrderResult::LoadFailed, copies.unwrap_or(0)),
            }
        }
    }
}

pub fn probe(ended: &Ended) -> (DispatchOutcome, LoadReport) {
    match ended {
        Ended::Answered {
            status, headers, ..
        } => {
            let outcome = if status.is_success() {
                DispatchOutcome::Succeeded
            } else {
                DispatchOutcome::Errored
            };
            (outcome, reports::load(headers))
        }
        other => (infer(other).outcome, LoadReport::default()),
    }
}

/// Symptom: a worker, or something before it, answers for a model that was not asked for.
fn other_model(headers: &HeaderMap, body: &[u8], function: &str) -> bool {
    #[derive(serde::Deserialize)]
    struct Named {
        model_name: Option<String>,
    }
    if let Some(name) = reports::text(headers, reports::MODEL) {
        return name != function;
    }
    let body = &body[..json_length(headers, body).unwrap_or(0)];
    if body.len() > LOOKED_INTO || body.first() != Some(&b'{') {
        return false;
    }
    let named = serde_json::from_slice::<Named>(body)
        .ok()
        .and_then(|n| n.model_name);
    // A versioned one is named without its version.
    let asked = function
        .split_once(VERSIONS)
        .map_or(function, |(name, _)| name);
    named.is_some_and(|name| name != function && name != asked)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn answered(status: u16, pairs: &[(&'static str, &str)], body: &[u8]) -> DispatchOutcome {
        let mut headers = HeaderMap::new();
        for (name, value) in pairs {
            headers.insert(*name, value.parse().expect("a header value"));
        }
        let status = StatusCode::from_u16(status).expect("a status");
        infer(&Ended::Answered {
            status,
            headers: &headers,
            body,
            function: "f",
        })
        .outcome
    }

    #[test]
    fn every_line_of_the_table() {
        let outcome = |e: Ended| infer(&e).outcome;
        assert_eq!(outcome(Ended::NoConnection), DispatchOutcome::Unreachable);
        assert_eq!(outcome(Ended::NoRoom), DispatchOutcome::Rejected);
        assert_eq!(
            outcome(Ended::Broke { left: false }),
            DispatchOutcome::NotSent
        );
        assert_eq!(
            outcome(Ended::Broke { left: true }),
            DispatchOutcome::ConnectionLost
        );
        assert_eq!(outcome(Ended::Garbled), DispatchOutcome::ConnectionLost);
        assert_eq!(outcome(Ended::TooLarge), DispatchOutcome::Errored);
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

    /// A refusal that does not say that it came before the work proves nothing.
    #[test]
    fn a_bare_refusal_may_have_run() {
        for status in [404, 429, 503] {
            assert!(!answered(status, &[], b"").not_executed());
        }
    }

    #[test]
    fn an_answer_for_another_model_is_no_success() {
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
}
