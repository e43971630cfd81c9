//! Checks the refusal of each invalid request and the outcome of each invalid response.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use cases::cases;
use contract::Call;
use contract::Client;
use contract::Lease;
use contract::Moment;
use contract::Outcome;
use contract::Reason;
use contract::Target;
use http::Request;

const TIMEOUT: Duration = Duration::from_millis(300);

fn invalid_request_is_refused(case: (&str, &str, &str, Reason)) {
    let (method, path, body, reason) = case;
    let request = Request::new(method, format!("/.knapweedsail/{path}")).with_body(body);
    let refusal =
        Call::read(&request).expect("a path of the contract").expect_err("an invalid request");
    assert_eq!(refusal.refused, reason);
    let response = contract::answer::<()>(Err(refusal));
    assert_eq!(response.status, reason.status());
    assert_eq!(response.headers.get("knapweedsail-outcome"), Some("not-run"));
}

cases! {
    invalid_request_is_refused;
    unknown_path: ("GET", "secrets", "", Reason::NoSuchPath),
    wrong_method: ("GET", "drain", "", Reason::NoSuchPath),
    no_body: ("POST", "drain", "", Reason::Malformed),
    wrong_type: ("POST", "drain", r#"{"epoch":"7","draining":true}"#, Reason::Malformed),
    negative_epoch: ("POST", "drain", r#"{"epoch":-1,"draining":true}"#, Reason::Malformed),
    missing_field: ("POST", "attempts/stop", r#"{"job":"a","epoch":1}"#, Reason::Malformed),
    not_json: ("POST", "lease", "lease please", Reason::Malformed),
    array: ("POST", "attempts/start", "[1,2]", Reason::Malformed),
}

#[test]
fn unknown_fields_are_ignored() {
    let body = r#"{"job":"a","number":1,"epoch":2,"colour":"red"}"#;
    let request = Request::new("POST", "/.knapweedsail/attempts/stop").with_body(body);
    let target = Target { job: "a".to_owned(), number: 1, epoch: 2 };
    assert_eq!(Call::read(&request), Some(Ok(Call::Stop(target))));
}

#[test]
fn an_oversized_body_is_refused() {
    let body = vec![b' '; contract::MAX_BODY_BYTES + 1];
    let request = Request::new("POST", "/.knapweedsail/drain").with_body(body);
    let refusal =
        Call::read(&request).expect("a path of the contract").expect_err("an oversized body");
    assert_eq!(refusal.refused, Reason::Malformed);
}

#[test]
fn service_requests_are_left_to_the_service() {
    assert_eq!(Call::read(&Request::new("GET", "/bookings/")), None);
}

#[test]
fn calls_round_trip_through_requests() {
    let target = Target { job: "a".to_owned(), number: 3, epoch: 9 };
    for call in [Call::Health, Call::Report, Call::Forget(target.clone()), Call::Stop(target)] {
        assert_eq!(Call::read(&call.to_request()), Some(Ok(call)));
    }
}

#[test]
fn commands_become_calls_and_reports_become_facts() {
    use fleet::job::Command;
    let lease = Lease::default();
    let stop = Command::Stop { job: "a".to_owned(), number: 2 };
    let target = Target { job: "a".to_owned(), number: 2, epoch: 5 };
    assert_eq!(Call::from_command(stop, 5, lease), Call::Stop(target));
    let report = contract::Report { age_ms: 1_500, ..contract::Report::default() };
    let fact = report.to_fact(fleet::key::Instance::default(), fleet::time::Time::from_secs(9));
    assert_eq!(fact.taken, fleet::time::Time::from_millis(7_500));
}

#[test]
fn a_call_about_the_instance_is_refused_as_a_command() {
    let client = Client::new(instance(""), TIMEOUT);
    assert!(async_io::block_on(client.command(Call::Health)).is_refused());
}

fn lease_validity(case: (u64, u64, bool)) {
    let (boot, uptime_ms, valid) = case;
    let lease = Lease::new(Moment { boot: 7, uptime_ms: 1_000 }, Duration::from_secs(2));
    assert_eq!(lease.is_valid_at(Moment { boot, uptime_ms }), valid);
}

cases! {
    lease_validity;
    lease_is_valid_just_before_its_end: (7, 2_999, true),
    lease_expires_at_its_end: (7, 3_000, false),
    lease_of_another_boot_is_never_valid: (8, 1_500, false),
}

/// Starts an instance that accepts one connection, writes `response` and closes it.
fn instance(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 4096];
        let _ = stream.read(&mut head);
        let _ = stream.write_all(response.as_bytes());
    });
    address
}

fn response_gives_outcome(case: (&'static str, &str)) {
    let (response, expected) = case;
    let client = Client::new(instance(response), TIMEOUT);
    let target = Target { job: "a".to_owned(), number: 1, epoch: 1 };
    let outcome = match async_io::block_on(client.stop(target)) {
        Outcome::Done(_) => "done",
        Outcome::Refused(_) => "refused",
        Outcome::Unknown(_) => "unknown",
    };
    assert_eq!(outcome, expected);
}

cases! {
    response_gives_outcome;
    a_complete_response_is_done: (
        "HTTP/1.1 200 OK\r\ncontent-length: 42\r\n\r\n{\"job\":\"a\",\"number\":1,\"phase\":\"stopped\"}  ",
        "done",
    ),
    a_response_about_another_job_is_unknown: (
        "HTTP/1.1 200 OK\r\ncontent-length: 42\r\n\r\n{\"job\":\"b\",\"number\":1,\"phase\":\"stopped\"}  ",
        "unknown",
    ),
    a_refusal_is_refused: (
        "HTTP/1.1 409 Conflict\r\ncontent-length: 23\r\n\r\n{\"refused\":\"old-epoch\"}",
        "refused",
    ),
    a_reason_of_a_newer_version_is_refused: (
        "HTTP/1.1 409 Conflict\r\ncontent-length: 23\r\n\r\n{\"refused\":\"too-sunny\"}",
        "refused",
    ),
    an_error_of_an_intermediary_is_unknown: (
        "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 4\r\n\r\noops",
        "unknown",
    ),
    an_empty_response_is_unknown: ("", "unknown"),
    a_truncated_response_is_unknown: ("HTTP/1.1 200 OK\r\ncontent-length: 42\r\n\r\n{\"job\"", "unknown"),
}

#[test]
fn a_refused_connection_is_a_refusal() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let outcome = async_io::block_on(Client::new(address, TIMEOUT).health());
    assert!(matches!(outcome, Outcome::Refused(refusal) if refusal.refused == Reason::NotSent));
}

#[test]
fn an_unresponsive_instance_is_unknown_after_the_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let outcome = async_io::block_on(Client::new(address, TIMEOUT).health());
    assert!(outcome.is_unknown());
}
