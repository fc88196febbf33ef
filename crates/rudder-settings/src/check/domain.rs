//! `[domains.NAME]`: a failure domain.

use super::reader::TableReader;
use super::value::parse_text;
use crate::model::DomainSettings;
use rudder_core::DomainName;

pub(crate) fn read_domain(
    name: DomainName,
    reader: &mut TableReader<'_, '_>,
) -> Option<DomainSettings> {
    let region = reader.required("region", "\"kigali\"", parse_text);
    reader.finish();
    Some(DomainSettings { name, region: region? })
}
