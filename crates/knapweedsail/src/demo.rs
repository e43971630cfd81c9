//! The whole path on loopback: callers, an entry, upstream stand-ins, and a check of the ledger.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use entry::Entry;
use fleet::view::Route;
use fleet::view::Target;
use fleet::view::Upstream;
use fleet::view::View;
use http::Limits;
use http::Request;
use serde::Serialize;
use standin::platform::Memory;
use standin::upstream;

use crate::cli::show::Show;

const REQUESTS: u32 = 100;

/// What a demo saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Requests that were answered as "ran", with the caller's own body.
    pub ran: u32,
    /// Requests that ran more than once.
    pub doubled: u32,
    /// Requests answered as "ran" that the upstream's ledger does not hold.
    pub missing: u32,
}

impl Report {
    /// Whether every promise was kept.
    pub fn kept(&self) -> bool {
        self.ran == REQUESTS && self.doubled == 0 && self.missing == 0
    }
}

impl Show for Report {
    fn show(&self) -> String {
        format!("ran={} doubled={} missing={}", self.ran, self.doubled, self.missing)
    }
}

/// Runs the demo.
pub async fn run(executor: &Arc<Executor<'static>>) -> std::io::Result<Report> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let upstream = upstream::Upstream::bind(executor, loopback, upstream::Settings::default())?;
    let settings = entry::Settings { data_centre: "lisbon-1".to_owned(), ..Default::default() };
    let entry = Entry::bind(settings, Memory::new(), view(upstream.address()))?;
    let mut report = Report::default();
    for number in 0..REQUESTS {
        let id = format!("demo-{number}");
        let request = Request::new("POST", "/doces-deepavali/confirm/orders")
            .with_header("knapweedsail-request-id", id.as_str())
            .with_body(id.as_str());
        let timeout = Duration::from_secs(5);
        let answer = http::call(entry.address(), &request, Limits::default(), timeout).await;
        if answer.is_ok_and(|answer| answer.status == 200 && answer.body == id.as_bytes()) {
            report.ran += 1;
        }
    }
    let ledger = upstream.ledger();
    report.doubled = ledger.requests.values().filter(|run| run.runs > 1).count() as u32;
    report.missing = report.ran.saturating_sub(ledger.requests.len() as u32);
    Ok(report)
}

fn view(address: SocketAddr) -> View {
    let upstream = Upstream {
        instance: "runner-1".to_owned(),
        address,
        data_centre: "lisbon-1".to_owned(),
        standing: fleet::view::Standing::Open,
        pool: "confirm".to_owned(),
        used_elsewhere: 0,
    };
    let route = Route { organisation: "doces-deepavali".to_owned(), service: "confirm".to_owned() };
    let target = Target { upstreams: vec![upstream], ..Target::default() };
    View { entries: 1, targets: BTreeMap::from([(route, target)]), ..View::default() }
}
