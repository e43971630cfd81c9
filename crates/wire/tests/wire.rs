//! Sealed frames open; all other bytes are refused with the right reason.

use bytes::Bytes;
use bytes::BytesMut;
use cases::cases;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use wire::Frame;
use wire::Key;
use wire::MAX_DATAGRAM_BYTES;
use wire::Refusal;
use wire::VERSION;
use wire::Window;
use wire::generated::Delta;
use wire::generated::Document;
use wire::generated::Envelope;
use wire::generated::Gossip;
use wire::generated::Hello;
use wire::generated::Name;
use wire::generated::Record;
use wire::generated::Want;
use wire::generated::frame::Content;

fn key(id: u32) -> Key {
    Key::new(id, [id as u8; 32]).expect("a secret of 32 bytes")
}

fn frame(content: Content) -> Frame {
    let sender = "entry-1".to_owned();
    Frame { sender, incarnation: 5, sequence: 9, receiver: 7, content: Some(content) }
}

fn gossip(members: u32) -> Content {
    Content::Gossip(Gossip {
        ids: (0..members).collect(),
        heartbeats: vec![1; members as usize],
        versions: vec![1; members as usize],
        offer: None,
    })
}

fn record() -> Record {
    Record {
        name: "entry-1".to_owned(),
        region: "south".to_owned(),
        data_centre: "porto".to_owned(),
        incarnation: 5,
        ip: vec![127, 0, 0, 1],
        port: 7,
    }
}

fn open(bytes: &[u8]) -> Result<Frame, Refusal> {
    wire::open(bytes, MAX_DATAGRAM_BYTES, &[key(1)])
}

/// Seals a frame and modifies its envelope.
fn modified(change: impl Fn(&mut Envelope)) -> Vec<u8> {
    let sealed = wire::seal(&frame(gossip(3)), &key(1));
    let mut envelope = Envelope::decode(&*sealed).expect("a sealed frame");
    change(&mut envelope);
    envelope.encode_to_vec()
}

#[test]
fn a_sealed_frame_opens() {
    let frame = frame(gossip(72));
    let sealed = wire::seal(&frame, &key(1));
    assert!(sealed.len() <= MAX_DATAGRAM_BYTES);
    assert_eq!(open(&sealed), Ok(frame));
}

cases! {
    a_bad_frame_is_refused_with_the_right_reason;
    huge: (wire::seal(&frame(gossip(400)), &key(1)), Refusal::Huge),
    empty: (Vec::new(), Refusal::Version),
    text: (b"GET / HTTP/1.1\r\n\r\n".to_vec(), Refusal::Malformed),
    cut_short: (wire::seal(&frame(gossip(3)), &key(1))[..40].to_vec(), Refusal::Malformed),
    stranger: (wire::seal(&frame(gossip(3)), &key(2)), Refusal::Stranger),
    wrong_secret: (
        wire::seal(&frame(gossip(3)), &Key::new(1, [9; 32]).expect("a secret of 32 bytes")),
        Refusal::Forged,
    ),
    no_mac: (modified(|envelope| envelope.mac.clear()), Refusal::Forged),
    short_mac: (modified(|envelope| envelope.mac.truncate(8)), Refusal::Forged),
    changed_frame: (modified(|envelope| envelope.frame[3] ^= 1), Refusal::Forged),
    older_version: (modified(|envelope| envelope.version = 0), Refusal::Version),
    version_with_wrong_mac: (modified(|envelope| envelope.version += 1), Refusal::Forged),
    too_new: (modified(|envelope| envelope.oldest = VERSION + 1), Refusal::Version),
}
fn a_bad_frame_is_refused_with_the_right_reason((bytes, refusal): (Vec<u8>, Refusal)) {
    assert_eq!(open(&bytes), Err(refusal));
}

cases! {
    a_frame_out_of_bounds_is_refused;
    no_sender: Frame { sender: String::new(), ..frame(gossip(1)) },
    long_sender: Frame { sender: "x".repeat(129), ..frame(gossip(1)) },
    no_incarnation: Frame { incarnation: 0, ..frame(gossip(1)) },
    no_content: Frame { content: None, ..frame(gossip(1)) },
    unequal_gossip: frame(Content::Gossip(Gossip { ids: vec![1], ..Gossip::default() })),
    unequal_want: frame(Content::Want(Want { ids: vec![1], ..Want::default() })),
    no_record: frame(Content::Hello(Hello { record: None, known: 0 })),
    bad_address: frame(Content::Hello(Hello {
        record: Some(Record { ip: vec![1, 2], ..record() }),
        known: 0,
    })),
    bad_port: frame(Content::Hello(Hello {
        record: Some(Record { port: 65_536, ..record() }),
        known: 0,
    })),
    part_beyond_parts: frame(Content::Delta(Delta {
        version: 1,
        part: 1,
        parts: 1,
        ..Delta::default()
    })),
    too_many_parts: frame(Content::Delta(Delta { version: 1, parts: 65, ..Delta::default() })),
    delta_backwards: frame(Content::Delta(Delta {
        base: 2,
        version: 1,
        parts: 1,
        ..Delta::default()
    })),
    nameless_slot: frame(Content::Delta(Delta {
        version: 1,
        parts: 1,
        names: vec![Name::default()],
        ..Delta::default()
    })),
    unequal_delta: frame(Content::Delta(Delta {
        version: 1,
        parts: 1,
        flight_slots: vec![1],
        ..Delta::default()
    })),
    short_digest: frame(Content::Document(Document { digest: vec![1], ..Document::default() })),
}
fn a_frame_out_of_bounds_is_refused(frame: Frame) {
    assert_eq!(open(&wire::seal(&frame, &key(1))), Err(Refusal::OutOfBounds));
}

