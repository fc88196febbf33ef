//! Forwarding of statements to the instances that hold the connections for a client account.
//!
//! Members run a connection's statements as one account. If instances times accounts exceed the
//! connections that a member accepts, nearly every statement would open a connection; instead it is
//! sent to a holder of the account's connections. The origin keeps the session, checks the key,
//! resolves the route and claims the operation; the holder runs the statement as its own.

mod choice;
mod client;
mod connection;
mod dispatch;
mod frame;
mod held;
pub(crate) mod holders;
mod remote;
mod result;
mod server;
mod suspension;
mod wire;
mod workload;

pub(crate) use dispatch::RemoteStart;
pub(crate) use frame::FORWARDING_MARK;
pub(crate) use remote::RemoteTransaction;
pub(crate) use result::ForwardResult;
pub(crate) use server::serve_forwarding;

use client::ForwardingClient;
use frame::ConnectionEnd;
use suspension::SuspensionWatch;
use workload::ForwardedWork;

/// State of forwarding in one instance, as origin and as holder.
#[derive(Default)]
pub(crate) struct ForwardingState {
    client: ForwardingClient,
    work: ForwardedWork,
    suspension: SuspensionWatch,
}

impl ForwardingState {
    fn client(&self) -> &ForwardingClient {
        &self.client
    }

    fn suspension(&self) -> &SuspensionWatch {
        &self.suspension
    }

    pub(crate) fn work(&self) -> &ForwardedWork {
        &self.work
    }
}

/// Counts a connection that was closed because of what the peer sent.
fn count_rejected_frame(end: ConnectionEnd) {
    metrics::counter!("rudder_forward_frames_rejected_total", "reason" => end.to_string())
        .increment(1);
}

#[cfg(test)]
mod tests;
