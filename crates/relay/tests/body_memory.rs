//! The memory that bodies of requests share.

use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use havengate_relay::callers::body_memory::{BodyMemory, HeldBody, MemoryFull};

const MAXIMUM: usize = 1024 * 1024;
const SMALL: usize = 16 * 1024;
const LARGE: usize = 300 * 1024;

#[test]
fn a_small_body_finds_room_while_callers_hold_on_to_large_ones() {
    let (memory, now) = (BodyMemory::new(MAXIMUM), Instant::now());
    let held: Vec<HeldBody> = (0..20).map(|_| memory.begin(now)).collect();
    let held_large = held.iter().filter(|body| body.grow_to(LARGE, now).is_ok()).count();
    assert!(held_large < held.len(), "the memory is used up");
    let small = memory.begin(now);
    assert_eq!(small.grow_to(SMALL, now), Ok(()));
    assert_eq!(small.complete(), Ok(()));
}

#[test]
fn complete_bodies_leave_room_for_small_ones_and_are_not_evicted() {
    let (memory, now) = (BodyMemory::new(MAXIMUM), Instant::now());
    let held: Vec<HeldBody> = (0..20).map(|_| memory.begin(now)).collect();
    let complete = held.iter().filter(|body| body.grow_to(LARGE, now).and_then(|()| body.complete()).is_ok()).count();
    assert_eq!(complete, 2, "large ones use three quarters of the memory");
    let later = now + Duration::from_secs(60);
    let (large, small) = (memory.begin(later), memory.begin(later));
    assert_eq!(large.grow_to(LARGE, later), Err(MemoryFull));
    assert_eq!(small.grow_to(SMALL, later), Ok(()));
    assert_eq!(memory.used(), 2 * LARGE + SMALL);
}

#[test]
fn a_large_body_replaces_one_whose_caller_has_stopped_sending() {
    let (memory, now) = (BodyMemory::new(MAXIMUM), Instant::now());
    let held: Vec<HeldBody> = (0..2).map(|_| memory.begin(now)).collect();
    assert!(held.iter().all(|body| body.grow_to(LARGE, now).is_ok()));
    let next = memory.begin(now);
    assert_eq!(next.grow_to(LARGE, now), Err(MemoryFull));
    let later = now + Duration::from_secs(2);
    held[1].received(later);
    assert_eq!(next.grow_to(LARGE, later), Ok(()));
    assert_eq!((held[0].complete(), held[1].complete()), (Err(MemoryFull), Ok(())));
}

#[test]
fn a_body_alone_is_read_whatever_its_size() {
    let (memory, now) = (BodyMemory::new(MAXIMUM), Instant::now());
    assert_eq!(memory.begin(now).grow_to(2 * MAXIMUM, now), Ok(()));
    assert_eq!(memory.used(), 0, "a dropped body frees its memory");
}

#[test]
fn bodies_of_any_sizes_never_use_more_than_the_memory() {
    let property = |random: &mut Unstructured<'_>| -> Result<()> {
        let (memory, mut now) = (BodyMemory::new(MAXIMUM), Instant::now());
        let mut held: Vec<(HeldBody, usize)> = Vec::new();
        for _ in 0..60 {
            now += Duration::from_millis(random.int_in_range(0..=700)?);
            match random.int_in_range(0..=4)? {
                0 | 1 => held.push((memory.begin(now), 0)),
                2 if !held.is_empty() => drop(held.swap_remove(random.choose_index(held.len())?)),
                3 if !held.is_empty() => drop(held[random.choose_index(held.len())?].0.complete()),
                _ if !held.is_empty() => {
                    let index = random.choose_index(held.len())?;
                    let (body, size) = &mut held[index];
                    let grown = *size + random.int_in_range(1..=MAXIMUM / 3)?;
                    if body.grow_to(grown, now).is_ok() {
                        *size = grown;
                    }
                }
                _ => {}
            }
            let is_alone = held.iter().any(|(_, size)| *size == memory.used());
            assert!(memory.used() <= MAXIMUM || is_alone, "{} bytes are in use", memory.used());
        }
        held.clear();
        assert_eq!(memory.used(), 0);
        Ok(())
    };
    for start in 1..=300 {
        arbtest(property).seed(start << 32 | 1_000);
    }
}
