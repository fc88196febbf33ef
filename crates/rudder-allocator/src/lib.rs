//! Settings of the C library's allocator, in a crate of its own because they need unsafe code.

use displaydoc::Display;
use rudder_core::ByteSize;

/// Default block size from which memory is mapped separately: the initial value of glibc.
pub const DEFAULT_MMAP_THRESHOLD: ByteSize = ByteSize(128 * 1024);

/// Error of changing a setting of the allocator.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum AllocatorError {
    /// the C library does not allow {0} bytes as the size of blocks that are mapped separately
    Threshold(u64),
}

impl std::error::Error for AllocatorError {}

/// Maps blocks of at least `threshold` bytes separately, so that the operating system gets their
/// memory back as soon as they are freed. Call it before other threads are started.
///
/// By default, glibc raises its threshold to the size of the largest block that was freed, up to
/// 32 MiB. Smaller blocks then come from the heap of each thread, which keeps up to twice as much
/// after they were freed. Has no effect with other C libraries.
///
/// # Errors
///
/// [`AllocatorError::Threshold`] if the C library does not allow the size.
///
/// ```
/// use rudder_allocator::{DEFAULT_MMAP_THRESHOLD, set_mmap_threshold};
/// assert_eq!(set_mmap_threshold(DEFAULT_MMAP_THRESHOLD), Ok(()));
/// ```
pub fn set_mmap_threshold(threshold: ByteSize) -> Result<(), AllocatorError> {
    if set_threshold(threshold) { Ok(()) } else { Err(AllocatorError::Threshold(threshold.0)) }
}

#[cfg(all(target_os = "linux", target_env = "gnu"))]
#[expect(unsafe_code, reason = "the C library has no safe interface for its settings")]
fn set_threshold(threshold: ByteSize) -> bool {
    let Ok(bytes) = libc::c_int::try_from(threshold.0) else { return false };
    // SAFETY: `mallopt` takes two integers by value, locks the allocator itself, and accesses no
    // memory of the caller.
    unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, bytes) == 1 }
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
fn set_threshold(_threshold: ByteSize) -> bool {
    true
}
