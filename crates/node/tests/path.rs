//! The whole path of a job: caller, frontend, leader, store and instances.

mod site;

use http::Request;
use serde_json::Value;
use serde_json::json;
use site::job;
use site::long_running;
use site::name;
use site::run;

#[test]
fn a_job_runs_to_completion() {
    run(2, |site| async move {
        site.ready().await;
        assert_eq!(site.submit(0, &name(1), &job(5)).await.status, 200);
        site.until_state(0, &name(1), "completed").await;
        assert!(site.platform.monitor.borrow().is_done(&name(1)));
        assert_eq!(site.platform.monitor.borrow().starts, 6);
        site.check();
    });
}

#[test]
fn any_node_accepts_jobs_and_returns_their_state() {
    run(2, |site| async move {
        site.start("two");
        site.ready().await;
        for number in 0..10 {
            let index = number as usize % 2;
            assert_eq!(site.submit(index, &name(number), &job(2)).await.status, 200);
        }
        for number in 0..10 {
            let index = (number as usize + 1) % 2;
            site.until_state(index, &name(number), "completed").await;
        }
        site.check();
    });
}

#[test]
fn a_repeated_submission_remains_one_job_even_with_another_body() {
    run(1, |site| async move {
        site.ready().await;
        assert_eq!(site.submit(0, &name(1), &job(2)).await.status, 200);
        assert_eq!(site.submit(0, &name(1), &job(7)).await.status, 200);
        site.until_state(0, &name(1), "completed").await;
        assert_eq!(site.submit(0, &name(1), &job(2)).await.status, 200);
        assert_eq!(site.platform.monitor.borrow().starts, 3);
        site.check();
    });
}

#[test]
fn a_cancel_stops_running_tasks() {
    run(1, |site| async move {
        site.ready().await;
        site.submit(0, &name(1), &long_running(3)).await;
        site.until(async || site.platform.monitor.borrow().running(&name(1)) == 3).await;
        let cancel = Request::new("DELETE", format!("/oven/{}", name(1)));
        assert_eq!(site.call(0, cancel).await.status, 200);
        assert_eq!(site.state(0, &name(1)).await, "cancelled");
        site.until(async || site.platform.monitor.borrow().running(&name(1)) == 0).await;
        let unknown = Request::new("DELETE", format!("/oven/{}", name(2)));
        assert_eq!(site.call(0, unknown).await.status, 410);
        site.check();
    });
}

#[test]
fn a_submission_is_refused_while_the_store_is_down() {
    run(1, |site| async move {
        site.ready().await;
        site.platform.store.down.set(true);
        let refused = site.submit(0, &name(1), &job(1)).await;
        assert_eq!(refused.status, 503);
        let retry = refused.headers.get("retry-after").and_then(|text| text.parse::<u64>().ok());
        assert!(retry.is_some_and(|retry| retry >= 1), "{refused:?}");
        site.platform.store.down.set(false);
        site.until(async || site.submit(0, &name(2), &job(1)).await.status == 200).await;
        site.until_state(0, &name(2), "completed").await;
        assert_eq!(site.state(0, &name(1)).await, "410");
        assert_eq!(site.platform.monitor.borrow().starts, 2);
        site.check();
    });
}

#[test]
fn the_outcome_of_a_write_is_found_out_after_its_answer_is_lost() {
    run(1, |site| async move {
        site.ready().await;
        site.platform.store.drops_answers.set(true);
        let sent = site.submit(0, &name(1), &job(2)).await;
        assert!(matches!(sent.status, 0 | 503 | 504), "{sent:?}");
        site.platform.store.drops_answers.set(false);
        site.until(async || site.submit(0, &name(1), &job(2)).await.status == 200).await;
        site.until_state(0, &name(1), "completed").await;
        assert_eq!(site.platform.monitor.borrow().starts, 3);
        site.check();
    });
}

