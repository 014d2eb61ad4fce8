//! Round trips of random messages through the gRPC codec. Guards against contents that change during conversion, and
//! against malformed input that causes a panic instead of an error.

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley_kserve::grpc::inference::infer_parameter::ParameterChoice;
use cedarpulley_kserve::grpc::inference::model_infer_request::InferInputTensor;
use cedarpulley_kserve::grpc::inference::*;
use cedarpulley_kserve::grpc::{Code, frame, timeout, trailers, unframe};
use cedarpulley_kserve::tensors::{InferenceBody, decode_response, encode_request};
use http::HeaderMap;
use proptest::prelude::*;
use prost::Message;
use serde_json::{Value, json};

/// Random typed contents with their data type.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn typed_contents() -> impl Strategy<Value = (&'static str, InferTensorContents)> {
    let empty = InferTensorContents::default;
    prop_oneof![
        prop::collection::vec(any::<bool>(), 0..5).prop_map(move |v| (
            "BOOL",
            InferTensorContents {
                bool_contents: v,
                ..empty()
            }
        )),
        prop::collection::vec(any::<i8>(), 0..5).prop_map(move |v| {
            (
                "INT8",
                InferTensorContents {
                    int_contents: v.into_iter().map(i32::from).collect(),
                    ..empty()
                },
            )
        }),
        prop::collection::vec(any::<i32>(), 0..5).prop_map(move |v| (
            "INT32",
            InferTensorContents {
                int_contents: v,
                ..empty()
            }
        )),
        prop::collection::vec(any::<i64>(), 0..5).prop_map(move |v| (
            "INT64",
            InferTensorContents {
                int64_contents: v,
                ..empty()
            }
        )),
        prop::collection::vec(any::<u32>(), 0..5).prop_map(move |v| (
            "UINT32",
            InferTensorContents {
                uint_contents: v,
                ..empty()
            }
        )),
        prop::collection::vec(any::<u64>(), 0..5).prop_map(move |v| (
            "UINT64",
            InferTensorContents {
                uint64_contents: v,
                ..empty()
            }
        )),
        prop::collection::vec(-1e30f32..1e30, 0..5).prop_map(move |v| (
            "FP32",
            InferTensorContents {
                fp32_contents: v,
                ..empty()
            }
        )),
        prop::collection::vec(-1e300f64..1e300, 0..5).prop_map(move |v| (
            "FP64",
            InferTensorContents {
                fp64_contents: v,
                ..empty()
            }
        )),
        prop::collection::vec("[a-zé\"\\\\]{0,6}", 0..5).prop_map(move |v| {
            (
                "BYTES",
                InferTensorContents {
                    bytes_contents: v.into_iter().map(Bytes::from).collect(),
                    ..empty()
                },
            )
        }),
    ]
}

fn parameter() -> impl Strategy<Value = InferParameter> {
    prop_oneof![
        any::<bool>().prop_map(ParameterChoice::BoolParam),
        any::<i64>().prop_map(ParameterChoice::Int64Param),
        (1u64 << 63..).prop_map(ParameterChoice::Uint64Param),
        "[a-z]{0,8}".prop_map(ParameterChoice::StringParam),
        (0.1f64..0.9).prop_map(ParameterChoice::DoubleParam),
    ]
    .prop_map(|p| InferParameter {
        parameter_choice: Some(p),
    })
}

fn parameters() -> impl Strategy<Value = BTreeMap<String, InferParameter>> {
    prop::collection::btree_map("[a-c]{1,3}", parameter(), 0..3)
}

