//! Tests that requests and responses are followed to their ends, for any split of their bytes.

use cedarpulley_http_framing::{FollowingInput, RequestObserver, ResponseObserver};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A body as it is sent: with its length, or in chunks of up to seven bytes.
fn framed(start: &str, body: &[u8], is_chunked: bool) -> Vec<u8> {
    if !is_chunked {
        let head = format!("{start}\r\nContent-Length: {}\r\n\r\n", body.len());
        return [head.as_bytes(), body].concat();
    }
    let mut bytes = format!("{start}\r\nTransfer-Encoding: chunked\r\n\r\n").into_bytes();
    for chunk in body.chunks(7) {
        bytes.extend_from_slice(format!("{:x};x=y\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nTrailer: z\r\n\r\n");
    bytes
}

fn bodies() -> impl Strategy<Value = Vec<(bool, Vec<u8>)>> {
    let body = prop::collection::vec(any::<u8>(), 0..40);
    prop::collection::vec((any::<bool>(), body), 1..5)
}

#[test]
fn informational_and_bodiless_responses_are_followed() {
    let heads: [&[u8]; 3] = [
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
    ];
    for head in heads {
        let mut observer = ResponseObserver::default();
        observer.put(head);
        assert!(!observer.is_followed());
        observer.put(b"x");
        assert!(observer.is_followed());
    }
    let mut until_close = ResponseObserver::default();
    until_close.put(b"HTTP/1.1 200 OK\r\n\r\nany number of bytes");
    assert!(!until_close.is_followed());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(49), failure_persistence: None, cases: 300, ..ProptestConfig::default()
    })]

    /// Guards against taking a part of a request for the rest of another one's body, and the other way round.
    #[test]
    fn requests_are_followed_to_their_ends(bodies in bodies(), piece_bytes in 1..60usize) {
        let bytes: Vec<u8> = bodies
            .iter()
            .flat_map(|(is_chunked, body)| framed("POST /x HTTP/1.1", body, *is_chunked))
            .collect();
        let mut observer = RequestObserver::default();
        let count = bodies.len() as u64;
        for piece in bytes.chunks(piece_bytes) {
            observer.put(piece);
            for request in 1..=count {
                prop_assert_ne!(observer.following_input(request), FollowingInput::NotARequest);
            }
        }
        for request in 1..count {
            prop_assert_eq!(observer.following_input(request), FollowingInput::Request);
        }
        prop_assert_eq!(observer.following_input(count), FollowingInput::Nothing);
        observer.put(b"\r\nGE");
        prop_assert_eq!(observer.following_input(count), FollowingInput::Undecided);
        observer.put(b"rest");
        prop_assert_eq!(observer.following_input(count), FollowingInput::NotARequest);
        for request in 1..count {
            prop_assert_eq!(observer.following_input(request), FollowingInput::Request);
        }
    }

    /// Guards against using a response with bytes behind it, and against refusing one without.
    #[test]
    fn responses_are_followed_to_their_ends(bodies in bodies(), piece_bytes in 1..60usize) {
        let mut observer = ResponseObserver::default();
        for (is_chunked, body) in bodies {
            observer.begin();
            for piece in framed("HTTP/1.1 200 OK", &body, is_chunked).chunks(piece_bytes) {
                observer.put(piece);
            }
            prop_assert!(!observer.is_followed());
        }
        observer.put(b"}");
        observer.begin();
        prop_assert!(observer.is_followed());
    }
}
