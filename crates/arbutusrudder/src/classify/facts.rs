//! Properties of a statement that follow from its text.

use rudder_core::{RequestKey, plain_data};

/// Where a statement may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementEffect {
    /// Provably a read: a replica may serve it.
    Read,
    /// A write, or not provably a read: only the primary may serve it.
    Write,
}

/// Effect of a statement on the surrounding transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStep {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is declared read only.
        read_only: bool,
    },
    /// Ends a transaction, with commit or rollback.
    End,
}

plain_data! {
    /// Effect of a statement on session state, which is kept across member connections.
    pub enum SessionChange {
        /// Sets a setting; `statement` is the text to repeat on another connection.
        Set {
            /// The setting's name, in lower case.
            name: String,
            /// The value, if it is a single literal.
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
        /// Deallocates one prepared statement, or all.
        Deallocate {
            /// The statement's name; `None` for all.
            name: Option<String>,
        },
    }
}

plain_data! {
    /// Properties of one statement.
    pub struct StatementFacts {
        /// Where it may run.
        pub effect: StatementEffect,
        /// Its effect on the transaction.
        pub step: Option<TransactionStep>,
        /// Its effect on the session.
        pub change: Option<SessionChange>,
        /// Whether it reads COPY data from the caller.
        pub copy_in: bool,
        /// Reason why it cannot run on a shared connection, if there is one.
        pub refusal: Option<&'static str>,
    }
}

impl StatementFacts {
    /// Returns the facts of a plain read.
    pub(crate) fn read() -> Self {
        Self {
            effect: StatementEffect::Read,
            step: None,
            change: None,
            copy_in: false,
            refusal: None,
        }
    }

    /// Returns the facts of a statement that must go to the primary.
    pub(crate) fn write() -> Self {
        Self { effect: StatementEffect::Write, ..Self::read() }
    }
}

plain_data! {
    /// Properties of the statements of one text.
    pub struct StatementsSummary {
        /// The statements, in order.
        pub statements: Vec<StatementFacts>,
        /// Idempotency key, given in a comment, of a request that must run at most once.
        pub key: Option<RequestKey>,
        /// Hash of the text without its literals, equal for requests that differ only in literals.
        pub fingerprint: u64,
    }
}

impl StatementsSummary {
    /// Whether every statement is provably a read.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.statements.iter().all(|facts| facts.effect == StatementEffect::Read)
    }
}
