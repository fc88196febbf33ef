//! What a submission changes in a revision, worked out without a network.

use super::record::{
    KEEP_MARKS, KEEP_REVISIONS, RetiredObject, RevisionFile, RevisionMark, RevisionNumber,
    SettingsRevision,
};
use rudder_core::{WriterMark, plain_data};
use rudder_settings::FileName;
use std::fmt;

plain_data! {
    /// Another operator changed a file that this submission changes too.
    pub struct FileConflict {
        /// The file.
        pub file: FileName,
        /// The revision in force.
        pub number: RevisionNumber,
    }
}

impl fmt::Display for FileConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, number } = self;
        write!(f, "{file} was changed by another operator up to revision {number}; ")?;
        f.write_str("fetch the folder again, then change the file and submit it")
    }
}

impl std::error::Error for FileConflict {}

plain_data! {
    /// The wanted version of one file; none removes it.
    pub(crate) struct WantedFile {
        pub(crate) name: FileName,
        pub(crate) object: Option<String>,
    }
}

/// Lays the wanted files over `current`; none when nothing would change.
///
/// `base` is the revision from which the operator started. A file that is as it was there was not
/// changed by this operator and stays as it is now.
///
/// Guards against an operator's file that vanishes silently: two operators change the same file at
/// the same moment, and the later update would replace the earlier one unseen. The later one finds
/// that the file is neither as in its base nor as it wants it, and is refused.
pub(crate) fn plan_revision(
    current: &SettingsRevision,
    base: &SettingsRevision,
    wanted: &[WantedFile],
    mark: &WriterMark,
    above: RevisionNumber,
) -> Result<Option<SettingsRevision>, FileConflict> {
    let number = current.number.max(above).next();
    let mut next = current.clone();
    for file in wanted {
        let in_force = current.object(&file.name);
        let at_base = base.object(&file.name);
        let object = file.object.as_deref();
        // A wish to remove is always this operator's own, also where its base lacks the file.
        let untouched = object.is_some() && object == at_base;
        if object == in_force || untouched {
            continue;
        }
        if in_force != at_base {
            return Err(FileConflict { file: file.name.clone(), number: current.number });
        }
        replace_file(&mut next, file, number);
    }
    if next.files == current.files && above <= current.number {
        return Ok(None);
    }
    next.number = number;
    next.marks.push(RevisionMark { number, mark: mark.clone() });
    let excess = next.marks.len().saturating_sub(KEEP_MARKS);
    next.marks.drain(..excess);
    next.retired.retain(|retired| retired.number.0 + KEEP_REVISIONS > number.0);
    Ok(Some(next))
}

fn replace_file(revision: &mut SettingsRevision, file: &WantedFile, number: RevisionNumber) {
    let position = revision.files.binary_search_by(|known| known.name.cmp(&file.name));
    let replacement = file.object.clone();
    match (position, replacement) {
        (Ok(index), Some(object)) => {
            let object = std::mem::replace(&mut revision.files[index].object, object);
            revision.retired.push(RetiredObject { object, number });
        }
        (Ok(index), None) => {
            let object = revision.files.remove(index).object;
            revision.retired.push(RetiredObject { object, number });
        }
        (Err(index), Some(object)) => {
            let name = file.name.clone();
            revision.files.insert(index, RevisionFile { name, object });
        }
        (Err(_), None) => {}
    }
}
