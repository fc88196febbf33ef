//! A stand-in for a network link: forwarders with delay, jitter, loss and cuts.

mod conditions;
mod tcp;
mod udp;

pub use conditions::{LinkDirection, LinkFault, LinkSettings};
pub use tcp::LinkStandin;
pub use udp::DatagramLinkStandin;
