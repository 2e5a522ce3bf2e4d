//! Suggestions for keys and names that are not known.

/// Suffixes that give a unit, with the unit's name.
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

/// A key that was probably meant, and why.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Suggestion<'a> {
    pub(crate) key: &'a str,
    pub(crate) message: String,
}

/// What an unknown key was probably meant to be.
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

/// The known name that is nearest to `unknown`, if any is near enough to be
/// what was meant.
pub fn closest_match<'a>(unknown: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let unknown = normalize(unknown);
    let (distance, name) =
        known.map(|name| (edit_distance(&unknown, &normalize(name)), name)).min()?;
    (distance <= unknown.len().div_ceil(3).min(3)).then_some(name)
}

/// Lower case, without what separates words: `timeoutMs` is `timeout_ms`.
fn normalize(name: &str) -> Vec<char> {
    name.chars().filter(|c| c.is_alphanumeric()).flat_map(char::to_lowercase).collect()
}

/// The least number of insertions, deletions and replacements that turn `a`
/// into `b` (Levenshtein's distance).
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
