//! Terms, role and log of a member: the state that decides whether acknowledged writes survive a
//! promotion.

use super::log::MemberLog;
use crate::group::sql::error::SqlError;
use crate::group::tables::transaction::OpenTransaction;
use rudder_core::{LogStamp, LogTerm, MemberName, MemberRole, MemberStatus};

/// Replication role of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GroupRole {
    /// Appends log entries under this term.
    Primary(LogTerm),
    /// Fetches log entries from this member, if one is set.
    Replica(Option<MemberName>),
}

/// Terms, role and log of one member.
#[derive(Debug)]
pub(crate) struct MemberState {
    pub(crate) accepted: LogTerm,
    pub(crate) role: GroupRole,
    pub(crate) log: MemberLog,
}

impl MemberState {
    /// Creates the initial primary, at term 1 with an empty log.
    pub(crate) fn first_primary() -> Self {
        let term = LogTerm(1);
        Self { accepted: term, role: GroupRole::Primary(term), log: MemberLog::default() }
    }

    /// Creates an initial replica, at term 1 with an empty log.
    pub(crate) fn first_replica(leader: MemberName) -> Self {
        let role = GroupRole::Replica(Some(leader));
        Self { accepted: LogTerm(1), role, log: MemberLog::default() }
    }

    /// Returns the status; a primary whose term is no longer the accepted one counts as a replica.
    pub(crate) fn status(&self) -> MemberStatus {
        let role = match self.role {
            GroupRole::Primary(term) if term == self.accepted => MemberRole::Primary,
            GroupRole::Primary(_) | GroupRole::Replica(_) => MemberRole::Replica,
        };
        MemberStatus {
            role,
            accepted: self.accepted,
            received: self.log.received(),
            applied: self.log.applied(),
        }
    }

    /// Returns whether the member is the primary of `term` and `term` is the accepted one.
    pub(crate) fn is_primary_of(&self, term: LogTerm) -> bool {
        self.accepted == term && self.role == GroupRole::Primary(term)
    }

    /// Returns whether followers of `term` may fetch entries from this member. The member need not
    /// be primary: in a planned switch the target fetches the remaining entries from the fenced old
    /// primary, whose log only the primary of the new term can change from then on.
    pub(crate) fn serves_entries(&self, term: LogTerm) -> bool {
        self.accepted == term
    }

    /// Accepts a term; fails if a greater one was accepted.
    pub(crate) fn fence(&mut self, term: LogTerm) -> Result<(), SqlError> {
        if term < self.accepted {
            return Err(SqlError::TermRefused(self.accepted));
        }
        self.accepted = term;
        Ok(())
    }

    /// Becomes primary of the accepted term: applies all received entries, then appends an empty
    /// entry under this term.
    pub(crate) fn promote(&mut self, term: LogTerm) -> Result<(), SqlError> {
        if term != self.accepted {
            return Err(SqlError::TermRefused(self.accepted));
        }
        if self.role == GroupRole::Primary(term) {
            return Ok(());
        }
        self.log.apply_all();
        self.role = GroupRole::Primary(term);
        self.log.append_as_primary(term, Vec::new(), None);
        Ok(())
    }

    /// Accepts a term and becomes a replica that fetches entries from `leader`.
    pub(crate) fn follow(&mut self, term: LogTerm, leader: MemberName) -> Result<(), SqlError> {
        self.fence(term)?;
        self.role = GroupRole::Replica(Some(leader));
        Ok(())
    }

    /// Restarts the member: accepted term and log are durable, the role is reset.
    pub(crate) fn restart(&mut self) {
        self.role = GroupRole::Replica(None);
    }

    /// Rejects a write on a replica or on a superseded primary.
    ///
    /// A superseded primary still has its old role, but its term is no longer the accepted one,
    /// so nothing may be appended under it.
    pub(crate) fn check_writable(&self, statement: &'static str) -> Result<LogTerm, SqlError> {
        match self.role {
            GroupRole::Primary(term) if term == self.accepted => Ok(term),
            GroupRole::Primary(_) => Err(SqlError::TermRefused(self.accepted)),
            GroupRole::Replica(_) => Err(SqlError::ReadOnly(statement)),
        }
    }

    /// Begins a transaction on a snapshot of the applied tables.
    pub(crate) fn begin(&self) -> OpenTransaction {
        OpenTransaction::new(self.accepted, self.log.applied(), self.log.database().clone())
    }

    /// Commits a transaction; a failed commit changes nothing.
    pub(crate) fn commit(&mut self, transaction: OpenTransaction) -> Result<LogStamp, SqlError> {
        if transaction.effects.is_empty() {
            return Ok(self.log.applied());
        }
        // A member that was demoted after the transaction began rejects the commit like a fenced
        // member, since the changes were made under a superseded term.
        let may_commit = self.is_primary_of(self.accepted) && transaction.term == self.accepted;
        if !may_commit {
            return Err(SqlError::TermRefused(self.accepted));
        }
        if transaction.base_stamp == self.log.applied() {
            let database = Some(transaction.current);
            return Ok(self.log.append_as_primary(self.accepted, transaction.effects, database));
        }
        let mut database = self.log.database().clone();
        let merged = transaction
            .effects
            .iter()
            .try_for_each(|effect| database.check_unchanged(&transaction.base, effect));
        let merged = merged.and_then(|()| {
            transaction.effects.iter().try_for_each(|effect| database.apply(effect))
        });
        match merged {
            Ok(()) => {
                Ok(self.log.append_as_primary(self.accepted, transaction.effects, Some(database)))
            }
            Err(SqlError::UniqueViolation(_)) if transaction.has_conflict_rule => {
                Err(SqlError::Conflict)
            }
            Err(SqlError::UnknownTable(_) | SqlError::DuplicateTable(_)) => Err(SqlError::Conflict),
            Err(error) => Err(error),
        }
    }
}
