//! Suggests the known key that is most similar to an unknown one.

/// Maximum edit distance of a suggested key.
const DISTANCE_MAX: usize = 3;

/// Returns the known key that is most similar to `key`, unless the edit distance is too large.
pub(crate) fn nearest_key<'k>(key: &str, known: &[&'k str]) -> Option<&'k str> {
    let distance_max = DISTANCE_MAX.min(key.chars().count() / 2);
    let distances = known.iter().map(|candidate| (edit_distance(key, candidate), *candidate));
    let (distance, candidate) = distances.min()?;
    (distance <= distance_max).then_some(candidate)
}

/// Returns the Levenshtein distance between two strings.
fn edit_distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (row_index, character) in one.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = row_index + 1;
        for (index, candidate) in other.iter().enumerate() {
            let replaced = diagonal + usize::from(character != *candidate);
            diagonal = row[index + 1];
            row[index + 1] = replaced.min(diagonal + 1).min(row[index] + 1);
        }
    }
    row[other.len()]
}
