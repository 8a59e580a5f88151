//! How long a message between nodes may take: as long as bytes pass, a narrow link is no reason to begin it anew.

use std::time::Duration;

use havengate_core::replication::PackedUpdate;
use havengate_core::routing::ConfigurationNumber;
use havengate_relay::control::{Patience, PeersError, Progress, read_message};
use havengate_wire::{LENGTH_BYTES, frame_of};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::time::sleep;

const PIECES: usize = 25;
const PAUSE: Duration = Duration::from_millis(100);

/// Far more than a pause, and less than all of them.
const PATIENT: Patience =
    Patience { first: Duration::from_secs(2), silence: Duration::from_secs(2), whole: Duration::from_secs(60) };

fn message() -> PackedUpdate {
    PackedUpdate { version: ConfigurationNumber(7), bytes: vec![5; 50_000] }
}

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let sender = TcpStream::connect(listener.local_addr().expect("it has an address")).await.expect("it listens");
    let (receiver, _) = listener.accept().await.expect("somebody has connected");
    (sender, receiver)
}

fn run(test: impl Future<Output = ()>) {
    Builder::new_current_thread().enable_all().build().expect("a runtime can be built").block_on(test);
}

#[test]
fn a_message_that_comes_slowly_is_read_to_its_end() {
    run(async {
        let (mut sender, mut receiver) = connection().await;
        let frame = frame_of(&message()).expect("it fits a frame");
        let send = async {
            for piece in frame.chunks(frame.len().div_ceil(PIECES)) {
                sender.write_all(piece).await.expect("the receiver reads");
                sleep(PAUSE).await;
            }
        };
        let (read, ()) = tokio::join!(read_message::<PackedUpdate>(&mut receiver, PATIENT), send);
        assert_eq!(read.expect("it is whole"), message());
    });
}

#[test]
fn a_message_that_falls_silent_is_given_up_and_how_much_had_come_is_told() {
    run(async {
        let (mut sender, mut receiver) = connection().await;
        let frame = frame_of(&message()).expect("it fits a frame");
        sender.write_all(&frame[..LENGTH_BYTES + 1_000]).await.expect("the receiver reads");
        let patience = Patience { silence: Duration::from_millis(200), ..PATIENT };
        let error = read_message::<PackedUpdate>(&mut receiver, patience).await.expect_err("it never comes whole");
        let progress = Progress { passed: 1_000, whole: Some(frame.len() - LENGTH_BYTES) };
        assert!(matches!(error, PeersError::TooSlow(told) if told == progress), "{error}");
    });
}

#[test]
fn a_peer_that_trickles_does_not_hold_its_place_for_ever() {
    run(async {
        let (mut sender, mut receiver) = connection().await;
        let frame = frame_of(&message()).expect("it fits a frame");
        let patience = Patience { whole: Duration::from_secs(1), ..PATIENT };
        let trickle = async {
            for byte in &frame {
                // The receiver has given up in the end.
                if sender.write_all(&[*byte]).await.is_err() {
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            read = read_message::<PackedUpdate>(&mut receiver, patience) => {
                assert!(matches!(read, Err(PeersError::TooSlow(_))));
            }
            () = trickle => panic!("the whole message was read"),
        }
    });
}
