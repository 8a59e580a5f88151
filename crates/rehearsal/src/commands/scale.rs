//! `havengate-rehearsal scale`.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use havengate_rehearsal::scale::{ScaleFigures, ScalePlan, ScaleShape, Spread, Window, measure};

/// Options of `scale`.
#[derive(Clone, Debug, Bpaf)]
pub struct ScaleOptions {
    /// Numbers of nodes to measure, with commas
    #[bpaf(argument::<String>("N,N,..."), parse(numbers), fallback(vec![15, 30, 100, 330]))]
    nodes: Vec<u16>,
    /// Virtual seconds in which nothing changes
    #[bpaf(argument("N"), fallback(60))]
    quiet: u64,
    /// Changes of configuration
    #[bpaf(argument("N"), fallback(20))]
    changes: u32,
    /// Nodes that are killed
    #[bpaf(argument("N"), fallback(20))]
    failures: u32,
    /// The seed; equal seeds give equal figures, but for processor time and memory
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Prints JSON, an object for each number of nodes
    json: bool,
}

/// Time between two changes of configuration; 6,100 a day come one in 14 s.
const CHANGE_INTERVAL: Duration = Duration::from_secs(14);

fn numbers(text: String) -> Result<Vec<u16>, std::num::ParseIntError> {
    text.split(',').map(str::parse).collect()
}

/// Measures control at each size.
pub fn run(options: &ScaleOptions) -> ExitCode {
    for nodes in &options.nodes {
        let plan = ScalePlan {
            shape: ScaleShape::in_proportion(*nodes),
            quiet: Duration::from_secs(options.quiet),
            changes: options.changes,
            change_interval: CHANGE_INTERVAL,
            failures: options.failures,
            seed: options.seed,
        };
        match measure(plan) {
            Ok(figures) if options.json => print_json(&figures),
            Ok(figures) => print_text(&figures),
            Err(error) => {
                eprintln!("{nodes} nodes: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn print_json(figures: &ScaleFigures) {
    match serde_json::to_string(figures) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}

fn print_text(figures: &ScaleFigures) {
    println!(
        "nodes {} zones {} engines {} pools {}: in service after {:.0} ms, {:.0} KiB a node",
        figures.nodes, figures.zones, figures.engines, figures.pools, figures.start_ms, figures.memory_kib_per_node
    );
    print_window("quiet", &figures.quiet);
    print_window("changes", &figures.changes);
    print_window("failures", &figures.failures);
    print_spread("in force everywhere", figures.in_force);
    print_spread("death known in the zone", figures.detection);
    print_spread("authority taken over", figures.takeover);
}

fn print_window(name: &str, window: &Window) {
    println!(
        "  {name:9} bytes/s a node {:.0} (most {:.0}, failure detector {:.0}), messages/s {:.1}, store calls/s in all \
         {:.2}, engine calls/s a node {:.2}, processor {:.3}% (most {:.3}%)",
        window.bytes_per_second_mean,
        window.bytes_per_second_most,
        window.membership_bytes_per_second_mean,
        window.messages_per_second_mean,
        window.store_calls_per_second,
        window.engine_calls_per_second_mean,
        window.processor_percent_mean,
        window.processor_percent_most,
    );
}

fn print_spread(name: &str, spread: Spread) {
    println!(
        "  {name}: p50 {:.0} ms, p99 {:.0} ms, longest {:.0} ms, events {}, unfinished {}",
        spread.p50_ms, spread.p99_ms, spread.max_ms, spread.events, spread.unfinished
    );
}
