//! Compares the entry with a plain pass-through proxy on the same libraries: processor time per
//! request, and added latency at mean load.

mod rig;

use std::time::Duration;

use rig::child::Proxy;
use rig::load;
use rig::site;
use standin::upstream;

/// Rounds for each proxy, of which the median counts.
const ROUNDS: usize = 3;
const UPSTREAMS: usize = 8;
/// Length of a round.
const ROUND: Duration = Duration::from_secs(2);

fn main() {
    match rig::child::role() {
        Some((role, upstreams)) if role == "plain" => rig::plain::run(upstreams),
        Some((role, upstreams)) if role == "quiet" => site::run_entry(&upstreams, "off"),
        Some((_, upstreams)) => site::run_entry(&upstreams, "info"),
        None => measure(),
    }
}

fn measure() {
    let executor = site::executor(6);
    let settings = upstream::Settings { work_ms: 0, ..upstream::Settings::default() };
    let upstreams = site::upstreams(&executor, UPSTREAMS, settings);
    let addresses: Vec<_> = upstreams.iter().map(upstream::Upstream::address).collect();
    let plain = Proxy::spawn("plain", &addresses);
    let entry = Proxy::spawn("entry", &addresses);
    let quiet = Proxy::spawn("quiet", &addresses);
    async_io::block_on(async {
        let proxies = [&plain, &entry, &quiet];
        for proxy in proxies {
            load::closed(&executor, proxy.address, 16, Duration::from_millis(500)).await;
        }
        let mut cost = [Vec::new(), Vec::new(), Vec::new()];
        let mut rate = [Vec::new(), Vec::new(), Vec::new()];
        for _ in 0..ROUNDS {
            for (index, proxy) in proxies.into_iter().enumerate() {
                let before = proxy.cpu();
                let measured = load::closed(&executor, proxy.address, 32, ROUND).await;
                assert_eq!(measured.failed, 0, "every request is answered");
                let cpu = proxy.cpu() - before;
                cost[index].push(cpu * 1e6 / measured.requests as f64);
                rate[index].push(measured.requests as f64 / measured.took.as_secs_f64());
            }
        }
        let [plain_cost, entry_cost, quiet_cost] = cost.map(rig::median);
        let [plain_rate, entry_rate, _] = rate.map(rig::median);
        println!(
            "plain: {plain_cost:.1} us of processor time per request, {plain_rate:.0} requests/s"
        );
        println!(
            "entry: {entry_cost:.1} us of processor time per request, {entry_rate:.0} requests/s"
        );
        println!("entry without its log: {quiet_cost:.1} us of processor time per request");
        let per_core = plain_cost / entry_cost;
        rig::print_result(
            "throughput per core, entry / plain",
            per_core,
            per_core >= 0.8,
            ">= 0.8",
        );
        let wall = entry_rate / plain_rate;
        println!("throughput of one busy process, entry / plain: {wall:.3}");
    });
    latency(&executor, &addresses, &plain, &entry);
}

fn latency(
    executor: &std::sync::Arc<async_executor::Executor<'static>>,
    addresses: &[std::net::SocketAddr],
    plain: &Proxy,
    entry: &Proxy,
) {
    let rate = 300.0;
    let length = Duration::from_secs(6);
    async_io::block_on(async {
        let direct = load::open(executor, addresses[0], 8, rate, length).await;
        let through_entry = load::open(executor, entry.address, 8, rate, length).await;
        let through_plain = load::open(executor, plain.address, 8, rate, length).await;
        for (name, measured) in
            [("direct", &direct), ("plain", &through_plain), ("entry", &through_entry)]
        {
            assert_eq!(measured.failed, 0, "every request is answered");
            let (p50, p99) = (measured.quantile_ms(0.5), measured.quantile_ms(0.99));
            println!("{name}: p50 {p50:.3} ms, p99 {p99:.3} ms, {} requests", measured.requests);
        }
        let added = |quantile| through_entry.quantile_ms(quantile) - direct.quantile_ms(quantile);
        rig::print_result("added latency p50, ms", added(0.5), added(0.5) <= 0.3, "<= 0.3");
        rig::print_result("added latency p99, ms", added(0.99), added(0.99) <= 1.5, "<= 1.5");
    });
}
