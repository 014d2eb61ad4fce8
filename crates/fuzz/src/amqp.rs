//! Targets for the parsers of AMQP 0-9-1: the bytes that a broker sends, in pieces as they arrive.

use cedarpulley_amqp::connection::Login;
use cedarpulley_amqp::frames::FrameReader;
use cedarpulley_amqp::{Connection, Role};

/// Turns most pieces into a complete frame, whose type and channel are chosen by the first two bytes of the piece.
/// Without this, nearly all inputs would fail at the first check of the frame reader.
fn framed(piece: &[u8]) -> Vec<u8> {
    match piece {
        [kind, channel, payload @ ..] if kind % 8 != 0 => {
            let mut frame = vec![[1, 1, 1, 2, 3, 8, 9, 1][*kind as usize % 8], 0, channel % 3];
            frame.extend((payload.len() as u32).to_be_bytes());
            frame.extend(payload);
            frame.push(0xce);
            frame
        }
        unframed => unframed.to_vec(),
    }
}

/// The frame reader alone.
pub fn amqp_frames(pieces: &[Vec<u8>]) {
    let mut reader = FrameReader::new(8192);
    for piece in pieces {
        reader.feed(&framed(piece));
        loop {
            match reader.next_frame() {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
}

/// A connection that consumes triggers and answers them.
pub fn amqp_connection(pieces: &[Vec<u8>]) {
    let login = Login {
        virtual_host: "/".into(),
        user: "u".into(),
        password: "p".into(),
        heartbeat_s: 4,
        name: "fuzz".into(),
        max_body: 1_000,
    };
    let role = Role::Responder {
        queue: "q".into(),
        prefetch: 5,
    };
    let mut connection = Connection::new(0, role, login);
    for (now, piece) in (0..).zip(pieces) {
        let mut events = Vec::new();
        if connection
            .receive(now, &framed(piece), &mut events)
            .is_err()
        {
            return;
        }
        let _ = connection.output(now);
    }
}
