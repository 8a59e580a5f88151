//! One `havengate node` process and the signals that it gets.

use std::fs::{File, remove_file};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;

use havengate_core::world::Address;
use havengate_rehearsal::deployment::DeploymentMachine;

use super::fleet::{LOOKS, PAUSE};

/// A node's process. It is killed when the test ends, also by a panic.
pub struct NodeProcess {
    process: Child,
}

impl NodeProcess {
    /// Starts the node of `machine`; its log goes to a file of the build's folder for temporary files.
    pub fn start(machine: &DeploymentMachine, platform: Address, seeds: &[Address]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_havengate"));
        command.args(["node", "--zone", machine.zone.as_str(), "--log-level", "info"]);
        command.args(["--callers-address", &machine.callers_address.to_string()]);
        command.args(["--operators-address", &machine.operators_address.to_string()]);
        command.args(["--peers-address", &machine.peers_address.to_string()]);
        command.args(["--platform-address", &platform.to_string()]);
        for seed in seeds {
            command.args(["--seed", &seed.to_string()]);
        }
        let process = command.stdin(Stdio::null()).stderr(log_file(machine)).spawn().expect("the node starts");
        NodeProcess { process }
    }

    /// Ends the process without notice (SIGKILL).
    pub fn kill(mut self) {
        self.process.kill().expect("the node is killed");
        self.process.wait().expect("the node's end");
    }

    /// Sends a signal, by its short name.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.process.id().to_string()]).status();
        assert!(sent.expect("a kill command").success(), "SIG{name} is sent");
    }

    /// The exit code of the process, once it has ended by itself.
    pub fn exit_code(mut self) -> Option<i32> {
        for _ in 0..LOOKS {
            if let Some(status) = self.process.try_wait().expect("the node's state") {
                return status.code();
            }
            thread::sleep(PAUSE);
        }
        panic!("the node never stops");
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail when the process has ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Removes the log that an earlier run of the test has left behind.
pub fn remove_old_log(machine: &DeploymentMachine) {
    // Fails when there is none.
    let _ = remove_file(log_path(machine));
}

/// The log of all processes that run on `machine`, one after the other.
fn log_file(machine: &DeploymentMachine) -> File {
    File::options().create(true).append(true).open(log_path(machine)).expect("a log file")
}

fn log_path(machine: &DeploymentMachine) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("process-faults-{}.log", machine.zone))
}
