//! Invalid pairs, half-written files, and the accounts of client certificates.

use cedarpulley_certificates::{Keeper, Read, Speakers, Step, Which, judge};
use rcgen::{CertificateParams, DnType, KeyPair, date_time_ymd};

const DAY: i64 = 86_400_000_000;
/// 1 January 2026.
const WALL: i64 = 1_767_225_600_000_000;

/// A pair valid over these years, by this common name.
fn pair(years: (i32, i32), name: &str) -> (Read, Read) {
    let key = KeyPair::generate().expect("a key");
    let mut params = CertificateParams::new(vec!["localhost".to_owned()]).expect("a name");
    (params.not_before, params.not_after) =
        (date_time_ymd(years.0, 1, 1), date_time_ymd(years.1, 1, 1));
    params.distinguished_name.push(DnType::CommonName, name);
    let certificate = params.self_signed(&key).expect("signed");
    let read = |text: String, mode| Read {
        bytes: text.into_bytes(),
        mode,
    };
    (
        read(certificate.pem(), 0o100_644),
        read(key.serialize_pem(), 0o100_600),
    )
}

#[test]
fn each_invalid_pair_is_rejected_with_its_cause() {
    let (certificate, key) = pair((2025, 2027), "a");
    let served = judge(&certificate, &key, WALL).expect("good");
    assert_eq!(served.ends, WALL + 365 * DAY);
    let rejection = |certificate: &Read, key: &Read, wall| {
        judge(certificate, key, wall)
            .map(|_| ())
            .expect_err("refused")
    };
    let open = Read {
        mode: 0o100_640,
        ..key.clone()
    };
    assert_eq!(rejection(&certificate, &open, WALL).which(), Which::Key);
    assert!(
        rejection(&certificate, &open, WALL)
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
    let (_, other) = pair((2025, 2027), "b");
    assert!(
        rejection(&certificate, &other, WALL)
            .to_string()
            .contains("does not belong")
    );
    assert_eq!(rejection(&key, &key, WALL).which(), Which::Certificate);
    assert_eq!(
        rejection(
            &certificate,
            &Read {
                bytes: b"x".to_vec(),
                mode: 0o600
            },
            WALL
        )
        .which(),
        Which::Key
    );
}

#[test]
fn a_half_written_pair_is_read_again_and_an_invalid_one_not_served() {
    let (old, new) = (pair((2025, 2027), "a"), pair((2025, 2027), "a"));
    let mut keeper = Keeper::new(old.0.clone(), old.1.clone(), WALL + 365 * DAY);
    assert!(matches!(
        keeper.offered(WALL, Some(old.clone())),
        Step::Keep
    ));
    // The certificate first, its key a moment later.
    let half = (new.0.clone(), old.1.clone());
    assert!(matches!(
        keeper.offered(WALL, Some(half.clone())),
        Step::LookAgain
    ));
    assert!(matches!(keeper.offered(WALL, None), Step::LookAgain));
    assert!(matches!(
        keeper.offered(WALL, Some(new.clone())),
        Step::Replace(_)
    ));
    assert!(matches!(
        keeper.offered(WALL, Some(new.clone())),
        Step::Keep
    ));
    // A pair that stays invalid is reported once.
    let steps: Vec<Step> = (0..6)
        .map(|_| keeper.offered(WALL, Some(half.clone())))
        .collect();
    assert!(matches!(
        steps[..],
        [
            Step::LookAgain,
            Step::LookAgain,
            Step::Refuse(_),
            Step::Keep,
            Step::Keep,
            Step::Keep
        ]
    ));
    // The files are again those that are served.
    assert!(matches!(keeper.offered(WALL, Some(new)), Step::Keep));
    assert!(
        keeper.ends_soon(WALL).is_none() && keeper.ends_soon(WALL + 360 * DAY) == Some(5 * DAY)
    );
}

#[test]
fn a_client_certificate_is_bound_to_the_account_of_its_name() {
    let der = |name| {
        let (certificate, key) = pair((2025, 2027), name);
        judge(&certificate, &key, WALL).expect("good").chain[0].to_vec()
    };
    let mut accounts = Speakers::default();
    assert!(accounts.give("amber-client".into(), 0) && accounts.give("birch-client".into(), 1));
    assert!(!accounts.give("amber-client".into(), 1));
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