/// The response of a worker that returns its inputs as outputs.
fn echo_response(request: &InferenceBody) -> InferenceBody {
    let json_length = request
        .json_length
        .map_or(request.bytes.len(), |length| length as usize);
    let request_json: Value = serde_json::from_slice(&request.bytes[..json_length]).expect("JSON");
    let response_json = json!({"model_name": "m", "id": request_json["id"], "parameters": request_json["parameters"],
        "outputs": request_json["inputs"]})
    .to_string();
    let bytes = Bytes::from([response_json.as_bytes(), &request.bytes[json_length..]].concat());
    InferenceBody {
        bytes,
        json_length: request.json_length.map(|_| response_json.len() as u32),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn typed_tensors_round_trip(
        tensors in prop::collection::vec((typed_contents(), parameters()), 0..4),
        request_parameters in parameters(),
        id in "[a-z]{0,4}",
    ) {
        let inputs = tensors.iter().enumerate().map(|(n, ((datatype, contents), tensor_parameters))| InferInputTensor {
            name: format!("t{n}"), datatype: (*datatype).into(), shape: vec![n as i64, -1],
            parameters: tensor_parameters.clone(), contents: Some(contents.clone()),
        });
        let request = ModelInferRequest {
            id, parameters: request_parameters, inputs: inputs.collect(), ..Default::default()
        };
        let wire = unframe(frame(&request)).expect("one message");
        prop_assert_eq!(&ModelInferRequest::decode(wire).expect("a decodable message"), &request);
        let response = decode_response(&echo_response(&encode_request(&request).expect("convertible")))
            .expect("a valid response");
        prop_assert_eq!(&response.id, &request.id);
        prop_assert_eq!(&response.parameters, &request.parameters);
        prop_assert!(response.raw_output_contents.is_empty());
        for (output, input) in response.outputs.iter().zip(&request.inputs) {
            prop_assert_eq!(
                (&output.name, &output.datatype, &output.shape),
                (&input.name, &input.datatype, &input.shape)
            );
            prop_assert_eq!((&output.parameters, &output.contents), (&input.parameters, &input.contents));
        }
        prop_assert_eq!(response.outputs.len(), request.inputs.len());
    }

    #[test]
    fn raw_tensors_round_trip(raws in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..5)) {
        let input = |n: usize| InferInputTensor { name: format!("t{n}"), datatype: "BF16".into(), ..Default::default() };
        let raw_input_contents: Vec<Bytes> = raws.into_iter().map(Bytes::from).collect();
        let inputs = (0..raw_input_contents.len()).map(input).collect();
        let request = ModelInferRequest { inputs, raw_input_contents, ..Default::default() };
        let response = decode_response(&echo_response(&encode_request(&request).expect("convertible")))
            .expect("a valid response");
        prop_assert_eq!(response.raw_output_contents, request.raw_input_contents);
    }

    #[test]
    fn malformed_bodies_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        json_length in any::<Option<u16>>(),
    ) {
        let bytes = Bytes::from(bytes);
        if let Ok(request) = unframe(bytes.clone()).and_then(|message| {
            ModelInferRequest::decode(message).map_err(|_| cedarpulley_kserve::grpc::InvalidCall::Truncated)
        }) {
            let _ = encode_request(&request);
        }
        let _ = decode_response(&InferenceBody { bytes, json_length: json_length.map(u32::from) });
    }

    #[test]
    fn timeouts_are_parsed_or_rejected(text in "[0-9]{0,10}[HMSmunx]?") {
        let mut headers = HeaderMap::new();
        headers.insert("grpc-timeout", text.parse().expect("a header value"));
        let is_valid = text.len() >= 2 && text.len() <= 9 && text.ends_with(|c| "HMSmun".contains(c));
        prop_assert_eq!(timeout(&headers).is_ok(), is_valid, "{}", text);
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn an_inconvertible_tensor_is_an_error_that_names_it() {
    let request_error = |datatype: &str, contents: InferTensorContents| {
        let input = InferInputTensor {
            name: "x".into(),
            datatype: datatype.into(),
            contents: Some(contents),
            ..Default::default()
        };
        let message = ModelInferRequest {
            inputs: vec![input],
            ..Default::default()
        };
        encode_request(&message)
            .expect_err("not convertible")
            .to_string()
    };
    let empty = InferTensorContents::default;
    assert!(
        request_error(
            "FP32",
            InferTensorContents {
                fp32_contents: vec![f32::NAN],
                ..empty()
            }
        )
        .contains("inputs 'x'")
    );
    assert!(
        request_error(
            "BYTES",
            InferTensorContents {
                bytes_contents: vec![Bytes::from_static(&[0xff])],
                ..empty()
            }
        )
        .contains("raw")
    );
    assert!(request_error("FP16", empty()).contains("FP16"));
    let decode = |text: &'static str, json_length| {
        decode_response(&InferenceBody {
            bytes: Bytes::from_static(text.as_bytes()),
            json_length,
        })
    };
    let raw = r#"{"outputs":[{"name":"y","datatype":"INT8","shape":[2],"parameters":{"binary_data_size":2}}]}"#;
    assert!(
        decode(raw, None)
            .expect_err("the raw bytes are missing")
            .to_string()
            .contains("beyond")
    );
    assert!(
        decode("{}xx", Some(2))
            .expect_err("two extra bytes")
            .to_string()
            .contains("left over")
    );
    assert!(
        decode("{}", Some(9))
            .expect_err("stated length 9 of 2 bytes")
            .to_string()
            .contains("longer")
    );
    let large = r#"{"outputs":[{"name":"y","datatype":"INT8","shape":[1],"data":[300]}]}"#;
    assert!(
        decode(large, None)
            .expect_err("300 is not an INT8")
            .to_string()
            .contains("INT8")
    );
    // If one output is raw, the typed ones are converted to raw.
    let mixed = r#"{"outputs":[{"datatype":"INT16","shape":[1],"data":[-2]},{"datatype":"UINT8","shape":[1],"parameters":{"binary_data_size":1}}]}"#;
    let bytes = Bytes::from([mixed.as_bytes(), &[7]].concat());
    let response = decode_response(&InferenceBody {
        bytes,
        json_length: Some(mixed.len() as u32),
    })
    .expect("a valid response");
    assert_eq!(response.raw_output_contents, [&[0xfe, 0xff][..], &[7]]);
}

#[test]
fn only_safe_retries_get_a_pushback() {
    let value = |trailers: &HeaderMap, name: &str| {
        trailers
            .get(name)
            .map(|v| v.to_str().expect("text").to_owned())
    };
    let retry = trailers(Code::ResourceExhausted, "voll, später", Some(1_500_001));
    assert_eq!(value(&retry, "grpc-status").as_deref(), Some("8"));
    assert_eq!(
        value(&retry, "grpc-message").as_deref(),
        Some("voll, sp%C3%A4ter")
    );
    assert_eq!(
        value(&retry, "grpc-retry-pushback-ms").as_deref(),
        Some("1501")
    );
    assert!(
        value(&retry, "grpc-status-details-bin")
            .is_some_and(|details| details.len() > 40 && !details.ends_with('='))
    );
    let no_retry = trailers(Code::Unknown, "x", None);
    assert!(
        value(&no_retry, "grpc-status-details-bin").is_none()
            && value(&no_retry, "grpc-retry-pushback-ms").is_none()
    );
}
