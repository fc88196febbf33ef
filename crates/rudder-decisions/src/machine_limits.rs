//! Division of a machine's memory and descriptors among what a process does.

use rudder_core::{ByteSize, plain_data};

/// Memory assumed for a machine whose memory is not stated, the least that instances are built for.
const DEFAULT_MEMORY: ByteSize = ByteSize(256_000_000);

/// Descriptors assumed for a machine that states none.
const DEFAULT_DESCRIPTORS: u32 = 4096;

/// Descriptors set aside for files.
const FILE_DESCRIPTORS: u32 = 200;

/// Memory that an idle connection of a caller occupies in the process.
const CONNECTION_BYTES: u64 = 10 * 1024;

/// Limits of the receive buffer of a caller's connection. Below the minimum, a large request takes
/// too many round trips.
const RECEIVE_BUFFER_MIN: u64 = 8 * 1024;
const RECEIVE_BUFFER_MAX: u64 = 128 * 1024;

plain_data! {
    /// Memory and descriptors that the machine gives to the process.
    #[derive(Copy)]
    pub struct MachineLimits {
        /// Memory of the process, with the bytes that wait in its sockets.
        pub memory: ByteSize,
        /// Open descriptors of the process.
        pub descriptors: u32,
    }
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { memory: DEFAULT_MEMORY, descriptors: DEFAULT_DESCRIPTORS }
    }
}

impl MachineLimits {
    /// Memory for requests that are being received or run, and for replies that callers have not
    /// taken.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let limits = rudder_decisions::MachineLimits { memory: ByteSize(1600), descriptors: 100 };
    /// assert_eq!(limits.request_memory(), ByteSize(400));
    /// ```
    #[must_use]
    pub fn request_memory(&self) -> ByteSize {
        ByteSize(self.memory.0 / 4)
    }

    /// Memory for what sessions keep between requests.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let limits = rudder_decisions::MachineLimits { memory: ByteSize(1600), descriptors: 100 };
    /// assert_eq!(limits.session_memory(), ByteSize(100));
    /// ```
    #[must_use]
    pub fn session_memory(&self) -> ByteSize {
        ByteSize(self.memory.0 / 16)
    }

    /// Memory for replies that are being received from members or sent to other instances.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let limits = rudder_decisions::MachineLimits { memory: ByteSize(1600), descriptors: 100 };
    /// assert_eq!(limits.reply_memory(), ByteSize(100));
    /// ```
    #[must_use]
    pub fn reply_memory(&self) -> ByteSize {
        ByteSize(self.memory.0 / 16)
    }

    /// Maximum number of callers' connections. A quarter of the sockets is left for members, other
    /// instances and the platform.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let limits =
    ///     rudder_decisions::MachineLimits { memory: ByteSize(260_000_000), descriptors: 4300 };
    /// assert_eq!(limits.callers_max(), 3075);
    /// ```
    #[must_use]
    pub fn callers_max(&self) -> usize {
        let by_memory = self.memory.0 / 8 / CONNECTION_BYTES;
        self.socket_callers_max().min(usize::try_from(by_memory).unwrap_or(usize::MAX)).max(1)
    }

    /// Maximum number of callers' connections by the number of sockets alone.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let limits = rudder_decisions::MachineLimits { memory: ByteSize(0), descriptors: 4300 };
    /// assert_eq!(limits.socket_callers_max(), 3075);
    /// ```
    #[must_use]
    pub fn socket_callers_max(&self) -> usize {
        let sockets = u64::from(self.descriptors.saturating_sub(FILE_DESCRIPTORS)) * 3 / 4;
        usize::try_from(sockets).unwrap_or(usize::MAX).max(1)
    }

    /// Size of the receive buffer of a caller's connection: what all of them can hold unread is an
    /// eighth of the memory.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let limits =
    ///     rudder_decisions::MachineLimits { memory: ByteSize(1 << 30), descriptors: 4300 };
    /// assert_eq!(limits.receive_buffer(), ByteSize(43_648));
    /// ```
    #[must_use]
    pub fn receive_buffer(&self) -> ByteSize {
        let each = self.memory.0 / 8 / self.callers_max() as u64;
        ByteSize(each.clamp(RECEIVE_BUFFER_MIN, RECEIVE_BUFFER_MAX))
    }
}
