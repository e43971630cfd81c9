//! What a client makes of good and bad answers.

mod script;

use std::time::Duration;

use http::Connection;
use http::Error;
use http::Limits;
use http::Request;
use http::Response;
use script::End;
use script::Script;

const LIMITS: Limits = Limits {
    head: 1 << 10,
    fields: 8,
    body: 64,
    message: Duration::from_millis(20),
    idle: Duration::from_millis(20),
};

fn send(method: &str, answer: &str, end: End) -> (Result<Response, Error>, bool, Script) {
    let script = Script::new([answer], end);
    let mut connection = Connection::new(script.clone(), LIMITS);
    let request = Request::new(method, "/x/../y?q='").with_header("host", "a").with_body("abc");
    let result = async_io::block_on(connection.send(&request));
    (result, connection.is_finished(), script)
}

/// The answer counts as sent and not whole, and the connection is finished.
fn is_no_answer(answer: (&str, End)) {
    let (result, finished, _) = send("POST", answer.0, answer.1);
    assert!(!matches!(result, Ok(_) | Err(Error::NotSent(_))), "{result:?}");
    assert!(finished);
}

cases::cases! {
    is_no_answer;
    closed_at_once: ("", End::Close),
    silent: ("", End::Silence),
    head_cut_short: ("HTTP/1.1 200 OK\r\ncontent-", End::Close),
    half_a_body: ("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabcd", End::Close),
    half_a_body_then_silence: ("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabcd", End::Silence),
    cut_chunks: ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n", End::Close),
    ends_with_the_connection: ("HTTP/1.1 200 OK\r\n\r\nabcd", End::Close),
    length_and_chunked: ("HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\na", End::Close),
    differing_lengths: ("HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", End::Close),
    body_too_large: ("HTTP/1.1 200 OK\r\ncontent-length: 65\r\n\r\n", End::Silence),
    not_http: ("hello\r\n\r\n", End::Close),
    unknown_status: ("HTTP/1.1 999 What\r\ncontent-length: 0\r\n\r\n", End::Close),
    endless_interim: ("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 103 Early\r\n\r\nHTTP/1.1 103 Early\r\n\r\nHTTP/1.1 103 Early\r\n\r\nHTTP/1.1 103 Early\r\n\r\n", End::Silence),
}

#[test]
fn a_whole_answer_leaves_the_connection_usable() {
    let answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nset-cookie: a\r\n\
                  set-cookie: b\r\ncontent-length: 2\r\n\r\nok";
    let (result, finished, script) = send("POST", answer, End::Silence);
    let response = result.unwrap();
    assert_eq!((response.status, response.body.as_slice()), (201, b"ok".as_slice()));
    let cookies: Vec<_> =
        response.headers.iter().filter(|(name, _)| *name == "set-cookie").collect();
    assert_eq!(cookies, [("set-cookie", "a"), ("set-cookie", "b")]);
    assert_eq!(response.headers.get("date"), None);
    assert!(!finished);
    assert!(script.written().starts_with("POST /x/../y?q=' HTTP/1.1\r\nhost: a\r\n"));
    assert!(script.written().ends_with("content-length: 3\r\n\r\nabc"));
}

#[test]
fn an_answer_to_head_has_no_body() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
    let (result, finished, _) = send("HEAD", answer, End::Silence);
    assert_eq!(result.unwrap().headers.get("content-length"), Some("10"));
    assert!(!finished);
}

#[test]
fn bytes_beyond_the_answer_finish_the_connection() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let (result, finished, _) = send("POST", &answer.repeat(2), End::Silence);
    assert!(result.is_ok());
    assert!(finished);
}

#[test]
fn an_answer_that_asks_for_it_finishes_the_connection() {
    let answer = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let (result, finished, _) = send("POST", answer, End::Silence);
    assert!(result.is_ok());
    assert!(finished);
}

fn is_written_as((request, head): (Request, &str)) {
    let script = Script::new(["HTTP/1.1 204 X\r\n\r\n"], End::Silence);
    let mut connection = Connection::new(script.clone(), LIMITS);
    async_io::block_on(connection.send(&request)).expect("an answer");
    assert_eq!(script.written(), head);
    assert_eq!(connection.sent(), head.len() as u64);
}

cases::cases! {
    is_written_as;
    no_fields: (Request::new("DELETE", "/x"), "DELETE /x HTTP/1.1\r\nhost: upstream\r\ncontent-length: 0\r\n\r\n"),
    an_empty_host: (
        Request::new("PUT", "/x").with_header("te", "t").with_header("host", "").with_header("cookie", "a"),
        "PUT /x HTTP/1.1\r\nhost: \r\ncontent-length: 0\r\ncookie: a\r\nte: t\r\n\r\n",
    ),
    a_repeated_field_and_a_wrong_length: (
        Request::new("POST", "/x?y").with_header("b", "2").with_header("a", "1").with_header("b", "3")
            .with_header("content-length", "99").with_header("connection", "close").with_body("abc"),
        "POST /x?y HTTP/1.1\r\nhost: upstream\r\na: 1\r\nb: 2\r\nb: 3\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc",
    ),
}

#[test]
fn a_finished_connection_sends_nothing() {
    let script = Script::new([""], End::Close);
    let mut connection = Connection::new(script.clone(), LIMITS);
    let request = Request::new("GET", "/").with_header("host", "a");
    async_io::block_on(async {
        assert!(connection.send(&request).await.is_err());
        let sent = script.written().len();
        assert!(matches!(connection.send(&request).await, Err(Error::NotSent(_))));
        assert_eq!(script.written().len(), sent);
    });
}

#[test]
fn an_unasked_answer_makes_a_connection_unsound() {
    async_io::block_on(async {
        let quiet = Script::new([""], End::Silence);
        assert!(Connection::new(quiet, LIMITS).is_sound().await);
        let closed = Script::new([""], End::Close);
        assert!(!Connection::new(closed, LIMITS).is_sound().await);
        let late = Script::new(["HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"], End::Silence);
        assert!(!Connection::new(late, LIMITS).is_sound().await);
    });
}

#[test]
fn a_request_that_cannot_be_sent_is_not_sent() {
    let bad = [
        Request::new("GET", "/a b"),
        Request::new("GET", "no-path"),
        Request::new("BREW", "/"),
        Request::new("GET", "/").with_header("x", "a\r\nb: c"),
        Request::new("GET", "/").with_header("x y", "a"),
    ];
    for request in bad {
        let script = Script::new([""], End::Close);
        let mut connection = Connection::new(script.clone(), LIMITS);
        let result = async_io::block_on(connection.send(&request));
        assert!(matches!(result, Err(Error::NotSent(_))), "{result:?}");
        assert_eq!(script.written(), "");
    }
}

#[test]
fn nobody_listening_is_not_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let request = Request::new("GET", "/");
    let call = http::call(address, &request, LIMITS, Duration::from_secs(1));
    assert!(matches!(async_io::block_on(call), Err(Error::NotSent(_))));
}
