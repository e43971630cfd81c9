//! The table of error kinds in docs/CALLERS.md matches the code.

use fleet::error::Kind;

const PAGE: &str = include_str!("../../../docs/CALLERS.md");

fn cells(line: &str) -> Vec<&str> {
    line.trim_matches('|').split('|').map(str::trim).collect()
}

#[test]
fn the_page_lists_the_error_kinds_of_the_code() {
    let rows: Vec<_> = PAGE
        .lines()
        .skip_while(|line| !line.starts_with("| kind |"))
        .skip(2)
        .take_while(|line| line.starts_with('|'))
        .map(|line| cells(line)[..5].join(" "))
        .collect();
    let expected: Vec<_> = Kind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.response();
            let retry = answer.retry_after_secs.map_or("-".to_owned(), |secs| secs.to_string());
            let repeat = if answer.safe_to_retry { "yes" } else { "no" };
            format!("`{kind}` {} `{}` {retry} {repeat}", answer.status, answer.outcome)
        })
        .collect();
    assert_eq!(rows, expected);
}
