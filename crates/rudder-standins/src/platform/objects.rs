//! Objects of the platform stand-in, with one increasing version counter and conditional changes.

use serde_json::Value;

/// A stored object of any kind.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ObjectRow {
    pub(crate) plural: String,
    pub(crate) name: String,
    pub(crate) version: u64,
    pub(crate) body: Value,
}

/// Reason why a change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeRefusal {
    /// The object has another version, or the name already exists.
    Conflict,
    /// The object does not exist.
    Absent,
}

/// All objects, sorted by kind and name.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObjectTable {
    rows: Vec<ObjectRow>,
    last_version: u64,
}

impl ObjectTable {
    pub(crate) fn last_version(&self) -> u64 {
        self.last_version
    }

    pub(crate) fn get(&self, plural: &str, name: &str) -> Option<&ObjectRow> {
        let index = self.position(plural, name).ok()?;
        Some(&self.rows[index])
    }

    pub(crate) fn list(&self, plural: &str) -> Vec<ObjectRow> {
        self.rows.iter().filter(|row| row.plural == plural).cloned().collect()
    }

    pub(crate) fn create(
        &mut self,
        plural: &str,
        name: &str,
        body: Value,
    ) -> Result<ObjectRow, ChangeRefusal> {
        let Err(index) = self.position(plural, name) else {
            return Err(ChangeRefusal::Conflict);
        };
        self.last_version += 1;
        let row = ObjectRow {
            plural: plural.to_owned(),
            name: name.to_owned(),
            version: self.last_version,
            body,
        };
        self.rows.insert(index, row.clone());
        Ok(row)
    }

    pub(crate) fn replace(
        &mut self,
        plural: &str,
        name: &str,
        expected: Option<u64>,
        body: Value,
    ) -> Result<ObjectRow, ChangeRefusal> {
        let index = self.expected_position(plural, name, expected)?;
        self.last_version += 1;
        let row = &mut self.rows[index];
        row.version = self.last_version;
        row.body = body;
        Ok(row.clone())
    }

    pub(crate) fn remove(
        &mut self,
        plural: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<(), ChangeRefusal> {
        let index = self.expected_position(plural, name, expected)?;
        self.last_version += 1;
        self.rows.remove(index);
        Ok(())
    }

    fn expected_position(
        &self,
        plural: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<usize, ChangeRefusal> {
        let index = self.position(plural, name).map_err(|_| ChangeRefusal::Absent)?;
        match expected {
            Some(version) if version != self.rows[index].version => Err(ChangeRefusal::Conflict),
            _ => Ok(index),
        }
    }

    fn position(&self, plural: &str, name: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (row.plural.as_str(), row.name.as_str()).cmp(&(plural, name)))
    }
}
