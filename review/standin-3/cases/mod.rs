//! The cases, and what they share: a small deployment and its clients.

mod count;
mod crashes;
mod gang;
mod memory;
mod soak;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::judge::Judge;
use crate::json::Json;
use crate::json::quote;
use crate::node::Node;
use crate::record::Record;
use crate::runner::Kind;
use crate::runner::Ledger;
use crate::runner::Runner;
use crate::store::Store;
use crate::wire;
use crate::wire::Server;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Plays a case; returns the exit code.
pub fn play(case: &str, dir: &str, trouble: bool, seed: u64) -> i32 {
    let record = Record::open(dir);
    record.tell(&format!("case {case}, trouble {trouble}, seed {seed}"));
    let code = match case {
        "count" => count::play(&record, trouble, seed),
        "soak" => soak::play(&record, trouble, seed),
        "gang" => gang::play(&record, trouble, seed),
        "memory" => memory::play(&record, trouble, seed),
        "crashes" => crashes::play(&record, trouble, seed),
        _ => NOT_RUN,
    };
    let result = ["the rule held", "the rule was broken", "the case could not run"][code as usize];
    record.tell(&format!("result {code}: {result}"));
    code
}

/// A queue of a service.
pub struct Queue {
    pub service: &'static str,
    pub max_attempts: u32,
}

/// A small deployment.
pub struct Site {
    pub record: Record,
    pub ledger: Ledger,
    pub judge: Arc<Judge>,
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    _servers: Vec<Arc<Server>>,
    seed: u64,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts the store, runners (service, number, kind) and nodes, and waits until all nodes are ready.
    pub fn open(
        record: &Record,
        queues: &[Queue],
        runners: &[(&str, usize, Kind)],
        nodes: usize,
        memory_mb: u64,
        seed: u64,
    ) -> Option<Self> {
        let [a, b, c] = wire::subnet();
        let ip = |last: u8| Ipv4Addr::new(a, b, c, last);
        let ledger = Ledger::default();
        let judge = Arc::new(Judge::new(record));
        let addresses: Vec<SocketAddr> = (0..nodes).map(|_| wire::free_port(ip(2))).collect();
        let (store, servers) = Store::open(&addresses);
        let routes: Vec<String> = queues
            .iter()
            .map(|Queue { service, max_attempts }| {
                format!(
                    "{{\"name\":\"q-{service}\",\"hostname\":\"{service}.example\",\"prefix\":\"/{service}/\",\
                     \"type\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":600,\"priority\":0,\
                     \"service\":\"{service}\",\"maxAttempts\":{max_attempts},\"stretch\":1.6}}"
                )
            })
            .collect();
        let services: Vec<String> = queues
            .iter()
            .map(|Queue { service, .. }| {
                format!("{{\"name\":\"{service}\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"admissionCheck\":true}}")
            })
            .collect();
        let config = format!(
            "{{\"version\":3,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144}}}}",
            routes.join(","),
            services.join(",")
        );
        store.put("op", "config", &config);
        let mut all = Vec::new();
        for (service, count, kind) in runners {
            for _ in 0..*count {
                let index = all.len();
                let address = wire::free_port(ip(3));
                let id = format!("i-{service}-{index}");
                all.push(Runner::open(&id, service, address, kind.clone(), &store, &ledger, &judge, record));
            }
        }
        let folder = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let text = folder.to_string_lossy().into_owned();
        let nodes: Vec<Node> = (0..nodes)
            .map(|index| {
                let ip = ip(10 + index as u8);
                Node::start(&format!("front-{}", index + 1), ip, addresses[index], memory_mb, &text)
            })
            .collect();
        let site = Self {
            record: record.clone(),
            ledger,
            judge,
            store,
            runners: all,
            nodes,
            folder,
            _servers: servers,
            seed,
        };
        let ready = site.nodes.iter().all(|node| node.wait_ready(Duration::from_secs(10)));
        record.tell(&format!("{} nodes, ready: {ready}", site.nodes.len()));
        ready.then_some(site)
    }

