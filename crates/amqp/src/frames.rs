//! Bytes to frames and back. Whatever arrives, memory stays within the largest frame allowed.

pub use amq_protocol::frame::AMQPFrame;
use amq_protocol::frame::{WriteContext, gen_frame, parse_frame};
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::protocol::{AMQPClass, basic};

use crate::Broken;

/// Type, channel and size before a frame's payload; the end mark after it.
pub const HEAD: usize = 7;
pub const END: u8 = 0xCE;
/// Every peer must take frames of this size (the specification's frame-min-size).
pub const LEAST_FRAME: u32 = 4096;
const CLASS_BASIC: u16 = 60;
/// Reading goes on in a fresh place when so much of the buffer is read.
const COMPACT: usize = 64 * 1024;
/// A method or header with its properties seldom needs more.
const FRAME_GUESS: usize = 256;

#[derive(Debug)]
pub struct Reader {
    buffer: Vec<u8>,
    at: usize,
    most: usize,
}

impl Reader {
    pub fn new(frame_max: u32) -> Self {
        Reader {
            buffer: Vec::new(),
            at: 0,
            most: frame_max.max(LEAST_FRAME) as usize,
        }
    }

    pub fn limit(&mut self, frame_max: u32) {
        self.most = frame_max.max(LEAST_FRAME) as usize;
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if self.at > COMPACT || self.at == self.buffer.len() {
            self.buffer.drain(..self.at);
            self.at = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole frame. A frame beyond the negotiated size is refused by its head, before its body is read.
    pub fn next_frame(&mut self) -> Result<Option<AMQPFrame>, Broken> {
        let rest = &self.buffer[self.at..];
        if rest.len() < HEAD {
            return Ok(None);
        }
        if !matches!(rest[0], 1..=3 | 8) {
            // A broker that does not speak 0-9-1 answers with its own protocol header.
            return Err(Broken::NoFrame { kind: rest[0] });
        }
        let size = u32::from_be_bytes([rest[3], rest[4], rest[5], rest[6]]) as usize;
        if size + HEAD + 1 > self.most {
            return Err(Broken::TooLarge {
                size,
                most: self.most,
            });
        }
        let whole = HEAD + size + 1;
        if rest.len() < whole {
            return Ok(None);
        }
        if rest[whole - 1] != END {
            return Err(Broken::NoEnd);
        }
        let channel = u16::from_be_bytes([rest[1], rest[2]]);
        let frame = match rest[0] {
            3 => AMQPFrame::Body(channel, rest[HEAD..whole - 1].to_vec()),
            _ => match parse_frame(&rest[..whole]) {
                Ok((_, frame)) => frame,
                Err(_) => return Err(Broken::Unreadable),
            },
        };
        self.at += whole;
        Ok(Some(frame))
    }
}

pub fn write(out: &mut Vec<u8>, frame: &AMQPFrame) {
    // Writing into memory fails for no frame that its types allow.
    if let Ok(context) = gen_frame(frame)(WriteContext::from(Vec::with_capacity(FRAME_GUESS))) {
        out.extend_from_slice(&context.write);
    }
}

pub fn write_method(out: &mut Vec<u8>, channel: u16, method: AMQPClass) {
    write(out, &AMQPFrame::Method(channel, method));
}

/// A whole message: method, header and its body in as many frames as its size needs.
pub fn write_message(
    out: &mut Vec<u8>,
    channel: u16,
    method: basic::AMQPMethod,
    properties: AMQPProperties,
    body: &[u8],
    frame_max: u32,
) {
    write_method(out, channel, AMQPClass::Basic(method));
    let header = amq_protocol::frame::AMQPContentHeader {
        class_id: CLASS_BASIC,
        body_size: body.len() as u64,
        properties,
    };
    write(out, &AMQPFrame::Header(channel, header));
    for part in body.chunks(frame_max as usize - HEAD - 1) {
        out.push(3);
        out.extend_from_slice(&channel.to_be_bytes());
        out.extend_from_slice(&(part.len() as u32).to_be_bytes());
        out.extend_from_slice(part);
        out.push(END);
    }
}

pub fn heartbeat() -> AMQPFrame {
    AMQPFrame::Heartbeat
}
