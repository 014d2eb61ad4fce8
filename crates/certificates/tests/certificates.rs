//! Pairs that may not serve, files half written, and whom certificates speak for.

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
fn what_may_not_serve_is_named() {
    let (certificate, key) = pair((2025, 2027), "a");
    let served = judge(&certificate, &key, WALL).expect("good");
    assert_eq!(served.ends, WALL + 365 * DAY);
    let wrong = |c: &Read, k: &Read, wall| judge(c, k, wall).map(|_| ()).expect_err("refused");
    let open = Read {
        mode: 0o100_640,
        ..key.clone()
    };
    assert_eq!(wrong(&certificate, &open, WALL).which(), Which::Key);
    assert!(wrong(&certificate, &open, WALL).to_string().contains("640"));
    assert!(
        wrong(&certificate, &key, WALL + 366 * DAY)
            .to_string()
            .contains("expired")
    );
    assert!(
        wrong(&certificate, &key, WALL - 366 * DAY)
            .to_string()
            .contains("not valid yet")
    );
    let (_, other) = pair((2025, 2027), "b");
    assert!(
        wrong(&certificate, &other, WALL)
            .to_string()
            .contains("does not belong")
    );
    assert_eq!(wrong(&key, &key, WALL).which(), Which::Certificate);
    assert_eq!(
        wrong(
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
fn a_half_written_pair_waits_and_a_wrong_one_changes_nothing() {
    let (old, new) = (pair((2025, 2027), "a"), pair((2025, 2027), "a"));
    let mut k = Keeper::new(old.0.clone(), old.1.clone(), WALL + 365 * DAY);
    assert!(matches!(k.offered(WALL, Some(old.clone())), Step::Keep));
    // The certificate first, its key a moment later.
    let half = (new.0.clone(), old.1.clone());
    assert!(matches!(
        k.offered(WALL, Some(half.clone())),
        Step::LookAgain
    ));
    assert!(matches!(k.offered(WALL, None), Step::LookAgain));
    assert!(matches!(
        k.offered(WALL, Some(new.clone())),
        Step::Replace(_)
    ));
    assert!(matches!(k.offered(WALL, Some(new.clone())), Step::Keep));
    // A pair that stays wrong is told of once.
    let steps: Vec<Step> = (0..6)
        .map(|_| k.offered(WALL, Some(half.clone())))
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
    // What is there again is what is served.
    assert!(matches!(k.offered(WALL, Some(new)), Step::Keep));
    assert!(k.ends_soon(WALL).is_none() && k.ends_soon(WALL + 360 * DAY) == Some(5 * DAY));
}

#[test]
fn a_certificate_speaks_for_the_account_that_its_name_is_given_to() {
    let der = |name| {
        let (certificate, key) = pair((2025, 2027), name);
        judge(&certificate, &key, WALL).expect("good").chain[0].to_vec()
    };
    let mut s = Speakers::default();
    assert!(s.give("amber-client".into(), 0) && s.give("birch-client".into(), 1));
    assert!(!s.give("amber-client".into(), 1));
    assert_eq!(
        (
            s.account(&der("amber-client")),
            s.account(&der("birch-client"))
        ),
        (Some(0), Some(1))
    );
    assert_eq!(
        (s.account(&der("nobody")), s.account(b"no certificate")),
        (None, None)
    );
}
