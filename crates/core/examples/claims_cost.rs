//! Measures the cost of claims: bytes on the wire, memory per kept key, and claims per second on one core.
//!
//! `cargo run --release -p havengate-core --example claims_cost`

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use havengate_core::claims::{
    CandidateHolder, ClaimClient, ClaimConfig, ClaimEnvelope, ClaimHolder, ClaimMessage, ClaimOutcome, ClaimRequest,
    MapVersion, OutcomeReport, RecordedAnswer, RecordedOutcome, SlotMap,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::request::{FinishReason, IdempotencyKey, RequestId};
use havengate_core::time::Timestamp;
use havengate_core::verdict::Verdict;
use havengate_core::world::{Address, ZoneName};
use speedy::{Readable, Writable};

const KEYS: u32 = 100_000;
const ROUNDS: u32 = 50_000;
const PAGE_BYTES: u64 = 4_096;
const TIME_LEFT: Duration = Duration::from_secs(30);

/// Bytes of text of an answer of 333 tokens, at four bytes per token.
const ANSWER_BYTES: usize = 1_332;

fn main() -> Result<(), Box<dyn Error>> {
    // The holders are kept until the end: a later one must not reuse memory that an earlier one has freed.
    let mut holders = Vec::new();
    for answer_bytes in [0, ANSWER_BYTES] {
        let (holder, line) = measure_holder(answer_bytes)?;
        holders.push(holder);
        println!("{line}");
    }
    println!("{}", measure_exchange()?);
    Ok(())
}

fn candidate(index: u8) -> CandidateHolder {
    let address = Address(SocketAddr::from(([127, 0, 0, index], 7000)));
    CandidateHolder {
        member: Member { address, incarnation: Incarnation(1) },
        zone: ZoneName::new(format!("zone-{index}")),
    }
}

fn key(number: u32) -> IdempotencyKey {
    IdempotencyKey { tenant: "himal-school-books".into(), key: format!("5f0c2a9e-77d1-4b7e-9c55-{number:012x}") }
}

fn outcome(answer_bytes: usize) -> RecordedOutcome {
    let answer = RecordedAnswer { text: "x".repeat(answer_bytes), tokens: 333, finish: FinishReason::Stop };
    RecordedOutcome { verdict: Verdict::Completed, answer: (answer_bytes > 0).then_some(answer) }
}

/// The resident memory of the process.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split_whitespace().nth(1).ok_or("no resident size")?.parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Fills one holder with keys and measures its memory and speed.
fn measure_holder(answer_bytes: usize) -> Result<(ClaimHolder, String), Box<dyn Error>> {
    let config =
        ClaimConfig { records_maximum: KEYS as usize, answer_memory_maximum: usize::MAX, ..ClaimConfig::default() };
    let node = candidate(1);
    let mut holder = ClaimHolder::new(node.member, config, Timestamp::ZERO);
    holder.adopt(&SlotMap::initial(&[node]));
    let before = resident_bytes()?;
    let start = Instant::now();
    for number in 0..KEYS {
        let request = RequestId(number.into());
        let claim = ClaimRequest { key: key(number), request, version: MapVersion(1), time_left: TIME_LEFT };
        holder.claim(claim, Timestamp::ZERO);
    }
    let claim_time = start.elapsed();
    for number in 0..KEYS {
        let report =
            OutcomeReport { key: key(number), request: RequestId(number.into()), outcome: outcome(answer_bytes) };
        holder.step(candidate(2).member.address, ClaimMessage::Outcome(report), Timestamp::ZERO);
    }
    let memory_growth = resident_bytes()?.saturating_sub(before);
    let line = format!(
        "answer_bytes={answer_bytes} keys={} bytes_per_key={} claims_per_second_at_holder={:.0}",
        holder.records(),
        memory_growth / u64::from(KEYS),
        f64::from(KEYS) / claim_time.as_secs_f64()
    );
    Ok((holder, line))
}

/// Counts the messages between a claimer and three holders, encoded and decoded as on the wire.
#[derive(Default)]
struct Wire {
    messages: u32,
    bytes: usize,
}

impl Wire {
    fn transmit(&mut self, message: &ClaimMessage) -> Result<ClaimMessage, speedy::Error> {
        let encoded = message.write_to_vec()?;
        self.messages += 1;
        self.bytes += encoded.len();
        ClaimMessage::read_from_buffer(&encoded)
    }
}

/// Claims keys and records their outcomes at three holders, all on one core.
fn measure_exchange() -> Result<String, Box<dyn Error>> {
    let nodes: Vec<CandidateHolder> = (1..=3).map(candidate).collect();
    let map = SlotMap::initial(&nodes);
    let config = ClaimConfig { records_maximum: ROUNDS as usize, ..ClaimConfig::default() };
    let mut holders: BTreeMap<Address, ClaimHolder> = BTreeMap::new();
    for node in &nodes {
        let mut holder = ClaimHolder::new(node.member, config.clone(), Timestamp::ZERO);
        holder.adopt(&map);
        holders.insert(node.member.address, holder);
    }
    let mut client = ClaimClient::new(config);
    client.adopt(&map, Timestamp::ZERO);
    let mut wire = Wire::default();
    let mut won = 0;
    let start = Instant::now();
    for number in 0..ROUNDS {
        let request = RequestId(number.into());
        client
            .claim(key(number), request, Timestamp::ZERO + TIME_LEFT, Timestamp::ZERO)
            .map_err(|refusal| refusal.reason.to_string())?;
        won += exchange(&mut client, &mut holders, &mut wire)?;
        client.record(request, outcome(0), Timestamp::ZERO);
        exchange(&mut client, &mut holders, &mut wire)?;
    }
    let elapsed = start.elapsed();
    Ok(format!(
        "won={won} messages_per_claim={} bytes_per_claim={} whole_claims_per_second={:.0}",
        wire.messages / ROUNDS,
        wire.bytes / ROUNDS as usize,
        f64::from(ROUNDS) / elapsed.as_secs_f64()
    ))
}

/// Delivers the client's messages and the holders' answers; returns how many keys were won.
fn exchange(
    client: &mut ClaimClient,
    holders: &mut BTreeMap<Address, ClaimHolder>,
    wire: &mut Wire,
) -> Result<usize, speedy::Error> {
    let now = Timestamp::ZERO;
    let from = candidate(9).member.address;
    let work = client.poll(now);
    for ClaimEnvelope { to, message } in &work.messages {
        let Some(holder) = holders.get_mut(to) else { continue };
        if let Some(reply) = holder.step(from, wire.transmit(message)?, now) {
            client.step(*to, wire.transmit(&reply)?, now);
        }
    }
    let decisions = client.poll(now).decisions;
    Ok(decisions.iter().filter(|decision| decision.outcome == ClaimOutcome::Won).count())
}
