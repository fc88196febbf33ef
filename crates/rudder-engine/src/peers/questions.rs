//! This instance's questions to its peers, and who answered them.

use crate::clock::boot_time;
use crate::lead::LeaderEpoch;
use rudder_core::{InstanceName, ServiceName};
use std::collections::VecDeque;
use std::time::Duration;

/// Questions whose answers are still taken; some seconds' worth.
const QUESTIONS_MAX: usize = 32;

/// Answers that are kept: those of a few questions to all of a fleet about all services.
const CONFIRMATIONS_MAX: usize = 4096;

/// An instance's word that it knows of no later version of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PeerConfirmation {
    question: u64,
    instance: InstanceName,
    service: ServiceName,
    epoch: LeaderEpoch,
}

/// Questions of this instance's own, and their answers.
#[derive(Debug, Default)]
pub(crate) struct QuestionLog {
    /// Each with the time at which it was sent, oldest first.
    questions: VecDeque<(u64, Duration)>,
    /// Who answered which, oldest first.
    answers: VecDeque<(u64, InstanceName)>,
    /// What they confirmed, oldest first.
    confirms: Vec<PeerConfirmation>,
}

impl QuestionLog {
    /// How many instances have answered a question.
    pub(crate) fn answer_count(&self, question: u64) -> usize {
        let of_question = self.answers.iter().filter(|(known, _)| *known == question);
        of_question.count()
    }

    /// Takes in that an instance answered a question.
    pub(crate) fn note_answer(&mut self, question: u64, instance: &InstanceName) {
        let answer = (question, instance.clone());
        if !self.answers.contains(&answer) {
            if self.answers.len() == CONFIRMATIONS_MAX {
                self.answers.pop_front();
            }
            self.answers.push_back(answer);
        }
    }

    /// Counts an answer to a question of this instance's own; returns how many instances have
    /// answered it with the same version, this one included.
    pub(crate) fn count_confirmation(
        &mut self,
        question: u64,
        instance: &InstanceName,
        service: &ServiceName,
        epoch: LeaderEpoch,
    ) -> usize {
        let oldest = self.questions.front().map_or(question, |(known, _)| *known);
        if self.confirms.len() >= CONFIRMATIONS_MAX {
            let stale =
                self.confirms.iter().filter(|confirmation| confirmation.question == oldest).count();
            self.confirms.drain(..stale.max(1));
        }
        let confirmation = PeerConfirmation {
            question,
            instance: instance.clone(),
            service: service.clone(),
            epoch,
        };
        if !self.confirms.contains(&confirmation) {
            self.confirms.push(confirmation);
        }
        let same = self.confirms.iter().filter(|confirmation| {
            confirmation.question == question
                && confirmation.service == *service
                && confirmation.epoch == epoch
        });
        same.count() + 1
    }

    /// Takes in that a question is about to be sent.
    pub(crate) fn note_question(&mut self, question: u64) {
        if self.questions.len() == QUESTIONS_MAX {
            self.questions.pop_front();
        }
        self.questions.push_back((question, boot_time()));
    }

    /// When a question was sent; several peers may answer the same one.
    pub(crate) fn asked_at(&self, question: u64) -> Option<Duration> {
        let asked = self.questions.iter().find(|(known, _)| *known == question);
        asked.map(|(_, at)| *at)
    }
}
