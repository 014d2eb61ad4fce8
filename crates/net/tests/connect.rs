//! Tests what the errors of a connection attempt tell.

use std::io::{Error, ErrorKind};
use std::net::TcpListener;

use async_io::block_on;
use cedarpulley_net::{connect, is_out_of_resources};

/// Time limit of the connection attempts, in microseconds.
const CONNECT_TIMEOUT: i64 = 5_000_000;

/// Guards against blaming a worker for what this process lacks, and against the reverse.
#[test]
fn only_a_lack_of_own_resources_counts_as_such() {
    for code in [12, 23, 24, 105] {
        assert!(is_out_of_resources(&Error::from_raw_os_error(code)));
    }
    assert!(is_out_of_resources(&ErrorKind::AddrNotAvailable.into()));
    for kind in [
        ErrorKind::ConnectionRefused,
        ErrorKind::ConnectionReset,
        ErrorKind::TimedOut,
    ] {
        assert!(!is_out_of_resources(&kind.into()), "{kind}");
    }
    let unused = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = unused.local_addr().expect("bound");
    drop(unused);
    let refused = block_on(connect(address, None, CONNECT_TIMEOUT)).expect_err("refused");
    assert!(!is_out_of_resources(&refused), "{refused}");
}
