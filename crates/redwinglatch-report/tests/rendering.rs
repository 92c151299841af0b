//! Complete rendered pages and charts, verdicts of comparisons, and the JSON form.

use redwinglatch_report::{
    Bound, Chart, ChartKind, CompareError, Measurement, Report, ReportSection, Series, Table,
    compare, render_html, render_svg,
};

fn chart(kind: ChartKind) -> Chart {
    Chart {
        file: "stall".to_owned(),
        title: "Load <stall>".to_owned(),
        unit: "ms & more".to_owned(),
        kind,
        positions: vec!["3".to_owned(), "12".to_owned()],
        series: vec![
            Series { name: "\"own\"".to_owned(), values: vec![Some(10.0), Some(20.0)] },
            Series { name: "other".to_owned(), values: vec![None, Some(40.0)] },
        ],
        limit: Some(30.0),
    }
}

fn report(values: [f64; 3]) -> Report {
    let [count, rate, time] = values;
    Report {
        figures: vec![
            Measurement::lower("count <a>", count, "B"),
            Measurement::higher("rate", rate, "1/s"),
            Measurement::lower("time", time, "ms").timed(),
        ],
        ..Report::new(7, true)
    }
}

/// Guards against unnoticed changes of shapes, labels and coordinates, and against unescaped text.
#[test]
fn charts_are_drawn_as_expected() {
    let bars = render_svg(&chart(ChartKind::Bars));
    assert_eq!(bars, include_str!("bars.svg"), "\n{bars}");
    let lines = render_svg(&chart(ChartKind::Lines));
    assert_eq!(lines, include_str!("lines.svg"), "\n{lines}");
}

/// Guards against coordinates that are not finite when nothing was measured or no value is finite.
#[test]
fn charts_without_values_have_finite_coordinates() {
    for kind in [ChartKind::Bars, ChartKind::Lines] {
        let values = vec![Some(f64::NAN), Some(f64::INFINITY)];
        let series = vec![Series { name: "none".to_owned(), values }];
        let svg = render_svg(&Chart { series, limit: None, ..chart(kind) });
        assert!(!svg.contains("NaN") && !svg.contains("inf"), "{svg}");
        let empty = Chart { positions: Vec::new(), series: Vec::new(), ..chart(kind) };
        assert!(!render_svg(&empty).contains("NaN"));
    }
}

/// Guards against a page that omits a part, or contains unescaped text.
#[test]
fn a_page_has_verdict_bounds_comparison_and_sections() {
    let mut after = report([120.0, 10.0, 9.0]);
    after.violations.push("two leaders in term <3>".to_owned());
    after.bounds.push(Bound::at_most("stall <ms>", 2.0, 1.0, true));
    after.bounds.push(Bound::at_most("time", 2.0, 1.0, false));
    after.bounds.push(Bound::at_most("bytes", 1.0, 1.0, true));
    let mut table = Table::new(&["policy <p>", "stall"]);
    table.push(["a & b".to_owned(), "<1>".to_owned()]);
    let (title, note) = ("Placement <x>".to_owned(), "Virtual 'time'".to_owned());
    let section = ReportSection { title, note, charts: Vec::new(), table };
    let comparison = compare(&report([100.0, 10.0, 1.0]), &after)
        .expect("the runs have the same seed and length");
    let page = render_html(&after, &[section], Some(&comparison));
    assert_eq!(page, include_str!("page.html"), "\n{page}");
}

/// Guards against a verdict that depends on the speed of the machine in a shortened run, and
/// against a regression that passes.
#[test]
fn a_regression_exceeds_the_allowed_ratio_of_a_judged_measurement() {
    let before = report([100.0, 10.0, 1.0]);
    let regressions = |after: &Report, before: &Report| -> Vec<String> {
        let comparison = compare(before, after).expect("the runs have the same seed and length");
        comparison.regressions().map(|it| it.measurement.name.clone()).collect()
    };
    assert!(regressions(&report([110.0, 9.5, 50.0]), &before).is_empty());
    assert_eq!(regressions(&report([111.0, 9.0, 1.0]), &before), ["count <a>", "rate"]);
    assert_eq!(regressions(&report([1.0, 0.0, 1.0]), &before), ["rate"]);
    assert_eq!(regressions(&before, &report([0.0, 10.0, 1.0])), ["count <a>"]);
    let full = |values| Report { short: false, ..report(values) };
    assert_eq!(regressions(&full([100.0, 10.0, 1.6]), &full([100.0, 10.0, 1.0])), ["time"]);
    assert_eq!(compare(&full([1.0; 3]), &before), Err(CompareError::Length));
    let other_seed = Report { seed: 8, ..before.clone() };
    assert_eq!(compare(&other_seed, &before), Err(CompareError::Seed));
}

/// Guards against a file that a later run can't read, and against a violated bound that passes.
#[test]
fn reports_are_stored_as_json() {
    let mut report = report([1.0, 2.5, 3.0]);
    report.bounds.push(Bound::at_most("a", 2.0, 1.0, false));
    report.rows.insert("placement".to_owned(), vec![1, 2].into());
    assert!(report.passed());
    let text = report.to_json().expect("the values are finite");
    assert_eq!(text, include_str!("report.json"), "\n{text}");
    assert_eq!(Report::from_json(&text).expect("the text is a report"), report);
    report.bounds.push(Bound::at_most("b", 2.0, 1.0, true));
    assert!(!report.passed());
    report.bounds.clear();
    report.violations.push("a violation".to_owned());
    assert!(!report.passed());
}
