//! Table of notes on log lines.

/// Note on the log lines with a message and, if a field is named, a value of it.
pub(super) struct LineNote {
    pub(super) message: &'static str,
    /// Field whose value has to match; empty if the note belongs to all lines with the message.
    pub(super) field: &'static str,
    pub(super) value: &'static str,
    pub(super) note: &'static str,
}

const NOT_SERVED: &str = "a forwarded request was not served";
const DECLINED: &str = "a forwarded request was declined";
const LOAN_CHANGED: &str = "a loan of connections changed";
const HOLDERS_CHANGED: &str = "whether connections are left to their holders changed";
const ROLE_CHANGED: &str =
    "the role of this instance in counting the operations of an account changed";
const OPERATION_REFUSED: &str = "an operation was refused";
const ROLLED_BACK: &str = "a transaction of an origin was rolled back";

const fn note(
    message: &'static str,
    field: &'static str,
    value: &'static str,
    note: &'static str,
) -> LineNote {
    LineNote { message, field, value, note }
}

/// Notes, sorted by message for the binary search.
pub(super) const NOTES: [LineNote; 70] = [
    note(
        "a connection of an origin ended",
        "",
        "",
        "the transactions that the origin had open at this holder were rolled back",
    ),
    note(DECLINED, "reason", "draining", "the holder is shutting down; it accepts no new work"),
    note(
        DECLINED,
        "reason",
        "expired",
        "the request was over when the holder read it, or had waited while the holder did not \
         run",
    ),
    note(
        DECLINED,
        "reason",
        "invalid",
        "the request cannot be used; the origin is of another build, or faulty",
    ),
    note(
        DECLINED,
        "reason",
        "overloaded",
        "the request would wait at the holder for longer than it may, or the holder has 256 \
         requests or 16 MiB in progress",
    ),
    note(
        DECLINED,
        "reason",
        "unknown_account",
        "the holder's settings have no such account; compare the versions of the settings",
    ),
    note(
        DECLINED,
        "reason",
        "unknown_service",
        "the holder's settings have no such service; compare the versions of the settings",
    ),
    note(
        NOT_SERVED,
        "outcome",
        "refused",
        "the holder returned an error; its cause is in the lines of the holder",
    ),
    note(
        NOT_SERVED,
        "reason",
        "closed",
        "the connection to the holder ended; look for its end or its restart",
    ),
    note(NOT_SERVED, "reason", "draining", "the holder is shutting down; it accepts no new work"),
    note(
        NOT_SERVED,
        "reason",
        "expired",
        "the request was over when the holder read it, or had waited while the holder did not \
         run",
    ),
    note(
        NOT_SERVED,
        "reason",
        "invalid",
        "the request cannot be used; the origin is of another build, or faulty",
    ),
    note(
        NOT_SERVED,
        "reason",
        "malformed",
        "the holder sent bytes that cannot be decoded; compare the builds of the two instances",
    ),
    note(
        NOT_SERVED,
        "reason",
        "overloaded",
        "the request would wait at the holder for longer than it may, or the holder has 256 \
         requests or 16 MiB in progress",
    ),
    note(
        NOT_SERVED,
        "reason",
        "queue_full",
        "more requests wait to be written to the holder than may wait; check the link between \
         the two instances",
    ),
    note(
        NOT_SERVED,
        "reason",
        "silent",
        "the holder did not answer for 600 ms: killed, suspended or cut off",
    ),
    note(
        NOT_SERVED,
        "reason",
        "timeout",
        "no reply by the deadline and 100 ms, while the holder answered pings: the member or the \
         holder is slow",
    ),
    note(NOT_SERVED, "reason", "too_large", "the request exceeds 4 MiB; it runs at the origin"),
    note(NOT_SERVED, "reason", "undeliverable", "the request ran, but its reply exceeds 4 MiB"),
    note(
        NOT_SERVED,
        "reason",
        "unknown_account",
        "the holder's settings have no such account; compare the versions of the settings",
    ),
    note(
        NOT_SERVED,
        "reason",
        "unknown_service",
        "the holder's settings have no such service; compare the versions of the settings",
    ),
    note(
        NOT_SERVED,
        "reason",
        "unreachable",
        "no connection to the holder could be opened; check the link between the two instances",
    ),
    note(
        "a forwarded request was served",
        "",
        "",
        "the holder ran the request and returned the reply; took_ms includes the way there and \
         back",
    ),
    note(
        "a forwarded request's reply was dropped",
        "",
        "",
        "it came after its request had been given up, or the holder is faulty",
    ),
    note(
        "a forwarding connection ended",
        "",
        "",
        "requests that were pending on it are lost, or not sent if they were not written yet",
    ),
    note(
        "a forwarding connection ended",
        "reason",
        "broken",
        "the connection was reset; look for the holder's restart or the link",
    ),
    note(
        "a forwarding connection ended",
        "reason",
        "closed_by_peer",
        "the holder closed it: it ended, or rejected a message",
    ),
    note("a forwarding connection ended", "reason", "idle", "it was unused for 30 s"),
    note(
        "a forwarding connection ended",
        "reason",
        "malformed",
        "the holder sent bytes that cannot be decoded; compare the builds of the two instances",
    ),
    note(
        "a forwarding connection ended",
        "reason",
        "silent",
        "the holder did not answer for 600 ms: killed, suspended or cut off",
    ),
    note(
        "a forwarding connection was not opened",
        "",
        "",
        "the holder is skipped for 1 to 8 s, and its requests go to the next one",
    ),
    note(
        "a forwarding connection was not opened",
        "reason",
        "broken",
        "the peer refused or reset it; look for its restart or the link",
    ),
    note(
        "a forwarding connection was not opened",
        "reason",
        "closed_by_peer",
        "the peer closed it at once: an older build does not forward",
    ),
    note(
        "a forwarding connection was not opened",
        "reason",
        "timeout",
        "the peer did not answer; check the link between the two instances",
    ),
    note(
        "a forwarding connection was not opened",
        "reason",
        "version",
        "the peer runs a build with other messages; the two do not forward to each other",
    ),
    note(
        LOAN_CHANGED,
        "event",
        "borrowed",
        "this instance may use more connections than its share for a limited time",
    ),
    note(
        LOAN_CHANGED,
        "event",
        "ignored",
        "a message about a loan that this instance does not know, or that came twice",
    ),
    note(
        LOAN_CHANGED,
        "event",
        "lent",
        "the sender lowered its own share and lent connections to the peer",
    ),
    note(LOAN_CHANGED, "event", "recalled", "the lender asked for its connections back"),
    note(
        LOAN_CHANGED,
        "reason",
        "borrowing",
        "the lender borrows connections to this member itself",
    ),
    note(LOAN_CHANGED, "reason", "callers_wait", "the lender's own callers wait"),
    note(
        LOAN_CHANGED,
        "reason",
        "disabled",
        "loans are no longer used, by the settings or the list of instances",
    ),
    note(LOAN_CHANGED, "reason", "ended", "the loan had ended before its renewal"),
    note(LOAN_CHANGED, "reason", "expired", "the validity of the loan ended"),
    note(LOAN_CHANGED, "reason", "invalid", "the request asks for no connections"),
    note(LOAN_CHANGED, "reason", "no_spare", "the lender has no connection to spare"),
    note(
        LOAN_CHANGED,
        "reason",
        "overdue",
        "a transaction outlasted its loan: one connection too many was open until it ended",
    ),
    note(LOAN_CHANGED, "reason", "recalled", "the lender asked for the connections back"),
    note(
        LOAN_CHANGED,
        "reason",
        "starting",
        "the lender has just started: an earlier process of it may have lent the connections",
    ),
    note(
        LOAN_CHANGED,
        "reason",
        "unanswered",
        "the lender did not respond within 80 ms; the next one is asked",
    ),
    note(
        LOAN_CHANGED,
        "reason",
        "unknown",
        "a response came to no pending request, so its loan was returned at once",
    ),
    note(LOAN_CHANGED, "reason", "unused", "the borrower had not used the loan for 200 ms"),
    note(ROLLED_BACK, "reason", "draining", "the holder was about to end"),
    note(
        ROLLED_BACK,
        "reason",
        "idle",
        "no statement arrived within the idle timeout of transactions",
    ),
    note(ROLLED_BACK, "reason", "origin", "the origin asked for it, or its connection ended"),
    note(
        OPERATION_REFUSED,
        "decided_by",
        "local",
        "the owner had said that all tokens are promised, so it was not asked again",
    ),
    note(
        OPERATION_REFUSED,
        "decided_by",
        "owner",
        "the claim was sent to the owners of the account; the field owner names the one that \
         decided",
    ),
    note(
        OPERATION_REFUSED,
        "reserved",
        "false",
        "no token is held: none is free within half of the latency target",
    ),
    note(
        OPERATION_REFUSED,
        "reserved",
        "true",
        "a token is held for a retry in this session after retry_after_ms",
    ),
    note(
        "the result of a forwarded request was not sent",
        "",
        "",
        "the connection to the origin ended before; the origin counts the request as lost",
    ),
    note(ROLE_CHANGED, "role", "Absent", "another instance is the owner"),
    note(
        ROLE_CHANGED,
        "role",
        "Detached",
        "this instance may be cut off: it grants what its bucket holds and little more",
    ),
    note(ROLE_CHANGED, "role", "Full", "this instance is the owner and grants the whole rate"),
    note(
        ROLE_CHANGED,
        "role",
        "Provisional",
        "an earlier owner has become silent: only a part of the limit is granted until it has \
         been silent for 1.9 s",
    ),
    note(
        ROLE_CHANGED,
        "role",
        "Settled",
        "this instance has been the only owner for a whole window and grants rate and burst",
    ),
    note(
        ROLE_CHANGED,
        "role",
        "Successor",
        "this instance replaced the owner: it grants the rate without the burst until 4.9 s have \
         passed",
    ),
    note(
        "this instance no longer counts the operations of an account",
        "",
        "",
        "an earlier owner responds again and counts alone",
    ),
    note(
        "this process did not run; forwarded requests from that time are declined",
        "",
        "",
        "the machine was suspended or starved; look at gap_ms",
    ),
    note(
        HOLDERS_CHANGED,
        "reason",
        "connections_ample",
        "each instance uses its own connections: nothing is forwarded",
    ),
    note(
        HOLDERS_CHANGED,
        "reason",
        "connections_scarce",
        "instances and accounts exceed the connections of a member: statements are forwarded to \
         holders",
    ),
];
