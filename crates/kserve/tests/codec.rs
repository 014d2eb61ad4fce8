//! The gRPC codec: random messages round trip, and malformed input is an error.

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

#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn contents() -> impl Strategy<Value = (&'static str, InferTensorContents)> {
    let c = InferTensorContents::default;
    prop_oneof![
        prop::collection::vec(any::<bool>(), 0..5).prop_map(move |v| (
            "BOOL",
            InferTensorContents {
                bool_contents: v,
                ..c()
            }
        )),
        prop::collection::vec(any::<i8>(), 0..5).prop_map(move |v| {
            (
                "INT8",
                InferTensorContents {
                    int_contents: v.into_iter().map(i32::from).collect(),
                    ..c()
                },
            )
        }),
        prop::collection::vec(any::<i32>(), 0..5).prop_map(move |v| (
            "INT32",
            InferTensorContents {
                int_contents: v,
                ..c()
            }
        )),
        prop::collection::vec(any::<i64>(), 0..5).prop_map(move |v| (
            "INT64",
            InferTensorContents {
                int64_contents: v,
                ..c()
            }
        )),
        prop::collection::vec(any::<u32>(), 0..5).prop_map(move |v| (
            "UINT32",
            InferTensorContents {
                uint_contents: v,
                ..c()
            }
        )),
        prop::collection::vec(any::<u64>(), 0..5).prop_map(move |v| (
            "UINT64",
            InferTensorContents {
                uint64_contents: v,
                ..c()
            }
        )),
        prop::collection::vec(-1e30f32..1e30, 0..5).prop_map(move |v| (
            "FP32",
            InferTensorContents {
                fp32_contents: v,
                ..c()
            }
        )),
        prop::collection::vec(-1e300f64..1e300, 0..5).prop_map(move |v| (
            "FP64",
            InferTensorContents {
                fp64_contents: v,
                ..c()
            }
        )),
        prop::collection::vec("[a-zé\"\\\\]{0,6}", 0..5).prop_map(move |v| {
            (
                "BYTES",
                InferTensorContents {
                    bytes_contents: v.into_iter().map(Bytes::from).collect(),
                    ..c()
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

/// What a worker would answer that gives back its inputs as outputs.
fn echoed(rest: &InferenceBody) -> InferenceBody {
    let json = rest.json_length.map_or(rest.bytes.len(), |n| n as usize);
    let head: Value = serde_json::from_slice(&rest.bytes[..json]).expect("JSON");
    let whole = json!({"model_name": "m", "id": head["id"], "parameters": head["parameters"],
        "outputs": head["inputs"]})
    .to_string();
    let bytes = Bytes::from([whole.as_bytes(), &rest.bytes[json..]].concat());
    InferenceBody {
        bytes,
        json_length: rest.json_length.map(|_| whole.len() as u32),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn typed_tensors_round_trip(
        tensors in prop::collection::vec((contents(), parameters()), 0..4), given in parameters(), id in "[a-z]{0,4}",
    ) {
        let inputs = tensors.iter().enumerate().map(|(n, ((datatype, contents), given))| InferInputTensor {
            name: format!("t{n}"), datatype: (*datatype).into(), shape: vec![n as i64, -1],
            parameters: given.clone(), contents: Some(contents.clone()),
        });
        let r = ModelInferRequest { id, parameters: given, inputs: inputs.collect(), ..Default::default() };
        let wire = unframe(frame(&r)).expect("one message");
        prop_assert_eq!(&ModelInferRequest::decode(wire).expect("readable"), &r);
        let back = decode_response(&echoed(&encode_request(&r).expect("sayable"))).expect("readable");
        prop_assert_eq!(&back.id, &r.id);
        prop_assert_eq!(&back.parameters, &r.parameters);
        prop_assert!(back.raw_output_contents.is_empty());
        for (o, i) in back.outputs.iter().zip(&r.inputs) {
            prop_assert_eq!((&o.name, &o.datatype, &o.shape), (&i.name, &i.datatype, &i.shape));
            prop_assert_eq!((&o.parameters, &o.contents), (&i.parameters, &i.contents));
        }
        prop_assert_eq!(back.outputs.len(), r.inputs.len());
    }

    #[test]
    fn raw_tensors_round_trip(raws in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..5)) {
        let input = |n: usize| InferInputTensor { name: format!("t{n}"), datatype: "BF16".into(), ..Default::default() };
        let raw_input_contents: Vec<Bytes> = raws.into_iter().map(Bytes::from).collect();
        let inputs = (0..raw_input_contents.len()).map(input).collect();
        let r = ModelInferRequest { inputs, raw_input_contents, ..Default::default() };
        let back = decode_response(&echoed(&encode_request(&r).expect("sayable"))).expect("readable");
        prop_assert_eq!(back.raw_output_contents, r.raw_input_contents);
    }

    #[test]
    fn malformed_bodies_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), json in any::<Option<u16>>()) {
        let bytes = Bytes::from(bytes);
        if let Ok(m) = unframe(bytes.clone()).and_then(|m| ModelInferRequest::decode(m).map_err(|_| cedarpulley_kserve::grpc::InvalidCall::Truncated)) {
            let _ = encode_request(&m);
        }
        let _ = decode_response(&InferenceBody { bytes, json_length: json.map(u32::from) });
    }

    #[test]
    fn timeouts_are_parsed_or_rejected(text in "[0-9]{0,10}[HMSmunx]?") {
        let mut h = HeaderMap::new();
        h.insert("grpc-timeout", text.parse().expect("a value"));
        let fits = text.len() >= 2 && text.len() <= 9 && text.ends_with(|c| "HMSmun".contains(c));
        prop_assert_eq!(timeout(&h).is_ok(), fits, "{}", text);
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn an_inconvertible_tensor_is_an_error_that_names_it() {
    let one = |datatype: &str, c: InferTensorContents| {
        let input = InferInputTensor {
            name: "x".into(),
            datatype: datatype.into(),
            contents: Some(c),
            ..Default::default()
        };
        let message = ModelInferRequest {
            inputs: vec![input],
            ..Default::default()
        };
        encode_request(&message)
            .expect_err("not sayable")
            .to_string()
    };
    let c = InferTensorContents::default;
    assert!(
        one(
            "FP32",
            InferTensorContents {
                fp32_contents: vec![f32::NAN],
                ..c()
            }
        )
        .contains("inputs 'x'")
    );
    assert!(
        one(
            "BYTES",
            InferTensorContents {
                bytes_contents: vec![Bytes::from_static(&[0xff])],
                ..c()
            }
        )
        .contains("raw")
    );
    assert!(one("FP16", c()).contains("FP16"));
    let rest = |text: &'static str, json_length| {
        decode_response(&InferenceBody {
            bytes: Bytes::from_static(text.as_bytes()),
            json_length,
        })
    };
    let raw = r#"{"outputs":[{"name":"y","datatype":"INT8","shape":[2],"parameters":{"binary_data_size":2}}]}"#;
    assert!(
        rest(raw, None)
            .expect_err("nothing raw is there")
            .to_string()
            .contains("beyond")
    );
    assert!(
        rest("{}xx", Some(2))
            .expect_err("two bytes over")
            .to_string()
            .contains("left over")
    );
    assert!(
        rest("{}", Some(9))
            .expect_err("nine of two")
            .to_string()
            .contains("longer")
    );
    let large = r#"{"outputs":[{"name":"y","datatype":"INT8","shape":[1],"data":[300]}]}"#;
    assert!(
        rest(large, None)
            .expect_err("300 is no INT8")
            .to_string()
            .contains("INT8")
    );
    // Where one output is raw, the typed ones become raw too.
    let mixed = r#"{"outputs":[{"datatype":"INT16","shape":[1],"data":[-2]},{"datatype":"UINT8","shape":[1],"parameters":{"binary_data_size":1}}]}"#;
    let bytes = Bytes::from([mixed.as_bytes(), &[7]].concat());
    let both = decode_response(&InferenceBody {
        bytes,
        json_length: Some(mixed.len() as u32),
    })
    .expect("readable");
    assert_eq!(both.raw_output_contents, [&[0xfe, 0xff][..], &[7]]);
}

#[test]
fn only_safe_retries_get_a_pushback() {
    let said =
        |h: &HeaderMap, name: &str| h.get(name).map(|v| v.to_str().expect("text").to_owned());
    let t = trailers(Code::ResourceExhausted, "voll, später", Some(1_500_001));
    assert_eq!(said(&t, "grpc-status").as_deref(), Some("8"));
    assert_eq!(
        said(&t, "grpc-message").as_deref(),
        Some("voll, sp%C3%A4ter")
    );
    assert_eq!(said(&t, "grpc-retry-pushback-ms").as_deref(), Some("1501"));
    assert!(said(&t, "grpc-status-details-bin").is_some_and(|d| d.len() > 40 && !d.ends_with('=')));
    let t = trailers(Code::Unknown, "x", None);
    assert!(
        said(&t, "grpc-status-details-bin").is_none()
            && said(&t, "grpc-retry-pushback-ms").is_none()
    );
}
