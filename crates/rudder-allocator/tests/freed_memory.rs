//! Test of the memory that a process keeps of freed blocks.

use rudder_allocator::{DEFAULT_MMAP_THRESHOLD, set_mmap_threshold};
use rudder_standins::ProcessMemory;
use std::sync::Barrier;
use std::thread;

const THREADS: usize = 8;

/// Size of the block that raises the threshold of an allocator that adapts it.
const LARGEST_BLOCK: usize = 16 << 20;

const LARGE_BLOCK: usize = 1 << 20;

/// Number of large blocks of each thread.
const LARGE_BLOCKS: usize = 16;

const SMALL_BLOCK: usize = 1024;

/// Allocates large blocks and small ones in turn; frees the large blocks and returns the others. The
/// barrier keeps threads from using the heap of one that has ended.
fn keep_small_blocks(started: &Barrier) -> Vec<Vec<u8>> {
    drop(vec![1u8; LARGEST_BLOCK]);
    started.wait();
    let blocks = (0..LARGE_BLOCKS).map(|_| (vec![1u8; LARGE_BLOCK], vec![1u8; SMALL_BLOCK]));
    let blocks: Vec<_> = blocks.collect();
    blocks.into_iter().map(|(_large, small)| small).collect()
}

fn resident_bytes() -> u64 {
    ProcessMemory::of(std::process::id()).expect("the memory of this process is known").resident
}

/// Guards against freed memory of large blocks that stays with each thread.
#[test]
fn memory_of_large_blocks_is_returned_by_every_thread() {
    set_mmap_threshold(DEFAULT_MMAP_THRESHOLD).expect("the threshold is allowed");
    let started = Barrier::new(THREADS);
    let before = resident_bytes();

    let kept: Vec<_> = thread::scope(|scope| {
        let threads = (0..THREADS).map(|_| scope.spawn(|| keep_small_blocks(&started)));
        let threads: Vec<_> = threads.collect();
        threads.into_iter().map(|thread| thread.join().expect("no thread panics")).collect()
    });

    let grown = resident_bytes().saturating_sub(before);
    let freed = (THREADS * LARGE_BLOCKS * LARGE_BLOCK) as u64;
    assert_eq!(kept.len(), THREADS);
    assert!(grown < freed / 10, "{grown} bytes are kept of {freed} that were freed");
}

/// Guards against a size that is cut to another one.
#[test]
fn a_size_beyond_the_range_of_the_c_library_is_an_error() {
    let result = set_mmap_threshold(rudder_core::ByteSize(u64::MAX));

    assert!(result.is_err() || cfg!(not(target_env = "gnu")));
}
