//! What every package's errors have in common: [`Remedy::remedy`] says what an operator can do, [`Remedy::line`] puts
//! causes and remedy on one line. Each package has its own error enum; `docs/operate/errors.md` lists them all.
#![warn(missing_docs)]

use std::error::Error;

/// Between an error and its source.
const SOURCE_SEPARATOR: &str = ": ";
/// Between the causes and the remedy.
const REMEDY_SEPARATOR: &str = "; ";

/// An error with advice for an operator.
pub trait Remedy: Error {
    /// What an operator can do, in a few words that continue the sentence of the cause.
    fn remedy(&self) -> &'static str;

    /// This error and its sources, the outermost first, on one line.
    fn causes(&self) -> String {
        let mut text = self.to_string();
        let mut source = self.source();
        while let Some(cause) = source {
            text.push_str(SOURCE_SEPARATOR);
            text.push_str(&cause.to_string());
            source = cause.source();
        }
        // Symptom: a library's message has several lines, and each is taken for an error of its own.
        text.split('\n')
            .map(str::trim)
            .filter(|line| !line.is_empty())
            .collect::<Vec<_>>()
            .join(", ")
    }

    /// Causes and remedy on one line, for logs and standard error.
    fn line(&self) -> String {
        self.causes() + REMEDY_SEPARATOR + self.remedy()
    }
}
