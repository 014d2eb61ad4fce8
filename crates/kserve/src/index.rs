//! What a worker answers to `POST /v2/repository/index`: the model repository extension's list, with what a worker of
//! ours says beside it in `parameters`. Of any other worker copies count as one, and of sessions nothing is known.

use std::collections::BTreeMap;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use http::HeaderMap;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::reports::{number, text};
use crate::requests::VERSIONS;

/// Of the worker's process; any text that no other process says.
pub const LIFE: &str = "cedarpulley-life";
pub const MEMORY_MB: &str = "cedarpulley-memory-mb";

/// What is named beyond is left out, and the index counts as cut.
const MOST_ENTRIES: usize = 10_000;
const MOST_SEQUENCES: usize = 4_096;
/// No name, of a model, a version, a router or a sequence, is longer.
const MOST_NAME: usize = 512;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Index {
    pub life: Option<u64>,
    /// 0: it says nothing of it.
    pub memory_mb: f64,
    pub models: Vec<Model>,
    /// Something of it was left out here.
    pub cut: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// With its version, if it has one, as in paths.
    pub function: String,
    /// 0: it is not there.
    pub copies: u32,
    pub loading: bool,
    pub busy: Option<u32>,
    pub idle: Option<Micros>,
    pub ordered_by: Option<String>,
    pub term: Option<String>,
    pub sequences: Option<Vec<String>>,
}

/// Why an answer is no index.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NoIndex {
    #[error("the worker answered the question for its index with status {0}")]
    Status(u16),
    #[error("the worker's index is no JSON list of models")]
    Form,
    #[error("entry {0} of the worker's index has no name, or one longer than {MOST_NAME} bytes")]
    Name(usize),
}

impl Remedy for NoIndex {
    fn remedy(&self) -> &'static str {
        match self {
            NoIndex::Status(_) => {
                "have the worker serve the model repository extension, or leave [reconcile] out"
            }
            NoIndex::Form | NoIndex::Name(_) => {
                "see that the worker speaks KServe v2 and that nothing between changes its answers"
            }
        }
    }
}

#[derive(Deserialize)]
struct Entry {
    #[serde(default)]
    name: String,
    #[serde(default)]
    version: Option<Value>,
    #[serde(default)]
    state: Option<String>,
    #[serde(default)]
    parameters: BTreeMap<String, Value>,
}

/// Nothing of an answer is taken unless all of it has the form of an index.
pub fn of(status: u16, headers: &HeaderMap, body: &[u8]) -> Result<Index, NoIndex> {
    if status != 200 {
        return Err(NoIndex::Status(status));
    }
    let mut entries = serde_json::from_slice::<Vec<Entry>>(body).map_err(|_| NoIndex::Form)?;
    let cut = entries.len() > MOST_ENTRIES;
    entries.truncate(MOST_ENTRIES);
    let models = entries
        .into_iter()
        .enumerate()
        .map(|(n, e)| model(e).ok_or(NoIndex::Name(n)));
    let life = text(headers, LIFE).map(|t| t.trim().parse().unwrap_or_else(|_| fingerprint(t)));
    let memory_mb = number(headers, MEMORY_MB).map_or(0.0, f64::from);
    Ok(Index {
        life,
        memory_mb,
        models: models.collect::<Result<_, _>>()?,
        cut,
    })
}

fn named(value: &Value) -> Option<String> {
    value
        .as_str()
        .filter(|name| !name.is_empty() && name.len() <= MOST_NAME)
        .map(str::to_owned)
}

fn model(e: Entry) -> Option<Model> {
    if e.name.is_empty() || e.name.len() > MOST_NAME {
        return None;
    }
    let function = match e.version.as_ref().and_then(named) {
        Some(version) => format!("{}{VERSIONS}{version}", e.name),
        None => e.name,
    };
    let count = |key: &str| {
        e.parameters
            .get(key)
            .and_then(Value::as_u64)
            .map(|n| n.min(u64::from(u32::MAX)) as u32)
    };
    // A worker that names no state says that the model is there.
    let state = e.state.as_deref().unwrap_or("READY");
    let ready = state == "READY";
    let sequences = e.parameters.get("sequences").and_then(Value::as_array);
    Some(Model {
        function,
        copies: if ready {
            count("copies").unwrap_or(1)
        } else {
            0
        },
        loading: state == "LOADING",
        busy: count("busy"),
        idle: e.parameters.get("idle_us").and_then(Value::as_i64),
        ordered_by: e.parameters.get("ordered_by").and_then(named),
        term: e.parameters.get("term").and_then(named),
        // Of a list that is too long it is not known who is not in it.
        sequences: sequences
            .filter(|ids| ids.len() <= MOST_SEQUENCES)
            .map(|ids| ids.iter().filter_map(named).collect()),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(body: &str) -> Result<Index, NoIndex> {
        let mut headers = HeaderMap::new();
        headers.insert(LIFE, http::HeaderValue::from_static("7"));
        of(200, &headers, body.as_bytes())
    }

    #[test]
    fn what_workers_say_is_read() {
        let body = r#"[{"name":"resize:3","version":"2","state":"READY","reason":"",
            "parameters":{"copies":2,"busy":1,"idle_us":51200,"ordered_by":"r1","term":"7.0","sequences":["s1","s9"]}},
            {"name":"plain","state":"READY"}, {"name":"coming","state":"LOADING","parameters":{"copies":1}},
            {"name":"gone","state":"UNAVAILABLE","reason":"unloaded"}]"#;
        let index = read(body).expect("an index");
        assert_eq!(
            (index.life, index.models.len(), index.cut),
            (Some(7), 4, false)
        );
        let whole = Model {
            function: "resize:3/versions/2".into(),
            copies: 2,
            loading: false,
            busy: Some(1),
            idle: Some(51_200),
            ordered_by: Some("r1".into()),
            term: Some("7.0".into()),
            sequences: Some(vec!["s1".into(), "s9".into()]),
        };
        let bare = |function: &str, copies, loading| Model {
            function: function.into(),
            copies,
            loading,
            ..Model::default()
        };
        let others = [
            bare("plain", 1, false),
            bare("coming", 0, true),
            bare("gone", 0, false),
        ];
        assert_eq!(index.models[0], whole);
        assert_eq!(index.models[1..], others);
    }

    #[test]
    fn what_is_no_index_is_refused_and_what_is_too_much_is_left_out() {
        assert_eq!(of(404, &HeaderMap::new(), b"[]"), Err(NoIndex::Status(404)));
        for body in ["", "{}", "[3]", r#"[{"name":3}]"#, "[[]", "nul"] {
            assert_eq!(read(body), Err(NoIndex::Form), "{body}");
        }
        assert_eq!(
            read(r#"[{"name":"a"},{"state":"READY"}]"#),
            Err(NoIndex::Name(1))
        );
        assert_eq!(
            read(&format!(r#"[{{"name":"{}"}}]"#, "x".repeat(600))),
            Err(NoIndex::Name(0))
        );
        let many = vec![r#"{"name":"a"}"#; MOST_ENTRIES + 1].join(",");
        let index = read(&format!("[{many}]")).expect("an index");
        assert_eq!((index.models.len(), index.cut), (MOST_ENTRIES, true));
        let ids = vec![r#""s""#; MOST_SEQUENCES + 1].join(",");
        let index = read(&format!(
            r#"[{{"name":"a","parameters":{{"sequences":[{ids}]}}}}]"#
        ))
        .expect("an index");
        assert_eq!(index.models[0].sequences, None);
    }
}
