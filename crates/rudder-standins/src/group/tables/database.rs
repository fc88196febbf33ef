//! Tables, rows and row changes. Tables are persistent maps, so a snapshot is a cheap clone.

use crate::group::sql::error::SqlError;
use crate::group::sql::value::{SqlType, SqlValue};
use imbl::OrdMap;
use std::sync::Arc;

/// Key of a row: the values of its primary key columns, or a hidden number.
pub(crate) type RowKey = Vec<SqlValue>;

/// Values of a row in the order of the table's columns.
pub(crate) type RowValues = Arc<[SqlValue]>;

/// Value of a column that an insert does not name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ColumnDefault {
    Null,
    Value(SqlValue),
    /// Next number of the group's sequence.
    Sequence,
    /// Current wall-clock time as text.
    Now,
}

/// One column of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ColumnSchema {
    pub(crate) name: Arc<str>,
    pub(crate) kind: SqlType,
    pub(crate) not_null: bool,
    pub(crate) default: ColumnDefault,
}

/// A unique constraint over columns given by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UniqueKey {
    pub(crate) name: Arc<str>,
    pub(crate) columns: Vec<usize>,
}

/// Columns and constraints of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TableSchema {
    pub(crate) name: Arc<str>,
    pub(crate) columns: Vec<ColumnSchema>,
    /// Primary key; without one, rows are keyed by a hidden number.
    pub(crate) primary: Option<UniqueKey>,
    pub(crate) uniques: Vec<UniqueKey>,
}

impl TableSchema {
    /// Returns the index of the column with this name.
    pub(crate) fn column(&self, name: &str) -> Result<usize, SqlError> {
        self.columns
            .iter()
            .position(|column| column.name.as_ref() == name)
            .ok_or_else(|| SqlError::UnknownColumn(name.to_owned()))
    }
}

/// A table with its rows and its unique indexes.
#[derive(Clone, Debug)]
pub(crate) struct StoredTable {
    pub(crate) schema: Arc<TableSchema>,
    pub(crate) rows: OrdMap<RowKey, RowValues>,
    /// One per entry of `schema.uniques`; keys that contain a null are left out.
    pub(crate) indexes: Vec<OrdMap<RowKey, RowKey>>,
}

impl StoredTable {
    fn new(schema: Arc<TableSchema>) -> Self {
        let indexes = schema.uniques.iter().map(|_| OrdMap::new()).collect();
        Self { schema, rows: OrdMap::new(), indexes }
    }

    /// Returns the name of a unique constraint that a row with this key and these values violates.
    pub(crate) fn violation(&self, key: &RowKey, values: &[SqlValue]) -> Option<Arc<str>> {
        for (unique, index) in self.schema.uniques.iter().zip(&self.indexes) {
            let Some(entry) = index_key(unique, values) else { continue };
            if index.get(&entry).is_some_and(|owner| owner != key) {
                return Some(Arc::clone(&unique.name));
            }
        }
        None
    }

    fn put(&mut self, key: &RowKey, values: &RowValues) -> Result<(), SqlError> {
        if let Some(name) = self.violation(key, values) {
            return Err(SqlError::UniqueViolation(name.as_ref().to_owned()));
        }
        self.remove(key);
        for (unique, index) in self.schema.uniques.iter().zip(&mut self.indexes) {
            if let Some(entry) = index_key(unique, values) {
                index.insert(entry, key.clone());
            }
        }
        self.rows.insert(key.clone(), Arc::clone(values));
        Ok(())
    }

    fn remove(&mut self, key: &RowKey) {
        let Some(values) = self.rows.remove(key) else { return };
        for (unique, index) in self.schema.uniques.iter().zip(&mut self.indexes) {
            if let Some(entry) = index_key(unique, &values) {
                index.remove(&entry);
            }
        }
    }
}

fn index_key(unique: &UniqueKey, values: &[SqlValue]) -> Option<RowKey> {
    let key: RowKey = unique.columns.iter().map(|&column| values[column].clone()).collect();
    if key.contains(&SqlValue::Null) { None } else { Some(key) }
}

/// Change of one row or one table, as stored in a log entry.
#[derive(Clone, Debug)]
pub(crate) enum RowEffect {
    CreateTable(Arc<TableSchema>),
    DropTable(Arc<str>),
    Put { table: Arc<str>, key: RowKey, values: RowValues },
    Delete { table: Arc<str>, key: RowKey },
}

/// Snapshot of all tables.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupDatabase {
    tables: OrdMap<Arc<str>, Arc<StoredTable>>,
}

impl GroupDatabase {
    /// Returns the table with this name.
    pub(crate) fn table(&self, name: &str) -> Result<&Arc<StoredTable>, SqlError> {
        self.tables.get(name).ok_or_else(|| SqlError::UnknownTable(name.to_owned()))
    }

    /// Applies one effect; unique constraints are checked.
    pub(crate) fn apply(&mut self, effect: &RowEffect) -> Result<(), SqlError> {
        match effect {
            RowEffect::CreateTable(schema) => {
                if self.tables.contains_key(&schema.name) {
                    return Err(SqlError::DuplicateTable(schema.name.as_ref().to_owned()));
                }
                let table = StoredTable::new(Arc::clone(schema));
                self.tables.insert(Arc::clone(&schema.name), Arc::new(table));
                Ok(())
            }
            RowEffect::DropTable(name) => match self.tables.remove(name) {
                Some(_) => Ok(()),
                None => Err(SqlError::UnknownTable(name.as_ref().to_owned())),
            },
            RowEffect::Put { table, key, values } => self.table_mut(table)?.put(key, values),
            RowEffect::Delete { table, key } => {
                self.table_mut(table)?.remove(key);
                Ok(())
            }
        }
    }

    fn table_mut(&mut self, name: &Arc<str>) -> Result<&mut StoredTable, SqlError> {
        let table = self
            .tables
            .get_mut(name)
            .ok_or_else(|| SqlError::UnknownTable(name.as_ref().to_owned()))?;
        Ok(Arc::make_mut(table))
    }

    /// Checks that the row of this effect has not changed since `base`.
    ///
    /// This prevents lost updates: if two transactions read and change the same row, the second
    /// would overwrite the first. Snapshots share rows, so an unchanged row is the same allocation.
    pub(crate) fn check_unchanged(
        &self,
        base: &GroupDatabase,
        effect: &RowEffect,
    ) -> Result<(), SqlError> {
        let (RowEffect::Put { table, key, .. } | RowEffect::Delete { table, key }) = effect else {
            return Ok(());
        };
        let current = self.tables.get(table).and_then(|table| table.rows.get(key));
        let previous = base.tables.get(table).and_then(|table| table.rows.get(key));
        match (previous, current) {
            (None, None) => Ok(()),
            (Some(previous), Some(current)) if Arc::ptr_eq(previous, current) => Ok(()),
            (None, Some(_)) => Err(self.insert_conflict(table)),
            _ => Err(SqlError::Conflict),
        }
    }

    fn insert_conflict(&self, table: &str) -> SqlError {
        let primary = self.tables.get(table).and_then(|table| table.schema.primary.as_ref());
        match primary {
            Some(primary) => SqlError::UniqueViolation(primary.name.as_ref().to_owned()),
            None => SqlError::Conflict,
        }
    }
}
