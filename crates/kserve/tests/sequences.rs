//! Parsing of the sequence parameters. Guards against a request that is bound to a wrong session, and against invalid
//! parameters that are ignored.

use cedarpulley_kserve::sequences::{InvalidSequence, Sequence, parse};

#[test]
fn sequence_parameters_are_parsed_or_rejected() {
    let parse_text = |text: &str| parse(text.as_bytes());
    let sequence = |id: &str, start, end| {
        Ok(Some(Sequence {
            id: id.into(),
            start,
            end,
        }))
    };
    assert_eq!(
        parse_text(r#"{"inputs":[],"parameters":{"sequence_id":"s1","sequence_start":true}}"#),
        sequence("s1", true, false)
    );
    assert_eq!(
        parse_text(r#"{"parameters":{"sequence_id":7,"sequence_end":true,"other":[1]}}"#),
        sequence("7", false, true)
    );
    for without_session in [
        "{}",
        "no json",
        r#"{"parameters":{"sequence_id":0}}"#,
        r#"{"parameters":{"sequence_id":""}}"#,
    ] {
        assert_eq!(parse_text(without_session), Ok(None), "{without_session}");
    }
    assert_eq!(
        parse_text(r#"{"parameters":{"sequence_id":-1}}"#),
        Err(InvalidSequence::Id)
    );
    assert_eq!(
        parse_text(r#"{"parameters":{"sequence_id":"a\nb"}}"#),
        Err(InvalidSequence::Id)
    );
    assert_eq!(
        parse_text(r#"{"parameters":{"sequence_id":1,"sequence_end":"yes"}}"#),
        Err(InvalidSequence::Flag)
    );
}
