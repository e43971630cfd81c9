//! What a server makes of good and bad requests.

mod script;

use std::time::Duration;

use http::Handler;
use http::Limits;
use http::Request;
use http::Response;
use proptest::prelude::*;
use script::End;
use script::Script;

const LIMITS: Limits = Limits {
    head: 1 << 10,
    fields: 8,
    body: 64,
    message: Duration::from_millis(20),
    idle: Duration::from_millis(20),
};

/// Serves a script; gives the requests that the handler saw and the statuses that were answered.
fn serve(parts: Vec<Vec<u8>>, end: End) -> (Vec<Request>, Vec<u16>) {
    let script = Script::new(parts, end);
    let mut seen = Vec::new();
    let handler = |request: Request| {
        let response = Response::new(200).with_body(request.body.clone());
        seen.push(request);
        std::future::ready(response)
    };
    let _ = async_io::block_on(http::serve(script.clone(), &LIMITS, handler));
    (seen, script.statuses())
}

struct Bad {
    message: String,
    end: End,
    status: u16,
}

fn bad(message: impl Into<String>, status: u16) -> Bad {
    Bad { message: message.into(), end: End::Close, status }
}

fn silent(message: impl Into<String>, status: u16) -> Bad {
    Bad { end: End::Silence, ..bad(message, status) }
}

/// The handler never sees it, one answer has the status, and the connection ends.
fn is_refused(bad: Bad) {
    let next = "GET /next HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut parts = vec![bad.message.into_bytes()];
    if bad.end == End::Close && bad.status != 400 {
        parts.push(next.into());
    }
    let (seen, statuses) = serve(parts, bad.end);
    assert_eq!(seen, Vec::<Request>::new());
    assert_eq!(statuses, vec![bad.status]);
}

fn post(fields: &str, body: &str) -> String {
    format!("POST /orders HTTP/1.1\r\nhost: a\r\n{fields}\r\n{body}")
}

