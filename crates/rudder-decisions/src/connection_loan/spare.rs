//! Spare connections that other instances reported.

use crate::PlaceDistance;
use rudder_core::{MemberName, ServiceName};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time for which a report counts. Unchanged reports are repeated every two seconds, and one may be
/// lost.
const REPORT_VALIDITY: Duration = Duration::from_millis(4500);

/// Short key of a member in reports, so that these stay small. Two members with equal keys only
/// cause a request that is refused.
///
/// ```
/// use rudder_decisions::MemberKey;
/// let key = MemberKey::of(&"records".parse()?, &"db-1".parse()?);
/// assert_eq!(key, MemberKey::of(&"records".parse()?, &"db-1".parse()?));
/// assert_ne!(key, MemberKey::of(&"records".parse()?, &"db-2".parse()?));
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberKey(pub u32);

impl MemberKey {
    /// Returns the key of a member.
    ///
    /// See the example of [`MemberKey`].
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "a part of the hash is enough")]
    pub fn of(service: &ServiceName, member: &MemberName) -> Self {
        Self(xxh3_64(format!("{service}/{member}").as_bytes()) as u32)
    }
}

/// Spare connections to one member at one instance.
#[derive(Clone, Copy, Debug)]
struct SpareReport {
    member: MemberKey,
    lender: SocketAddr,
    distance: PlaceDistance,
    spare: u32,
    at: Duration,
}

/// Reports of the other instances.
///
/// ```
/// use rudder_decisions::{MemberKey, PlaceDistance, SpareBoard};
/// use std::time::Duration;
/// let (near, far) = (([10, 0, 0, 1], 1).into(), ([10, 0, 0, 2], 1).into());
/// let (member, now) = (MemberKey(7), Duration::from_secs(9));
/// let mut board = SpareBoard::default();
/// board.record(far, PlaceDistance::Elsewhere, &[(member, 1)], now);
/// board.record(near, PlaceDistance::SameDomain, &[(member, 1)], now);
/// assert_eq!(board.choose(member, 1, now), Some(near));
/// board.reduce(member, near, 1);
/// assert_eq!(board.choose(member, 1, now), Some(far));
/// assert_eq!(board.choose(member, 1, now + Duration::from_secs(5)), None, "the report is old");
/// ```
#[derive(Clone, Debug, Default)]
pub struct SpareBoard {
    reports: Vec<SpareReport>,
}

impl SpareBoard {
    /// Replaces all reports of a lender.
    ///
    /// See the example of [`SpareBoard`].
    pub fn record(
        &mut self,
        lender: SocketAddr,
        distance: PlaceDistance,
        spare: &[(MemberKey, u32)],
        now: Duration,
    ) {
        self.reports.retain(|report| report.lender != lender && now < report.at + REPORT_VALIDITY);
        let new = spare.iter().filter(|(_, spare)| *spare > 0);
        self.reports.extend(new.map(|(member, spare)| SpareReport {
            member: *member,
            lender,
            distance,
            spare: *spare,
            at: now,
        }));
    }

    /// Returns the instance to ask for connections to a member: the nearest, and among equally near
    /// ones the first by a hash that differs between borrowers (`own_seed`), so that they do not
    /// all ask the same one.
    ///
    /// See the example of [`SpareBoard`].
    #[must_use]
    pub fn choose(&self, member: MemberKey, own_seed: u64, now: Duration) -> Option<SocketAddr> {
        let valid = self.reports.iter().filter(|report| {
            report.member == member && report.spare > 0 && now < report.at + REPORT_VALIDITY
        });
        let hash = |lender: SocketAddr| xxh3_64_with_seed(lender.to_string().as_bytes(), own_seed);
        valid.min_by_key(|report| (report.distance, hash(report.lender))).map(|best| best.lender)
    }

    /// Lowers a reported number after the lender gave connections, refused, or did not respond.
    ///
    /// See the example of [`SpareBoard`].
    pub fn reduce(&mut self, member: MemberKey, lender: SocketAddr, count: u32) {
        for report in &mut self.reports {
            if report.member == member && report.lender == lender {
                report.spare = report.spare.saturating_sub(count);
            }
        }
    }
}
