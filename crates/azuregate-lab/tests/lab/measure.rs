//! Tests of spreads and of the Markdown format of measurements.

use azuregate_lab::measure::{Experiment, Section, Spread};

#[test]
fn spread_summarises_its_samples() {
    // Samples; median, 99th percentile, minimum, maximum.
    let zero_to_hundred: Vec<f64> = (0..=100).map(f64::from).collect();
    let table: [(&[f64], [f64; 4]); 5] = [
        (&[], [0.0, 0.0, 0.0, 0.0]),
        (&[7.0], [7.0, 7.0, 7.0, 7.0]),
        (&[3.0, 1.0], [2.0, 3.0, 1.0, 3.0]),
        (&[5.0, 1.0, 2.0], [2.0, 5.0, 1.0, 5.0]),
        (&zero_to_hundred, [50.0, 99.0, 0.0, 100.0]),
    ];
    for (samples, expected) in table {
        let spread = Spread::of(samples.iter().copied());
        assert_eq!([spread.median, spread.p99, spread.min, spread.max], expected, "{samples:?}");
        assert_eq!(spread.count, samples.len());
    }
}

#[test]
fn a_section_as_markdown() {
    let spread = Spread::of([1.0, 2.5, 4.0]);
    let section = Section {
        title: "Drain: kvas".to_owned(),
        command: "azuregate-lab measure drain examples/kvas.jsonc".to_owned(),
        notes: vec!["In one process.".to_owned(), "Three servers.".to_owned()],
        columns: vec!["sign", "last new request, ms"],
        rows: vec![
            vec!["operator's command".to_owned(), spread.to_string()],
            vec!["the server's own sign".to_owned(), format!("{spread:.0}")],
        ],
        data: serde_json::Value::Null,
    };
    insta::assert_snapshot!(section.to_markdown());
}

#[test]
fn experiments_are_found_by_their_names() {
    for experiment in Experiment::ALL {
        assert_eq!(Experiment::parse(experiment.name()), Some(experiment));
    }
    assert_eq!(Experiment::parse("all"), None);
}
