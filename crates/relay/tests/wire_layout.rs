//! Nodes of this build and of the landing before serve side by side: each reads what the other sends.
//!
//! `fixtures/wire-COMMIT.txt` holds the bytes of one message of each kind as the code of that commit wrote them, one a line: name and bytes in hex. Messages
//! stand by position, without tags, so any change of a layout shows here. A new kind gets a sample of its own and is not in older records;
//! a node that doesn't know it drops it. `fixtures/record.sh COMMIT` makes a record; the one of a landing goes in with the next one, and stays until no deployment
//! begins on it.

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

/// Names a file to which the samples of this build are written.
const RECORD_VARIABLE: &str = "HAVENGATE_RECORD_LAYOUT";

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// The messages of a landing as it wrote them.
struct Record {
    name: String,
    /// By the name of the sample.
    messages: Vec<(String, Vec<u8>)>,
}

/// The records of former landings.
fn records() -> Vec<Record> {
    let files = fs::read_dir(fixtures()).expect("the fixtures can be listed").flatten();
    let is_record = |name: &String| name.starts_with("wire-") && name.ends_with(".txt");
    let mut names: Vec<String> =
        files.map(|file| file.file_name().to_string_lossy().into_owned()).filter(is_record).collect();
    names.sort();
    let read = |name: String| {
        let text = fs::read_to_string(fixtures().join(&name)).expect("a record can be read");
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
fn each_message_is_written_and_read_as_by_the_landing_before() {
    let samples = samples();
    if let Ok(path) = std::env::var(RECORD_VARIABLE) {
        let line = |sample: &Sample| format!("{} {}\n", sample.name, hex(&sample.bytes));
        fs::write(path, samples.iter().map(line).collect::<String>()).expect("the record can be written");
        return;
    }
    let records = records();
    assert!(!records.is_empty(), "there is a record of the landing before");
    for Record { name: record, messages } in records {
        for (name, bytes) in messages {
            let sample = samples.iter().find(|sample| sample.name == name);
            let sample = sample.unwrap_or_else(|| panic!("{record}: {name} is no longer sent"));
            assert!((sample.is_read_from)(&bytes), "{record}: {name} is not read as it was meant");
            assert_eq!(hex(&sample.bytes), hex(&bytes), "{record}: {name} is written in another layout");
        }
    }
}

/// [`PeerNotice`] as the builds before the news of limits know it.
#[derive(Debug, PartialEq, Readable, Writable)]
enum FormerReadingsMessage {
    Notice(PrefillNotice),
    AskKept { sender: Address },
    Kept(CachedParts),
    Unreachable(UnreachableNotice),
    Ends(TerminationNotice),
    Leaving(DrainNotice),
}

#[test]
fn a_kind_that_a_former_build_does_not_know_is_no_message_to_it() {
    for sample in samples() {
        let is_known = decode::<FormerReadingsMessage>(&sample.bytes).is_ok();
        match sample.name {
            "readings.limits" => assert!(!is_known),
            name if name.starts_with("readings.") => assert!(is_known, "{name}"),
            _ => {}
        }
    }
}

/// Each kind is told by its first four bytes; those that are none of today's stand for a later build's.
#[test]
fn bytes_of_a_later_build_or_of_none_are_no_message() {
    let unknown_kinds = [7_u32, 255, u32::MAX];
    for kind in unknown_kinds {
        let mut bytes = kind.to_le_bytes().to_vec();
        bytes.extend([0; 60]);
        assert!(decode::<PeerNotice>(&bytes).is_err(), "readings, kind {kind}");
        assert!(decode::<PeerMessage>(&bytes).is_err(), "peer, kind {kind}");
    }
    for sample in samples() {
        let without_end = &sample.bytes[..sample.bytes.len() - 1];
        assert!(!(sample.is_read_from)(without_end), "{} cut off", sample.name);
        assert!(!(sample.is_read_from)(&[]), "{} empty", sample.name);
    }
    let noise = vec![0xa7; 64 * 1024];
    assert!(decode::<PeerNotice>(&noise).is_err());
    assert!(decode::<PeerMessage>(&noise).is_err());
    assert!(decode::<PullAnswer>(&noise).is_err());
    assert!(decode::<Pull>(&[]).is_err());
}
