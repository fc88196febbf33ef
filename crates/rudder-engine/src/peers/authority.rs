//! Confirmation of the counting authority, in bytes that follow an encoded `Records` message. Older
//! builds ignore bytes after a message.

use super::offset::RequestOffset;
use rudder_core::{InstanceName, plain_data};
use rudder_decisions::AuthorityTerm;
use serde::{Deserialize, Serialize};

/// First byte of the trailer; another value belongs to a format that this build does not know.
const TRAILER_VERSION: u8 = 1;

plain_data! {
    /// Latest confirmation of the counting authority that an instance knows.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct AuthorityNotice {
        sequence: u64,
        holder: InstanceName,
        process: u64,
        /// Time of the confirmation.
        pub(crate) confirmed: Option<RequestOffset>,
    }
}

impl AuthorityNotice {
    pub(crate) fn new(term: &AuthorityTerm, confirmed: Option<RequestOffset>) -> Self {
        let AuthorityTerm { sequence, holder, process } = term.clone();
        Self { sequence, holder, process, confirmed }
    }
}

impl From<AuthorityNotice> for AuthorityTerm {
    fn from(notice: AuthorityNotice) -> Self {
        let AuthorityNotice { sequence, holder, process, .. } = notice;
        Self { sequence, holder, process }
    }
}

plain_data! {
    /// What a sender that counts operations of accounts knows of the counting authority.
    pub(crate) struct AuthorityTrailer {
        /// `None` if it has not learned of any.
        pub(crate) known: Option<AuthorityNotice>,
    }
}

impl AuthorityTrailer {
    pub(crate) fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&(TRAILER_VERSION, &self.known))
    }

    /// Parses the bytes that follow a message. Returns `None` if there are none, or if they are
    /// malformed or of another version.
    pub(crate) fn parse(bytes: &[u8]) -> Option<Self> {
        if bytes.is_empty() {
            return None;
        }
        let reason = match postcard::from_bytes::<(u8, Option<AuthorityNotice>)>(bytes) {
            Ok((TRAILER_VERSION, known)) => return Some(Self { known }),
            Ok(_) => "unknown_version".to_owned(),
            Err(error) => error.to_string(),
        };
        metrics::counter!("rudder_limit_authority_rejected_total", "reason" => "malformed")
            .increment(1);
        log::debug!(reason:% = reason; "the bytes after a datagram's message were rejected");
        None
    }
}
