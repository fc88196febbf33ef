//! Message about the part of the fleet that a hub is connected to.

use rudder_core::{DomainName, InstanceName, plain_data};
use rudder_decisions::{DomainCount, ReachReport};
use serde::{Deserialize, Serialize};

plain_data! {
    /// Number of instances of a failure domain that a hub there receives heartbeats from.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct CountedDomain {
        pub(crate) domain: DomainName,
        pub(crate) count: u32,
    }
}

impl From<DomainCount> for CountedDomain {
    fn from(DomainCount { domain, count }: DomainCount) -> Self {
        Self { domain, count: u32::try_from(count).unwrap_or(u32::MAX) }
    }
}

impl From<CountedDomain> for DomainCount {
    fn from(CountedDomain { domain, count }: CountedDomain) -> Self {
        Self { domain, count: count as usize }
    }
}

plain_data! {
    /// Instances that the sender, a hub, is connected to. Older builds drop the message.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct ReachNotice {
        pub(crate) reporter: InstanceName,
        /// The sender's failure domain.
        pub(crate) own: CountedDomain,
        /// Other domains whose hubs report to the sender; empty in messages to these.
        pub(crate) others: Vec<CountedDomain>,
    }
}

impl From<ReachReport> for ReachNotice {
    fn from(ReachReport { reporter, own, others }: ReachReport) -> Self {
        let others = others.into_iter().map(CountedDomain::from).collect();
        Self { reporter, own: own.into(), others }
    }
}

impl From<ReachNotice> for ReachReport {
    fn from(ReachNotice { reporter, own, others }: ReachNotice) -> Self {
        let others = others.into_iter().map(DomainCount::from).collect();
        Self { reporter, own: own.into(), others }
    }
}
