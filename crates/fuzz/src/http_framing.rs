//! Targets for the observers of HTTP/1.1 connections.

use cedarpulley_http_framing::{FollowingInput, RequestObserver, ResponseObserver};

/// The bytes that a client sends, in pieces. Bytes that begin no request stay that.
pub fn http_requests(pieces: &[Vec<u8>]) {
    let mut observer = RequestObserver::default();
    let mut mismatched = false;
    for piece in pieces {
        observer.put(piece);
        let now_mismatched = (1..=pieces.len() as u64)
            .any(|n| observer.following_input(n) == FollowingInput::NotARequest);
        assert!(now_mismatched || !mismatched);
        mismatched = now_mismatched;
    }
}

/// The bytes that a worker sends, in pieces. Bytes behind a response stay noticed.
pub fn http_responses(pieces: &[Vec<u8>]) {
    let mut observer = ResponseObserver::default();
    let mut is_followed = false;
    for piece in pieces {
        observer.put(piece);
        assert!(observer.is_followed() || !is_followed);
        is_followed = observer.is_followed();
    }
}
