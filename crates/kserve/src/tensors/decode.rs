//! Conversion of the body of a worker's response into the gRPC message for the client.

use std::collections::BTreeMap;

use bytes::{BufMut, Bytes, BytesMut};
use serde_json::{Value, json};

use super::{BINARY_SIZE, ConversionError, InferenceBody};
use crate::grpc::inference::infer_parameter::ParameterChoice;
use crate::grpc::inference::model_infer_response::InferOutputTensor;
use crate::grpc::inference::{InferParameter, InferTensorContents, ModelInferResponse};

/// Converts a worker's response into the gRPC message, or returns why it is invalid. A gRPC response has either only
/// typed or only raw outputs: if any output is raw, the typed ones are converted to raw.
pub fn decode_response(body: &InferenceBody) -> Result<ModelInferResponse, ConversionError> {
    let json_length = body
        .json_length
        .map_or(body.bytes.len(), |length| length as usize);
    if json_length > body.bytes.len() {
        return Err(ConversionError::JsonLength);
    }
    let response: Value = serde_json::from_slice(&body.bytes[..json_length])?;
    let mut raw_bytes = RawBytes {
        bytes: &body.bytes,
        position: json_length,
    };
    let (mut outputs, mut raw_contents) = (Vec::new(), Vec::new());
    for tensor in array(&response, "outputs") {
        let (output, raw) = output(tensor, &mut raw_bytes)?;
        outputs.push(output);
        raw_contents.push(raw);
    }
    if !raw_bytes.is_at_end() {
        return Err(ConversionError::RawLeftOver);
    }
    let raw_output_contents = if raw_contents.iter().any(Option::is_some) {
        outputs
            .iter_mut()
            .zip(raw_contents)
            .map(|(output, raw)| {
                let typed = output.contents.take();
                raw.or_else(|| typed.map(|typed| to_raw(&output.datatype, &typed)))
                    .unwrap_or_default()
            })
            .collect()
    } else {
        Vec::new()
    };
    Ok(ModelInferResponse {
        model_name: text(&response, "model_name"),
        model_version: text(&response, "model_version"),
        id: text(&response, "id"),
        parameters: parameters(&response),
        outputs,
        raw_output_contents,
    })
}

/// Reads the raw tensors of a body one after the other.
struct RawBytes<'a> {
    /// The whole body.
    bytes: &'a Bytes,
    /// Start of the next raw tensor in the body, in bytes.
    position: usize,
}

impl RawBytes<'_> {
    fn take(&mut self, size: usize) -> Result<Bytes, ConversionError> {
        let end = self
            .position
            .checked_add(size)
            .filter(|end| *end <= self.bytes.len())
            .ok_or(ConversionError::RawOutOfBounds)?;
        let tensor_bytes = self.bytes.slice(self.position..end);
        self.position = end;
        Ok(tensor_bytes)
    }

    fn is_at_end(&self) -> bool {
        self.position == self.bytes.len()
    }
}

/// Converts one output. Returns it, and its contents separately if they are raw.
fn output(
    tensor: &Value,
    raw_bytes: &mut RawBytes,
) -> Result<(InferOutputTensor, Option<Bytes>), ConversionError> {
    let datatype = text(tensor, "datatype");
    let mut parameters = parameters(tensor);
    let (typed, raw) = match raw_size(&mut parameters)? {
        Some(size) => (None, Some(raw_bytes.take(size)?)),
        None => {
            let empty = json!([]);
            let data = tensor.get("data").unwrap_or(&empty);
            (Some(contents(&datatype, data)?), None)
        }
    };
    let shape = array(tensor, "shape")
        .map(|dimension| dimension.as_i64().ok_or(ConversionError::Shape))
        .collect::<Result<_, _>>()?;
    let output = InferOutputTensor {
        name: text(tensor, "name"),
        datatype,
        shape,
        parameters,
        contents: typed,
    };
    Ok((output, raw))
}

/// Removes the size of a raw tensor, in bytes, from its parameters. Returns `None` if the tensor is typed.
fn raw_size(
    parameters: &mut BTreeMap<String, InferParameter>,
) -> Result<Option<usize>, ConversionError> {
    match parameters
        .remove(BINARY_SIZE)
        .and_then(|parameter| parameter.parameter_choice)
    {
        Some(ParameterChoice::Int64Param(size)) => Ok(Some(
            usize::try_from(size).map_err(|_| ConversionError::RawSize)?,
        )),
        Some(_) => Err(ConversionError::RawSize),
        None => Ok(None),
    }
}

/// Returns the string member `name` of an object; empty if there is none.
fn text(object: &Value, name: &str) -> String {
    object
        .get(name)
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned()
}

/// Returns the elements of the array member `name` of an object; none if it is not an array.
fn array<'a>(object: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> + use<'a> {
    object
        .get(name)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
}

