//! This instance's questions to its peers, and who answered them.

use crate::lead::LeaderEpoch;
use rudder_core::{InstanceName, ServiceName};
use std::collections::VecDeque;
use std::time::Duration;

/// Questions whose answers are still taken; some seconds' worth.
const QUESTIONS_MAX: usize = 32;

/// How many instances confirmed one version of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RecordTally {
    service: ServiceName,
    epoch: LeaderEpoch,
    count: usize,
}

/// A question and what came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenQuestion {
    number: u64,
    sent_at: Duration,
    /// Who answered, sorted.
    answered: Vec<InstanceName>,
    /// Sorted by service and version.
    tallies: Vec<RecordTally>,
}

/// Questions of this instance's own, oldest first.
#[derive(Debug, Default)]
pub(crate) struct QuestionLog {
    questions: VecDeque<OpenQuestion>,
}

impl QuestionLog {
    /// Takes in that a question is sent at `now`; one that is sent again counts from the first time.
    pub(crate) fn note_question(&mut self, number: u64, now: Duration) {
        if self.find(number).is_some() {
            return;
        }
        if self.questions.len() == QUESTIONS_MAX {
            self.questions.pop_front();
        }
        let (answered, tallies) = (Vec::new(), Vec::new());
        self.questions.push_back(OpenQuestion { number, sent_at: now, answered, tallies });
    }

    /// When a question was sent; several peers may answer the same one.
    pub(crate) fn asked_at(&self, number: u64) -> Option<Duration> {
        let asked = self.questions.iter().find(|known| known.number == number);
        asked.map(|known| known.sent_at)
    }

    /// Takes in that an instance answered a question; returns whether it is its first answer.
    pub(crate) fn note_answer(&mut self, number: u64, instance: &InstanceName) -> bool {
        let Some(question) = self.find(number) else { return false };
        match question.answered.binary_search(instance) {
            Ok(_) => false,
            Err(index) => {
                question.answered.insert(index, instance.clone());
                true
            }
        }
    }

    /// How many instances have answered a question.
    pub(crate) fn answer_count(&self, number: u64) -> usize {
        let asked = self.questions.iter().find(|known| known.number == number);
        asked.map_or(0, |known| known.answered.len())
    }

    /// Counts an instance's first answer to a question; returns how many instances have confirmed the
    /// same version, this one included.
    pub(crate) fn count_confirmation(
        &mut self,
        number: u64,
        service: &ServiceName,
        epoch: LeaderEpoch,
    ) -> usize {
        let Some(question) = self.find(number) else { return 1 };
        let order = |known: &RecordTally| (&known.service, known.epoch).cmp(&(service, epoch));
        let index = match question.tallies.binary_search_by(order) {
            Ok(index) => index,
            Err(index) => {
                let tally = RecordTally { service: service.clone(), epoch, count: 0 };
                question.tallies.insert(index, tally);
                index
            }
        };
        let tally = &mut question.tallies[index];
        tally.count += 1;
        tally.count + 1
    }

    fn find(&mut self, number: u64) -> Option<&mut OpenQuestion> {
        self.questions.iter_mut().find(|known| known.number == number)
    }
}
