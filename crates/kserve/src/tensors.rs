//! Between the two forms of an inference: a gRPC message, and the JSON with raw tensors after it that workers speak.
//! Raw tensors stay raw; typed ones become JSON. What one form cannot say in the other is an error, never a guess.

use std::collections::BTreeMap;

use bytes::{BufMut, Bytes, BytesMut};
use cedarpulley_errors::Remedy;
use serde_json::{Map, Value, json};
use thiserror::Error;

use crate::rpc::inference::infer_parameter::ParameterChoice;
use crate::rpc::inference::model_infer_response::InferOutputTensor;
use crate::rpc::inference::{
    InferParameter, InferTensorContents, ModelInferRequest, ModelInferResponse,
};

/// Of a tensor's parameters: so many of the raw bytes are its.
const BINARY_SIZE: &str = "binary_data_size";
/// Of a request's: outputs are wanted raw.
const BINARY_OUTPUT: &str = "binary_data_output";

/// JSON and, beyond `json` bytes, raw tensors.
#[derive(Clone, Debug, PartialEq)]
pub struct Rest {
    pub bytes: Bytes,
    pub json: Option<u32>,
}

/// Why one form has no other: up to `TooLarge` a client's doing, from there on a worker's. Either is told to the client.
#[derive(Debug, Error)]
pub enum NoForm {
    #[error("inputs '{name}': {why}")]
    Input { name: String, why: Box<NoForm> },
    #[error("{number} has no form in JSON")]
    NoNumber { number: f64 },
    #[error("bytes that are no text have to come raw")]
    NoText,
    #[error("tensors of type '{datatype}' have to come raw")]
    RawOnly { datatype: String },
    #[error("raw_input_contents: not one for each input")]
    RawCount,
    #[error("both typed and raw contents")]
    Both,
    #[error("too large")]
    TooLarge,
    #[error("the JSON is told to be longer than the answer")]
    JsonLength,
    #[error("its head is no JSON: {0}")]
    NoJson(#[from] serde_json::Error),
    #[error("an element that is no {datatype}")]
    Element { datatype: String },
    #[error("a shape that is no number")]
    Shape,
    #[error("a binary_data_size that is no size")]
    RawSize,
    #[error("a raw tensor goes beyond the answer's end")]
    RawBeyond,
    #[error("raw bytes are left over")]
    RawLeft,
}

impl Remedy for NoForm {
    fn remedy(&self) -> &'static str {
        match self {
            NoForm::Input { why, .. } => why.remedy(),
            NoForm::NoNumber { .. } | NoForm::NoText | NoForm::RawOnly { .. } => "have it sent raw",
            NoForm::RawCount | NoForm::Both => "have its client send all tensors typed or all raw",
            NoForm::TooLarge => "have its client send less at once",
            NoForm::JsonLength
            | NoForm::NoJson(_)
            | NoForm::Element { .. }
            | NoForm::Shape
            | NoForm::RawSize
            | NoForm::RawBeyond
            | NoForm::RawLeft => "see what runs on the worker: its answer is no KServe v2",
        }
    }
}

fn parameter(p: &InferParameter) -> Result<Value, NoForm> {
    Ok(match &p.parameter_choice {
        None => Value::Null,
        Some(ParameterChoice::BoolParam(b)) => json!(b),
        Some(ParameterChoice::Int64Param(n)) => json!(n),
        Some(ParameterChoice::Uint64Param(n)) => json!(n),
        Some(ParameterChoice::StringParam(s)) => json!(s),
        Some(ParameterChoice::DoubleParam(d)) => finite(*d)?,
    })
}

fn finite(d: f64) -> Result<Value, NoForm> {
    serde_json::Number::from_f64(d)
        .map(Value::Number)
        .ok_or(NoForm::NoNumber { number: d })
}

