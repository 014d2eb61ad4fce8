//! Tests the line that an error has in the log and on standard error.

use std::error::Error;

use cedarpulley_errors::Remedy;

/// An error with a message and an optional source.
#[derive(Debug)]
struct TestError(&'static str, Option<Box<TestError>>);

impl std::fmt::Display for TestError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl Error for TestError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        self.1.as_ref().map(|source| source.as_ref() as _)
    }
}

impl Remedy for TestError {
    fn remedy(&self) -> &'static str {
        "fix the syntax"
    }
}

#[test]
fn causes_and_remedy_fit_on_one_line() {
    let source = TestError("it broke\n\n  at byte 3", None);
    assert_eq!(
        TestError("a.toml", Some(source.into())).line(),
        "a.toml: it broke, at byte 3; fix the syntax"
    );
}
