//! Validation and reload of certificate files, and the accounts of client certificates. Guards against serving an
//! invalid or partly written pair of files, and against a client that is billed to the wrong account.

use cedarpulley_certificates::{
    CertificateFile, CertificateReloader, ClientAccounts, FileRole, ReloadStep, validate,
};
use rcgen::{CertificateParams, DnType, KeyPair, date_time_ymd};

const DAY: i64 = 86_400_000_000;
/// The current time in these tests: 1 January 2026, in microseconds since 1970.
const WALL: i64 = 1_767_225_600_000_000;

/// A certificate with this common name, valid from the start of the first year to the start of the second, and its key.
fn pair(years: (i32, i32), name: &str) -> (CertificateFile, CertificateFile) {
    let key = KeyPair::generate().expect("a new key");
    let mut params =
        CertificateParams::new(vec!["localhost".to_owned()]).expect("valid parameters");
    (params.not_before, params.not_after) =
        (date_time_ymd(years.0, 1, 1), date_time_ymd(years.1, 1, 1));
    params.distinguished_name.push(DnType::CommonName, name);
    let certificate = params.self_signed(&key).expect("a self-signed certificate");
    let file = |text: String, mode| CertificateFile {
        bytes: text.into_bytes(),
        mode,
    };
    (
        file(certificate.pem(), 0o100_644),
        file(key.serialize_pem(), 0o100_600),
    )
}

#[test]
fn each_invalid_pair_is_rejected_with_its_cause() {
    let (certificate, key) = pair((2025, 2027), "a");
    let served = validate(&certificate, &key, WALL).expect("a valid pair");
    assert_eq!(served.expires_at, WALL + 365 * DAY);
    let rejection = |certificate: &CertificateFile, key: &CertificateFile, wall| {
        validate(certificate, key, wall)
            .map(|_| ())
            .expect_err("an invalid pair")
    };
    let exposed_key = CertificateFile {
        mode: 0o100_640,
        ..key.clone()
    };
    assert_eq!(
        rejection(&certificate, &exposed_key, WALL).role(),
        FileRole::Key
    );
    assert!(
        rejection(&certificate, &exposed_key, WALL)
            .to_string()
            .contains("640")
    );
    assert!(
        rejection(&certificate, &key, WALL + 366 * DAY)
            .to_string()
            .contains("expired")
    );
    assert!(
        rejection(&certificate, &key, WALL - 366 * DAY)
            .to_string()
            .contains("not valid yet")
    );
    let (_, other_key) = pair((2025, 2027), "b");
    assert!(
        rejection(&certificate, &other_key, WALL)
            .to_string()
            .contains("does not belong")
    );
    assert_eq!(rejection(&key, &key, WALL).role(), FileRole::Certificate);
    assert_eq!(
        rejection(
            &certificate,
            &CertificateFile {
                bytes: b"x".to_vec(),
                mode: 0o600
            },
            WALL
        )
        .role(),
        FileRole::Key
    );
}

#[test]
fn a_half_written_pair_is_read_again_and_an_invalid_one_not_served() {
    let (old, new) = (pair((2025, 2027), "a"), pair((2025, 2027), "a"));
    let mut reloader = CertificateReloader::new(old.0.clone(), old.1.clone(), WALL + 365 * DAY);
    assert!(matches!(
        reloader.on_files_read(WALL, Some(old.clone())),
        ReloadStep::Keep
    ));
    // The certificate is replaced first, its key later.
    let half_written = (new.0.clone(), old.1.clone());
    assert!(matches!(
        reloader.on_files_read(WALL, Some(half_written.clone())),
        ReloadStep::ReadAgain
    ));
    assert!(matches!(
        reloader.on_files_read(WALL, None),
        ReloadStep::ReadAgain
    ));
    assert!(matches!(
        reloader.on_files_read(WALL, Some(new.clone())),
        ReloadStep::Replace(_)
    ));
    assert!(matches!(
        reloader.on_files_read(WALL, Some(new.clone())),
        ReloadStep::Keep
    ));
    // A pair that stays invalid is reported once.
    let steps: Vec<ReloadStep> = (0..6)
        .map(|_| reloader.on_files_read(WALL, Some(half_written.clone())))
        .collect();
    assert!(matches!(
        steps[..],
        [
            ReloadStep::ReadAgain,
            ReloadStep::ReadAgain,
            ReloadStep::Reject(_),
            ReloadStep::Keep,
            ReloadStep::Keep,
            ReloadStep::Keep
        ]
    ));
    // The files have the contents of the served ones again.
    assert!(matches!(
        reloader.on_files_read(WALL, Some(new)),
        ReloadStep::Keep
    ));
    assert!(
        reloader.time_left_if_expiring(WALL).is_none()
            && reloader.time_left_if_expiring(WALL + 360 * DAY) == Some(5 * DAY)
    );
}

#[test]
fn a_client_certificate_is_bound_to_the_account_of_its_name() {
    let der = |name| {
        let (certificate, key) = pair((2025, 2027), name);
        validate(&certificate, &key, WALL)
            .expect("a valid pair")
            .chain[0]
            .to_vec()
    };
    let mut accounts = ClientAccounts::default();
    assert!(accounts.bind("amber-client".into(), 0) && accounts.bind("birch-client".into(), 1));
    assert!(!accounts.bind("amber-client".into(), 1));
    assert_eq!(
        (
            accounts.account(&der("amber-client")),
            accounts.account(&der("birch-client"))
        ),
        (Some(0), Some(1))
    );
    assert_eq!(
        (
            accounts.account(&der("nobody")),
            accounts.account(b"no certificate")
        ),
        (None, None)
    );
}
