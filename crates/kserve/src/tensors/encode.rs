//! Conversion of a client's gRPC request into the body of the request to a worker.

use std::collections::BTreeMap;

use bytes::{BufMut, Bytes, BytesMut};
use serde_json::{Map, Value, json};

use super::{BINARY_OUTPUT, BINARY_SIZE, ConversionError, InferenceBody};
use crate::grpc::inference::infer_parameter::ParameterChoice;
use crate::grpc::inference::model_infer_request::{InferInputTensor, InferRequestedOutputTensor};
use crate::grpc::inference::{InferParameter, InferTensorContents, ModelInferRequest};

/// Converts a gRPC request into the body of the request to a worker, or returns why the request cannot be converted.
pub fn encode_request(message: &ModelInferRequest) -> Result<InferenceBody, ConversionError> {
    let raw_contents = &message.raw_input_contents;
    let is_raw = !raw_contents.is_empty();
    if is_raw && raw_contents.len() != message.inputs.len() {
        return Err(ConversionError::RawCount);
    }
    let json = request_json(message, is_raw)?.to_string();
    if !is_raw {
        return Ok(InferenceBody {
            bytes: json.into(),
            json_length: None,
        });
    }
    let json_length = u32::try_from(json.len()).map_err(|_| ConversionError::TooLarge)?;
    let size = json.len() + raw_contents.iter().map(Bytes::len).sum::<usize>();
    let mut bytes = BytesMut::with_capacity(size);
    bytes.put_slice(json.as_bytes());
    for contents in raw_contents {
        bytes.put_slice(contents);
    }
    Ok(InferenceBody {
        bytes: bytes.freeze(),
        json_length: Some(json_length),
    })
}

/// Builds the JSON of the body. `is_raw`: the tensors follow the JSON as raw bytes.
fn request_json(message: &ModelInferRequest, is_raw: bool) -> Result<Value, ConversionError> {
    let mut inputs = Vec::with_capacity(message.inputs.len());
    for (position, tensor) in message.inputs.iter().enumerate() {
        let raw = is_raw.then(|| &message.raw_input_contents[position]);
        inputs.push(input(tensor, raw).map_err(|cause| ConversionError::Input {
            name: tensor.name.clone(),
            cause: Box::new(cause),
        })?);
    }
    let mut request = Map::new();
    if !message.id.is_empty() {
        request.insert("id".into(), json!(message.id));
    }
    let mut request_parameters = parameters(&message.parameters)?;
    if is_raw {
        request_parameters
            .entry(BINARY_OUTPUT)
            .or_insert(json!(true));
    }
    insert_parameters(&mut request, request_parameters);
    request.insert("inputs".into(), Value::Array(inputs));
    if !message.outputs.is_empty() {
        let outputs = message.outputs.iter().map(requested_output);
        request.insert(
            "outputs".into(),
            Value::Array(outputs.collect::<Result<_, _>>()?),
        );
    }
    Ok(Value::Object(request))
}

fn input(tensor: &InferInputTensor, raw: Option<&Bytes>) -> Result<Value, ConversionError> {
    let mut input = Map::new();
    input.insert("name".into(), json!(tensor.name));
    input.insert("datatype".into(), json!(tensor.datatype));
    input.insert("shape".into(), json!(tensor.shape));
    let mut input_parameters = parameters(&tensor.parameters)?;
    match raw {
        Some(_) if tensor.contents.is_some() => return Err(ConversionError::TypedAndRaw),
        Some(raw) => {
            input_parameters.insert(BINARY_SIZE.into(), json!(raw.len()));
        }
        None => {
            let empty = InferTensorContents::default();
            let contents = tensor.contents.as_ref().unwrap_or(&empty);
            input.insert("data".into(), data(&tensor.datatype, contents)?);
        }
    }
    insert_parameters(&mut input, input_parameters);
    Ok(Value::Object(input))
}

fn requested_output(tensor: &InferRequestedOutputTensor) -> Result<Value, ConversionError> {
    let mut output = Map::new();
    output.insert("name".into(), json!(tensor.name));
    insert_parameters(&mut output, parameters(&tensor.parameters)?);
    Ok(Value::Object(output))
}

fn insert_parameters(object: &mut Map<String, Value>, parameters: Map<String, Value>) {
    if !parameters.is_empty() {
        object.insert("parameters".into(), Value::Object(parameters));
    }
}

fn parameters(
    parameters: &BTreeMap<String, InferParameter>,
) -> Result<Map<String, Value>, ConversionError> {
    parameters
        .iter()
        .map(|(name, value)| Ok((name.clone(), parameter(value)?)))
        .collect()
}

fn parameter(parameter: &InferParameter) -> Result<Value, ConversionError> {
    Ok(match &parameter.parameter_choice {
        None => Value::Null,
        Some(ParameterChoice::BoolParam(value)) => json!(value),
        Some(ParameterChoice::Int64Param(value)) => json!(value),
        Some(ParameterChoice::Uint64Param(value)) => json!(value),
        Some(ParameterChoice::StringParam(value)) => json!(value),
        Some(ParameterChoice::DoubleParam(value)) => finite(*value)?,
    })
}

fn finite(number: f64) -> Result<Value, ConversionError> {
    serde_json::Number::from_f64(number)
        .map(Value::Number)
        .ok_or(ConversionError::NotFinite { number })
}

fn utf8(bytes: &Bytes) -> Result<Value, ConversionError> {
    match std::str::from_utf8(bytes) {
        Ok(text) => Ok(json!(text)),
        Err(_) => Err(ConversionError::NotUtf8),
    }
}

/// Converts the typed contents for the data type into a JSON array.
fn data(datatype: &str, contents: &InferTensorContents) -> Result<Value, ConversionError> {
    Ok(match datatype {
        "BOOL" => json!(contents.bool_contents),
        "INT8" | "INT16" | "INT32" => json!(contents.int_contents),
        "INT64" => json!(contents.int64_contents),
        "UINT8" | "UINT16" | "UINT32" => json!(contents.uint_contents),
        "UINT64" => json!(contents.uint64_contents),
        "FP32" => contents
            .fp32_contents
            .iter()
            .map(|number| finite(f64::from(*number)))
            .collect::<Result<Vec<_>, _>>()?
            .into(),
        "FP64" => contents
            .fp64_contents
            .iter()
            .map(|number| finite(*number))
            .collect::<Result<Vec<_>, _>>()?
            .into(),
        "BYTES" => contents
            .bytes_contents
            .iter()
            .map(utf8)
            .collect::<Result<Vec<_>, _>>()?
            .into(),
        other => {
            return Err(ConversionError::RawOnly {
                datatype: other.to_owned(),
            });
        }
    })
}
