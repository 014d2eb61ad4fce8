//! Groups as configured: invalid lists of members are rejected, and any two majorities have a member in common.

use std::collections::BTreeSet;

use cedarpulley_membership::{Group, GroupError, Member, MemberIndex};

fn group(weights: &[u32]) -> Group {
    let member = |(index, weight): (usize, &u32)| Member {
        name: format!("r{index}"),
        region: format!("g{}", index % 2),
        weight: *weight,
        witness: false,
    };
    let members = weights.iter().enumerate().map(member).collect();
    Group::new("g", members, "r0").expect("a valid group")
}

#[test]
fn majorities_and_sets_that_intersect_every_majority_do_intersect() {
    for weights in [
        &[1, 1, 1][..],
        &[1, 1, 1, 1],
        &[2, 1, 1, 1],
        &[1, 1, 1, 1, 1],
        &[3, 1, 0, 1],
    ] {
        let group = group(weights);
        let size = weights.len() as MemberIndex;
        let set = |bits: u32| {
            (0..size)
                .filter(|member| bits & 1 << member != 0)
                .collect::<BTreeSet<_>>()
        };
        for a in 0..1 << size {
            for b in 0..1 << size {
                let intersect = !set(a).is_disjoint(&set(b));
                assert!(
                    intersect || !group.is_majority(set(a)) || !group.is_majority(set(b)),
                    "{weights:?}"
                );
                for excluded in 0..size {
                    let without: BTreeSet<_> =
                        set(b).into_iter().filter(|m| *m != excluded).collect();
                    let intersect = !set(a).is_disjoint(&without);
                    assert!(
                        intersect
                            || !group.intersects_every_majority(&set(a), excluded)
                            || !group.is_majority(set(b))
                    );
                }
            }
        }
    }
    assert_eq!(
        group(&[1, 1, 1, 1]).regions_with_majority(),
        Vec::<&str>::new()
    );
    assert_eq!(group(&[2, 1, 1, 1]).regions_with_majority(), ["g0"]);
}

#[test]
fn an_invalid_group_is_rejected_with_a_remedy() {
    let member = |name: &str, weight| Member {
        name: name.to_owned(),
        region: String::new(),
        weight,
        witness: false,
    };
    let error = |members, own_name| Group::new("g", members, own_name).expect_err("invalid");
    assert_eq!(error(vec![], "a"), GroupError::Empty);
    assert_eq!(
        error(vec![member("a", 1), member("a", 1)], "a"),
        GroupError::DuplicateName("a".into())
    );
    assert_eq!(
        error(vec![member("a", 1)], "b"),
        GroupError::NotAMember("b".into())
    );
    assert_eq!(error(vec![member("a", 0)], "a"), GroupError::NoWeight);
    let many = (0..65).map(|n| member(&n.to_string(), 1)).collect();
    assert_eq!(error(many, "1"), GroupError::TooLarge(65));
    assert!(!GroupError::Empty.remedy().is_empty());
    // The fingerprint depends on the members, not on their order in the file.
    let fingerprint = |members| Group::new("g", members, "a").expect("valid").fingerprint;
    let (one, other) = (
        vec![member("a", 1), member("b", 1)],
        vec![member("b", 1), member("a", 1)],
    );
    assert_eq!(fingerprint(one.clone()), fingerprint(other));
    assert_ne!(
        fingerprint(one),
        fingerprint(vec![member("a", 1), member("b", 2)])
    );
}

/// Guards against a change of the hash, after which routers of two builds would reject each other, and a router its own
/// folder.
#[test]
fn the_fingerprint_of_a_group_keeps_its_value() {
    assert_eq!(group(&[1, 2, 1]).fingerprint, 0xc32a_2702_05ef_2334);
}
