//! Peers on loopback: documents, keys, and peers that go silent or lie.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use cases::cases;
use fleet::config::Revision;
use fleet::time::Time;
use peer::Peer;
use peer::Settings;
use peer::Spread;
use peer::Status;
use peer::membership::Identity;
use peer::membership::Membership;
use peer::membership::Offered;
use sha2::Digest;
use sha2::Sha256;
use wire::Key;
use wire::MAX_DATAGRAM_BYTES;
use wire::Refusal;
use wire::generated::Document;
use wire::generated::Pull;
use wire::generated::frame::Content;

const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Far more than loopback needs.
const LONGEST: Duration = Duration::from_secs(30);

fn key(id: u32) -> Key {
    Key::new(id, [id as u8; 32]).expect("it is long enough")
}

#[expect(clippy::disallowed_methods, reason = "a test of sockets")]
fn instant() -> Instant {
    Instant::now()
}

struct Site {
    executor: Arc<Executor<'static>>,
    origin: Instant,
}

impl Site {
    fn start(&self, name: &str, seeds: &[SocketAddr], keys: &[Key]) -> Peer {
        let settings = Settings {
            name: name.to_owned(),
            region: "south".to_owned(),
            data_centre: "porto".to_owned(),
            bind: ANY.into(),
            seeds: seeds.to_vec(),
            beyond: Vec::new(),
            keys: keys.to_vec(),
            origin: self.origin,
        };
        Peer::bind(&self.executor, settings).expect("loopback")
    }

    fn alive(&self, peer: &Peer) -> usize {
        let now = Time::ZERO + self.origin.elapsed();
        let members = peer.members(now);
        members.iter().filter(|member| member.status == Status::Alive).count()
    }
}

/// Runs a check on an executor of its own.
fn check(check: impl AsyncFn(&Site)) {
    let site = Site { executor: Arc::new(Executor::new()), origin: instant() };
    async_io::block_on(site.executor.run(check(&site)));
}

/// Waits until it holds.
async fn until(holds: impl Fn() -> bool) {
    let start = instant();
    while !holds() {
        assert!(start.elapsed() < LONGEST, "it never held");
        Timer::after(Duration::from_millis(10)).await;
    }
}

#[test]
fn peers_find_each_other_and_the_highest_revision_reaches_all() {
    check(async |site| {
        let first = site.start("entry-1", &[], &[key(1)]);
        let seeds = [first.address()];
        let second = site.start("entry-2", &seeds, &[key(1)]);
        let third = site.start("entry-3", &seeds, &[key(1)]);
        until(|| [&first, &second, &third].iter().all(|peer| site.alive(peer) == 2)).await;
        first.offer(Revision(2), Arc::from("second"));
        third.offer(Revision(1), Arc::from("first"));
        for peer in [&second, &third] {
            let adopted = peer.adopted();
            let (mut revision, mut documents) = adopted.recv().await.expect("it runs");
            while revision < Revision(2) {
                (revision, documents) = adopted.recv().await.expect("it runs");
            }
            assert_eq!((revision, &*documents), (Revision(2), "second"));
        }
        assert!(first.adopted().try_recv().is_err());
        third.leave();
        let now = || Time::ZERO + site.origin.elapsed();
        let left =
            |peer: &Peer| peer.members(now()).iter().any(|member| member.status == Status::Left);
        until(|| left(&first) && left(&second)).await;
    });
}

#[test]
fn a_peer_that_starts_alone_catches_up_from_its_peers() {
    check(async |site| {
        let first = site.start("entry-1", &[], &[key(1)]);
        let second = site.start("entry-2", &[first.address()], &[key(1)]);
        let large = "x".repeat(1 << 20);
        first.offer(Revision(7), Arc::from(large.as_str()));
        until(|| site.alive(&first) == 1 && second.counters().pulls == 1).await;
        let third = site.start("entry-3", &[second.address()], &[key(1)]);
        let caught_up = third.catch_up(2, LONGEST).await;
        assert!(caught_up.enough, "{caught_up}");
        assert_eq!(caught_up.revision, Revision(7));
        let alone = site.start("entry-4", &[], &[key(1)]);
        let nothing = alone.catch_up(1, Duration::from_millis(100)).await;
        assert_eq!((nothing.answered, nothing.enough), (0, false));
    });
}

