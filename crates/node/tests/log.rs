//! Log lines under a reader that lags, goes away or comes back.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use cases::cases;
use node::log::Buffer;
use node::log::MAX_BUFFERED;
use serde_json::json;

/// Size of the pipe to a reader that lags.
const PIPE: usize = 64 << 10;

fn line(event: &str, number: usize) -> Vec<u8> {
    format!("ts=2026-12-04T20:28:41.4Z level=info event={event} number={number}\n").into_bytes()
}

/// A buffer that holds as many lines of a frequent event as it takes, and the number of those that it
/// has dropped.
fn full() -> (Buffer, usize) {
    let mut buffer = Buffer::default();
    let lines = MAX_BUFFERED / line("place", 0).len();
    let dropped = (0..lines).filter(|&number| !buffer.push(&line("place", number))).count();
    (buffer, dropped)
}

/// Reads a buffer to its end.
fn read(buffer: &mut Buffer) -> String {
    let mut bytes = Vec::new();
    let blocked = buffer.write_to(|new| {
        bytes.extend_from_slice(new);
        Ok(new.len())
    });
    assert!(!blocked);
    String::from_utf8(bytes).expect("lines are text")
}

/// Numbers of dropped lines by event, summed over all reports.
fn reported(text: &str) -> BTreeMap<String, usize> {
    let mut sums = BTreeMap::new();
    for line in text.lines().filter(|line| line.contains("event=log ")) {
        let (_, events) = line.split_once(" events=").expect("a report names events");
        for count in events.split(',') {
            let (event, count) = count.split_once(':').expect("a count");
            *sums.entry(event.to_owned()).or_default() += count.parse::<usize>().expect("a number");
        }
    }
    sums
}

cases! {
    is_kept_in_a_full_buffer;
    a_new_term: "reign",
    an_election: "election",
    a_restored_state: "restore",
    a_lost_dependency: "dependency",
    work_that_waits: "waiting",
    work_that_stands_still: "standing",
    spent_time: "budget",
    a_call_to_a_machine: "duty",
    a_disruption: "disrupt",
}

fn is_kept_in_a_full_buffer(event: &str) {
    let (mut buffer, dropped) = full();
    assert!(dropped > 0, "the buffer is not full");
    assert!(buffer.push(&line(event, 1)));
    assert!(!buffer.push(&line("request", 2)), "frequent lines compete with {event}");
    let text = read(&mut buffer);
    assert!(text.contains(&format!("event={event} number=1\n")));
    let counts = [("place".to_owned(), dropped), ("request".to_owned(), 1)];
    assert_eq!(reported(&text), BTreeMap::from(counts));
}

#[test]
fn a_reader_that_takes_nothing_does_not_make_the_buffer_grow() {
    let (mut buffer, _) = full();
    let before = format!("{buffer:?}").len();
    for _ in 0..1_000 {
        assert!(buffer.write_to(|_| Err(io::ErrorKind::WouldBlock.into())));
    }
    assert_eq!(format!("{buffer:?}").len(), before);
}

#[test]
fn each_line_arrives_whole_or_is_counted() {
    let mut buffer = Buffer::default();
    let mut arrived = Vec::new();
    let mut pushed = 0;
    for round in 0..400_usize {
        for number in 0..200 {
            buffer.push(&line("start", number));
            pushed += 1;
        }
        // Takes part of a line, then blocks.
        let mut room = round % 7 * 1_003;
        buffer.write_to(|bytes| {
            let count = bytes.len().min(room).min(977);
            room -= count;
            arrived.extend_from_slice(&bytes[..count]);
            if count == 0 { Err(io::ErrorKind::WouldBlock.into()) } else { Ok(count) }
        });
    }
    let text = String::from_utf8(arrived).expect("lines are text") + &read(&mut buffer);
    let whole = text.lines().filter(|line| line.starts_with("ts=") && line.contains("event=start"));
    let dropped = reported(&text)["start"];
    assert!(dropped > 0);
    assert_eq!(whole.count() + dropped, pushed);
}

/// A reader that keeps the first 8 KiB of each write, as some that collect logs do.
#[test]
fn no_line_is_lost_to_a_reader_that_keeps_part_of_a_long_write() {
    let mut buffer = Buffer::default();
    for number in 0..1_000 {
        buffer.push(&line("place", number));
    }
    let mut kept = Vec::new();
    buffer.write_to(|bytes| {
        kept.extend_from_slice(&bytes[..bytes.len().min(8 << 10)]);
        Ok(bytes.len())
    });
    let text = String::from_utf8(kept).expect("lines are text");
    let whole = text.split_inclusive('\n').enumerate();
    let whole = whole.filter(|(number, found)| found.as_bytes() == line("place", *number));
    assert_eq!(whole.count(), 1_000);
}

#[test]
fn a_line_that_is_longer_than_a_write_usually_is_arrives_whole() {
    let mut buffer = Buffer::default();
    let long = [&[b'x'; 20_000][..], b"\n"].concat();
    for line in [&line("place", 0), &long, &line("place", 1)] {
        buffer.push(line);
    }
    let (mut writes, mut bytes) = (Vec::new(), Vec::new());
    buffer.write_to(|new| {
        writes.push(new.len());
        bytes.extend_from_slice(new);
        Ok(new.len())
    });
    let short = line("place", 0).len();
    assert_eq!(writes, [short, long.len(), short]);
    assert!(bytes == [line("place", 0), long, line("place", 1)].concat(), "lines were changed");
}

#[test]
fn lines_lost_with_a_failed_write_are_counted() {
    let mut buffer = Buffer::default();
    for _ in 0..3 {
        buffer.push(&line("restore", 1));
        buffer.push(&line("place", 1));
        let failed = buffer.write_to(|_| Err(io::ErrorKind::StorageFull.into()));
        assert!(!failed, "a reader that fails is not waited for");
    }
    let counts = [("place".to_owned(), 3), ("restore".to_owned(), 3)];
    assert_eq!(reported(&read(&mut buffer)), BTreeMap::from(counts));
}

/// The last lines of a process tell why it exits.
#[test]
fn lines_before_an_exit_reach_a_reader_that_lags() {
    let folder = std::env::temp_dir().join(format!("knapweedsail-log-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("settings.json");
    // An address of another machine can't be bound, so that the node exits at once.
    let settings = json!({
        "nodeName": "one", "role": "node", "machineClass": "front", "ip": "192.0.2.1", "zone": "a",
        "listen": { "front": "192.0.2.1:7801", "ready": "192.0.2.1:7802" },
        "internalPorts": [7_803, 7_810], "limits": { "cpuShare": 0.5, "memoryMb": 512 },
        "bounds": { "maxHoldMs": 10_000, "graceS": 6 },
        "platform": { "address": "127.0.0.1:1" }, "cloudApi": { "address": "127.0.0.1:1" },
    });
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    let (mut reader, mut writer) = io::pipe().expect("a pipe");
    writer.write_all(&vec![b'\n'; PIPE]).expect("room in the pipe");
    let mut node = Command::new(env!("CARGO_BIN_EXE_knapweedsail-node"))
        .arg("--settings")
        .arg(&path)
        .stdout(writer)
        .stderr(Stdio::null())
        .spawn()
        .expect("the node's program");
    std::thread::sleep(Duration::from_millis(50));
    let mut text = String::new();
    reader.read_to_string(&mut text).expect("lines are text");
    node.wait().expect("an exit");
    std::fs::remove_dir_all(&folder).expect("the folder");
    assert!(text.contains("event=stop"), "lines that arrived: {:?}", text.trim());
}
