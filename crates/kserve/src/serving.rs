//! KServe v2 as a front, free of I/O: what a request asks for, what its headers mean, what an answer looks like.
//! One table, written out for operators in docs/operate/kserve-requests.md.

use cedarpulley::interface::Micros;
use http::{HeaderMap, Method, StatusCode};
use percent_encoding::percent_decode_str;

use crate::reports::text;
use crate::requests::{ACCOUNT, IDEMPOTENCY_KEY, TRIGGER_TYPE};

pub const CLIENT_TIMEOUT_MS: &str = "cedarpulley-client-timeout-ms";
pub const SENT_AT_US: &str = "cedarpulley-sent-at-us";
pub const COST_HINT_US: &str = "cedarpulley-cost-hint-us";
pub const LOAD_HINT_US: &str = "cedarpulley-load-hint-us";
pub const COPY_MB: &str = "cedarpulley-copy-mb";
pub const LANES: &str = "cedarpulley-lanes";
pub const REPEAT: &str = "cedarpulley-repeat";
/// In answers.
pub const FATE: &str = "cedarpulley-fate";
pub const REASON: &str = "cedarpulley-reason";

/// A day: no client waits longer.
const LONGEST_US: i64 = 86_400_000_000;
const MOST_LANES: i64 = 10_000;
const MOST_NAME: usize = 255;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    ServerLive,
    ServerReady,
    ServerMetadata,
    ModelReady(String),
    ModelMetadata(String),
    Infer(String),
    Unknown,
    WrongMethod,
}

pub fn asked(method: &Method, path: &str) -> Asked {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let name = |raw: &str| percent_decode_str(raw).decode_utf8().ok().map(|n| n.into_owned());
    let named = |raw: &str, of: fn(String) -> Asked| match name(raw) {
        Some(name) if !name.is_empty() && name.len() <= MOST_NAME => of(name),
        _ => Asked::Unknown,
    };
    let found = match parts.as_slice() {
        ["v2"] => Asked::ServerMetadata,
        ["v2", "health", "live"] => Asked::ServerLive,
        ["v2", "health", "ready"] => Asked::ServerReady,
        ["v2", "models", raw] => named(raw, Asked::ModelMetadata),
        ["v2", "models", raw, "ready"] => named(raw, Asked::ModelReady),
        ["v2", "models", raw, "infer"] => named(raw, Asked::Infer),
        _ => Asked::Unknown,
    };
    let wanted = if matches!(found, Asked::Infer(_)) { Method::POST } else { Method::GET };
    match found {
        Asked::Unknown => Asked::Unknown,
        _ if *method != wanted => Asked::WrongMethod,
        found => found,
    }
}

/// What the headers of an infer request say.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    pub kind: String,
    pub account: Option<String>,
    pub token: Option<String>,
    pub waited: Micros,
    pub client_timeout: Option<Micros>,
    pub cost_hint: Option<Micros>,
    pub load_hint: Option<Micros>,
    pub copy_mb: f64,
    pub lanes: u32,
    pub repeat: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Misunderstood {
    pub field: &'static str,
    pub cause: String,
}

/// `wall`: microseconds since 1970 by this router's clock.
pub fn wanted(headers: &HeaderMap, wall: Micros) -> Result<Wanted, Misunderstood> {
    let own = |name: &'static str| match headers.get(name) {
        None => Ok(None),
        Some(_) => match text(headers, name).filter(|t| !t.is_empty() && t.len() <= MOST_NAME) {
            Some(t) => Ok(Some(t.to_owned())),
            None => Err(Misunderstood { field: name, cause: "not a text of 1 to 255 bytes".into() }),
        },
    };
    let number = |name: &'static str, most: i64| match own(name)? {
        None => Ok(None),
        Some(t) => match t.parse::<i64>() {
            Ok(n) if (0..=most).contains(&n) => Ok(Some(n)),
            _ => Err(Misunderstood { field: name, cause: format!("'{t}' is not within 0 to {most}") }),
        },
    };
    let kind = own(TRIGGER_TYPE)?
        .ok_or_else(|| Misunderstood { field: TRIGGER_TYPE, cause: "no trigger type is named".into() })?;
    let sent = number(SENT_AT_US, i64::MAX)?;
    Ok(Wanted {
        kind,
        account: own(ACCOUNT)?,
        token: own(IDEMPOTENCY_KEY)?,
        waited: sent.map_or(0, |s| wall.saturating_sub(s).clamp(0, LONGEST_US)),
        client_timeout: number(CLIENT_TIMEOUT_MS, LONGEST_US / 1000)?.map(|ms| ms * 1000),
        cost_hint: number(COST_HINT_US, LONGEST_US)?,
        load_hint: number(LOAD_HINT_US, LONGEST_US)?,
        copy_mb: number(COPY_MB, 1 << 30)?.unwrap_or(0) as f64,
        lanes: number(LANES, MOST_LANES)?.unwrap_or(1).max(1) as u32,
        repeat: own(REPEAT)?.as_deref() == Some("true"),
    })
}

/// How an answer without success is told: harmless to try again, or nothing promised.
pub fn status(harmless: bool) -> StatusCode {
    if harmless { StatusCode::TOO_MANY_REQUESTS } else { StatusCode::BAD_GATEWAY }
}

/// Whole seconds, as the header has it; never sooner than advised.
pub fn retry_after(advice: Micros) -> i64 {
    (advice.max(0) + 999_999) / 1_000_000
}

pub fn error(cause: &str) -> String {
    serde_json::json!({ "error": cause }).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_are_told_apart() {
        let get = |path| asked(&Method::GET, path);
        assert_eq!(get("/v2/health/live"), Asked::ServerLive);
        assert_eq!(get("/v2"), Asked::ServerMetadata);
        assert_eq!(get("/v2/models/a%2Fb/ready"), Asked::ModelReady("a/b".into()));
        assert_eq!(get("/v2/models/a/infer"), Asked::WrongMethod);
        assert_eq!(asked(&Method::POST, "/v2/models/a/infer"), Asked::Infer("a".into()));
        for path in ["/", "/v1/models/a", "/v2/models/%FF/ready", "/v2/models//infer"] {
            assert_eq!(get(path), Asked::Unknown, "{path}");
        }
    }

    #[test]
    fn what_cannot_be_understood_names_its_header() {
        let of = |pairs: &[(&'static str, &str)]| {
            let mut headers = HeaderMap::new();
            pairs.iter().for_each(|(n, v)| {
                headers.insert(*n, v.parse().expect("a value"));
            });
            wanted(&headers, 10_000_000)
        };
        assert_eq!(of(&[]).expect_err("no type").field, TRIGGER_TYPE);
        assert_eq!(of(&[(TRIGGER_TYPE, "t"), (LANES, "-1")]).expect_err("lanes").field, LANES);
        let w =
            of(&[(TRIGGER_TYPE, "t"), (SENT_AT_US, "4000000"), (CLIENT_TIMEOUT_MS, "1500")]).expect("good");
        assert_eq!((w.waited, w.client_timeout, w.lanes), (6_000_000, Some(1_500_000), 1));
        assert_eq!((retry_after(1), retry_after(2_000_000)), (1, 2));
    }
}
