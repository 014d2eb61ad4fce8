//! Tests of the line protocol: whole inputs, with the replies or the error texts that they lead to.

use cedarpulley_errors::Remedy;

use super::serve;
use crate::error::ProtocolError;

/// A line that starts instance 3, with one setting that does not exist.
const START_INSTANCE: &str = "born 3 7 services.count=1 services.0.aim=800000000 services.0.hardLimit=2000000000 \
    services.0.effect=retryable familyInfo.staysLoaded=10000000000 fleetSize=1 granularity=4000000 \
    permissions.sendCap=3 made.up=1";

/// Serves this input and returns the output.
fn run(input: &str) -> Result<String, ProtocolError> {
    let mut out = Vec::new();
    serve(input.as_bytes(), &mut out)?;
    Ok(String::from_utf8(out).expect("the output is text"))
}

#[test]
fn an_invocation_is_dispatched_and_its_answer_ends_it() {
    let text = format!(
        "clock 1000\ncommit\nclock 1000\n{START_INSTANCE}\nsync 3 1 SAVED 1\nm 10.0.0.1:80 0 0 0 in_service 1 -\ncommit\n\
         clock 5000999\nquery 3 r-1 - 700 0 384 1500000000 0 app:x 0 2\ncommit\n\
         clock 90000000\nresponse 3 r-1 1 85000000 0 10.0.0.1:80 1 success -\nvanished 3 r-1\ncommit\n"
    );
    let out = run(&text).expect("the input is well-formed");
    assert!(out.starts_with("eor\n"));
    assert_eq!(out.matches("eor\n").count(), 4);
    assert!(out.contains("try 3 r-1 10.0.0.1:80 "));
}

#[test]
fn bad_input_names_the_line_and_the_fault() {
    let started = format!("clock 1000\n{START_INSTANCE}\n");
    for (input, fault) in [
        ("query 3 r-1\n", "outside a batch"),
        ("clock soon\n", "cannot be read"),
        ("clock 1\nshout 3\n", "event 'shout' is unknown"),
        ("clock 1\nbell 3 77\n", "instance 3 does not exist"),
        (&format!("{started}bell 3\n"), "token is missing"),
        (
            &format!("{started}query 3 r-1 - - 0 384 1500000000 0 app:x 9 2\n"),
            "category '9' is unknown",
        ),
        (
            &format!("{started}echo 3 10.9.9.9:1 success 5 -\n"),
            "has not been in any endpoint list",
        ),
        (
            &format!("{started}sync 3 1 SAVED 2\nbell 3 77\n"),
            "where a list entry is expected",
        ),
        ("clock 1\n", "ends within a batch"),
    ] {
        let e = run(input).expect_err(input).line();
        assert!(e.starts_with("line ") && e.contains(fault), "{e}");
    }
}
