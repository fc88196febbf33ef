//! A process that serves PostgreSQL clients, with stand-ins for the platform and the group.

use super::frame_client::{RawFrames, query_frame};
use super::memory::MemoryWatch;
use super::program::Fleet;
use std::net::SocketAddr;
use std::time::Duration;

/// Callers for which a machine of 4,300 descriptors has room.
const MACHINE_CALLERS: u32 = 3_075;

/// Pause before a probe is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(20);

/// One process, its platform and a group of three members.
pub(crate) struct FrameEnvironment {
    _fleet: Fleet,
    address: SocketAddr,
    pub(crate) watch: MemoryWatch,
}

impl FrameEnvironment {
    /// Starts the process and waits until it serves.
    pub(crate) async fn start() -> Self {
        Self::start_with(MACHINE_CALLERS).await
    }

    /// Starts a process for this number of callers and waits until it serves.
    pub(crate) async fn start_with(callers_max: u32) -> Self {
        let mut fleet = Fleet::start(0).await;
        fleet.add(&format!("callers_max = {callers_max}\n"), &[]).await;
        let program = &fleet.programs[0];
        let address = program.address("listen").await;
        let watch = MemoryWatch::start(program.id(), vec![address]);
        let (client, _) = program.connect("").await;
        super::program::execute_until_accepted(&client, "CREATE TABLE parts (id int)").await;
        Self { _fleet: fleet, address, watch }
    }

    /// Address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.address
    }

    /// Fails unless the process serves a new caller's query, which is sent again while it is refused.
    pub(crate) async fn assert_serves(&self, text: &str) {
        let frame = query_frame(text);
        let run = async {
            while self.probe(&frame).await.is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        };
        let served = tokio::time::timeout(PROBE_TIMEOUT, run).await.is_ok();
        self.watch.assert_within_machine();
        assert!(served, "a message of {} bytes was not served in calm", text.len());
    }

    /// Sends a batch in a new session; returns `None` if it is refused.
    async fn probe(&self, batch: &[u8]) -> Option<()> {
        RawFrames::start(self.address).await?.run(batch).await
    }
}