fn parameters(object: &Value) -> BTreeMap<String, InferParameter> {
    object
        .get("parameters")
        .and_then(Value::as_object)
        .into_iter()
        .flatten()
        .map(|(name, value)| (name.clone(), parameter(value)))
        .collect()
}

fn parameter(value: &Value) -> InferParameter {
    let parameter_choice = match value {
        Value::Bool(value) => Some(ParameterChoice::BoolParam(*value)),
        Value::String(value) => Some(ParameterChoice::StringParam(value.clone())),
        Value::Number(number) => match (number.as_i64(), number.as_u64(), number.as_f64()) {
            (Some(value), ..) => Some(ParameterChoice::Int64Param(value)),
            (_, Some(value), _) => Some(ParameterChoice::Uint64Param(value)),
            (.., value) => value.map(ParameterChoice::DoubleParam),
        },
        // gRPC parameters have no arrays and objects; their JSON text preserves the whole value.
        Value::Array(_) | Value::Object(_) => Some(ParameterChoice::StringParam(value.to_string())),
        Value::Null => None,
    };
    InferParameter { parameter_choice }
}

/// Appends the elements of an array, nested to any depth, in row-major order. The JSON parser limits the depth, and
/// with it the recursion.
fn flatten<'a>(value: &'a Value, elements: &mut Vec<&'a Value>) {
    match value {
        Value::Array(inner) => inner.iter().for_each(|value| flatten(value, elements)),
        other => elements.push(other),
    }
}

/// Converts the JSON data of a tensor into typed contents.
fn contents(datatype: &str, data: &Value) -> Result<InferTensorContents, ConversionError> {
    let mut elements = Vec::new();
    flatten(data, &mut elements);
    let invalid = || ConversionError::Element {
        datatype: datatype.to_owned(),
    };
    let integer_within = |value: &Value, min: i64, max: i64| {
        value
            .as_i64()
            .filter(|number| (min..=max).contains(number))
            .ok_or_else(invalid)
    };
    let signed = |value, min: i32, max: i32| {
        integer_within(value, i64::from(min), i64::from(max)).map(|number| number as i32)
    };
    let unsigned =
        |value, max: u32| integer_within(value, 0, i64::from(max)).map(|number| number as u32);
    let mut out = InferTensorContents::default();
    for value in elements {
        match datatype {
            "BOOL" => out.bool_contents.push(value.as_bool().ok_or_else(invalid)?),
            "INT8" => out.int_contents.push(signed(value, -128, 127)?),
            "INT16" => out.int_contents.push(signed(value, -32_768, 32_767)?),
            "INT32" => out.int_contents.push(signed(value, i32::MIN, i32::MAX)?),
            "INT64" => out.int64_contents.push(value.as_i64().ok_or_else(invalid)?),
            "UINT8" => out.uint_contents.push(unsigned(value, 255)?),
            "UINT16" => out.uint_contents.push(unsigned(value, 65_535)?),
            "UINT32" => out.uint_contents.push(unsigned(value, u32::MAX)?),
            "UINT64" => out
                .uint64_contents
                .push(value.as_u64().ok_or_else(invalid)?),
            "FP32" => out
                .fp32_contents
                .push(value.as_f64().ok_or_else(invalid)? as f32),
            "FP64" => out.fp64_contents.push(value.as_f64().ok_or_else(invalid)?),
            "BYTES" => out
                .bytes_contents
                .push(value.as_str().ok_or_else(invalid)?.to_owned().into()),
            other => {
                return Err(ConversionError::RawOnly {
                    datatype: other.to_owned(),
                });
            }
        }
    }
    Ok(out)
}

/// Converts typed contents into raw bytes: little endian, each `BYTES` element preceded by its length in 4 bytes.
fn to_raw(datatype: &str, contents: &InferTensorContents) -> Bytes {
    let mut out = BytesMut::new();
    for value in &contents.bool_contents {
        out.put_u8(u8::from(*value));
    }
    for number in &contents.int_contents {
        match datatype {
            "INT8" => out.put_i8(*number as i8),
            "INT16" => out.put_i16_le(*number as i16),
            _ => out.put_i32_le(*number),
        }
    }
    for number in &contents.uint_contents {
        match datatype {
            "UINT8" => out.put_u8(*number as u8),
            "UINT16" => out.put_u16_le(*number as u16),
            _ => out.put_u32_le(*number),
        }
    }
    for number in &contents.int64_contents {
        out.put_i64_le(*number);
    }
    for number in &contents.uint64_contents {
        out.put_u64_le(*number);
    }
    for number in &contents.fp32_contents {
        out.put_f32_le(*number);
    }
    for number in &contents.fp64_contents {
        out.put_f64_le(*number);
    }
    for text in &contents.bytes_contents {
        out.put_u32_le(text.len() as u32);
        out.put_slice(text);
    }
    out.freeze()
}
