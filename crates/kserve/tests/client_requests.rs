//! Paths and headers of a client's requests over HTTP.

use cedarpulley_kserve::client_requests::{
    Asked, CLIENT_TIMEOUT_MS, LANES, SENT_AT_US, asked, retry_after, wanted,
};
use cedarpulley_kserve::worker_requests::TRIGGER_TYPE;
use http::{HeaderMap, Method};

#[test]
fn each_path_and_method_is_recognized() {
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
fn an_invalid_header_is_named() {
    let of = |pairs: &[(&'static str, &str)]| {
        let mut headers = HeaderMap::new();
        pairs.iter().for_each(|(name, value)| {
            headers.insert(*name, value.parse().expect("a value"));
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
    let headers = of(&[
        (TRIGGER_TYPE, "t"),
        (SENT_AT_US, "4000000"),
        (CLIENT_TIMEOUT_MS, "1500"),
    ])
    .expect("good");
    assert_eq!(
        (headers.waited, headers.client_timeout, headers.lanes),
        (6_000_000, Some(1_500_000), 1)
    );
    assert_eq!((retry_after(1), retry_after(2_000_000)), (1, 2));
}