/// Jobs are accepted although each write has to be sent twice, and callers wait for less than the
/// timeout of a call to the store.
#[test]
fn a_store_that_loses_answers_still_takes_jobs() {
    run(1, |site| async move {
        site.ready().await;
        site.platform.store.loses_first_answers.set(true);
        for number in 0..5 {
            let request = Request::new("POST", format!("/oven/{}", name(number)));
            let request = request
                .with_header("x-deadline-ms", "900")
                .with_header("content-type", "application/json");
            site.platform.monitor.borrow_mut().submitted.insert(name(number), job(1));
            let answer = site.call(0, request.with_body(job(1).to_string())).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        for number in 0..5 {
            site.until_state(0, &name(number), "completed").await;
        }
        assert_eq!(site.platform.monitor.borrow().starts, 10);
        site.check();
    });
}

/// An instance numbers ended runs anew after each restart. A heartbeat that acknowledges numbers
/// from before the restart must not make the instance forget runs that have ended since.
#[test]
fn runs_that_end_after_a_restart_are_reported() {
    run(1, |site| async move {
        site.ready().await;
        for number in 0..8 {
            site.submit(0, &name(number), &job(5)).await;
            site.until_state(0, &name(number), "completed").await;
        }
        site.platform.instances[0].task_duration.set(std::time::Duration::from_millis(5));
        for number in 10..20 {
            site.platform.instances[0].restart();
            assert_eq!(site.submit(0, &name(number), &job(5)).await.status, 200);
            site.until_state(0, &name(number), "completed").await;
            site.check();
        }
    });
}

#[test]
fn another_node_takes_over_running_tasks() {
    run(3, |site| async move {
        site.ready().await;
        site.start("two");
        site.ready().await;
        for instance in &site.platform.instances {
            instance.task_duration.set(std::time::Duration::from_millis(1_500));
        }
        site.submit(1, &name(1), &long_running(4)).await;
        site.submit(1, &name(2), &job(6)).await;
        site.until(async || site.platform.monitor.borrow().running(&name(2)) == 6).await;
        let before = site.platform.monitor.borrow().starts;
        site.kill(0);
        site.until_state(0, &name(2), "completed").await;
        let monitor = site.platform.monitor.borrow();
        assert_eq!(monitor.running(&name(1)), 4);
        assert_eq!(monitor.starts, before + 1, "running tasks were adopted, not started again");
        drop(monitor);
        site.check();
    });
}

#[test]
fn commands_whose_answers_are_lost_take_effect_once() {
    run(2, |site| async move {
        site.ready().await;
        site.platform.instances[0].drops_answers.set(true);
        assert_eq!(site.submit(0, &name(1), &job(4)).await.status, 200);
        site.until(async || site.platform.monitor.borrow().starts >= 4).await;
        site.platform.instances[0].drops_answers.set(false);
        site.until_state(0, &name(1), "completed").await;
        site.check();
    });
}

#[test]
fn tasks_of_a_restarted_instance_are_started_again() {
    run(1, |site| async move {
        site.ready().await;
        site.platform.instances[0].task_duration.set(std::time::Duration::from_millis(800));
        site.submit(0, &name(1), &job(3)).await;
        site.until(async || site.platform.instances[0].runs() == 3).await;
        site.platform.instances[0].restart();
        site.until_state(0, &name(1), "completed").await;
        site.check();
    });
}

#[test]
fn a_newer_configuration_is_in_force_although_the_history_was_dropped() {
    run(1, |site| async move {
        site.ready().await;
        site.platform.store.drop_history();
        site.platform.configure(&[("oven", 1), ("till", 0)]);
        site.until(async || site.call(0, Request::new("GET", "/till/")).await.status == 200).await;
        site.platform.store.drop_history();
        site.platform.configure(&[("oven", 1)]);
        site.until(async || site.call(0, Request::new("GET", "/till/")).await.status == 404).await;
    });
}

#[test]
fn invalid_entries_of_other_writers_are_skipped() {
    run(1, |site| async move {
        site.platform.store.put("servers", "x-1", &json!({ "service": "oven" }));
        site.platform.store.put("servers", "x-2", &json!(["nothing", 7]));
        site.platform.store.put(
            "servers",
            "x-3",
            &json!({
                "service": "oven", "address": 5, "zone": "a", "state": "ready", "labels": [],
                "capacity": { "cpu": 8_000 }, "sequence": 1,
            }),
        );
        site.platform.store.put("op", "config-of-others", &json!("text"));
        site.ready().await;
        site.submit(0, &name(1), &job(2)).await;
        site.until_state(0, &name(1), "completed").await;
        site.check();
    });
}

#[test]
fn the_count_of_a_queue_is_its_number_of_waiting_jobs() {
    run(1, |site| async move {
        site.ready().await;
        site.platform.instances[0].task_duration.set(std::time::Duration::from_secs(60));
        site.submit(0, &name(1), &long_running(8)).await;
        site.until(async || site.platform.instances[0].runs() == 8).await;
        for number in 2..5 {
            assert_eq!(site.submit(0, &name(number), &job(1)).await.status, 200);
        }
        let count = site.call(0, Request::new("GET", "/oven/")).await;
        let count: Value = serde_json::from_slice(&count.body).expect("JSON");
        assert_eq!(count["numWaiting"], 3);
    });
}
