//! The demo's report agrees with the upstreams' ledger.

use std::sync::Arc;

use async_executor::Executor;

#[test]
fn every_request_runs_once_and_gets_its_own_answer() {
    let executor = Arc::new(Executor::new());
    let report = async_io::block_on(executor.run(knapweedsail::demo::run(&executor)));
    assert!(report.expect("loopback is there").kept());
}
