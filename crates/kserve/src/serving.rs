//! KServe v2 as a front, free of I/O: what a request asks for, what its headers mean, what an answer looks like.
//! One table, written out for operators in docs/operate/kserve-requests.md.

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use http::{HeaderMap, Method, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::json;

use crate::reports::text;
use crate::requests::{ACCOUNT, IDEMPOTENCY_KEY, JSON_LENGTH, TRIGGER_TYPE, VERSIONS};

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
    Index,
    ModelReady(String),
    ModelMetadata(String),
    Infer(String),
    Unknown,
    WrongMethod,
}

/// The function that a model's name and version make; absent if there can be none. A name may not look as if it
/// bore a version.
pub fn function(name: &str, version: &str) -> Option<String> {
    let fits = |text: &str| text.len() <= MOST_NAME && !text.contains(VERSIONS);
    match (name, version) {
        ("", _) => None,
        (name, "") => fits(name).then(|| name.to_owned()),
        (name, version) => {
            let whole = format!("{name}{VERSIONS}{version}");
            (fits(name) && fits(version) && whole.len() <= MOST_NAME).then_some(whole)
        }
    }
}

/// Name and version of a function; the version is empty if it has none.
pub fn model(function: &str) -> (&str, &str) {
    function.split_once(VERSIONS).unwrap_or((function, ""))
}

pub fn asked(method: &Method, path: &str) -> Asked {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let text = |raw: &str| {
        percent_decode_str(raw)
            .decode_utf8()
            .ok()
            .map(|n| n.into_owned())
    };
    let named = |raw: &str, of: fn(String) -> Asked| {
        text(raw)
            .and_then(|name| function(&name, ""))
            .map_or(Asked::Unknown, of)
    };
    let versioned = |raw: &str, version: &str, of: fn(String) -> Asked| {
        let both = text(raw).zip(text(version)).filter(|(_, v)| !v.is_empty());
        both.and_then(|(name, version)| function(&name, &version))
            .map_or(Asked::Unknown, of)
    };
    let found = match parts.as_slice() {
        ["v2"] => Asked::ServerMetadata,
        ["v2", "health", "live"] => Asked::ServerLive,
        ["v2", "health", "ready"] => Asked::ServerReady,
        ["v2", "models", raw] => named(raw, Asked::ModelMetadata),
        ["v2", "models", raw, "ready"] => named(raw, Asked::ModelReady),
        ["v2", "models", raw, "infer"] => named(raw, Asked::Infer),
        ["v2", "models", raw, "versions", v] => versioned(raw, v, Asked::ModelMetadata),
        ["v2", "models", raw, "versions", v, "ready"] => versioned(raw, v, Asked::ModelReady),
        ["v2", "models", raw, "versions", v, "infer"] => versioned(raw, v, Asked::Infer),
        ["v2", "repository", "index"] => Asked::Index,
        _ => Asked::Unknown,
    };
    let posted = matches!(found, Asked::Infer(_) | Asked::Index);
    let wanted = if posted { Method::POST } else { Method::GET };
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
    /// Of the body so much is JSON, where raw tensors follow it.
    pub json: Option<u32>,
}

/// What is wrong with which header; for the client to read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {cause}")]
pub struct Misunderstood {
    pub field: &'static str,
    pub cause: String,
}

impl Remedy for Misunderstood {
    fn remedy(&self) -> &'static str {
        "have its client send that header as docs/operate/kserve-requests.md says"
    }
}