fn parameters(from: &BTreeMap<String, InferParameter>) -> Result<Map<String, Value>, NoForm> {
    from.iter()
        .map(|(name, p)| Ok((name.clone(), parameter(p)?)))
        .collect()
}

/// The typed contents that the type calls for.
fn data(datatype: &str, c: &InferTensorContents) -> Result<Value, NoForm> {
    let texts = |b: &Bytes| match std::str::from_utf8(b) {
        Ok(text) => Ok(json!(text)),
        Err(_) => Err(NoForm::NoText),
    };
    Ok(match datatype {
        "BOOL" => json!(c.bool_contents),
        "INT8" | "INT16" | "INT32" => json!(c.int_contents),
        "INT64" => json!(c.int64_contents),
        "UINT8" | "UINT16" | "UINT32" => json!(c.uint_contents),
        "UINT64" => json!(c.uint64_contents),
        "FP32" => c
            .fp32_contents
            .iter()
            .map(|f| finite(f64::from(*f)))
            .collect::<Result<Vec<_>, _>>()?
            .into(),
        "FP64" => c
            .fp64_contents
            .iter()
            .map(|f| finite(*f))
            .collect::<Result<Vec<_>, _>>()?
            .into(),
        "BYTES" => c
            .bytes_contents
            .iter()
            .map(texts)
            .collect::<Result<Vec<_>, _>>()?
            .into(),
        other => {
            return Err(NoForm::RawOnly {
                datatype: other.to_owned(),
            });
        }
    })
}

/// What a worker is sent for a gRPC request; or what is wrong with it.
pub fn request(r: &ModelInferRequest) -> Result<Rest, NoForm> {
    let raw = !r.raw_input_contents.is_empty();
    if raw && r.raw_input_contents.len() != r.inputs.len() {
        return Err(NoForm::RawCount);
    }
    let mut inputs = Vec::with_capacity(r.inputs.len());
    for (n, input) in r.inputs.iter().enumerate() {
        let of = |why| NoForm::Input {
            name: input.name.clone(),
            why: Box::new(why),
        };
        let mut tensor = Map::new();
        tensor.insert("name".into(), json!(input.name));
        tensor.insert("datatype".into(), json!(input.datatype));
        tensor.insert("shape".into(), json!(input.shape));
        let mut given = parameters(&input.parameters).map_err(of)?;
        if raw {
            if input.contents.is_some() {
                return Err(of(NoForm::Both));
            }
            given.insert(BINARY_SIZE.into(), json!(r.raw_input_contents[n].len()));
        } else {
            let empty = InferTensorContents::default();
            let contents = input.contents.as_ref().unwrap_or(&empty);
            tensor.insert("data".into(), data(&input.datatype, contents).map_err(of)?);
        }
        if !given.is_empty() {
            tensor.insert("parameters".into(), Value::Object(given));
        }
        inputs.push(Value::Object(tensor));
    }
    let mut whole = Map::new();
    if !r.id.is_empty() {
        whole.insert("id".into(), json!(r.id));
    }
    let mut given = parameters(&r.parameters)?;
    if raw {
        given.entry(BINARY_OUTPUT).or_insert(json!(true));
    }
    if !given.is_empty() {
        whole.insert("parameters".into(), Value::Object(given));
    }
    whole.insert("inputs".into(), Value::Array(inputs));
    if !r.outputs.is_empty() {
        let outputs = r.outputs.iter().map(|o| {
            let mut output = Map::new();
            output.insert("name".into(), json!(o.name));
            let given = parameters(&o.parameters)?;
            if !given.is_empty() {
                output.insert("parameters".into(), Value::Object(given));
            }
            Ok(Value::Object(output))
        });
        whole.insert(
            "outputs".into(),
            Value::Array(outputs.collect::<Result<_, NoForm>>()?),
        );
    }
    let head = Value::Object(whole).to_string();
    if !raw {
        return Ok(Rest {
            bytes: head.into(),
            json: None,
        });
    }
    let json = u32::try_from(head.len()).map_err(|_| NoForm::TooLarge)?;
    let size = head.len() + r.raw_input_contents.iter().map(Bytes::len).sum::<usize>();
    let mut bytes = BytesMut::with_capacity(size);
    bytes.put_slice(head.as_bytes());
    r.raw_input_contents.iter().for_each(|c| bytes.put_slice(c));
    Ok(Rest {
        bytes: bytes.freeze(),
        json: Some(json),
    })
}

