//! Parsing of the paths and headers of clients' requests over HTTP. Guards against a path or header that is accepted
//! with a wrong meaning, and against errors that do not name the invalid header.

use cedarpulley_kserve::client_requests::{
    CLIENT_TIMEOUT_MS, ClientRequest, LANES, SENT_AT_US, parse_infer_headers, parse_path,
    retry_after,
};
use cedarpulley_kserve::worker_requests::TRIGGER_TYPE;
use http::{HeaderMap, Method};

#[test]
fn each_path_and_method_is_recognized() {
    let get = |path| parse_path(&Method::GET, path);
    assert_eq!(get("/v2/health/live"), ClientRequest::ServerLive);
    assert_eq!(get("/v2"), ClientRequest::ServerMetadata);
    assert_eq!(
        get("/v2/models/a%2Fb/ready"),
        ClientRequest::ModelReady("a/b".into())
    );
    assert_eq!(get("/v2/models/a/infer"), ClientRequest::WrongMethod);
    assert_eq!(
        parse_path(&Method::POST, "/v2/models/a/infer"),
        ClientRequest::Infer("a".into())
    );
    assert_eq!(
        parse_path(&Method::POST, "/v2/repository/index"),
        ClientRequest::RepositoryIndex
    );
    assert_eq!(
        get("/v2/models/a/versions/2/ready"),
        ClientRequest::ModelReady("a/versions/2".into())
    );
    // An encoded or empty version would make the name of the function ambiguous.
    let ambiguous_paths = [
        "/v2/models/a%2Fversions%2F2",
        "/v2/models/a/versions//ready",
    ];
    for path in ambiguous_paths.into_iter().chain([
        "/",
        "/v1/models/a",
        "/v2/models/%FF/ready",
        "/v2/models//infer",
    ]) {
        assert_eq!(get(path), ClientRequest::Unknown, "{path}");
    }
}

#[test]
fn an_invalid_header_is_named() {
    let parse = |pairs: &[(&'static str, &str)]| {
        let mut headers = HeaderMap::new();
        pairs.iter().for_each(|(name, value)| {
            headers.insert(*name, value.parse().expect("a valid header value"));
        });
        parse_infer_headers(&headers, 10_000_000)
    };
    assert_eq!(parse(&[]).expect_err("no trigger type").field, TRIGGER_TYPE);
    assert_eq!(
        parse(&[(TRIGGER_TYPE, "t"), (LANES, "-1")])
            .expect_err("negative lanes")
            .field,
        LANES
    );
    let headers = parse(&[
        (TRIGGER_TYPE, "t"),
        (SENT_AT_US, "4000000"),
        (CLIENT_TIMEOUT_MS, "1500"),
    ])
    .expect("valid headers");
    assert_eq!(
        (headers.waited, headers.client_timeout, headers.lanes),
        (6_000_000, Some(1_500_000), 1)
    );
    assert_eq!((retry_after(1), retry_after(2_000_000)), (1, 2));
}
