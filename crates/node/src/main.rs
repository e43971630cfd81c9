//! The node's binary: reads options and settings, then runs a node until a signal stops it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use adapter::Settings;
use async_executor::LocalExecutor;
use bpaf::Bpaf;
use futures_lite::FutureExt;
use node::Node;
use node::budget::Activity;
use tracing::Level;
use tracing::error;
use tracing::info;

/// Serves callers, and schedules their jobs while it is the leader.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file; the platform's own location if not given
    #[bpaf(argument("PATH"), fallback_with(default_path))]
    settings: PathBuf,
    /// Level of log lines: error, warn, info, debug or trace
    #[bpaf(argument("LEVEL"), fallback(Level::INFO))]
    log: Level,
    /// Port on which metrics are served, at /metrics; not served if not given
    #[bpaf(argument("PORT"))]
    metrics: Option<u16>,
    /// Keep tasks apart that slow each other down, where there is room
    separate_images: bool,
    /// Only read the settings and report whether they are valid
    check: bool,
}

fn default_path() -> Result<PathBuf, &'static str> {
    Ok(Settings::path())
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match Settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("knapweedsail-node: {error}");
            return ExitCode::FAILURE;
        }
    };
    if options.check {
        println!("{}: settings of {} can be used", options.settings.display(), settings.node);
        return ExitCode::SUCCESS;
    }
    node::log::open(options.log);
    std::panic::set_hook(Box::new(node::contain::hook));
    let executor = Rc::new(LocalExecutor::new());
    let result = node::block_on(&executor, run(options, settings, Rc::clone(&executor)));
    if let Err(error) = &result {
        error!(event = "stop", %error);
    }
    node::log::flush();
    if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run(
    options: Options,
    settings: Settings,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let metrics = options.metrics.map(|port| SocketAddr::new(settings.ip, port));
    info!(
        event = "start",
        node = settings.node,
        zone = settings.data_centre,
        peer = %settings.rpc,
        store = %settings.store,
    );
    let node = Node::open(settings, executor);
    node.separate_images.set(options.separate_images);
    node.spawn(Activity::Log, node::log::run(Rc::clone(&node)));
    let serving = node::serve(Rc::clone(&node), metrics);
    let shutdown = async {
        node::signal::run(&node, &options.settings).await;
        node::signal::stop(&node).await;
        Ok(())
    };
    shutdown.or(serving).await
}
