//! Conversion between the two encodings of an inference: the gRPC message of the client, and the JSON followed by raw
//! tensors (the binary-data extension) that workers use. Raw tensors stay raw, and typed tensors become JSON. Contents
//! that the other encoding cannot represent are an error.

mod decode;
mod encode;

use bytes::Bytes;
use cedarpulley_errors::Remedy;
use thiserror::Error;

pub use decode::decode_response;
pub use encode::encode_request;

/// Parameter of a tensor: its length in the raw bytes after the JSON.
const BINARY_SIZE: &str = "binary_data_size";
/// Parameter of a request: the client wants raw outputs.
const BINARY_OUTPUT: &str = "binary_data_output";

/// The body of an infer request to a worker, or of its response: JSON, followed by the raw tensors, if any.
#[derive(Clone, Debug, PartialEq)]
pub struct InferenceBody {
    /// The whole body.
    pub bytes: Bytes,
    /// Length of the JSON in bytes if raw tensors follow it, or `None` if the whole body is JSON.
    pub json_length: Option<u32>,
}

/// Why a conversion failed; shown to the client. The variants up to `TooLarge` are errors in the client's request, the
/// variants after it are errors in the worker's response. `RawOnly` can also be an error in the worker's response.
#[derive(Debug, Error)]
pub enum ConversionError {
    /// An input of the request cannot be converted.
    #[error("inputs '{name}': {cause}")]
    Input {
        /// Name of the input.
        name: String,
        /// Why the input cannot be converted.
        cause: Box<ConversionError>,
    },
    /// A number is NaN or infinite.
    #[error("{number} has no form in JSON")]
    NotFinite {
        /// The number.
        number: f64,
    },
    /// An element of typed `BYTES` contents is not UTF-8.
    #[error("bytes that are no text have to come raw")]
    NotUtf8,
    /// The data type has no typed contents.
    #[error("tensors of type '{datatype}' have to come raw")]
    RawOnly {
        /// The data type.
        datatype: String,
    },
    /// The number of raw contents differs from the number of inputs.
    #[error("raw_input_contents: not one for each input")]
    RawCount,
    /// An input has typed contents although the request has raw contents.
    #[error("both typed and raw contents")]
    TypedAndRaw,
    /// The JSON is longer than the header with its length can state (32 bits).
    #[error("too large")]
    TooLarge,
    /// The stated length of the JSON exceeds the length of the body.
    #[error("the JSON is told to be longer than the answer")]
    JsonLength,
    /// The JSON cannot be parsed.
    #[error("its head is no JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// An element is not a value of the tensor's data type.
    #[error("an element that is no {datatype}")]
    Element {
        /// The data type.
        datatype: String,
    },
    /// A dimension of a shape is not an integer.
    #[error("a shape that is no number")]
    Shape,
    /// A raw tensor's size is not an unsigned integer.
    #[error("a binary_data_size that is no size")]
    RawSize,
    /// A raw tensor is longer than the rest of the body.
    #[error("a raw tensor goes beyond the answer's end")]
    RawOutOfBounds,
    /// The body continues after the last raw tensor.
    #[error("raw bytes are left over")]
    RawLeftOver,
}

impl Remedy for ConversionError {
    fn remedy(&self) -> &'static str {
        match self {
            ConversionError::Input { cause, .. } => cause.remedy(),
            ConversionError::NotFinite { .. }
            | ConversionError::NotUtf8
            | ConversionError::RawOnly { .. } => "send the tensor as raw data",
            ConversionError::RawCount | ConversionError::TypedAndRaw => {
                "change the client to send all tensors typed or all raw"
            }
            ConversionError::TooLarge => "change the client to send smaller requests",
            ConversionError::JsonLength
            | ConversionError::InvalidJson(_)
            | ConversionError::Element { .. }
            | ConversionError::Shape
            | ConversionError::RawSize
            | ConversionError::RawOutOfBounds
            | ConversionError::RawLeftOver => {
                "check what runs on the worker: its response does not conform to KServe v2"
            }
        }
    }
}
