//! The session that a request's parameters name.

use cedarpulley_kserve::sequences::{InvalidSequence, Sequence, parse};

#[test]
fn parameters_name_the_session_or_are_rejected() {
    let of = |text: &str| parse(text.as_bytes());
    let is = |id: &str, start, end| {
        Ok(Some(Sequence {
            id: id.into(),
            start,
            end,
        }))
    };
    assert_eq!(
        of(r#"{"inputs":[],"parameters":{"sequence_id":"s1","sequence_start":true}}"#),
        is("s1", true, false)
    );
    assert_eq!(
        of(r#"{"parameters":{"sequence_id":7,"sequence_end":true,"other":[1]}}"#),
        is("7", false, true)
    );
    for none in [
        "{}",
        "no json",
        r#"{"parameters":{"sequence_id":0}}"#,
        r#"{"parameters":{"sequence_id":""}}"#,
    ] {
        assert_eq!(of(none), Ok(None), "{none}");
    }
    assert_eq!(
        of(r#"{"parameters":{"sequence_id":-1}}"#),
        Err(InvalidSequence::Id)
    );
    assert_eq!(
        of(r#"{"parameters":{"sequence_id":"a\nb"}}"#),
        Err(InvalidSequence::Id)
    );
    assert_eq!(
        of(r#"{"parameters":{"sequence_id":1,"sequence_end":"yes"}}"#),
        Err(InvalidSequence::Flag)
    );
}
