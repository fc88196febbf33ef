//! Computes the revision that results from a submission, without accessing the platform.

use super::record::{
    KEEP_MARKS, KEEP_REVISIONS, RetiredObject, RevisionFile, RevisionMark, RevisionNumber,
    SettingsRevision,
};
use rudder_core::{WriterMark, plain_data};
use rudder_settings::FileName;
use std::fmt;

plain_data! {
    /// Error for a file that another operator changed since the base revision of a submission.
    pub struct FileConflict {
        /// Name of the file.
        pub file: FileName,
        /// Number of the revision in force.
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
    /// Requested object of one file; `None` removes the file.
    pub(crate) struct WantedFile {
        pub(crate) name: FileName,
        pub(crate) object: Option<String>,
    }
}

/// Applies the requested files to `current`. Returns `None` if nothing would change.
///
/// `base` is the revision from which the operator started. A file that equals the one in `base` was
/// not changed by this operator and keeps its current content.
///
/// If two operators change the same file concurrently, the later update would silently overwrite
/// the earlier one. It is rejected instead, because the current file differs both from `base` and
/// from the requested content.
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
        // A removal is always an explicit change by this operator, even if `base` lacks the file.
        let unchanged = object.is_some() && object == at_base;
        if object == in_force || unchanged {
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
