//! `havengate-rehearsal live`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use havengate_node::logging;
use havengate_node::settings::LogSettings;
use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::live::Cluster;

/// Options of `live`.
#[derive(Clone, Debug, Bpaf)]
pub struct LiveOptions {
    /// The deployment file, for example examples/trag.toml
    #[bpaf(argument("FILE"))]
    deployment: PathBuf,
    /// Ends after this many seconds; without it, runs until it is interrupted
    #[bpaf(argument("N"))]
    seconds: Option<u64>,
}

/// Runs a deployment.
pub fn run(options: &LiveOptions) -> ExitCode {
    if let Err(error) = logging::start(&LogSettings::default()) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let started = Deployment::load(&options.deployment)
        .map_err(|error| error.to_string())
        .and_then(|deployment| Cluster::start(deployment).map_err(|error| error.to_string()));
    match started {
        Ok(cluster) => {
            println!("ready: {} nodes, {} engines", cluster.nodes.len(), cluster.engines.len());
            thread::sleep(options.seconds.map_or(Duration::MAX, Duration::from_secs));
            cluster.stop();
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
