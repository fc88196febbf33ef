//! An operator's order to a group.

use super::reservation::WriterMark;
use crate::ident::MemberName;
use crate::plain_data;
use serde::{Deserialize, Serialize};

plain_data! {
    /// A planned switch of primary. The platform's object bears the service's name and is removed
    /// once the order was carried out or refused.
    #[derive(Serialize, Deserialize)]
    pub struct SwitchOrder {
        /// The member that shall become primary.
        pub target: MemberName,
        /// Tells one order from the next.
        pub mark: WriterMark,
    }
}
