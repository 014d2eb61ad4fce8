//! The trait [`Remedy`], which the error types of all packages implement: [`Remedy::remedy`] says what an operator can
//! do about an error, and [`Remedy::line`] formats its causes and its remedy on one line. Each package has its own
//! error enum; `docs/operate/errors.md` lists all of them.
#![warn(missing_docs)]

use std::error::Error;

/// Separates an error from its source.
const SOURCE_SEPARATOR: &str = ": ";
/// Separates the causes from the remedy.
const REMEDY_SEPARATOR: &str = "; ";

/// An error with advice for an operator.
pub trait Remedy: Error {
    /// What an operator can do about the error: a short imperative phrase that can follow the causes on one line.
    fn remedy(&self) -> &'static str;

    /// The messages of this error and of its sources, outermost first, on one line.
    fn causes(&self) -> String {
        let mut text = self.to_string();
        let mut source = self.source();
        while let Some(cause) = source {
            text.push_str(SOURCE_SEPARATOR);
            text.push_str(&cause.to_string());
            source = cause.source();
        }
        // Messages of libraries may span several lines. Without this, a reader of the log takes each of these lines for
        // a separate error.
        text.split('\n')
            .map(str::trim)
            .filter(|line| !line.is_empty())
            .collect::<Vec<_>>()
            .join(", ")
    }

    /// The causes and the remedy on one line, for the log and for standard error.
    fn line(&self) -> String {
        self.causes() + REMEDY_SEPARATOR + self.remedy()
    }
}
