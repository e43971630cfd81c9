//! Validation of callers' headers and targets.

use std::time::Duration;

use entry::caller;
use entry::caller::Options;
use fleet::config::Repeat;
use fleet::config::Service;
use fleet::error::Kind;
use http::Headers;

fn headers(fields: &[(&str, &str)]) -> Headers {
    let owned = fields.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    Headers::from(owned.collect::<Vec<_>>())
}

fn is_refused(fields: &[(&str, &str)]) {
    let service = Service { repeat: Repeat::Keyed, ..Service::default() };
    let mut all = vec![("idempotency-key", "k")];
    all.retain(|(name, _)| fields.iter().all(|(other, _)| other != name));
    all.extend_from_slice(fields);
    assert_eq!(Options::parse(&headers(&all), &service), Err(Kind::BadRequest));
}

cases::cases! {
    is_refused;
    deadline_zero: &[("knapweedsail-deadline-ms", "0")],
    deadline_empty: &[("knapweedsail-deadline-ms", "")],
    deadline_negative: &[("knapweedsail-deadline-ms", "-5")],
    deadline_not_a_number: &[("knapweedsail-deadline-ms", "soon")],
    priority_unknown: &[("knapweedsail-priority", "highest")],
    team_with_spaces: &[("knapweedsail-team", "a b")],
    team_empty: &[("knapweedsail-team", "")],
    key_empty: &[("idempotency-key", "")],
    key_with_slash: &[("idempotency-key", "a/b")],
    key_too_long: &[("idempotency-key", &["x"; 129].concat())],
}

#[test]
fn a_keyed_service_needs_a_key() {
    let service = Service { repeat: Repeat::Keyed, ..Service::default() };
    assert_eq!(Options::parse(&headers(&[]), &service), Err(Kind::BadRequest));
    assert!(Options::parse(&headers(&[]), &Service::default()).is_ok());
}

#[test]
fn a_deadline_is_limited_to_the_service_s_timeout() {
    let service = Service { timeout_ms: 500, ..Service::default() };
    for (text, millis) in [("99999999999999999999999", 500), ("501", 500), ("20", 20)] {
        let options = Options::parse(&headers(&[("knapweedsail-deadline-ms", text)]), &service);
        assert_eq!(options.map(|options| options.timeout), Ok(Duration::from_millis(millis)));
    }
}

#[test]
fn a_route_is_the_first_two_segments() {
    let names = |target| caller::route(target).map(|route| (route.organisation, route.service));
    assert_eq!(names("/a/b"), Some(("a".to_owned(), "b".to_owned())));
    assert_eq!(names("/a/b/c?d=/e"), Some(("a".to_owned(), "b".to_owned())));
    for none in ["/", "/a", "//b", "/a/", "/a?x=/b"] {
        assert_eq!(names(none), None, "{none}");
    }
}

#[test]
fn only_valid_request_ids_are_used() {
    let id = |id: &str| caller::request_id(&headers(&[("knapweedsail-request-id", id)])).is_some();
    assert!(id("order-17.a:b"));
    assert!(!id("") && !id("a b") && !id("a\"b") && !id(&"x".repeat(65)));
}
