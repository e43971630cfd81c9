//! Detection of stronger peers, and of processes that have ended.

use std::rc::Rc;
use std::time::Duration;

use adapter::Settings;
use async_executor::LocalExecutor;
use cases::cases;
use fleet::time::Time;
use node::Node;

fn node(share: f64) -> Rc<Node> {
    let text = format!(
        r#"{{"nodeName":"a","ip":"127.0.0.1","zone":"a","internalPorts":[1,2],
            "limits":{{"cpuShare":{share}}},"platform":{{"address":"127.0.0.1:3"}}}}"#
    );
    let settings = Settings::decode(text.as_bytes()).expect("settings");
    Node::open(settings, Rc::new(LocalExecutor::new()))
}

/// Shares of a core that peers have reported, time since then in milliseconds, and whether a peer
/// counts as far stronger.
struct Peers(&'static [f64], u64, bool);

cases! {
    finds_stronger_peers;
    no_peers: Peers(&[], 0, false),
    peers_of_the_same_share: Peers(&[0.2, 0.2], 100, false),
    a_peer_with_a_slightly_larger_share: Peers(&[0.3], 100, false),
    a_peer_with_a_far_larger_share: Peers(&[0.2, 0.5, 0.2], 100, true),
    a_strong_peer_that_stopped_pinging: Peers(&[0.5], 1_500, false),
}

fn finds_stronger_peers(Peers(shares, after_ms, expected): Peers) {
    let node = node(0.2);
    let now = Time::from_secs(5);
    for share in shares {
        node.record_peer(*share, now);
    }
    assert_eq!(node.has_stronger_peer(now + Duration::from_millis(after_ms)), expected);
}

/// Distinguishes a process that has ended from one that doesn't answer, so that an election need
/// not wait for the timeout.
#[test]
fn an_address_without_listener_is_gone() {
    async_io::block_on(async {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        assert!(!node::rpc::is_gone(address).await, "the port listens, though nothing answers");
        drop(listener);
        assert!(node::rpc::is_gone(address).await);
    });
}
