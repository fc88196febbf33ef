//! Task that owns the UDP socket and the state machine.

use super::client::RequestCounter;
use super::command::MeshCommand;
use super::fetch::PeerFetch;
use crate::hints::HintMessage;
use crate::member::PeerEntry;
use crate::node::{NodeOutput, PeerNode, TrafficCount};
use crate::wire::{DATAGRAM_BYTES_MAX, ResponseFrame, encode_response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};

/// Interval of the timer; well below the timeout of a probe, so that timeouts are detected
/// promptly.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

pub(super) struct MeshDriver {
    pub(super) node: PeerNode,
    pub(super) socket: UdpSocket,
    pub(super) started: Instant,
    pub(super) commands: mpsc::Receiver<MeshCommand>,
    /// Sender for fetch tasks; weak, so that the driver ends when no other sender exists.
    pub(super) command_sender: mpsc::WeakSender<MeshCommand>,
    pub(super) hints: mpsc::Sender<HintMessage>,
    pub(super) view: watch::Sender<Arc<[PeerEntry]>>,
    pub(super) traffic: watch::Sender<TrafficCount>,
    pub(super) counter: Arc<RequestCounter>,
}

impl MeshDriver {
    /// Runs until all command senders are dropped; tasks that it spawned end with it.
    pub(super) async fn run(mut self) {
        let mut ticker = tokio::time::interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut fetches = JoinSet::new();
        let mut buffer = [0; DATAGRAM_BYTES_MAX + 1];
        loop {
            // Datagrams are read first: after a pause, acknowledgements that are already in the
            // socket buffer must be read before timeouts are evaluated.
            let output = tokio::select! {
                biased;
                received = self.socket.recv_from(&mut buffer) => self.handle_datagram(&buffer, received),
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                _ = ticker.tick() => {
                    while fetches.try_join_next().is_some() {}
                    let now = self.now();
                    self.node.tick(now)
                }
            };
            self.perform(output, &mut fetches);
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn handle_datagram(
        &mut self,
        buffer: &[u8],
        received: std::io::Result<(usize, SocketAddr)>,
    ) -> NodeOutput {
        let now = self.now();
        let result = match received {
            Ok((length, _)) => self.node.receive(&buffer[..length], now),
            Err(error) => {
                log::debug!(target: "rudder::peers", reason:% = error; "UDP receive failed");
                return NodeOutput::default();
            }
        };
        result.unwrap_or_else(|error| {
            metrics::counter!("rudder_peer_malformed_total").increment(1);
            log::debug!(target: "rudder::peers", reason:% = error; "invalid datagram dropped");
            NodeOutput::default()
        })
    }

    fn handle_command(&mut self, command: MeshCommand) -> NodeOutput {
        let now = self.now();
        match command {
            MeshCommand::Publish(hint) => return self.node.publish(hint, now),
            MeshCommand::SendHint(names, hint) => return self.node.send_hint(&names, &hint, now),
            MeshCommand::Leave => return self.node.leave(now),
            MeshCommand::Flush { reply } => {
                let _ = reply.send(());
            }
            MeshCommand::EncodeTable { number, reply } => {
                let response = ResponseFrame::Table { number, table: self.node.table() };
                let _ = reply.send(self.encode(&response, now));
            }
            MeshCommand::EncodeGroups { number, reply } => {
                let (sender, hints) = (self.node.local_entry().name.clone(), self.node.groups());
                let response = ResponseFrame::Groups { number, sender, hints };
                let _ = reply.send(self.encode(&response, now));
            }
            MeshCommand::MergeGroups { from, groups } => {
                return self.node.merge_groups(&from, groups, now);
            }
            MeshCommand::FetchFailed(kind) => self.node.fetch_failed(kind),
            MeshCommand::Merge { table, reply } => {
                let _ = reply.send(self.node.merge(&table, now));
            }
        }
        NodeOutput::default()
    }

    /// Encodes a response, or a `Busy` response if the budget for transfers is used up.
    fn encode(&mut self, response: &ResponseFrame, now: Duration) -> Vec<u8> {
        let busy = ResponseFrame::Busy { number: response.number() };
        match encode_response(response) {
            Ok(bytes) if self.node.charge_table(length_of(&bytes), now) => bytes,
            _ => encode_response(&busy).unwrap_or_default(),
        }
    }

    fn perform(&mut self, output: NodeOutput, fetches: &mut JoinSet<()>) {
        for (to, bytes) in output.datagrams {
            // A full send buffer drops the datagram, as the network might.
            let _ = self.socket.try_send_to(&bytes, to);
        }
        for message in output.hints {
            if self.hints.try_send(message).is_err() {
                metrics::counter!("rudder_peer_hints_lost_total").increment(1);
            }
        }
        for (from, kind) in output.fetches {
            if let Some(commands) = self.command_sender.upgrade() {
                let counter = Arc::clone(&self.counter);
                let fetch = PeerFetch {
                    from,
                    kind,
                    commands,
                    counter,
                    local_entry: self.node.local_entry().clone(),
                };
                fetches.spawn(fetch.run());
            }
        }
        if self.node.take_changed() {
            self.view.send_replace(self.node.snapshot().into());
        }
        self.count_traffic();
    }

    fn count_traffic(&mut self) {
        let now = self.node.traffic();
        let before = self.traffic.send_replace(now);
        if now == before {
            return;
        }
        metrics::counter!("rudder_peer_datagrams_total")
            .increment(now.datagrams - before.datagrams);
        metrics::counter!("rudder_peer_bytes_total", "kind" => "datagram")
            .increment(now.datagram_bytes - before.datagram_bytes);
        metrics::counter!("rudder_peer_withheld_total").increment(now.withheld - before.withheld);
        metrics::counter!("rudder_peer_tables_refused_total")
            .increment(now.tables_refused - before.tables_refused);
    }
}

fn length_of(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
