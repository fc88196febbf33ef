//! What is known of a statement from its text.

use rudder_core::{RequestKey, plain_data};

/// Where a statement may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementEffect {
    /// Surely a read: a replica may serve it.
    Read,
    /// A write, or not surely a read: the primary only.
    Write,
}

/// What a statement does to the transaction around it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStep {
    /// Begins one; `read_only` if it says so.
    Begin {
        /// Whether the transaction is declared read only.
        read_only: bool,
    },
    /// Ends one, with commit or rollback.
    End,
}

plain_data! {
    /// What a statement does to the session's own state, which outlives its connection.
    pub enum SessionChange {
        /// Sets a setting; `statement` is the text to run again on another connection.
        Set {
            /// The setting's name, in lower case.
            name: String,
            /// The value, where it is a plain literal.
            value: Option<String>,
            /// The whole statement.
            statement: String,
        },
        /// Resets one setting.
        Reset {
            /// The setting's name, in lower case.
            name: String,
        },
        /// Resets every setting.
        ResetAll,
        /// Resets everything, prepared statements included.
        DiscardAll,
        /// Shows a setting.
        Show {
            /// The setting's name, in lower case.
            name: String,
        },
        /// Forgets one prepared statement, or all.
        Deallocate {
            /// The statement's name; none for all.
            name: Option<String>,
        },
    }
}

plain_data! {
    /// What is known of one statement.
    pub struct StatementFacts {
        /// Where it may run.
        pub effect: StatementEffect,
        /// What it does to the transaction.
        pub step: Option<TransactionStep>,
        /// What it does to the session.
        pub change: Option<SessionChange>,
        /// Whether it reads COPY data from the caller.
        pub copy_in: bool,
        /// Why it cannot run on a shared connection, if it cannot.
        pub refusal: Option<&'static str>,
    }
}

impl StatementFacts {
    /// A statement that only reads.
    pub(crate) fn read() -> Self {
        Self {
            effect: StatementEffect::Read,
            step: None,
            change: None,
            copy_in: false,
            refusal: None,
        }
    }

    /// A statement that must go to the primary.
    pub(crate) fn write() -> Self {
        Self { effect: StatementEffect::Write, ..Self::read() }
    }
}

plain_data! {
    /// What is known of the statements of one text.
    pub struct StatementsSummary {
        /// The statements, in order.
        pub statements: Vec<StatementFacts>,
        /// The key of a request that must run at most once, given in a comment.
        pub key: Option<RequestKey>,
        /// Hash of the text without its literals: requests of the same shape share it.
        pub fingerprint: u64,
    }
}

impl StatementsSummary {
    /// Whether every statement is surely a read.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.statements.iter().all(|facts| facts.effect == StatementEffect::Read)
    }
}
