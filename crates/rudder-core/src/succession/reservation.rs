//! Terms set aside for one run of an instance.

use crate::derive::name_type;
use crate::ident::InstanceName;
use crate::plain_data;
use crate::stamp::LogTerm;
use serde::{Deserialize, Serialize};

name_type! {
    /// A random mark by which a writer knows its own change again, and a run its reservations.
    ///
    /// The holder's name does not do: a restarted instance bears the same name.
    WriterMark
}

impl WriterMark {
    /// A fresh mark.
    ///
    /// ```
    /// use rudder_core::WriterMark;
    /// assert_ne!(WriterMark::random(), WriterMark::random());
    /// ```
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().simple().to_string().into())
    }
}

plain_data! {
    /// One run of an instance that keeps a group.
    #[derive(Serialize, Deserialize)]
    pub struct KeeperSeat {
        /// The instance.
        pub instance: InstanceName,
        /// The mark of its current run; a restart brings another.
        pub incarnation: WriterMark,
    }
}

plain_data! {
    /// Terms set aside for one run: `first`, then each `step` further, `count` in all.
    ///
    /// The terms of several runs are interleaved, so that those of one run stay of use after
    /// another one has used its own.
    #[derive(Serialize, Deserialize)]
    pub struct TermReservation {
        /// The first term.
        pub first: LogTerm,
        /// The distance from each term to the next.
        pub step: u32,
        /// How many terms there are.
        pub count: u32,
        /// Who may use them.
        pub seat: KeeperSeat,
    }
}

impl TermReservation {
    /// The reserved terms, in order.
    ///
    /// ```
    /// use rudder_core::{KeeperSeat, LogTerm, TermReservation, WriterMark};
    /// let seat = KeeperSeat { instance: "inst-1".parse()?, incarnation: WriterMark::random() };
    /// let reservation = TermReservation { first: LogTerm(4), step: 3, count: 2, seat };
    /// assert_eq!(reservation.terms().collect::<Vec<_>>(), [LogTerm(4), LogTerm(7)]);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn terms(&self) -> impl Iterator<Item = LogTerm> + use<> {
        let (first, step) = (self.first.0, u64::from(self.step));
        (0..u64::from(self.count)).map(move |index| LogTerm(first + index * step))
    }

    /// How many of the terms are greater than `accepted`.
    ///
    /// ```
    /// use rudder_core::{KeeperSeat, LogTerm, TermReservation, WriterMark};
    /// let seat = KeeperSeat { instance: "inst-1".parse()?, incarnation: WriterMark::random() };
    /// let reservation = TermReservation { first: LogTerm(4), step: 3, count: 2, seat };
    /// assert_eq!(reservation.usable_count(LogTerm(4)), 1);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn usable_count(&self, accepted: LogTerm) -> usize {
        self.terms().filter(|term| *term > accepted).count()
    }
}