    /// Copies the nodes' logs to a folder, for whoever looks for the cause.
    pub fn keep_logs(&self) {
        let Ok(target) = std::env::var("LOGS") else { return };
        let _ = std::fs::create_dir_all(&target);
        for entry in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let _ = std::fs::copy(entry.path(), PathBuf::from(&target).join(entry.file_name()));
        }
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.front).collect()
    }

    /// A number below `most`, from the seed.
    pub fn draw(&mut self, most: u64) -> u64 {
        draw(&mut self.seed, most)
    }
}

/// A number below `most`, from a state that it changes.
pub fn draw(state: &mut u64, most: u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % most.max(1)
}

/// What became of a job's submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Accepted,
    Rejected,
    Unknown,
}

/// Submits a job like a client of the pages: the same name again, at another node, after no answer, 502 or 504.
pub fn submit(fronts: &[SocketAddr], record: &Record, service: &str, id: &str, body: &str, tries: usize) -> Fate {
    let host = format!("{service}.example");
    let mut fate = Fate::Rejected;
    for index in 0..tries {
        let first = id.bytes().map(usize::from).sum::<usize>();
        let front = fronts[(first + index) % fronts.len()];
        let headers = [("host", host.as_str()), ("content-type", "application/json"), ("x-deadline-ms", "3000")];
        let target = format!("/{service}/{id}");
        let answer = wire::call(front, "POST", &target, &headers, body, Duration::from_secs(3));
        let status = answer.map(|(status, _)| status);
        record.say(&format!("POST {id} at {front}: {status:?}"));
        match status {
            Some(200..=299) => return Fate::Accepted,
            Some(429 | 503) => std::thread::sleep(Duration::from_millis(500)),
            Some(400..=499) => return Fate::Rejected,
            _ => fate = Fate::Unknown,
        }
    }
    fate
}

/// Asks for the state of a job at one node after the other; none if no node tells.
pub fn state(fronts: &[SocketAddr], record: &Record, service: &str, id: &str, tries: usize) -> Option<String> {
    let host = format!("{service}.example");
    for index in 0..tries {
        let front = fronts[index % fronts.len()];
        let headers = [("host", host.as_str()), ("x-deadline-ms", "2000")];
        let target = format!("/{service}/{id}");
        let answer = wire::call(front, "GET", &target, &headers, "", Duration::from_secs(2));
        match answer {
            Some((200, body)) => {
                let state = Json::parse(body.as_bytes()).map(|it| it.get("state").text().to_owned());
                record.say(&format!("GET {id} at {front}: 200 {}", state.clone().unwrap_or_default()));
                return state;
            }
            Some((410, _)) => {
                record.say(&format!("GET {id} at {front}: 410"));
                return Some("missing".to_owned());
            }
            other => {
                record.say(&format!("GET {id} at {front}: {:?}", other.map(|(status, _)| status)));
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    }
    None
}

/// Asks a node for the number of waiting jobs of a queue.
pub fn count(front: SocketAddr, record: &Record, service: &str) -> Option<u64> {
    let host = format!("{service}.example");
    let headers = [("host", host.as_str()), ("x-deadline-ms", "2000")];
    let answer = wire::call(front, "GET", &format!("/{service}/"), &headers, "", Duration::from_secs(2));
    record.say(&format!("GET /{service}/ at {front}: {answer:?}"));
    let (200, body) = answer? else { return None };
    Json::parse(body.as_bytes()).and_then(|it| it.get("numWaiting").number()).map(|it| it as u64)
}

/// The body of a job: what its tasks do, and its steps.
pub fn body(spec: &str, phases: &str, rest: &str) -> String {
    format!("{{\"spec\":{},\"phases\":[{phases}]{rest}}}", quote(spec))
}

/// Jobs that clients have submitted, by name.
pub type Jobs = Arc<Mutex<Vec<(String, Fate)>>>;
