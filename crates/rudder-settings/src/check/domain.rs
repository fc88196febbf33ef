//! Validates `[domains.NAME]`: a failure domain.

use super::reader::TableReader;
use super::value::parse_string;
use crate::model::DomainSettings;
use rudder_core::DomainName;

pub(crate) fn read_domain(
    name: DomainName,
    reader: &mut TableReader<'_, '_>,
) -> Option<DomainSettings> {
    let region = reader.required("region", "\"kigali\"", parse_string);
    reader.finish();
    Some(DomainSettings { name, region: region? })
}
