//! An operator's order to switch a group's primary.

use super::reservation::WriterMark;
use crate::ident::MemberName;
use crate::plain_data;
use serde::{Deserialize, Serialize};

plain_data! {
    /// A planned switch of the primary. Its object in the platform has the service's name and is
    /// removed after the order was carried out or rejected.
    #[derive(Serialize, Deserialize)]
    pub struct SwitchOrder {
        /// The member that is to become primary.
        pub target: MemberName,
        /// Distinguishes one order from the next.
        pub mark: WriterMark,
    }
}