/// A frame of a newer version is accepted without its unknown fields, as long as
/// `Envelope.oldest` allows it.
#[test]
fn a_compatible_frame_of_a_newer_version_is_accepted() {
    #[derive(Clone, PartialEq, Message)]
    struct Newer {
        #[prost(string, tag = "1")]
        sender: String,
        #[prost(fixed64, tag = "2")]
        incarnation: u64,
        #[prost(message, optional, tag = "6")]
        gossip: Option<Gossip>,
        #[prost(string, tag = "99")]
        later: String,
    }
    let newer = Newer {
        sender: "entry-1".to_owned(),
        incarnation: 5,
        gossip: Some(Gossip::default()),
        later: "a field of the next version".to_owned(),
    };
    let frame = Frame::decode(&*newer.encode_to_vec()).expect("unknown fields are ignored");
    assert_eq!(open(&wire::seal(&frame, &key(1))), Ok(frame));
}

/// Keys are rotated in three steps. Entries that are one step apart accept each other's frames.
#[test]
fn keys_overlap_while_they_are_rotated() {
    let steps = [vec![key(1)], vec![key(1), key(2)], vec![key(2), key(1)], vec![key(2)]];
    for pair in steps.windows(2) {
        for (sender, receiver) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let sealed = wire::seal(&frame(gossip(1)), &sender[0]);
            assert!(wire::open(&sealed, MAX_DATAGRAM_BYTES, receiver).is_ok());
        }
    }
    let sealed = wire::seal(&frame(gossip(1)), &key(1));
    assert_eq!(wire::open(&sealed, MAX_DATAGRAM_BYTES, &steps[3]), Err(Refusal::Stranger));
}

#[test]
fn short_secrets_are_rejected_and_debug_hides_them() {
    assert!(Key::new(1, [0; 15]).is_none());
    assert_eq!(format!("{:?}", key(1)), "Key(1)");
}

#[test]
fn a_stream_is_split_into_frames_and_an_oversized_one_is_an_error() {
    let mut codec = wire::codec();
    let mut stream = BytesMut::new();
    for body in ["one", "two"] {
        codec.encode(Bytes::from(body), &mut stream).expect("a frame within the limit");
    }
    stream.truncate(stream.len() - 1);
    assert_eq!(codec.decode(&mut stream).expect("a complete frame").as_deref(), Some(&b"one"[..]));
    assert!(codec.decode(&mut stream).expect("an incomplete frame").is_none());
    let mut huge = BytesMut::from(&[0xff; 8][..]);
    assert!(wire::codec().decode(&mut huge).is_err());
}

/// Guards against changes of `wire.proto` without regenerating the committed code: each field must
/// have the same name and tag in both.
#[test]
fn generated_messages_match_the_proto_file() {
    let proto = include_str!("../wire.proto");
    let generated = include_str!("../src/generated/mod.rs");
    let fields = proto.lines().filter_map(|line| line.trim().strip_suffix(';'));
    let fields: Vec<(&str, &str)> = fields.filter_map(|line| line.split_once(" = ")).collect();
    let numbered = fields.iter().filter(|(_, tag)| tag.parse::<u32>().is_ok());
    assert!(numbered.clone().count() > 50);
    for (declared, tag) in numbered {
        let name = declared.rsplit(' ').next().expect("a field with a name");
        let pascal = name[..1].to_uppercase() + &name[1..];
        let tag = format!("tag = \"{tag}\")]");
        let mut lines = generated.lines().zip(generated.lines().skip(1));
        let found = lines.any(|(attribute, field)| {
            let field = field.trim().strip_prefix("pub ").unwrap_or(field.trim());
            attribute.ends_with(&tag)
                && (field.starts_with(&format!("{name}:"))
                    || field.starts_with(&format!("{pascal}(")))
        });
        assert!(found, "{declared} {tag}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..1_500)) {
        prop_assert!(open(&bytes).is_err());
    }

    #[test]
    fn any_change_of_a_byte_is_refused(index: prop::sample::Index, flip in 1_u8..) {
        let frame = frame(gossip(10));
        let mut sealed = wire::seal(&frame, &key(1));
        let index = index.index(sealed.len());
        sealed[index] ^= flip;
        prop_assert!(open(&sealed).is_err());
    }

    #[test]
    fn any_truncation_is_refused(index: prop::sample::Index) {
        let sealed = wire::seal(&frame(gossip(10)), &key(1));
        prop_assert!(open(&sealed[..index.index(sealed.len())]).is_err());
    }

    /// Compares the window with a set of all accepted numbers: it accepts no number twice, and each
    /// new one that is within 1024 of the highest.
    #[test]
    fn a_window_accepts_each_sequence_once(steps in proptest::collection::vec(-40_i64..60, 1..300)) {
        let mut window = Window::default();
        let mut accepted = std::collections::BTreeSet::new();
        let mut sequence = 1_i64;
        for step in steps {
            sequence = (sequence + step * 30).max(1);
            let number = sequence.unsigned_abs();
            let highest = accepted.last().copied().unwrap_or(0);
            let is_new = !accepted.contains(&number) && number + 1_024 > highest;
            prop_assert_eq!(window.accept(number), is_new);
            if is_new {
                accepted.insert(number);
            }
        }
        prop_assert!(!window.accept(0));
    }
}
