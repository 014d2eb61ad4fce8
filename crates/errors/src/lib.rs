//! What every package's errors have in common: [`Remedy::remedy`] says what an operator can do, [`Remedy::line`] puts
//! cause and remedy on one line. Each package has its own errors, one enum, in its own words; `docs/operate/errors.md`
//! lists them all.

use std::error::Error;

/// Between a cause and the cause beneath it.
const BENEATH: &str = ": ";
/// Between the causes and what can be done.
const THEN: &str = "; ";

pub trait Remedy: Error {
    /// What an operator can do, in a few words that read on after the cause.
    fn remedy(&self) -> &'static str;

    /// All causes, the outermost first.
    fn causes(&self) -> String {
        let mut text = self.to_string();
        let mut beneath = self.source();
        while let Some(cause) = beneath {
            text.push_str(BENEATH);
            text.push_str(&cause.to_string());
            beneath = cause.source();
        }
        // Symptom: a library's text has several lines, and each looks like a cause of its own.
        text.split('\n')
            .map(str::trim)
            .filter(|l| !l.is_empty())
            .collect::<Vec<_>>()
            .join(", ")
    }

    fn line(&self) -> String {
        self.causes() + THEN + self.remedy()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug)]
    struct Told(&'static str, Option<Box<Told>>);

    impl std::fmt::Display for Told {
        fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            f.write_str(self.0)
        }
    }

    impl Error for Told {
        fn source(&self) -> Option<&(dyn Error + 'static)> {
            self.1.as_ref().map(|t| t.as_ref() as _)
        }
    }

    impl Remedy for Told {
        fn remedy(&self) -> &'static str {
            "mend it"
        }
    }

    #[test]
    fn causes_and_remedy_are_one_line() {
        let beneath = Told("it broke\n\n  at byte 3", None);
        assert_eq!(
            Told("a.toml", Some(beneath.into())).line(),
            "a.toml: it broke, at byte 3; mend it"
        );
    }
}
