//! Names of invalid objects, so that each is logged once.

/// Maximum number of names that are kept. Names beyond it are not logged.
const NAMES_MAX: usize = 1000;

/// Names of objects that were found to be invalid and logged.
#[derive(Clone, Debug, Default)]
pub struct InvalidNames {
    /// Sorted.
    names: Vec<String>,
}

impl InvalidNames {
    /// Adds a name. Returns whether it is new, and the object is therefore to be logged.
    ///
    /// ```
    /// let mut names = rudder_store::InvalidNames::default();
    /// assert!(names.insert("stranger"));
    /// assert!(!names.insert("stranger"));
    /// ```
    pub fn insert(&mut self, name: &str) -> bool {
        let found = self.names.binary_search_by(|known| known.as_str().cmp(name));
        match found {
            Err(index) if self.names.len() < NAMES_MAX => {
                self.names.insert(index, name.to_owned());
                true
            }
            _ => false,
        }
    }

    /// Removes the name of an object that is valid.
    ///
    /// ```
    /// let mut names = rudder_store::InvalidNames::default();
    /// names.insert("stranger");
    /// names.remove("stranger");
    /// assert!(names.insert("stranger"));
    /// ```
    pub fn remove(&mut self, name: &str) {
        if let Ok(index) = self.names.binary_search_by(|known| known.as_str().cmp(name)) {
            self.names.remove(index);
        }
    }
}
