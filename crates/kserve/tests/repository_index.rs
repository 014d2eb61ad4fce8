//! Parsing of the index of a worker's models. Guards against a malformed or oversized index that is taken for a
//! complete list of the loaded models.

use cedarpulley_kserve::repository_index::{
    INCARNATION, InvalidIndex, MAX_ENTRIES, MAX_SEQUENCES, ModelEntry, RepositoryIndex, parse,
};
use http::HeaderMap;

fn parse_index(body: &str) -> Result<RepositoryIndex, InvalidIndex> {
    let mut headers = HeaderMap::new();
    headers.insert(INCARNATION, http::HeaderValue::from_static("7"));
    parse(200, &headers, body.as_bytes())
}

#[test]
fn every_reported_property_of_a_model_is_read() {
    let body = r#"[{"name":"resize:3","version":"2","state":"READY","reason":"",
        "parameters":{"copies":2,"busy":1,"idle_us":51200,"ordered_by":"r1","term":"7.0","sequences":["s1","s9"]}},
        {"name":"plain","state":"READY"}, {"name":"coming","state":"LOADING","parameters":{"copies":1}},
        {"name":"gone","state":"UNAVAILABLE","reason":"unloaded"}]"#;
    let index = parse_index(body).expect("a valid index");
    assert_eq!(
        (index.incarnation, index.models.len(), index.truncated),
        (Some(7), 4, false)
    );
    let with_all_properties = ModelEntry {
        function: "resize:3/versions/2".into(),
        copies: 2,
        loading: false,
        busy: Some(1),
        idle: Some(51_200),
        ordered_by: Some("r1".into()),
        term: Some("7.0".into()),
        sequences: Some(vec!["s1".into(), "s9".into()]),
    };
    let with_defaults = |function: &str, copies, loading| ModelEntry {
        function: function.into(),
        copies,
        loading,
        ..ModelEntry::default()
    };
    let others = [
        with_defaults("plain", 1, false),
        with_defaults("coming", 0, true),
        with_defaults("gone", 0, false),
    ];
    assert_eq!(index.models[0], with_all_properties);
    assert_eq!(index.models[1..], others);
}

#[test]
fn a_malformed_index_is_an_error_and_an_oversized_one_is_truncated() {
    assert_eq!(
        parse(404, &HeaderMap::new(), b"[]"),
        Err(InvalidIndex::Status(404))
    );
    for body in ["", "{}", "[3]", r#"[{"name":3}]"#, "[[]", "nul"] {
        assert_eq!(parse_index(body), Err(InvalidIndex::Malformed), "{body}");
    }
    assert_eq!(
        parse_index(r#"[{"name":"a"},{"state":"READY"}]"#),
        Err(InvalidIndex::InvalidName(1))
    );
    assert_eq!(
        parse_index(&format!(r#"[{{"name":"{}"}}]"#, "x".repeat(600))),
        Err(InvalidIndex::InvalidName(0))
    );
    let too_many_entries = vec![r#"{"name":"a"}"#; MAX_ENTRIES + 1].join(",");
    let index = parse_index(&format!("[{too_many_entries}]")).expect("a valid index");
    assert_eq!((index.models.len(), index.truncated), (MAX_ENTRIES, true));
    let too_many_ids = vec![r#""s""#; MAX_SEQUENCES + 1].join(",");
    let index = parse_index(&format!(
        r#"[{{"name":"a","parameters":{{"sequences":[{too_many_ids}]}}}}]"#
    ))
    .expect("a valid index");
    assert_eq!(index.models[0].sequences, None);
}
