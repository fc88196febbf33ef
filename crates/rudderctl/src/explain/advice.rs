//! Explanations of the reasons and outcomes in log lines, with hints for the next step.

/// Explanation of a reason or outcome.
struct ReasonMeaning {
    reason: &'static str,
    meaning: &'static str,
}

/// Explanations, sorted by reason for the binary search.
const MEANINGS: [ReasonMeaning; 22] = [
    ReasonMeaning {
        reason: "all connections are in use",
        meaning: "a burst at this instance, or the member still counts connections of machines \
                  that were lost; look for connection_limit",
    },
    ReasonMeaning {
        reason: "declined",
        meaning: "the holder sent nothing to a member; the request went on to the next holder or \
                  ran at the instance that the caller is connected to, where only one in 64 \
                  served requests is logged",
    },
    ReasonMeaning {
        reason: "holders_overloaded",
        meaning: "all holders of the account's connections to the member expect the request to \
                  wait too long; nothing ran; look for overloaded, then at the load of the \
                  holders and of the member",
    },
    ReasonMeaning {
        reason: "in_doubt",
        meaning: "the change may have been kept: no answer came after it was sent, or the \
                  primary was changed meanwhile; the next record of the primary tells from where \
                  on (base)",
    },
    ReasonMeaning {
        reason: "lost",
        meaning: "the holder may have run the request, and its reply was lost; a read is run \
                  elsewhere, a transaction is aborted; look for the holder's last lines",
    },
    ReasonMeaning {
        reason: "no member could be reached",
        meaning: "every member refused connections or is unreachable from this instance",
    },
    ReasonMeaning {
        reason: "no member could serve the read in time",
        meaning: "replicas lack the position asked for, or all members are full; the lines \
                  before name each member's reason",
    },
    ReasonMeaning {
        reason: "no primary is confirmed",
        meaning: "a change of primary was under way, or neither the store nor enough peers \
                  confirmed the record lately; compare record_age_ms",
    },
    ReasonMeaning {
        reason: "not_sent",
        meaning: "the holder did not receive the request; it went on to the next holder or ran \
                  at the instance that the caller is connected to, where only one in 64 served \
                  requests is logged",
    },
    ReasonMeaning {
        reason: "refused",
        meaning: "the holder or its member returned an error, and the caller received it; the \
                  holder's lines name the member and the cause, if they are among the logs",
    },
    ReasonMeaning {
        reason: "rolled_back",
        meaning: "the transaction's connection or primary was lost before its commit; nothing is \
                  kept",
    },
    ReasonMeaning {
        reason: "served",
        meaning: "a member answered; if the caller has no answer, its connection to the instance \
                  broke",
    },
    ReasonMeaning {
        reason: "the account's limit cannot be looked up",
        meaning: "none of the instances that may count for the account answered and counted \
                  within 0.6 s; look for who counts (the role of this instance in counting) and \
                  for links between instances",
    },
    ReasonMeaning {
        reason: "the account's limit is used up",
        meaning: "the account ran as many operations as its limit allows, over all instances; \
                  the line names account, owner and the version of the settings that gave the \
                  limit",
    },
    ReasonMeaning {
        reason: "the log lacks the position asked for",
        meaning: "the member lags; another one was tried, or none was left in time",
    },
    ReasonMeaning {
        reason: "the primary cannot be reached",
        meaning: "connections to the primary fail; if most readers see the same, it is replaced",
    },
    ReasonMeaning {
        reason: "the primary has lost the lead",
        meaning: "the member answered as a replica: it was replaced, or stepped down",
    },
    ReasonMeaning {
        reason: "the primary is busy",
        meaning: "all slots and the queue of the primary were taken",
    },
    ReasonMeaning {
        reason: "the primary's position is not known",
        meaning: "no position of the primary within the bound: it was silent, or this instance \
                  had just started; compare sample_age_ms",
    },
    ReasonMeaning {
        reason: "timed_out",
        meaning: "members were tried until the statement timed out; a read was completed by no \
                  member",
    },
    ReasonMeaning {
        reason: "too much work is waiting",
        meaning: "the member's slots and its queue were full; a transaction stays with its \
                  member, so it ends there",
    },
    ReasonMeaning {
        reason: "withheld",
        meaning: "the answer came from a primary that was no longer confirmed, and was not \
                  passed on",
    },
];

/// Returns the explanation of a reason or outcome, if it is known.
pub(super) fn meaning_of(reason: &str) -> Option<&'static str> {
    let found = MEANINGS.binary_search_by(|known| known.reason.cmp(reason));
    found.ok().map(|index| MEANINGS[index].meaning)
}

#[cfg(test)]
mod tests;
