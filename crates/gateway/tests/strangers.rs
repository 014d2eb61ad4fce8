//! Members of two builds beside each other: refused, counted, and shown with a remedy until they are of one build.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley_gateway::desk::Desk;
use cedarpulley_gateway::fellows::{Fellows, Post};
use cedarpulley_gateway::post::Sent;
use cedarpulley_gateway::strangers::Strange;
use cedarpulley_gateway::{settings, shown};
use cedarpulley_net::Clock;

struct Nowhere;

impl Post for Nowhere {
    fn put(&self, _: u16, _: Bytes, _: bool, _: bool) {}
}

fn fellows(name: &str) -> Fellows {
    let members =
        ["r0", "r1", "r2"].map(|m| format!("[[peers.member]]\nname = {m:?}\naddress = \"127.0.0.1:7101\"\n"));
    let text = format!(
        "[[trigger]]\nname = \"t\"\neffect = \"idempotent\"\nlatency_objective_ms = 100\nclient_timeout_ms = 1000\n\
         [[kserve]]\nlisten = \"127.0.0.1:7100\"\n[workers]\nwatch = \"127.0.0.1:7102\"\n\
         [peers]\nlisten = \"127.0.0.1:7101\"\ngroup = \"g\"\nname = {name:?}\n{}",
        members.concat()
    );
    let parts = settings::read("router.toml", &text, false).unwrap_or_else(|e| panic!("{e}"));
    let desk = Desk {
        clock: Clock::start(),
        executor: Rc::default(),
        name: name.into(),
        seed: 1,
        from: None,
        names: Default::default(),
        sessions: false,
        misunderstood: Cell::new(0),
        core: Box::new(|_| {}),
    };
    Fellows::new(Rc::new(desk), &parts.peers.expect("peers"), 1, None, None, Box::new(Nowhere))
}

#[test]
fn a_member_of_another_version_is_refused_counted_and_shown_until_it_is_of_this_one() {
    let (here, there) = (fellows("r0"), fellows("r1"));
    let good = there.envelope(0, Vec::new());
    let (version, bytes) = (good.version, postcard::to_stdvec(&good).expect("encoded"));
    let mut other = good;
    other.version -= 1;
    let other = postcard::to_stdvec(&other).expect("encoded");
    let state = || shown::state(&here, Sent::default());
    // Of a version whose envelopes have another form, nothing can be known but that.
    for (said, why) in
        [(&other[..], Strange::Version), (&other[..1], Strange::Version), (&bytes[..9], Strange::Unreadable)]
    {
        assert_eq!(here.heard(None, said).err(), Some(why));
    }
    let s = state();
    assert_eq!((&s["counts"]["other_version"], &s["counts"]["unreadable"]), (&2.into(), &1.into()), "{s}");
    let refused = &s["members"][1]["refused"];
    assert_eq!((&refused["version"], &refused["times"]), (&(version - 1).into(), &1.into()), "{s}");
    assert_eq!(refused["do"], "run one build in all routers of the group");
    assert!(s["members"][2]["refused"].is_null() && s["strangers"]["times"] == 2, "{s}");
    assert!(here.heard(None, &bytes).is_ok());
    assert!(state()["members"][1]["refused"].is_null(), "{}", state());
}
