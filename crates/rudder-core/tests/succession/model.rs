//! An in-memory model of a database group. It implements the control statements exactly and, where
//! they leave a choice, behaves in the worst permitted way: a primary that receives `follow` becomes
//! a replica and truncates its log.

use rudder_core::{
    ControlStatement, LogStamp, LogTerm, MemberName, MemberRole, MemberStatus, PlanReply,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ModelEntry {
    pub(crate) term: LogTerm,
    pub(crate) value: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct ModelMember {
    pub(crate) name: MemberName,
    pub(crate) up: bool,
    pub(crate) role: MemberRole,
    pub(crate) accepted: LogTerm,
    pub(crate) log: Vec<ModelEntry>,
    pub(crate) leader: Option<MemberName>,
}

#[derive(Clone, Debug)]
pub(crate) struct ModelGroup {
    pub(crate) members: Vec<ModelMember>,
}

pub(crate) fn member_name(index: usize) -> MemberName {
    format!("m{index}").parse().expect("a short name")
}

impl ModelMember {
    pub(crate) fn status(&self) -> MemberStatus {
        let position = self.log.len() as u64;
        let received = LogStamp::new(self.log.last().map_or(0, |entry| entry.term.0), position);
        MemberStatus { role: self.role, accepted: self.accepted, received, applied: received }
    }

    fn accept(&mut self, term: LogTerm) -> bool {
        if term > self.accepted {
            self.accepted = term;
            self.role = MemberRole::Replica;
            self.leader = None;
        }
        term == self.accepted
    }
}

impl ModelGroup {
    /// Creates a group whose first member is primary of term 1 and from which all others replicate.
    pub(crate) fn new(count: usize) -> Self {
        let member = |index| ModelMember {
            name: member_name(index),
            up: true,
            role: if index == 0 { MemberRole::Primary } else { MemberRole::Replica },
            accepted: LogTerm(1),
            log: Vec::new(),
            leader: (index > 0).then(|| member_name(0)),
        };
        Self { members: (0..count).map(member).collect() }
    }

    pub(crate) fn index_of(&self, name: &MemberName) -> usize {
        self.members.iter().position(|member| member.name == *name).expect("a member")
    }

    pub(crate) fn run(&mut self, index: usize, statement: &ControlStatement) -> PlanReply {
        let member = &mut self.members[index];
        if !member.up {
            return PlanReply::NoResponse;
        }
        match statement {
            ControlStatement::Status => {}
            ControlStatement::Fence(term) => {
                if !member.accept(*term) {
                    return PlanReply::Superseded(member.accepted);
                }
            }
            ControlStatement::Promote(term) if *term < member.accepted => {
                return PlanReply::Superseded(member.accepted);
            }
            ControlStatement::Promote(term) if *term > member.accepted => {
                return PlanReply::Refused;
            }
            ControlStatement::Promote(_) => {
                member.role = MemberRole::Primary;
                member.leader = None;
            }
            ControlStatement::Follow(term, leader) => {
                if !member.accept(*term) {
                    return PlanReply::Superseded(member.accepted);
                }
                member.role = MemberRole::Replica;
                member.leader = Some(leader.clone());
            }
        }
        PlanReply::Status(member.status())
    }

    /// Replicates from the member's leader: drops the entries that the leader lacks, and appends up
    /// to `count` more.
    pub(crate) fn replicate(&mut self, index: usize, count: usize) {
        let Some(leader) = self.members[index].leader.clone() else { return };
        let leader = self.members[self.index_of(&leader)].clone();
        let member = &mut self.members[index];
        if !member.up || !leader.up || leader.accepted != member.accepted {
            return;
        }
        let same = member.log.iter().zip(&leader.log).take_while(|(own, theirs)| own == theirs);
        let shared = same.count();
        member.log.truncate(shared);
        member.log.extend(leader.log.iter().skip(shared).take(count));
    }

    pub(crate) fn write(&mut self, index: usize, value: u64) -> Option<LogStamp> {
        let member = &mut self.members[index];
        if !member.up || member.role != MemberRole::Primary {
            return None;
        }
        member.log.push(ModelEntry { term: member.accepted, value });
        Some(member.status().received)
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.members[index].up = false;
    }

    /// Restarts a stopped member as a replica that does not replicate from any member.
    pub(crate) fn restart(&mut self, index: usize) {
        let member = &mut self.members[index];
        if !member.up {
            member.up = true;
            member.role = MemberRole::Replica;
            member.leader = None;
        }
    }
}
