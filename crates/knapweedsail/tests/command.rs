//! What can be typed is understood, and what can't ends with a clear word.

use bpaf::Args;
use cases::cases;
use knapweedsail::cli::Command;
use knapweedsail::cli::command;

fn parse(line: &str) -> Result<Command, String> {
    let words: Vec<_> = line.split_whitespace().collect();
    command().run_inner(Args::from(words.as_slice())).map_err(|failure| failure.unwrap_stderr())
}

fn is_understood(line: &str) {
    parse(line).unwrap_or_else(|error| panic!("{line}: {error}"));
}

cases! {
    is_understood;
    demo: "demo --seed 7 --json",
    status: "status --entry 127.0.1.1:8001 --output json",
    two_entries: "status --entry 127.0.1.1:8001 --entry 127.0.2.1:8001",
    replay: "replay --policy 3:1:1 --output json traces/lisbon-pre-order-peak.jsonl",
    pools: "pool",
    teams: "team --output text",
    template_list: "template list",
    template_show: "template show doces-deepavali",
    template_render: "template render --output json examples/doces-deepavali.json",
    template_diff: "template diff examples/doces-deepavali.json",
    template_apply: "template apply --seen 4 --wait 18 examples/doces-deepavali.json",
    template_dry_run: "template apply --dry-run examples/doces-deepavali.json",
    template_set: "template set doces-deepavali kitchen size=11 min_ready=8",
    template_schema: "template schema",
    config_show: "config show",
    config_history: "config history --limit 5",
    config_wait: "config wait --wait 18 12",
    instance_list: "instance list",
    instance_drain: "instance drain --author maria --operation 7f worker-3",
    instance_move: "instance move worker-3 kitchen",
    instance_return: "instance return worker-3",
    wave_start: "wave start doces-deepavali monthly-reboot",
    wave_pause: "wave pause doces-deepavali monthly-reboot",
    wave_resume: "wave resume doces-deepavali monthly-reboot",
    wave_abort: "wave abort doces-deepavali monthly-reboot",
    wave_watch: "wave watch doces-deepavali monthly-reboot",
    job_submit: "job submit doces-deepavali sweets batch-plan plan-17",
    job_cancel: "job cancel plan-17 plan-18",
    job_list: "job list --organisation doces-deepavali",
    job_explain: "job explain plan-17",
    job_resolve: "job resolve plan-17 run-again",
    settings_check: "settings check examples/settings.json",
    settings_schema: "settings schema",
}

/// A line, and a word that the refusal has.
fn is_refused((line, word): (&str, &str)) {
    let error = parse(line).expect_err("it can't be understood");
    assert!(error.contains(word), "{line}: {error}");
}

cases! {
    is_refused;
    unknown_command: ("wav list", "wav"),
    address_without_port: ("status --entry 127.0.1.1", "127.0.1.1"),
    unknown_output: ("status --output yaml", "text or json"),
    set_without_parameters: ("template set doces-deepavali kitchen", "parameter"),
    cancel_without_names: ("job cancel", "name"),
    unknown_resolution: ("job resolve plan-17 maybe", "run-again"),
    wave_without_name: ("wave start doces-deepavali", "WAVE"),
}
