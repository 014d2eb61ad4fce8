//! Members of two builds in one group: refused, counted, and shown with a remedy until they run one build.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley_gateway::context::GatewayContext;
use cedarpulley_gateway::peer_transport::TransportCounts;
use cedarpulley_gateway::peers::{Peers, SendOptions, Transport};
use cedarpulley_gateway::rejected_envelopes::{
    LOG_INTERVAL, RejectedEnvelopes, Rejection, RejectionCause,
};
use cedarpulley_gateway::{settings, state_endpoint};
use cedarpulley_net::Clock;

struct Nowhere;

impl Transport for Nowhere {
    fn send(&self, _: u16, _: Bytes, _: SendOptions) {}
}

fn peers(name: &str) -> Peers {
    let members = ["r0", "r1", "r2"]
        .map(|m| format!("[[peers.member]]\nname = {m:?}\naddress = \"127.0.0.1:7101\"\n"));
    let text = format!(
        "[[trigger]]\nname = \"t\"\neffect = \"idempotent\"\nlatency_objective_ms = 100\nclient_timeout_ms = 1000\n\
         [[kserve]]\nlisten = \"127.0.0.1:7100\"\n[workers]\nwatch = \"127.0.0.1:7102\"\n\
         [peers]\nlisten = \"127.0.0.1:7101\"\ngroup = \"g\"\nname = {name:?}\n{}",
        members.concat()
    );
    let parts = settings::read("router.toml", &text, false).unwrap_or_else(|e| panic!("{e}"));
    let context = GatewayContext {
        clock: Clock::start(),
        executor: Rc::default(),
        name: name.into(),
        seed: 1,
        local_address: None,
        names: Default::default(),
        tracks_sessions: false,
        malformed_inputs: Cell::new(0),
        core_input: Box::new(|_| {}),
    };
    Peers::new(
        Rc::new(context),
        &parts.peers.expect("peers"),
        1,
        None,
        None,
        Box::new(Nowhere),
    )
}

#[test]
fn envelopes_of_another_version_are_rejected_counted_and_shown_until_the_version_matches() {
    let (here, there) = (peers("r0"), peers("r1"));
    let good = there.envelope(0, Vec::new());
    let (version, bytes) = (good.version, postcard::to_stdvec(&good).expect("encoded"));
    let mut other = good;
    other.version -= 1;
    let other = postcard::to_stdvec(&other).expect("encoded");
    let state = || state_endpoint::state(&here, TransportCounts::default());
    // Of an envelope in another version's form, nothing more than its version can be known.
    for (said, why) in [
        (&other[..], RejectionCause::Version),
        (&other[..1], RejectionCause::Version),
        (&bytes[..9], RejectionCause::Unreadable),
    ] {
        assert_eq!(here.receive(None, said).err(), Some(why));
    }
    let s = state();
    assert_eq!(
        (&s["counts"]["other_version"], &s["counts"]["unreadable"]),
        (&2.into(), &1.into()),
        "{s}"
    );
    let refused = &s["members"][1]["refused"];
    assert_eq!(
        (&refused["version"], &refused["times"]),
        (&(version - 1).into(), &1.into()),
        "{s}"
    );
    assert_eq!(refused["do"], "run one build in all routers of the group");
    assert!(
        s["members"][2]["refused"].is_null() && s["strangers"]["times"] == 2,
        "{s}"
    );
    assert!(here.receive(None, &bytes).is_ok());
    assert!(state()["members"][1]["refused"].is_null(), "{}", state());
}

#[test]
fn refusals_are_logged_once_a_process_and_cause_and_rate_limited_for_two_under_one_name() {
    let mut members = RejectedEnvelopes::new(3);
    let of = |cause, process| Rejection {
        cause,
        version: Some(1),
        from: Some((1, process)),
        address: None,
    };
    let mut logged = |now, cause, process| members.record(now, of(cause, process));
    assert!(logged(0, RejectionCause::Version, 7));
    // Once, however long it continues.
    assert!((1..1000).all(|n| !logged(n * LOG_INTERVAL, RejectionCause::Version, 7)));
    assert!(logged(1000 * LOG_INTERVAL, RejectionCause::Version, 8));
    assert!((1..1000).all(|n| !logged(
        1000 * LOG_INTERVAL + n,
        RejectionCause::Version,
        7 + n as u64 % 2
    )));
    assert!(logged(1001 * LOG_INTERVAL, RejectionCause::Group, 8));
    assert_eq!(
        (
            members.state(0, Some(1))["times"].as_u64(),
            members.state(0, Some(2))
        ),
        (Some(2001), serde_json::Value::Null)
    );
    members.accepted(1);
    assert_eq!(members.state(0, Some(1)), serde_json::Value::Null);
}