/// `wall`: microseconds since 1970 by this router's clock.
pub fn wanted(headers: &HeaderMap, wall: Micros) -> Result<Wanted, Misunderstood> {
    let own = |name: &'static str| match headers.get(name) {
        None => Ok(None),
        Some(_) => match text(headers, name).filter(|t| !t.is_empty() && t.len() <= MOST_NAME) {
            Some(t) => Ok(Some(t.to_owned())),
            None => Err(Misunderstood {
                field: name,
                cause: "not a text of 1 to 255 bytes".into(),
            }),
        },
    };
    let number = |name: &'static str, most: i64| match own(name)? {
        None => Ok(None),
        Some(t) => match t.parse::<i64>() {
            Ok(n) if (0..=most).contains(&n) => Ok(Some(n)),
            _ => Err(Misunderstood {
                field: name,
                cause: format!("'{t}' is not within 0 to {most}"),
            }),
        },
    };
    let kind = own(TRIGGER_TYPE)?.ok_or_else(|| Misunderstood {
        field: TRIGGER_TYPE,
        cause: "no trigger type is named".into(),
    })?;
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
        json: number(JSON_LENGTH, i64::from(u32::MAX))?.map(|n| n as u32),
    })
}

/// How an answer without success is told: harmless to try again, or nothing promised.
pub fn status(harmless: bool) -> StatusCode {
    if harmless {
        StatusCode::TOO_MANY_REQUESTS
    } else {
        StatusCode::BAD_GATEWAY
    }
}

/// Whole seconds, as the header has it; never sooner than advised.
pub fn retry_after(advice: Micros) -> i64 {
    (advice.max(0) + 999_999) / 1_000_000
}

/// What is offered beyond the protocol's core.
pub const EXTENSIONS: [&str; 2] = ["binary_tensor_data", "model_repository"];

/// Shapes are the workers' matter; a router knows a model by name alone.
pub fn metadata(function: &str) -> String {
    let (name, version) = model(function);
    let versions: Vec<&str> = if version.is_empty() {
        vec![]
    } else {
        vec![version]
    };
    json!({"name": name, "versions": versions, "platform": "", "inputs": [], "outputs": []})
        .to_string()
}

/// The functions asked for of late; each is loaded on demand, and so counts as ready.
pub fn index(functions: &[String]) -> String {
    let entry = |f: &String| {
        let (name, version) = model(f);
        json!({"name": name, "version": version, "state": "READY", "reason": ""})
    };
    serde_json::Value::Array(functions.iter().map(entry).collect()).to_string()
}

pub fn error(cause: &str) -> String {
    json!({ "error": cause }).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_are_told_apart() {
        let get = |path| asked(&Method::GET, path);
        assert_eq!(get("/v2/health/live"), Asked::ServerLive);
        assert_eq!(get("/v2"), Asked::ServerMetadata);
        assert_eq!(
            get("/v2/models/a%2Fb/ready"),
            Asked::ModelReady("a/b".into())
        );
        assert_eq!(get("/v2/models/a/infer"), Asked::WrongMethod);
        assert_eq!(
            asked(&Method::POST, "/v2/models/a/infer"),
            Asked::Infer("a".into())
        );
        assert_eq!(asked(&Method::POST, "/v2/repository/index"), Asked::Index);
        assert_eq!(
            get("/v2/models/a/versions/2/ready"),
            Asked::ModelReady("a/versions/2".into())
        );
        let tricks = [
            "/v2/models/a%2Fversions%2F2",
            "/v2/models/a/versions//ready",
        ];
        for path in tricks.into_iter().chain([
            "/",
            "/v1/models/a",
            "/v2/models/%FF/ready",
            "/v2/models//infer",
        ]) {
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
        assert_eq!(
            of(&[(TRIGGER_TYPE, "t"), (LANES, "-1")])
                .expect_err("lanes")
                .field,
            LANES
        );
        let w = of(&[
            (TRIGGER_TYPE, "t"),
            (SENT_AT_US, "4000000"),
            (CLIENT_TIMEOUT_MS, "1500"),
        ])
        .expect("good");
        assert_eq!(
            (w.waited, w.client_timeout, w.lanes),
            (6_000_000, Some(1_500_000), 1)
        );
        assert_eq!((retry_after(1), retry_after(2_000_000)), (1, 2));
    }
}
