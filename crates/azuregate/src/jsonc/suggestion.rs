//! Suggestions for unknown keys and names.

/// Unit suffixes and the names of the units.
const UNITS: &[(&str, &str)] = &[
    ("_mbit_per_s", "megabits a second"),
    ("_percent", "percent"),
    ("_bytes", "bytes"),
    ("_mbit", "megabits"),
    ("_ppm", "parts per million"),
    ("_sec", "seconds"),
    ("_min", "minutes"),
    ("_ms", "milliseconds"),
    ("_us", "microseconds"),
    ("_ns", "nanoseconds"),
    ("_mb", "megabytes"),
    ("_kb", "kilobytes"),
    ("_s", "seconds"),
    ("_h", "hours"),
];

/// A suggested key, with a message.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Suggestion<'a> {
    pub(crate) key: &'a str,
    pub(crate) message: String,
}

/// Returns the known key that was probably intended.
pub(crate) fn suggest_key<'a>(
    unknown: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> Option<Suggestion<'a>> {
    let (stem, unit) = split_unit(unknown);
    let same_stem = known.clone().find(|key| {
        let (known_stem, known_unit) = split_unit(key);
        known_stem == stem && known_unit.is_some()
    });
    if let Some(key) = same_stem {
        let wanted = split_unit(key).1.unwrap_or_default();
        let message = match unit {
            None => format!("the name lacks its unit; write {key:?}, in {wanted}"),
            Some(unit) => format!("this is not taken in {unit}; write {key:?}, in {wanted}"),
        };
        return Some(Suggestion { key, message });
    }
    let key = closest_match(unknown, known)?;
    Some(Suggestion { key, message: format!("did you mean {key:?}?") })
}

fn split_unit(key: &str) -> (&str, Option<&'static str>) {
    let unit = UNITS.iter().find(|(suffix, _)| key.ends_with(suffix) && key.len() > suffix.len());
    match unit {
        Some((suffix, name)) => (&key[..key.len() - suffix.len()], Some(name)),
        None => (key, None),
    }
}

/// Returns the known name with the least edit distance to `unknown`, unless the distance
/// is too large for a typo.
pub fn closest_match<'a>(unknown: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let unknown = normalize(unknown);
    let (distance, name) =
        known.map(|name| (edit_distance(&unknown, &normalize(name)), name)).min()?;
    (distance <= unknown.len().div_ceil(3).min(3)).then_some(name)
}

/// Normalizes a name to lower case without separators, so that `timeoutMs` matches
/// `timeout_ms`.
fn normalize(name: &str) -> Vec<char> {
    name.chars().filter(|c| c.is_alphanumeric()).flat_map(char::to_lowercase).collect()
}

/// Returns the Levenshtein distance of `a` and `b`.
fn edit_distance(a: &[char], b: &[char]) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
