//! Holds what callers were told against what the upstreams ran, request by request.

use std::time::Duration;

use fleet::config::Repeat;
use standin::caller::Told;
use standin::upstream::Ledger;

use super::Report;
use super::Site;
use super::load::Sent;
use super::monitor::Seen;

/// How long after it began to drain an upstream may still be sent new work.
const LEAVING: Duration = Duration::from_secs(3);

/// Checks a run.
pub(super) fn check(site: &Site, sent: &[Sent], seen: &Seen) -> Report {
    let instances = site.all_instances();
    let ledgers: Vec<_> = instances.iter().map(|each| each.upstream.ledger()).collect();
    let mut report = Report {
        breaches: seen.breaches.clone(),
        short_looks: seen.short_looks,
        reversals: seen.reversals.clone(),
        buffer: seen.held as f64 / f64::from(seen.looks.max(1)),
        moves: seen.moves,
        restarts: site.restarts(),
        cut_off: site.cut_off(),
        ..Report::default()
    };
    for sent in sent {
        count(&mut report, sent);
        check_service(&mut report, sent, &ledgers, site.was_silenced());
    }
    for (instance, ledger) in instances.iter().zip(&ledgers) {
        if ledger.last_after_drain.is_some_and(|late| late > LEAVING) {
            report.late.push(instance.listed.name.clone());
        }
    }
    for (name, (began, done)) in &seen.waves {
        report.waves.insert(name.clone(), done.map(|done| done.saturating_sub(*began)));
    }
    report
}

fn count(report: &mut Report, sent: &Sent) {
    report.requests += sent.report.told.len();
    report.ran += sent.report.count(Told::Ran);
    report.failed += sent.report.count(Told::Failed);
    report.not_run += sent.report.count(Told::NotRun) + sent.report.count(Told::NotSent);
    report.unknown += sent.report.count(Told::Unknown);
    report.no_answer += sent.report.count(Told::CutOff);
    let latency = |share| sent.report.latency(share).as_millis() as u64;
    report.p50_ms = report.p50_ms.max(latency(0.50));
    report.p99_ms = report.p99_ms.max(latency(0.99));
}

fn check_service(report: &mut Report, sent: &Sent, ledgers: &[Ledger], silenced: bool) {
    for (id, (told, _)) in &sent.report.told {
        let runs: u32 = ledgers.iter().map(|ledger| ledger.runs(id)).sum();
        let broken = broken(*told, runs, sent.repeat, silenced);
        if let Some(promise) = broken {
            report.broken.push(format!("{id}: {promise}; told {told:?}, ran {runs} times"));
        }
    }
}

/// The promise that is broken where a request that ran so often was told this.
fn broken(told: Told, runs: u32, repeat: Repeat, silenced: bool) -> Option<&'static str> {
    let once = repeat != Repeat::Idempotent;
    match told {
        _ if once && runs > 1 => Some("ran more than once"),
        Told::Crossed => Some("got another's answer, or half of its own"),
        Told::Ran | Told::Failed if runs == 0 => Some("was said to have run and did not"),
        Told::NotRun | Told::NotSent if runs > 0 => Some("was said not to have run and did"),
        Told::CutOff if !silenced => Some("was cut off"),
        _ => None,
    }
}
