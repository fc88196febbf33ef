//! Budget of an instance, and the traffic that it has sent.

use rudder_core::plain_data;

plain_data! {
    /// Budget for traffic to peers that the instance initiates itself.
    pub(crate) struct BudgetSettings {
        /// Bytes per second over UDP, including headers.
        pub(crate) datagram_rate: u64,
        /// Maximum burst in bytes over UDP.
        pub(crate) datagram_depth: u64,
        /// Bytes per second for tables over TCP.
        pub(crate) table_rate: u64,
        /// Maximum burst in bytes for tables; a larger table is sent on debt.
        pub(crate) table_depth: u64,
    }
}

impl BudgetSettings {
    /// Splits one budget: five eighths for datagrams and a quarter for tables. The rest is left for
    /// requests, which are caused by callers and not bounded by this budget.
    pub(crate) fn split(bytes_per_second: u64) -> Self {
        let datagram_rate = bytes_per_second * 5 / 8;
        let table_rate = bytes_per_second / 4;
        Self {
            datagram_rate,
            // Equal to one second of the rate: sufficient to push a hint twice, while no second
            // uses more than twice the rate.
            datagram_depth: datagram_rate,
            table_rate,
            table_depth: table_rate * 8,
        }
    }
}

plain_data! {
    /// Traffic that an instance has sent to its peers, and that it has withheld.
    #[derive(Copy, Default)]
    pub struct TrafficCount {
        /// Number of datagrams sent.
        pub datagrams: u64,
        /// Bytes of the datagrams sent, including IP and UDP headers.
        pub datagram_bytes: u64,
        /// Number of datagrams withheld because the budget was used up.
        pub withheld: u64,
        /// Bytes of tables sent over TCP.
        pub table_bytes: u64,
        /// Number of tables refused because the budget was used up.
        pub tables_refused: u64,
    }
}