fn choice(value: &Value) -> InferParameter {
    let parameter_choice = match value {
        Value::Bool(b) => Some(ParameterChoice::BoolParam(*b)),
        Value::String(s) => Some(ParameterChoice::StringParam(s.clone())),
        Value::Number(n) => match (n.as_i64(), n.as_u64(), n.as_f64()) {
            (Some(n), ..) => Some(ParameterChoice::Int64Param(n)),
            (_, Some(n), _) => Some(ParameterChoice::Uint64Param(n)),
            (.., d) => d.map(ParameterChoice::DoubleParam),
        },
        // There is no form for them; their text keeps what was said.
        Value::Array(_) | Value::Object(_) => Some(ParameterChoice::StringParam(value.to_string())),
        Value::Null => None,
    };
    InferParameter { parameter_choice }
}

fn choices(of: &Value) -> BTreeMap<String, InferParameter> {
    let object = of.get("parameters").and_then(Value::as_object);
    object
        .into_iter()
        .flatten()
        .map(|(name, value)| (name.clone(), choice(value)))
        .collect()
}

/// Elements of an array in row order, however deeply nested; the walk is bounded by the parser's own depth.
fn flat<'a>(value: &'a Value, out: &mut Vec<&'a Value>) {
    match value {
        Value::Array(inner) => inner.iter().for_each(|v| flat(v, out)),
        other => out.push(other),
    }
}

fn contents(datatype: &str, data: &Value) -> Result<InferTensorContents, NoForm> {
    let mut all = Vec::new();
    flat(data, &mut all);
    let wrong = || NoForm::Element {
        datatype: datatype.to_owned(),
    };
    let whole = |v: &Value, least: i64, most: i64| {
        v.as_i64()
            .filter(|n| (least..=most).contains(n))
            .ok_or_else(wrong)
    };
    let mut c = InferTensorContents::default();
    for v in all {
        match datatype {
            "BOOL" => c.bool_contents.push(v.as_bool().ok_or_else(wrong)?),
            "INT8" => c.int_contents.push(whole(v, -128, 127)? as i32),
            "INT16" => c.int_contents.push(whole(v, -32_768, 32_767)? as i32),
            "INT32" => c
                .int_contents
                .push(whole(v, i64::from(i32::MIN), i64::from(i32::MAX))? as i32),
            "INT64" => c.int64_contents.push(v.as_i64().ok_or_else(wrong)?),
            "UINT8" => c.uint_contents.push(whole(v, 0, 255)? as u32),
            "UINT16" => c.uint_contents.push(whole(v, 0, 65_535)? as u32),
            "UINT32" => c
                .uint_contents
                .push(whole(v, 0, i64::from(u32::MAX))? as u32),
            "UINT64" => c.uint64_contents.push(v.as_u64().ok_or_else(wrong)?),
            "FP32" => c.fp32_contents.push(v.as_f64().ok_or_else(wrong)? as f32),
            "FP64" => c.fp64_contents.push(v.as_f64().ok_or_else(wrong)?),
            "BYTES" => c
                .bytes_contents
                .push(v.as_str().ok_or_else(wrong)?.to_owned().into()),
            other => {
                return Err(NoForm::RawOnly {
                    datatype: other.to_owned(),
                });
            }
        }
    }
    Ok(c)
}

