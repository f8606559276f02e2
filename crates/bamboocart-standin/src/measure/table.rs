//! Prints the tables of all cells of a measurement.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use bpaf::Bpaf;

use super::Result;
use super::score::{KindScore, Score};

/// The share of processor time used by other processes above which a run is disturbed.
const MAX_OTHER_BUSY_SHARE: f64 = 0.25;

/// The share of processor time used by all processes above which a run is disturbed.
const MAX_BUSY_SHARE: f64 = 0.85;

/// The settings of the `table` command.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(table_settings))]
pub struct TableSettings {
    /// Files with one score per line
    #[bpaf(positional("FILE"), some("give at least one file of scores"))]
    scores: Vec<PathBuf>,
}

/// Prints the tables of totals and of responses in Markdown, with one row per cell.
pub fn print_table(settings: &TableSettings) -> Result<()> {
    let mut cells: BTreeMap<String, Vec<Score>> = BTreeMap::new();
    let mut order = Vec::new();
    for path in &settings.scores {
        for line in BufReader::new(File::open(path)?).lines() {
            let score: Score = serde_json::from_str(&line?)?;
            if !cells.contains_key(&score.cell) {
                order.push(score.cell.clone());
            }
            cells.entry(score.cell.clone()).or_default().push(score);
        }
    }
    println!("{}", TOTALS_HEADER);
    order.iter().for_each(|cell| print_totals(&cells[cell]));
    println!("\n{}", KINDS_HEADER);
    order.iter().for_each(|cell| print_kinds(&cells[cell]));
    Ok(())
}

/// The header of the table of totals.
const TOTALS_HEADER: &str = "\
| cell | runs | complete of ideal | useful of capacity (ideal) | sends / needed | \
turned away | attempts / needed | refused | failed, unknown, unanswered | violations | \
full service after ms | machine busy (own) |
|---|---|---|---|---|---|---|---|---|---|---|---|";

/// The header of the table of responses.
const KINDS_HEADER: &str = "\
| cell | kind | n | in time % | ideal % | p50 / ideal | p99 / ideal | p99.9 / ideal | \
p50 / own run | p99 / own run | p99.9 / own run | p50 ms | p99 ms |
|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Prints a row with the totals of a cell's runs, as sums or as median and range.
fn print_totals(runs: &[Score]) {
    let spread = |value: fn(&Score) -> f64, digits| median_of(runs, value, digits);
    let count = |score: &Score, prefix: &str| -> u64 {
        let matching = score.outcomes.iter().filter(|(code, _)| code.starts_with(prefix));
        matching.map(|(_, count)| count).sum()
    };
    let refused: u64 = runs.iter().map(|run| count(run, "refused")).sum();
    let other: u64 = runs.iter().map(|run| run.outcomes.values().sum::<u64>()).sum();
    let violations: usize = runs.iter().map(|run| run.violations).sum();
    let disturbed = runs.iter().filter(|run| is_disturbed(run)).count();
    let mark =
        if disturbed > 0 { format!(" ({disturbed} disturbed)") } else { "".into() };
    println!(
        "| {} | {}{mark} | {} | {} ({}) | {} | {} | {} | {refused} | {} | {violations} | \
         {} | {} ({}) |",
        runs[0].cell,
        runs.len(),
        spread(|run| run.complete as f64 / run.ideal_complete as f64, 3),
        spread(|run| run.useful_share, 3),
        spread(|run| run.ideal_useful_share, 3),
        spread(|run| run.sends as f64 / run.needed_starts as f64, 3),
        spread(|run| run.rejected as f64 / run.needed_starts as f64, 3),
        spread(|run| run.attempts as f64 / run.needed_starts as f64, 3),
        other - refused,
        recovery(runs),
        spread(|run| run.machine_busy, 2),
        spread(|run| run.own_busy, 2),
    );
}

/// Prints a row with the responses of each request kind of a cell.
fn print_kinds(runs: &[Score]) {
    for kind in runs[0].kinds.keys() {
        let rows: Vec<&KindScore> =
            runs.iter().filter_map(|r| r.kinds.get(kind)).collect();
        let spread =
            |value: fn(&KindScore) -> f64, digits| median_of(&rows, |r| value(r), digits);
        println!(
            "| {} | {kind} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            runs[0].cell,
            rows.iter().map(|row| row.submissions).sum::<u64>(),
            spread(|row| 100.0 * row.complete as f64 / row.submissions as f64, 1),
            spread(|row| 100.0 * row.ideal_complete as f64 / row.submissions as f64, 1),
            spread(|row| row.response_ms.p50 / row.ideal_ms.p50, 2),
            spread(|row| row.response_ms.p99 / row.ideal_ms.p99, 2),
            spread(|row| row.response_ms.p999 / row.ideal_ms.p999, 2),
            spread(|row| row.over_own_run.p50, 2),
            spread(|row| row.over_own_run.p99, 2),
            spread(|row| row.over_own_run.p999, 2),
            spread(|row| row.response_ms.p50, 0),
            spread(|row| row.response_ms.p99, 0),
        );
    }
}

/// Returns whether the machine was so busy that the run's figures are unreliable.
fn is_disturbed(run: &Score) -> bool {
    run.machine_busy > MAX_BUSY_SHARE
        || run.machine_busy - run.own_busy > MAX_OTHER_BUSY_SHARE
}

/// Returns the times to full service of the runs with a fault, separated by commas.
fn recovery(runs: &[Score]) -> String {
    let times = runs.iter().filter(|run| run.fault).map(|run| match run.recovery_ms {
        Some(ms) => ms.to_string(),
        None => "not in the run".into(),
    });
    times.collect::<Vec<_>>().join(", ")
}

/// Returns the median, with the range if there are several runs, or `-` without a value.
fn median_of<T>(runs: &[T], value: impl Fn(&T) -> f64, digits: usize) -> String {
    let mut values: Vec<f64> = runs.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    match values.as_slice() {
        _ if !median.is_finite() => "-".into(),
        [_] => format!("{median:.digits$}"),
        [first, .., last] => {
            format!("{median:.digits$} [{first:.digits$}-{last:.digits$}]")
        }
        [] => "-".into(),
    }
}
