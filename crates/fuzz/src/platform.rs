//! Targets for the parsers of the platform's protocols.

use cedarpulley_platform::client_protocol::{
    MAX_BODY_BYTES, RequestQueue, RequestRules, TriggerRules,
};
use cedarpulley_platform::config::{self, Names};
use cedarpulley_platform::discovery::{ResponseReader, WorkerListFollower};
use cedarpulley_platform::worker_protocol::AnswerReader;

/// The bytes that a client sends, in pieces. Nothing is parsed after a malformed request, and the retained bytes are
/// bounded no matter how many requests the client sends ahead.
pub fn platform_client(pieces: &[Vec<u8>]) {
    let names = Names {
        triggers: vec!["a".into()],
        accounts: vec!["b".into()],
        ..Names::default()
    };
    let triggers = vec![TriggerRules {
        max_client_timeout: 1_000_000,
        needs_idempotency_key: false,
    }];
    let rules = RequestRules {
        names,
        triggers,
        largest_machine_mb: 1e3,
    };
    let mut queue = RequestQueue::default();
    for piece in pieces.iter().take_while(|piece| piece.len() < 1 << 16) {
        queue.put(0, piece, &rules);
        // The bound covers the queued requests, and one request that is being received, with its chunks or its headers.
        assert!(queue.bytes() <= 4 * MAX_BODY_BYTES + piece.len());
    }
    let mut ended = false;
    while let Some(next) = queue.take() {
        assert!(!ended);
        ended = next
            .request
            .is_err_and(|error| !error.leaves_stream_readable());
    }
}

/// The bytes that a worker sends. The parsed answers are no longer than the received bytes.
pub fn platform_worker(bytes: &[u8]) {
    let mut reader = AnswerReader::default();
    reader.put(bytes);
    let mut size = 0;
    while let Ok(Some(answer)) = reader.next(&[]) {
        size += answer.id.len() + answer.body.len();
    }
    assert!(size <= bytes.len());
}

/// The bytes that the command channel sends, and a configuration file. A batch that is applied a second time changes
/// nothing.
pub fn platform_channel(bytes: &[u8]) {
    let mut answers = ResponseReader::default();
    answers.put(bytes);
    let (mut follower, names) = (WorkerListFollower::default(), Names::default());
    while let Ok(Some(batch)) = answers.next_batch() {
        if follower.apply_batch(&batch, &names, 0, 0).is_ok() {
            assert!(
                follower
                    .apply_batch(&batch, &names, 0, 0)
                    .is_ok_and(|repeated| repeated.is_empty())
            );
        }
    }
    let _ = config::StartupConfig::parse(&String::from_utf8_lossy(bytes));
}