#[test]
fn keys_are_rotated_on_running_peers() {
    check(async |site| {
        let first = site.start("entry-1", &[], &[key(1)]);
        let second = site.start("entry-2", &[first.address()], &[key(1)]);
        until(|| site.alive(&first) == 1 && site.alive(&second) == 1).await;
        for keys in [vec![key(1), key(2)], vec![key(2), key(1)], vec![key(2)]] {
            for peer in [&first, &second] {
                peer.rotate(keys.clone());
                Timer::after(Duration::from_millis(250)).await;
            }
        }
        first.offer(Revision(1), Arc::from("signed anew"));
        assert!(second.adopted().recv().await.is_ok());
        for peer in [&first, &second] {
            let refused = peer.counters().refused;
            assert!(!refused.contains_key(&Refusal::Stranger), "{refused:?}");
        }
    });
}

#[test]
fn strangers_are_refused_and_counted() {
    check(async |site| {
        let first = site.start("entry-1", &[], &[key(1)]);
        let stranger = site.start("entry-2", &[first.address()], &[key(2)]);
        until(|| first.counters().refused.get(&Refusal::Stranger).is_some_and(|count| *count > 2))
            .await;
        assert_eq!((site.alive(&first), site.alive(&stranger)), (0, 0));
        assert!(
            Peer::bind(&site.executor, Settings { keys: Vec::new(), ..unkeyed(site) }).is_err()
        );
    });
}

fn unkeyed(site: &Site) -> Settings {
    Settings {
        name: "entry-9".to_owned(),
        region: String::new(),
        data_centre: String::new(),
        bind: ANY.into(),
        seeds: Vec::new(),
        beyond: Vec::new(),
        keys: Vec::new(),
        origin: site.origin,
    }
}

/// What a peer does when documents are pulled from it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trick {
    Silent,
    HangsUp,
    CutShort,
    Huge,
    Garbage,
    OtherDocuments,
    WrongDigest,
    Older,
    OldAnswer,
    Unsigned,
}

/// A peer that gossips as it should, and offers a revision that it does not serve well.
struct Liar {
    address: SocketAddr,
    membership: Arc<Mutex<Membership>>,
}

impl Liar {
    fn start(site: &Site, seed: SocketAddr, trick: Trick) -> Self {
        let listener = TcpListener::bind(SocketAddr::from(ANY)).expect("loopback");
        let address = listener.local_addr().expect("it is bound");
        let socket = UdpSocket::bind(address).expect("loopback");
        socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
        let own = Identity {
            name: "liar".to_owned(),
            region: "south".to_owned(),
            data_centre: "porto".to_owned(),
            incarnation: 1,
            address,
        };
        let now = Time::ZERO + site.origin.elapsed();
        let mut membership = Membership::new(own, vec![seed], vec![], now, 1);
        let digest = Sha256::digest("documents");
        let digest = u64::from_be_bytes(digest[..8].try_into().expect("eight bytes"));
        membership.offer(Offered { revision: Revision(9), digest });
        let membership = Arc::new(Mutex::new(membership));
        let this = Self { address, membership: Arc::clone(&membership) };
        let origin = site.origin;
        thread::spawn(move || gossip(&socket, &membership, origin));
        let membership = Arc::clone(&this.membership);
        thread::spawn(move || {
            let mut held = Vec::new();
            for stream in listener.incoming().flatten() {
                held.extend(lie(stream, &membership, trick));
            }
        });
        this
    }
}

fn gossip(socket: &UdpSocket, membership: &Mutex<Membership>, origin: Instant) {
    let mut buffer = [0; 2_000];
    loop {
        let now = Time::ZERO + origin.elapsed();
        let mut out = membership.lock().expect("it runs").tick(now);
        if let Ok((length, from)) = socket.recv_from(&mut buffer)
            && let Ok(frame) = wire::open(&buffer[..length], MAX_DATAGRAM_BYTES, &[key(1)])
        {
            out.extend(membership.lock().expect("it runs").receive(now, from, frame).answers);
        }
        for frame in out {
            let _ = socket.send_to(&wire::seal(&frame.frame, &key(1)), frame.to);
        }
    }
}

