//! Conversion between the two forms of an inference: the gRPC message, and the JSON with raw tensors after it (the
//! binary-data extension) that workers speak. Raw tensors stay raw and typed ones become JSON; what one form cannot
//! express in the other is an error.

mod decode;
mod encode;

use bytes::Bytes;
use cedarpulley_errors::Remedy;
use thiserror::Error;

pub use decode::decode_response;
pub use encode::encode_request;

/// Parameter of a tensor: how many of the raw bytes belong to it.
const BINARY_SIZE: &str = "binary_data_size";
/// Parameter of a request: outputs are wanted raw.
const BINARY_OUTPUT: &str = "binary_data_output";

/// The body of an infer request to a worker, or of its response: JSON, and after it raw tensors if there are any.
#[derive(Clone, Debug, PartialEq)]
pub struct InferenceBody {
    /// The whole body.
    pub bytes: Bytes,
    /// Length of the JSON in bytes, if raw tensors follow it; absent if all of the body is JSON.
    pub json_length: Option<u32>,
}

/// Why one form cannot be converted into the other; shown to the client. Up to `TooLarge` the client's request is at
/// fault, from there on the worker's response.
#[derive(Debug, Error)]
pub enum ConversionError {
    /// An input of the request cannot be converted.
    #[error("inputs '{name}': {cause}")]
    Input {
        /// Name of the input.
        name: String,
        /// What is wrong with it.
        cause: Box<ConversionError>,
    },
    /// NaN or infinite.
    #[error("{number} has no form in JSON")]
    NotFinite {
        /// The number.
        number: f64,
    },
    /// Typed bytes that are not UTF-8.
    #[error("bytes that are no text have to come raw")]
    NotUtf8,
    /// A data type without a typed form.
    #[error("tensors of type '{datatype}' have to come raw")]
    RawOnly {
        /// The data type.
        datatype: String,
    },
    /// The number of raw contents is not the number of inputs.
    #[error("raw_input_contents: not one for each input")]
    RawCount,
    /// An input has typed contents although raw contents are given.
    #[error("both typed and raw contents")]
    TypedAndRaw,
    /// The JSON is longer than its length can be stated.
    #[error("too large")]
    TooLarge,
    /// The header states a longer JSON than the body has.
    #[error("the JSON is told to be longer than the answer")]
    JsonLength,
    /// The JSON cannot be parsed.
    #[error("its head is no JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// An element does not belong to the tensor's data type.
    #[error("an element that is no {datatype}")]
    Element {
        /// The data type.
        datatype: String,
    },
    /// A dimension of a shape is not a whole number.
    #[error("a shape that is no number")]
    Shape,
    /// A raw tensor's size is not a whole number.
    #[error("a binary_data_size that is no size")]
    RawSize,
    /// A raw tensor is longer than what is left of the body.
    #[error("a raw tensor goes beyond the answer's end")]
    RawOutOfBounds,
    /// The body goes on after the last raw tensor.
    #[error("raw bytes are left over")]
    RawLeftOver,
}

impl Remedy for ConversionError {
    fn remedy(&self) -> &'static str {
        match self {
            ConversionError::Input { cause, .. } => cause.remedy(),
            ConversionError::NotFinite { .. }
            | ConversionError::NotUtf8
            | ConversionError::RawOnly { .. } => "have it sent raw",
            ConversionError::RawCount | ConversionError::TypedAndRaw => {
                "have its client send all tensors typed or all raw"
            }
            ConversionError::TooLarge => "have its client send less at once",
            ConversionError::JsonLength
            | ConversionError::InvalidJson(_)
            | ConversionError::Element { .. }
            | ConversionError::Shape
            | ConversionError::RawSize
            | ConversionError::RawOutOfBounds
            | ConversionError::RawLeftOver => {
                "see what runs on the worker: its answer is no KServe v2"
            }
        }
    }
}
