//! Terms reserved for one run of an instance.

use crate::derive::name_type;
use crate::ident::InstanceName;
use crate::plain_data;
use crate::stamp::LogTerm;
use serde::{Deserialize, Serialize};

name_type! {
    /// A random mark by which a writer recognises its own change, and a run its own reservations.
    ///
    /// The instance name is not sufficient, because a restarted instance has the same name.
    WriterMark
}

impl WriterMark {
    /// Creates a random mark.
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
    /// One run of an instance that supervises a group and can replace its primary.
    #[derive(Serialize, Deserialize)]
    pub struct KeeperRun {
        /// The instance.
        pub instance: InstanceName,
        /// The mark of its current run; a restart changes it.
        pub incarnation: WriterMark,
    }
}

plain_data! {
    /// `count` terms reserved for one run: `first`, and then every `step`-th term after it.
    ///
    /// The terms of several runs are interleaved, so that one run still has terms that members
    /// accept after another run has used some of its own.
    #[derive(Serialize, Deserialize)]
    pub struct TermReservation {
        /// The first term.
        pub first: LogTerm,
        /// The difference between consecutive terms.
        pub step: u32,
        /// The number of terms.
        pub count: u32,
        /// The run that may use them.
        #[serde(rename = "seat")]
        pub run: KeeperRun,
    }
}

impl TermReservation {
    /// Returns the reserved terms, in ascending order.
    ///
    /// ```
    /// use rudder_core::{KeeperRun, LogTerm, TermReservation, WriterMark};
    /// let run = KeeperRun { instance: "inst-1".parse()?, incarnation: WriterMark::random() };
    /// let reservation = TermReservation { first: LogTerm(4), step: 3, count: 2, run };
    /// assert_eq!(reservation.terms().collect::<Vec<_>>(), [LogTerm(4), LogTerm(7)]);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn terms(&self) -> impl Iterator<Item = LogTerm> + use<> {
        let (first, step) = (self.first.0, u64::from(self.step));
        (0..u64::from(self.count)).map(move |index| LogTerm(first + index * step))
    }

    /// Returns the number of terms that are greater than `accepted`.
    ///
    /// ```
    /// use rudder_core::{KeeperRun, LogTerm, TermReservation, WriterMark};
    /// let run = KeeperRun { instance: "inst-1".parse()?, incarnation: WriterMark::random() };
    /// let reservation = TermReservation { first: LogTerm(4), step: 3, count: 2, run };
    /// assert_eq!(reservation.usable_count(LogTerm(4)), 1);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn usable_count(&self, accepted: LogTerm) -> usize {
        self.terms().filter(|term| *term > accepted).count()
    }
}