/// Answers one pull badly. A silent connection is given back, to be held open.
fn lie(mut stream: TcpStream, membership: &Mutex<Membership>, trick: Trick) -> Option<TcpStream> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes(head) as usize];
    stream.read_exact(&mut body).ok()?;
    let pull = wire::open(&body, MAX_DATAGRAM_BYTES, &[key(1)]).ok()?;
    let documents = if trick == Trick::OtherDocuments { "others" } else { "documents" };
    let mut digest = Sha256::digest(documents).to_vec();
    if trick == Trick::WrongDigest {
        digest[31] ^= 1;
    }
    let content = Content::Document(Document {
        revision: if trick == Trick::Older { 8 } else { 9 },
        digest,
        documents: documents.to_owned(),
        answers: pull.sequence + u64::from(trick == Trick::OldAnswer),
    });
    let frame = membership.lock().expect("it runs").frame(pull.incarnation, content);
    let signer = if trick == Trick::Unsigned { key(2) } else { key(1) };
    let mut answer = wire::seal(&frame, &signer);
    let mut length = u32::try_from(answer.len()).expect("it is small");
    match trick {
        Trick::Silent => return Some(stream),
        Trick::HangsUp => return None,
        Trick::CutShort => answer.truncate(answer.len() / 2),
        Trick::Huge => length = u32::MAX,
        Trick::Garbage => answer.fill(7),
        _ => {}
    }
    stream.write_all(&length.to_be_bytes()).ok()?;
    stream.write_all(&answer).ok()?;
    None
}

cases! {
    a_pull_that_fails_is_made_afresh_from_another_peer;
    silent: Trick::Silent,
    hangs_up: Trick::HangsUp,
    cut_short: Trick::CutShort,
    huge: Trick::Huge,
    garbage: Trick::Garbage,
    other_documents: Trick::OtherDocuments,
    wrong_digest: Trick::WrongDigest,
    older: Trick::Older,
    old_answer: Trick::OldAnswer,
    unsigned: Trick::Unsigned,
}
fn a_pull_that_fails_is_made_afresh_from_another_peer(trick: Trick) {
    check(async |site| {
        let first = site.start("entry-1", &[], &[key(1)]);
        let liar = Liar::start(site, first.address(), trick);
        assert_ne!(liar.address, first.address());
        until(|| first.counters().pull_failures > 0).await;
        assert!(first.adopted().try_recv().is_err());
        let second = site.start("entry-2", &[first.address()], &[key(1)]);
        second.offer(Revision(9), Arc::from("documents"));
        let (revision, documents) = first.adopted().recv().await.expect("it runs");
        assert_eq!((revision, &*documents), (Revision(9), "documents"));
    });
}

#[test]
fn a_pull_from_a_stranger_or_a_replayed_one_gets_no_answer() {
    check(async |site| {
        let first = site.start("entry-1", &[], &[key(1)]);
        first.offer(Revision(1), Arc::from("documents"));
        let liar = Liar::start(site, first.address(), Trick::Silent);
        until(|| site.alive(&first) == 1).await;
        let now = Time::ZERO + site.origin.elapsed();
        let members = liar.membership.lock().expect("it runs").members(now);
        let life = members.first().expect("they know each other").incarnation;
        let content = Content::Pull(Pull { above: 0 });
        let frame = liar.membership.lock().expect("it runs").frame(life, content.clone());
        let past = liar.membership.lock().expect("it runs").frame(life - 1, content);
        let exchange = |bytes: Vec<u8>| exchange(first.address(), bytes);
        let signed = wire::seal(&frame, &key(1));
        assert!(exchange(signed.clone()).await > 0);
        for refused in
            [signed, wire::seal(&frame, &key(2)), wire::seal(&past, &key(1)), vec![0; 2_000]]
        {
            assert_eq!(exchange(refused).await, 0);
        }
        let refused = first.counters().refused;
        for kind in [Refusal::Replayed, Refusal::Stranger, Refusal::OtherLife] {
            assert!(refused.contains_key(&kind), "{kind}: {refused:?}");
        }
    });
}

/// Sends one frame over TCP and counts the bytes of the answer.
async fn exchange(address: SocketAddr, bytes: Vec<u8>) -> usize {
    let ask = move || {
        let mut stream = TcpStream::connect(address).expect("it listens");
        let length = u32::try_from(bytes.len()).expect("it is small");
        stream.write_all(&length.to_be_bytes()).expect("it reads");
        stream.write_all(&bytes).expect("it reads");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        answer.len()
    };
    let (done, end) = async_channel::bounded(1);
    thread::spawn(move || done.send_blocking(ask()));
    end.recv().await.expect("the thread ends")
}

/// Connections that say nothing take all places; a pull is made when they have run out.
#[test]
fn silent_callers_do_not_keep_others_out_for_good() {
    check(async |site| {
        let first = site.start("entry-1", &[], &[key(1)]);
        let silent: Vec<TcpStream> =
            (0..40).filter_map(|_| TcpStream::connect(first.address()).ok()).collect();
        let second = site.start("entry-2", &[first.address()], &[key(1)]);
        until(|| site.alive(&second) == 1).await;
        first.offer(Revision(1), Arc::from("documents"));
        assert!(second.adopted().recv().await.is_ok());
        drop(silent);
    });
}
