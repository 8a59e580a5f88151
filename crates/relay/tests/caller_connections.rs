//! The connections of callers that are open at once.

use havengate_relay::callers::connections::{CallerConnections, ConnectionRequest};

#[tokio::test]
async fn the_connection_without_progress_for_longest_is_evicted_for_a_new_one() {
    let connections = CallerConnections::new(3);
    let open: Vec<_> = (0..3).map(|_| connections.open().expect("there is room")).collect();
    open[0].progress().record();
    let newest = connections.open().expect("an idle one is evicted");
    open[1].closed().await;
    assert_eq!(connections.count(), 3);
    drop(open);
    assert_eq!(connections.count(), 1, "the evicted one is counted once");
    drop(newest);
    assert_eq!(connections.count(), 0);
}

/// A request that may run must not be cut off for a new connection.
#[tokio::test]
async fn a_connection_whose_request_runs_is_not_evicted() {
    let connections = CallerConnections::new(2);
    let open: Vec<_> = (0..2).map(|_| connections.open().expect("there is room")).collect();
    let requests: Vec<_> = open.iter().map(|open| ConnectionRequest::begin(open.progress())).collect();
    requests.iter().for_each(ConnectionRequest::runs);
    assert!(connections.open().is_none());
    drop(requests);
    assert!(connections.open().is_some(), "its answer is handed over");
    open[0].closed().await;
}

#[tokio::test]
async fn a_request_that_is_still_being_read_does_not_keep_its_connection() {
    let connections = CallerConnections::new(1);
    let open = connections.open().expect("there is room");
    let _request = ConnectionRequest::begin(open.progress());
    assert!(connections.open().is_some());
    open.closed().await;
}