cases::cases! {
    is_refused;
    no_host: bad("GET / HTTP/1.1\r\n\r\n", 400),
    empty_host: bad("GET / HTTP/1.1\r\nhost: \r\n\r\n", 400),
    two_hosts: bad("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
    old_version: bad("GET / HTTP/1.0\r\nhost: a\r\n\r\n", 400),
    not_http: bad("\u{16}\u{3}\u{1}hello\r\n\r\n", 400),
    no_path: bad("GET http://a/ HTTP/1.1\r\nhost: a\r\n\r\n", 400),
    unknown_method: bad("BREW / HTTP/1.1\r\nhost: a\r\n\r\n", 400),
    folded_field: bad("GET / HTTP/1.1\r\nhost: a\r\nx: 1\r\n 2\r\n\r\n", 400),
    space_before_colon: bad("GET / HTTP/1.1\r\nhost : a\r\n\r\n", 400),
    length_and_chunked: bad(post("content-length: 3\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"), 400),
    differing_lengths: bad(post("content-length: 3\r\ncontent-length: 30\r\n", "abc"), 400),
    repeated_length: bad(post("content-length: 3\r\ncontent-length: 3\r\n", "abc"), 400),
    length_list: bad(post("content-length: 3, 3\r\n", "abc"), 400),
    signed_length: bad(post("content-length: +3\r\n", "abc"), 400),
    empty_length: bad(post("content-length: \r\n", "abc"), 400),
    huge_length: bad(post("content-length: 99999999999999999999\r\n", "abc"), 400),
    two_encodings: bad(post("transfer-encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400),
    repeated_encoding: bad(post("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"), 400),
    unknown_expectation: bad(post("expect: more\r\ncontent-length: 1\r\n", "a"), 400),
    head_cut_short: bad("GET / HTTP/1.1\r\nhost: a\r\n", 400),
    body_cut_short: bad(post("content-length: 30\r\n", "abc"), 400),
    chunks_cut_short: bad(post("transfer-encoding: chunked\r\n", "3\r\nabc\r\n"), 400),
    chunk_cut_short: bad(post("transfer-encoding: chunked\r\n", "5\r\nabc"), 400),
    chunk_without_size: bad(post("transfer-encoding: chunked\r\n", "\r\n\r\n"), 400),
    chunk_longer_than_size: bad(post("transfer-encoding: chunked\r\n", "2\r\nabc\r\n0\r\n\r\n"), 400),
    chunk_line_endless: bad(post("transfer-encoding: chunked\r\n", &format!("1;{}", "x".repeat(500))), 400),
    trailer_endless: bad(post("transfer-encoding: chunked\r\n", &format!("0\r\n{}", "a: b\r\n".repeat(1000))), 400),
    head_too_large: bad(post(&format!("x: {}\r\n", "y".repeat(2000)), ""), 431),
    head_endless: bad("x".repeat(5000), 431),
    too_many_fields: bad(post(&"x: y\r\n".repeat(9), ""), 431),
    far_too_many_fields: bad(post(&"x: y\r\n".repeat(150), ""), 431),
    body_too_large: bad(post("content-length: 65\r\n", &"x".repeat(65)), 413),
    chunks_too_large: bad(post("transfer-encoding: chunked\r\n", "20\r\nabcdefghabcdefghabcdefghabcdefgh\r\n21\r\n"), 413),
    slow_head: silent("GET / HT", 408),
    slow_body: silent(post("content-length: 30\r\n", "abc"), 408),
    slow_chunk: silent(post("transfer-encoding: chunked\r\n", "3\r\na"), 408),
}

#[test]
fn an_idle_or_closed_connection_gets_no_answer() {
    assert_eq!(serve(vec![], End::Close), (vec![], vec![]));
    assert_eq!(serve(vec![], End::Silence), (vec![], vec![]));
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let first = post("content-length: 3\r\n", "abc");
    let second = post("transfer-encoding: chunked\r\n", "2\r\nde\r\n0\r\nt: u\r\n\r\n");
    let third = "\r\nGET /last?q='x'&r=../y HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let all = [first, second, third.to_owned(), "ignored".to_owned()].concat();
    let (seen, statuses) = serve(vec![all.into_bytes()], End::Close);
    assert_eq!(statuses, vec![200, 200, 200]);
    let bodies: Vec<_> = seen.iter().map(|request| request.body.as_slice()).collect();
    assert_eq!(bodies, [b"abc".as_slice(), b"de", b""]);
    assert_eq!(seen[2].target, "/last?q='x'&r=../y");
}

/// A handler of a server that is about to end.
struct Closing {
    seen: Vec<String>,
}

impl Handler for Closing {
    fn run(&mut self, request: Request) -> impl Future<Output = Response> {
        self.seen.push(request.target);
        std::future::ready(Response::new(200))
    }

    fn closing(&self) -> bool {
        true
    }
}

#[test]
fn requests_that_wait_are_answered_before_the_connection_closes() {
    let get = |target: &str| format!("GET {target} HTTP/1.1\r\nhost: a\r\n\r\n");
    let waiting = [get("/1"), get("/2"), get("/3")].concat();
    let script = Script::new([waiting, get("/4"), get("/too-late")], End::Close);
    let mut handler = Closing { seen: Vec::new() };
    async_io::block_on(http::serve_with(script.clone(), &LIMITS, &mut handler)).unwrap();
    assert_eq!(handler.seen, ["/1", "/2", "/3", "/4"]);
    assert_eq!(script.statuses(), vec![200, 200, 200, 200]);
    assert_eq!(script.written().matches("connection: close").count(), 1);
}

#[test]
fn an_expectation_is_met_before_the_body_comes() {
    let head = post("expect: 100-continue\r\ncontent-length: 3\r\n", "");
    let script = Script::new([head.as_str(), "abc"], End::Close);
    let handler = |request: Request| std::future::ready(Response::new(200).with_body(request.body));
    async_io::block_on(http::serve(script.clone(), &LIMITS, handler)).unwrap();
    assert_eq!(script.statuses(), vec![100, 200]);
    assert!(script.written().ends_with("\r\n\r\nabc"));
}

#[test]
fn an_answer_that_cannot_be_sent_becomes_a_500() {
    let request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    for bad in ["a\r\nset-cookie: b", "\u{1}"] {
        let script = Script::new([request], End::Close);
        let handler = |_| std::future::ready(Response::new(200).with_header("x", bad));
        async_io::block_on(http::serve(script.clone(), &LIMITS, handler)).unwrap();
        assert_eq!(script.statuses(), vec![500]);
    }
}

proptest! {
    #[test]
    fn the_way_a_message_is_cut_up_changes_nothing(
        cuts in proptest::collection::vec(0usize..120, 0..12),
    ) {
        let first = post("transfer-encoding: chunked\r\n", "3;e=1\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        let all = [first, post("content-length: 3\r\n", "fgh")].concat().into_bytes();
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(all.len())).collect();
        cuts.sort_unstable();
        cuts.push(all.len());
        let mut from = 0;
        let mut parts = Vec::new();
        for cut in cuts {
            parts.push(all[from..cut].to_vec());
            from = cut;
        }
        let (seen, statuses) = serve(parts, End::Close);
        prop_assert_eq!(statuses, vec![200, 200]);
        let bodies: Vec<_> = seen.iter().map(|request| request.body.as_slice()).collect();
        prop_assert_eq!(bodies, [b"abcde".as_slice(), b"fgh"]);
    }

    #[test]
    fn no_bytes_do_harm(
        noise in proptest::collection::vec(any::<u8>(), 0..60),
        at in 0usize..90,
    ) {
        let mut all = post("transfer-encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n").into_bytes();
        let at = at.min(all.len());
        let end = (at + noise.len()).min(all.len());
        all.splice(at..end, noise);
        let (seen, _) = serve(vec![all], End::Close);
        prop_assert!(seen.iter().all(|request| request.body.len() <= LIMITS.body));
    }
}
