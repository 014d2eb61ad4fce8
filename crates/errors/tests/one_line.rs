//! An error's line for logs and standard error.

use std::error::Error;

use cedarpulley_errors::Remedy;

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
        "mend it"
    }
}

#[test]
fn causes_and_remedy_are_one_line() {
    let source = TestError("it broke\n\n  at byte 3", None);
    assert_eq!(
        TestError("a.toml", Some(source.into())).line(),
        "a.toml: it broke, at byte 3; mend it"
    );
}
