//! Which known key was probably meant.

/// Typing errors that still count as the same key.
const DISTANCE_MAX: usize = 3;

/// The known key nearest to `key`, if one is near.
pub(crate) fn nearest_key<'k>(key: &str, known: &[&'k str]) -> Option<&'k str> {
    let distance_max = DISTANCE_MAX.min(key.chars().count() / 2);
    let distances = known.iter().map(|candidate| (edit_distance(key, candidate), *candidate));
    let (distance, candidate) = distances.min()?;
    (distance <= distance_max).then_some(candidate)
}

/// Levenshtein's distance between two short texts.
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
