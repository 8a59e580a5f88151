//! Nodes of this build and of the previous release run side by side, so each must decode what the other sends.
//!
//! `fixtures/wire-COMMIT.txt` contains one message of each kind as the code of that commit encoded it, one per line:
//! the name and the bytes in hex. Fields are encoded by position, without tags, so these tests detect any change of a
//! layout. A new kind gets its own sample and is missing in older records; a node that doesn't know it drops it.
//! `fixtures/record.sh COMMIT` creates a record. The record of a release is added with the next release and stays until
//! no deployment is upgraded from it.

mod wire_samples;

use std::fs;
use std::path::{Path, PathBuf};

use havengate_core::back_ends::DrainNotice;
use havengate_core::relay::{CachedParts, PeerNotice, PrefillNotice, TerminationNotice, UnreachableNotice};
use havengate_core::replication::{PeerMessage, Pull, PullAnswer};
use havengate_core::world::Address;
use havengate_wire::decode;
use speedy::{Readable, Writable};
use wire_samples::{Sample, samples};

/// The environment variable with the path of a file that the samples of this build are written to.
const RECORD_VARIABLE: &str = "HAVENGATE_RECORD_LAYOUT";

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// The messages of a previous release as it encoded them.
struct Record {
    name: String,
    /// The names and bytes of the samples.
    messages: Vec<(String, Vec<u8>)>,
}

/// The records of previous releases.
fn records() -> Vec<Record> {
    let files = fs::read_dir(fixtures()).expect("the fixtures can be listed").flatten();
    let is_record = |name: &String| name.starts_with("wire-") && name.ends_with(".txt");
    let mut names: Vec<String> =
        files.map(|file| file.file_name().to_string_lossy().into_owned()).filter(is_record).collect();
    names.sort();
    let read = |name: String| {
        let text = fs::read_to_string(fixtures().join(&name)).expect("the record can be read");
        Record { messages: text.lines().map(read_line).collect(), name }
    };
    names.into_iter().map(read).collect()
}

fn read_line(line: &str) -> (String, Vec<u8>) {
    let (name, hex) = line.split_once(' ').expect("a name and bytes");
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits in hex");
    (name.to_owned(), (0..hex.len()).step_by(2).map(byte).collect())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn each_message_has_the_layout_of_the_previous_release() {
    let samples = samples();
    if let Ok(path) = std::env::var(RECORD_VARIABLE) {
        let line = |sample: &Sample| format!("{} {}\n", sample.name, hex(&sample.bytes));
        fs::write(path, samples.iter().map(line).collect::<String>()).expect("the record can be written");
        return;
    }
    let records = records();
    assert!(!records.is_empty(), "there is a record of the previous release");
    for Record { name: record, messages } in records {
        for (name, bytes) in messages {
            let sample = samples.iter().find(|sample| sample.name == name);
            let sample = sample.unwrap_or_else(|| panic!("{record}: there is no sample of {name}"));
            assert!((sample.is_decoded_from)(&bytes), "{record}: {name} is not decoded to the same message");
            assert_eq!(hex(&sample.bytes), hex(&bytes), "{record}: {name} is encoded in another layout");
        }
    }
}

/// [`PeerNotice`] as builds without notices of limits define it.
#[derive(Debug, PartialEq, Readable, Writable)]
enum PeerNoticeBeforeLimits {
    Notice(PrefillNotice),
    AskKept { sender: Address },
    Kept(CachedParts),
    Unreachable(UnreachableNotice),
    Ends(TerminationNotice),
    Leaving(DrainNotice),
}

#[test]
fn an_older_build_rejects_a_message_kind_that_it_does_not_know() {
    for sample in samples() {
        let is_known = decode::<PeerNoticeBeforeLimits>(&sample.bytes).is_ok();
        match sample.name {
            "readings.limits"
            | "readings.quota_request"
            | "readings.quota_grant"
            | "readings.tunnel_query"
            | "readings.tunnel_offer"
            | "readings.tunnels_end"
            | "readings.stream_origins"
            | "readings.origin_query"
            | "readings.origin_answer"
            | "readings.part_ends" => assert!(!is_known),
            name if name.starts_with("readings.") => assert!(is_known, "{name}"),
            _ => {}
        }
    }
}

/// The first four bytes of a message are its kind. Unknown kinds represent messages of a later build.
#[test]
fn unknown_kinds_truncated_messages_and_noise_are_rejected() {
    let message_of_kind = |kind: u32| [kind.to_le_bytes().to_vec(), vec![0; 60]].concat();
    for kind in [16, 255, u32::MAX] {
        assert!(decode::<PeerNotice>(&message_of_kind(kind)).is_err(), "readings, kind {kind}");
    }
    for kind in [12, 255, u32::MAX] {
        assert!(decode::<PeerMessage>(&message_of_kind(kind)).is_err(), "peer, kind {kind}");
    }
    for sample in samples() {
        let truncated = &sample.bytes[..sample.bytes.len() - 1];
        assert!(!(sample.is_decoded_from)(truncated), "{} truncated", sample.name);
        assert!(!(sample.is_decoded_from)(&[]), "{} empty", sample.name);
    }
    let noise = vec![0xa7; 64 * 1024];
    assert!(decode::<PeerNotice>(&noise).is_err());
    assert!(decode::<PeerMessage>(&noise).is_err());
    assert!(decode::<PullAnswer>(&noise).is_err());
    assert!(decode::<Pull>(&[]).is_err());
}
