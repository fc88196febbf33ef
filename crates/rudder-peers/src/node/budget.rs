//! What an instance may spend, and what it has spent.

use rudder_core::plain_data;

plain_data! {
    /// What an instance may spend on its peers on its own account.
    pub(crate) struct BudgetSettings {
        /// Bytes per second over UDP, headers included.
        pub(crate) datagram_rate: u64,
        /// Bytes over UDP that may be sent at once.
        pub(crate) datagram_depth: u64,
        /// Bytes per second for tables over TCP.
        pub(crate) table_rate: u64,
        /// Bytes for tables that may be sent at once; a larger one is sent on credit.
        pub(crate) table_depth: u64,
    }
}

impl BudgetSettings {
    /// Splits one budget: five eighths for datagrams, a quarter for tables; the rest is left for
    /// requests, which callers' actions cause and this budget does not bound.
    pub(crate) fn split(bytes_per_second: u64) -> Self {
        let datagram_rate = bytes_per_second * 5 / 8;
        let table_rate = bytes_per_second / 4;
        Self {
            datagram_rate,
            // One second's worth: enough to push a hint twice, and no second ever takes more than
            // two seconds' worth.
            datagram_depth: datagram_rate,
            table_rate,
            table_depth: table_rate * 8,
        }
    }
}

plain_data! {
    /// What an instance has sent to its peers, and what it has withheld.
    #[derive(Copy, Default)]
    pub struct TrafficCount {
        /// Datagrams sent.
        pub datagrams: u64,
        /// Their bytes, headers of IP and UDP included.
        pub datagram_bytes: u64,
        /// Datagrams withheld because the budget was used up.
        pub withheld: u64,
        /// Bytes of tables sent over TCP.
        pub table_bytes: u64,
        /// Tables refused because the budget was used up.
        pub tables_refused: u64,
    }
}
