//! Timeouts of messages between nodes: as long as bytes arrive, a slow link must not abort and restart a transfer.

use std::time::Duration;

use havengate_core::replication::PackedUpdate;
use havengate_core::routing::ConfigurationNumber;
use havengate_relay::control::{PeersError, Progress, TransferTimeouts, read_message};
use havengate_wire::{LENGTH_BYTES, frame_of};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::time::sleep;

const PIECES: usize = 25;
const PAUSE: Duration = Duration::from_millis(100);

/// The idle timeout is far longer than one pause and shorter than all of them together.
const LONG_TIMEOUTS: TransferTimeouts = TransferTimeouts {
    first_byte: Duration::from_secs(2),
    idle: Duration::from_secs(2),
    total: Duration::from_secs(60),
};

fn message() -> PackedUpdate {
    PackedUpdate { version: ConfigurationNumber(7), bytes: vec![5; 50_000] }
}

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let sender = TcpStream::connect(listener.local_addr().expect("the listener has an address"))
        .await
        .expect("the listener accepts");
    let (receiver, _) = listener.accept().await.expect("the sender has connected");
    (sender, receiver)
}

fn run(test: impl Future<Output = ()>) {
    Builder::new_current_thread().enable_all().build().expect("a runtime can be built").block_on(test);
}

#[test]
fn a_message_that_arrives_slowly_is_read_completely() {
    run(async {
        let (mut sender, mut receiver) = connection().await;
        let frame = frame_of(&message()).expect("the message fits a frame");
        let send = async {
            for piece in frame.chunks(frame.len().div_ceil(PIECES)) {
                sender.write_all(piece).await.expect("the receiver reads");
                sleep(PAUSE).await;
            }
        };
        let (read, ()) = tokio::join!(read_message::<PackedUpdate>(&mut receiver, LONG_TIMEOUTS), send);
        assert_eq!(read.expect("the message is complete"), message());
    });
}

#[test]
fn a_message_that_stalls_times_out_and_reports_the_progress() {
    run(async {
        let (mut sender, mut receiver) = connection().await;
        let frame = frame_of(&message()).expect("the message fits a frame");
        sender.write_all(&frame[..LENGTH_BYTES + 1_000]).await.expect("the receiver reads");
        let timeouts = TransferTimeouts { idle: Duration::from_millis(200), ..LONG_TIMEOUTS };
        let error =
            read_message::<PackedUpdate>(&mut receiver, timeouts).await.expect_err("the message is never complete");
        let progress = Progress { transferred: 1_000, total: Some(frame.len() - LENGTH_BYTES) };
        assert!(matches!(error, PeersError::TooSlow(reported) if reported == progress), "{error}");
    });
}

#[test]
fn a_peer_that_sends_very_slowly_times_out() {
    run(async {
        let (mut sender, mut receiver) = connection().await;
        let frame = frame_of(&message()).expect("the message fits a frame");
        let timeouts = TransferTimeouts { total: Duration::from_secs(1), ..LONG_TIMEOUTS };
        let trickle = async {
            for byte in &frame {
                // The write fails when the receiver has closed the connection after its timeout.
                if sender.write_all(&[*byte]).await.is_err() {
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            read = read_message::<PackedUpdate>(&mut receiver, timeouts) => {
                assert!(matches!(read, Err(PeersError::TooSlow(_))));
            }
            () = trickle => panic!("the whole message was read"),
        }
    });
}
