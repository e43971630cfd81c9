//! Invalid requests get a clear status, store nothing, and don't affect the next request.

mod site;

use cases::cases;
use http::Request;
use serde_json::json;
use site::job;
use site::name;
use site::run;

/// An invalid request, and the expected status.
struct Invalid {
    method: &'static str,
    target: String,
    body: String,
    status: u16,
}

fn post(body: String) -> Invalid {
    Invalid { method: "POST", target: format!("/oven/{}", name(1)), body, status: 400 }
}

fn steps(steps: serde_json::Value) -> Invalid {
    post(json!({ "spec": "x", "phases": steps }).to_string())
}

cases! {
    refuses;
    an_unknown_route: Invalid { target: "/attic/0000000000000001".into(), status: 404, ..post(job(1).to_string()) },
    an_unsupported_method: Invalid { method: "PUT", status: 405, ..post(job(1).to_string()) },
    a_name_that_is_too_short: Invalid { target: "/oven/12ab".into(), ..post(job(1).to_string()) },
    a_name_of_other_digits: Invalid { target: "/oven/000000000000000g".into(), ..post(job(1).to_string()) },
    a_body_that_is_not_json: post("ladoo".into()),
    a_body_without_steps: post(json!({ "spec": "x" }).to_string()),
    a_body_that_is_too_large: Invalid { status: 413, ..post("x".repeat(300_000)) },
    a_step_after_itself: steps(json!([{ "count": 1, "after": [0] }])),
    a_step_after_a_later_one: steps(json!([{ "count": 1, "after": [1] }, { "count": 1 }])),
    a_step_after_a_missing_one: steps(json!([{ "count": 1, "after": [9] }])),
    a_count_of_zero: steps(json!([{ "count": 0 }])),
    a_count_that_is_huge: steps(json!([{ "count": 4_000_000_000_u32 }])),
    a_negative_count: steps(json!([{ "count": -1 }])),
    no_steps: steps(json!([])),
    a_payload_that_is_too_long: post(json!({ "spec": "x".repeat(4_001), "phases": [{ "count": 1 }] }).to_string()),
    the_state_of_an_unknown_job: Invalid { method: "GET", status: 410, ..post(String::new()) },
    the_state_of_an_invalid_name: Invalid { method: "GET", target: "/oven/what".into(), status: 410, ..post(String::new()) },
}

fn refuses(invalid: Invalid) {
    run(1, |site| async move {
        site.ready().await;
        let request = Request::new(invalid.method, invalid.target).with_body(invalid.body);
        let refused = site.call(0, request).await;
        assert_eq!(refused.status, invalid.status, "{refused:?}");
        assert_eq!(site.state(0, &name(1)).await, "410", "the job is not stored");
        assert_eq!(site.submit(0, &name(2), &job(1)).await.status, 200);
        site.until_state(0, &name(2), "completed").await;
        assert_eq!(site.platform.monitor.borrow().starts, 2);
    });
}

#[test]
fn an_unknown_host_is_refused() {
    run(1, |site| async move {
        site.ready().await;
        let request = Request::new("GET", "/oven/").with_header("host", "elsewhere.example");
        let limits = http::Limits::default();
        let timeout = std::time::Duration::from_secs(5);
        let answer = http::call(site.frontend(0), &request, limits, timeout).await;
        assert_eq!(answer.expect("answered").status, 404);
    });
}

#[test]
fn a_body_that_is_cut_short_stores_nothing() {
    run(1, |site| async move {
        use futures_lite::AsyncWriteExt;
        site.ready().await;
        let mut stream = http::Stream::open(site.frontend(0)).await.expect("connects");
        let body = job(1).to_string();
        let head = format!(
            "POST /oven/{} HTTP/1.1\r\nhost: site.example\r\ncontent-length: {}\r\n\r\n",
            name(1),
            body.len() + 10
        );
        stream.write_all(head.as_bytes()).await.expect("writes");
        stream.write_all(body.as_bytes()).await.expect("writes");
        drop(stream);
        assert_eq!(site.submit(0, &name(2), &job(1)).await.status, 200);
        site.until_state(0, &name(2), "completed").await;
        assert_eq!(site.state(0, &name(1)).await, "410");
    });
}
