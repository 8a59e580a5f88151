//! Log lines about the share of the peers that answer this node's questions about limits.

/// The smallest change of the share that is logged, so that single peers are not.
const LOGGED_CHANGE_MINIMUM: f64 = 0.1;

/// The share that was logged last.
#[derive(Debug)]
pub(super) struct ReachChanges {
    logged: f64,
}

impl ReachChanges {
    /// Starts with all peers answering.
    pub(super) fn new() -> Self {
        ReachChanges { logged: 1.0 }
    }

    /// Logs the share if it differs clearly from the last one, or if all peers answer again.
    pub(super) fn log(&mut self, share: f64) {
        let all_answer_again = share >= 1.0 && self.logged < 1.0;
        if !all_answer_again && (share - self.logged).abs() < LOGGED_CHANGE_MINIMUM {
            return;
        }
        self.logged = share;
        if share < 1.0 {
            log::warn!(event = "limit_share_answered", share; "");
        } else {
            log::info!(event = "limit_share_answered", share; "");
        }
    }
}
