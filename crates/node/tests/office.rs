//! Which node should hold the office.

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

/// Shares of peers, how long after the last of them it is asked, and whether one is far stronger.
struct Peers(&'static [f64], u64, bool);

cases! {
    judges;
    no_peers: Peers(&[], 0, false),
    peers_of_its_kind: Peers(&[0.2, 0.2], 100, false),
    a_peer_with_a_little_more: Peers(&[0.3], 100, false),
    a_peer_with_far_more: Peers(&[0.2, 0.5, 0.2], 100, true),
    a_strong_peer_that_has_gone: Peers(&[0.5], 1_500, false),
}

fn judges(Peers(shares, after_ms, stronger): Peers) {
    let node = node(0.2);
    let now = Time::from_secs(5);
    for share in shares {
        node.record_peer(*share, now);
    }
    assert_eq!(node.has_stronger_peer(now + Duration::from_millis(after_ms)), stronger);
}

/// A process that has ended is told from one that is silent: nobody has to wait for it.
#[test]
fn an_address_without_listener_is_gone() {
    async_io::block_on(async {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        assert!(!node::rpc::is_gone(address).await, "it listens, though nobody answers");
        drop(listener);
        assert!(node::rpc::is_gone(address).await);
    });
}
