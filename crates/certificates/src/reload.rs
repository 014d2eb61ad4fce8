//! Whether files that have changed replace the certificate that is served.

use cedarpulley::interface::Micros;

use crate::{CertificateError, CertificateFile, RejectedFile, ServedCertificate, validate};

/// A certificate that expires within this time is reported, repeatedly: time enough to get another.
const EXPIRY_WARNING: Micros = 7 * 86_400_000_000;
/// A pair that does not match may be half written. It is reported after so many reads.
const READS_BEFORE_REJECTION: u32 = 3;

/// What to do about files that were read.
#[derive(Debug)]
pub enum ReloadStep {
    /// Nothing: there is no change, or it has been reported already.
    Keep,
    /// Read again soon: the files may be half written.
    ReadAgain,
    /// Serve this.
    Replace(ServedCertificate),
    /// Report this; what is served goes on being served.
    Reject(RejectedFile),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct FilePair {
    certificate: CertificateFile,
    key: CertificateFile,
}

impl FilePair {
    fn has_contents_of(&self, other: &FilePair) -> bool {
        self.certificate.bytes == other.certificate.bytes && self.key.bytes == other.key.bytes
    }
}

/// What is served, and how often the same invalid files have been read.
#[derive(Debug)]
pub struct CertificateReloader {
    served: FilePair,
    expires_at: Micros,
    /// The files that were read last, if they were invalid.
    invalid: Option<FilePair>,
    failed_reads: u32,
}

impl CertificateReloader {
    /// Begins with a pair that is served, and the time at which it expires, in microseconds since 1970.
    pub fn new(certificate: CertificateFile, key: CertificateFile, expires_at: Micros) -> Self {
        CertificateReloader {
            served: FilePair { certificate, key },
            expires_at,
            invalid: None,
            failed_reads: 0,
        }
    }

    /// Takes the certificate's and the key's file as they are now; absent if one could not be read, as while it is
    /// being replaced. `wall`: microseconds since 1970.
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
            (self.invalid, self.failed_reads) = (None, 0);
            return ReloadStep::Keep;
        }
        // Symptom: the certificate has been written, its key not yet.
        if self.invalid.as_ref() != Some(&files) {
            (self.invalid, self.failed_reads) = (Some(files.clone()), 0);
        }
        match validate(&files.certificate, &files.key, wall) {
            Ok(served) => {
                self.served = files;
                self.expires_at = served.expires_at;
                (self.invalid, self.failed_reads) = (None, 0);
                ReloadStep::Replace(served)
            }
            Err(error) => self.on_failed_read(error),
        }
    }

    /// Reports an error once, not at every read.
    fn on_failed_read(&mut self, error: CertificateError) -> ReloadStep {
        self.failed_reads += 1;
        match self.failed_reads {
            1..READS_BEFORE_REJECTION => ReloadStep::ReadAgain,
            READS_BEFORE_REJECTION => ReloadStep::Reject(error.into()),
            _ => ReloadStep::Keep,
        }
    }

    /// The time until what is served expires, if it expires soon.
    pub fn time_left_if_expiring(&self, wall: Micros) -> Option<Micros> {
        let remaining = self.expires_at - wall;
        (remaining < EXPIRY_WARNING).then_some(remaining)
    }
}
