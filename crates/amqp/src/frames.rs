//! Conversion between bytes and frames. The largest allowed frame bounds the memory that received bytes can take.

pub use amq_protocol::frame::AMQPFrame;
use amq_protocol::frame::{AMQPContentHeader, WriteContext, gen_frame, parse_frame};
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::protocol::{AMQPClass, basic};

use crate::ProtocolError;

/// Length of the header before a frame's payload, in bytes: type, channel and size.
pub const HEADER_BYTES: usize = 7;
/// The byte that follows a frame's payload (the specification's frame-end).
pub const FRAME_END: u8 = 0xCE;
/// Frame size in bytes that every peer must accept (the specification's frame-min-size).
pub const MIN_FRAME_MAX: u32 = 4096;

const TYPE_METHOD: u8 = 1;
const TYPE_BODY: u8 = 3;
const TYPE_HEARTBEAT: u8 = 8;
const CLASS_BASIC: u16 = 60;
/// Once more than this number of bytes of the buffer have been read, they are removed from it.
const COMPACTION_THRESHOLD: usize = 64 * 1024;
/// Initial capacity of the buffer for a frame, in bytes: a method or header with its properties is rarely larger.
const FRAME_CAPACITY: usize = 256;

/// Splits a stream of received bytes into frames.
#[derive(Debug)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that have been read.
    position: usize,
    /// Size limit of a whole frame in bytes.
    frame_max: usize,
}

impl FrameReader {
    /// Creates a reader that accepts whole frames of up to `frame_max` bytes.
    pub fn new(frame_max: u32) -> Self {
        FrameReader {
            buffer: Vec::new(),
            position: 0,
            frame_max: frame_max.max(MIN_FRAME_MAX) as usize,
        }
    }

    /// Sets the negotiated size limit of whole frames in bytes.
    pub fn set_frame_max(&mut self, frame_max: u32) {
        self.frame_max = frame_max.max(MIN_FRAME_MAX) as usize;
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.position > COMPACTION_THRESHOLD || self.position == self.buffer.len() {
            self.buffer.drain(..self.position);
            self.position = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame once all of it has arrived. A frame above the negotiated size is an error as soon as its
    /// header has arrived.
    pub fn next_frame(&mut self) -> Result<Option<AMQPFrame>, ProtocolError> {
        let unread = &self.buffer[self.position..];
        if unread.len() < HEADER_BYTES {
            return Ok(None);
        }
        let kind = unread[0];
        if !matches!(kind, TYPE_METHOD..=TYPE_BODY | TYPE_HEARTBEAT) {
            // A broker that does not support AMQP 0-9-1 sends its own protocol header, which has no valid frame type.
            return Err(ProtocolError::UnknownFrameType { kind });
        }
        let payload = u32::from_be_bytes([unread[3], unread[4], unread[5], unread[6]]) as usize;
        let length = HEADER_BYTES + payload + 1;
        if length > self.frame_max {
            return Err(ProtocolError::FrameTooLarge {
                size: payload,
                limit: self.frame_max,
            });
        }
        if unread.len() < length {
            return Ok(None);
        }
        if unread[length - 1] != FRAME_END {
            return Err(ProtocolError::MissingFrameEnd);
        }
        let channel = u16::from_be_bytes([unread[1], unread[2]]);
        let frame = match kind {
            TYPE_BODY => AMQPFrame::Body(channel, unread[HEADER_BYTES..length - 1].to_vec()),
            _ => match parse_frame(&unread[..length]) {
                Ok((_, frame)) => frame,
                Err(_) => return Err(ProtocolError::MalformedFrame),
            },
        };
        self.position += length;
        Ok(Some(frame))
    }
}

/// Appends an encoded frame to `out`.
pub fn write(out: &mut Vec<u8>, frame: &AMQPFrame) {
    // Encoding into memory does not fail for any frame that the types can represent.
    if let Ok(context) = gen_frame(frame)(WriteContext::from(Vec::with_capacity(FRAME_CAPACITY))) {
        out.extend_from_slice(&context.write);
    }
}

/// Appends an encoded method frame to `out`.
pub fn write_method(out: &mut Vec<u8>, channel: u16, method: AMQPClass) {
    write(out, &AMQPFrame::Method(channel, method));
}

/// Appends an encoded message to `out`: method, content header, and the body, split into frames of at most `frame_max`
/// bytes.
pub fn write_message(
    out: &mut Vec<u8>,
    channel: u16,
    method: basic::AMQPMethod,
    properties: AMQPProperties,
    body: &[u8],
    frame_max: u32,
) {
    write_method(out, channel, AMQPClass::Basic(method));
    let header = AMQPContentHeader {
        class_id: CLASS_BASIC,
        body_size: body.len() as u64,
        properties,
    };
    write(out, &AMQPFrame::Header(channel, header));
    for part in body.chunks(frame_max as usize - HEADER_BYTES - 1) {
        out.push(TYPE_BODY);
        out.extend_from_slice(&channel.to_be_bytes());
        out.extend_from_slice(&(part.len() as u32).to_be_bytes());
        out.extend_from_slice(part);
        out.push(FRAME_END);
    }
}

/// Returns a heartbeat frame.
pub fn heartbeat() -> AMQPFrame {
    AMQPFrame::Heartbeat
}