/// Typed elements as raw ones: little endian, texts with their length before them.
fn rawed(datatype: &str, c: &InferTensorContents) -> Bytes {
    let mut out = BytesMut::new();
    c.bool_contents
        .iter()
        .for_each(|b| out.put_u8(u8::from(*b)));
    match datatype {
        "INT8" => c.int_contents.iter().for_each(|n| out.put_i8(*n as i8)),
        "INT16" => c
            .int_contents
            .iter()
            .for_each(|n| out.put_i16_le(*n as i16)),
        _ => c.int_contents.iter().for_each(|n| out.put_i32_le(*n)),
    }
    match datatype {
        "UINT8" => c.uint_contents.iter().for_each(|n| out.put_u8(*n as u8)),
        "UINT16" => c
            .uint_contents
            .iter()
            .for_each(|n| out.put_u16_le(*n as u16)),
        _ => c.uint_contents.iter().for_each(|n| out.put_u32_le(*n)),
    }
    c.int64_contents.iter().for_each(|n| out.put_i64_le(*n));
    c.uint64_contents.iter().for_each(|n| out.put_u64_le(*n));
    c.fp32_contents.iter().for_each(|f| out.put_f32_le(*f));
    c.fp64_contents.iter().for_each(|f| out.put_f64_le(*f));
    for text in &c.bytes_contents {
        out.put_u32_le(text.len() as u32);
        out.put_slice(text);
    }
    out.freeze()
}

/// The gRPC message for a worker's answer; or why it cannot be read. Where any output is raw, all are.
pub fn response(rest: &Rest) -> Result<ModelInferResponse, NoForm> {
    let json = rest.json.map_or(rest.bytes.len(), |n| n as usize);
    if json > rest.bytes.len() {
        return Err(NoForm::JsonLength);
    }
    let head: Value = serde_json::from_slice(&rest.bytes[..json])?;
    let text = |of: &Value, name: &str| {
        of.get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned()
    };
    let (mut outputs, mut raws, mut at) = (Vec::new(), Vec::new(), json);
    for o in head
        .get("outputs")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
    {
        let datatype = text(o, "datatype");
        let shape = o
            .get("shape")
            .and_then(Value::as_array)
            .into_iter()
            .flatten();
        let shape = shape.map(|n| n.as_i64().ok_or(NoForm::Shape));
        let mut given = choices(o);
        let size = match given.remove(BINARY_SIZE).and_then(|p| p.parameter_choice) {
            Some(ParameterChoice::Int64Param(n)) => {
                Some(usize::try_from(n).map_err(|_| NoForm::RawSize)?)
            }
            Some(_) => return Err(NoForm::RawSize),
            None => None,
        };
        let (typed, raw) = match size {
            Some(size) => {
                let end = at.checked_add(size).filter(|end| *end <= rest.bytes.len());
                let end = end.ok_or(NoForm::RawBeyond)?;
                let raw = rest.bytes.slice(at..end);
                at = end;
                (None, Some(raw))
            }
            None => (
                Some(contents(&datatype, o.get("data").unwrap_or(&json!([])))?),
                None,
            ),
        };
        raws.push(raw);
        outputs.push(InferOutputTensor {
            name: text(o, "name"),
            datatype,
            shape: shape.collect::<Result<_, _>>()?,
            parameters: given,
            contents: typed,
        });
    }
    if at != rest.bytes.len() {
        return Err(NoForm::RawLeft);
    }
    let mut raw_output_contents = Vec::new();
    if raws.iter().any(Option::is_some) {
        for (output, raw) in outputs.iter_mut().zip(raws) {
            let typed = output.contents.take();
            let typed = || {
                typed
                    .map(|c| rawed(&output.datatype, &c))
                    .unwrap_or_default()
            };
            raw_output_contents.push(raw.unwrap_or_else(typed));
        }
    }
    Ok(ModelInferResponse {
        model_name: text(&head, "model_name"),
        model_version: text(&head, "model_version"),
        id: text(&head, "id"),
        parameters: choices(&head),
        outputs,
        raw_output_contents,
    })
}
