//! Rendered pages and charts as a whole, and verdicts of comparisons.

use redwinglatch_report::{
    Bound, Chart, ChartKind, CompareError, Figure, Report, Section, Series, Table, compare,
    render_html, render_svg,
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
            Figure::lower("count <a>", count, "B"),
            Figure::higher("rate", rate, "1/s"),
            Figure::lower("time", time, "ms").timed(),
        ],
        ..Report::new(7, true)
    }
}

/// Guards against a shape, label or coordinate that changes unnoticed, and unescaped text.
#[test]
fn charts_are_drawn_as_expected() {
    let bars = render_svg(&chart(ChartKind::Bars));
    assert_eq!(bars, include_str!("bars.svg"), "\n{bars}");
    let lines = render_svg(&chart(ChartKind::Lines));
    assert_eq!(lines, include_str!("lines.svg"), "\n{lines}");
}

/// Guards against a chart that is not finite when nothing, or no number, was measured.
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

/// Guards against a page that leaves out a part, or shows text as markup.
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
    let section = Section { title, note, charts: Vec::new(), table };
    let comparison = compare(&report([100.0, 10.0, 1.0]), &after).expect("the runs are alike");
    let page = render_html(&after, &[section], Some(&comparison));
    assert_eq!(page, include_str!("page.html"), "\n{page}");
}

/// Guards against a verdict that depends on the machine's speed in a shortened run, and against a
/// worse figure that passes.
#[test]
fn regressions_are_counts_that_became_worse() {
    let before = report([100.0, 10.0, 1.0]);
    let regressions = |after: &Report, before: &Report| -> Vec<String> {
        let comparison = compare(before, after).expect("the runs are alike");
        comparison.regressions().map(|it| it.figure.name.clone()).collect()
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

/// Guards against a file that a later run can't read, and a missed bound that passes.
#[test]
fn reports_are_kept_as_json() {
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
