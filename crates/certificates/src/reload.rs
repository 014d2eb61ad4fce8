//! Decides whether changed files replace the served certificate.

use cedarpulley::interface::Micros;

use crate::{CertificateError, CertificateFile, RejectedFile, ServedCertificate, validate};

/// A certificate that expires within this time (7 days, in microseconds) is reported repeatedly, so that there is
/// time to replace it.
const EXPIRY_WARNING: Micros = 7 * 86_400_000_000;
/// Number of failed reads after which files are rejected. The first failures may be due to files that are only partly
/// written.
const READS_BEFORE_REJECTION: u32 = 3;

/// What the caller has to do after the files were read.
#[derive(Debug)]
pub enum ReloadStep {
    /// Do nothing: the files are unchanged, or their error has already been reported.
    Keep,
    /// Read the files again soon: they may be partly written.
    ReadAgain,
    /// Serve this certificate.
    Replace(ServedCertificate),
    /// Report this file; the current certificate stays in use.
    Reject(RejectedFile),
}

/// A certificate file and its key file.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FilePair {
    certificate: CertificateFile,
    key: CertificateFile,
}

impl FilePair {
    /// Whether both pairs have the same contents; modes may differ.
    fn has_contents_of(&self, other: &FilePair) -> bool {
        self.certificate.bytes == other.certificate.bytes && self.key.bytes == other.key.bytes
    }
}

/// The served certificate, and how often reading the files has failed in a row.
#[derive(Debug)]
pub struct CertificateReloader {
    served: FilePair,
    /// When the served certificate expires, in microseconds since 1970.
    expires_at: Micros,
    /// The files that were read last, if they differ from the served ones.
    pending: Option<FilePair>,
    /// Number of failed reads since the last change of the files.
    failed_reads: u32,
}

impl CertificateReloader {
    /// Creates a reloader for a pair that is served, which expires at `expires_at`, in microseconds since 1970.
    pub fn new(certificate: CertificateFile, key: CertificateFile, expires_at: Micros) -> Self {
        CertificateReloader {
            served: FilePair { certificate, key },
            expires_at,
            pending: None,
            failed_reads: 0,
        }
    }

    /// Processes the certificate file and the key file as they are now. `files` is `None` if one of them could not be
    /// read, for example while it is being replaced. `wall`: the current time in microseconds since 1970.
    pub fn on_files_read(
        &mut self,
        wall: Micros,
        files: Option<(CertificateFile, CertificateFile)>,
    ) -> ReloadStep {
        let Some((certificate, key)) = files else {
            return self.on_failed_read(CertificateError::Unreadable);
        };
        let files = FilePair { certificate, key };
        if files.has_contents_of(&self.served) {
            (self.pending, self.failed_reads) = (None, 0);
            return ReloadStep::Keep;
        }
        // Changed files count as new: the certificate may have been written before its key.
        if self.pending.as_ref() != Some(&files) {
            (self.pending, self.failed_reads) = (Some(files.clone()), 0);
        }
        match validate(&files.certificate, &files.key, wall) {
            Ok(served) => {
                self.served = files;
                self.expires_at = served.expires_at;
                (self.pending, self.failed_reads) = (None, 0);
                ReloadStep::Replace(served)
            }
            Err(error) => self.on_failed_read(error),
        }
    }

    /// Counts a failed read. Reports the error once, and not at every further read.
    fn on_failed_read(&mut self, error: CertificateError) -> ReloadStep {
        self.failed_reads += 1;
        match self.failed_reads {
            1..READS_BEFORE_REJECTION => ReloadStep::ReadAgain,
            READS_BEFORE_REJECTION => ReloadStep::Reject(error.into()),
            _ => ReloadStep::Keep,
        }
    }

    /// Returns the time until the served certificate expires, in microseconds, if that is within 7 days. Negative
    /// after its expiry.
    pub fn time_left_if_expiring(&self, wall: Micros) -> Option<Micros> {
        let remaining = self.expires_at - wall;
        (remaining < EXPIRY_WARNING).then_some(remaining)
    }
}
