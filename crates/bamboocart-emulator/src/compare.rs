//! Paired comparison of two versions by their outcomes with the same seeds.

use std::fmt::{self, Display, Formatter};

use crate::outcome::Outcomes;

/// The number of standard errors that a difference must exceed to be significant.
const SIGNIFICANT_ERRORS: f64 = 2.0;

/// The differences between two versions in the scenarios that both have outcomes of.
#[derive(Debug, Clone)]
pub struct Comparison {
    /// A row for each scenario, sorted by its name.
    pub rows: Vec<ComparisonRow>,
}

/// The difference between two versions in a scenario.
#[derive(Debug, Clone)]
pub struct ComparisonRow {
    /// The name of the scenario.
    pub scenario: String,
    /// The credits before and after, for each seed that both versions have.
    pub credits: Vec<(f64, f64)>,
    /// The number of violations before and after, over all seeds.
    pub violations: (usize, usize),
    /// The ratio of the calls to minions after to those before.
    pub call_ratio: f64,
}

/// The judgement of a difference.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Verdict {
    /// The credit of the later version is significantly higher.
    Better,
    /// The later version has more violations, or a significantly lower credit.
    Worse,
    /// The difference is not significant.
    Same,
}

impl Comparison {
    /// Compares two versions on the scenarios and seeds that both have.
    pub fn new(before: &Outcomes, after: &Outcomes) -> Self {
        let mut rows = Vec::new();
        for (scenario, earlier) in &before.scenarios {
            let Some(later) = after.scenarios.get(scenario) else { continue };
            let pairs: Vec<_> = earlier
                .iter()
                .filter_map(|(seed, outcome)| Some((outcome, later.get(seed)?)))
                .collect();
            if pairs.is_empty() {
                continue;
            }
            let calls_before: u64 = pairs.iter().map(|pair| pair.0.minion_calls).sum();
            let calls_after: u64 = pairs.iter().map(|pair| pair.1.minion_calls).sum();
            let credit = |ppm: u64| ppm as f64 / 1e6;
            rows.push(ComparisonRow {
                scenario: scenario.clone(),
                credits: pairs
                    .iter()
                    .map(|(a, b)| (credit(a.credit_ppm), credit(b.credit_ppm)))
                    .collect(),
                violations: (
                    pairs.iter().map(|pair| pair.0.violations).sum(),
                    pairs.iter().map(|pair| pair.1.violations).sum(),
                ),
                call_ratio: calls_after as f64 / calls_before.max(1) as f64,
            });
        }
        Self { rows }
    }
}

impl ComparisonRow {
    /// Returns the mean credits before and after, over all seeds.
    pub fn mean_credits(&self) -> (f64, f64) {
        let count = self.credits.len() as f64;
        let before: f64 = self.credits.iter().map(|pair| pair.0).sum();
        let after: f64 = self.credits.iter().map(|pair| pair.1).sum();
        (before / count, after / count)
    }

    /// Returns the standard error of the mean difference.
    ///
    /// The samples are paired by seed, which cancels the variance that a seed causes in
    /// both versions alike.
    pub fn standard_error(&self) -> f64 {
        let count = self.credits.len() as f64;
        let (before, after) = self.mean_credits();
        let mean = after - before;
        let squares = self.credits.iter().map(|(a, b)| (b - a - mean).powi(2));
        (squares.sum::<f64>() / (count - 1.0).max(1.0) / count).sqrt()
    }

    /// Returns the verdict; more violations outweigh any gain in credit.
    pub fn verdict(&self) -> Verdict {
        let (before, after) = self.mean_credits();
        let limit = SIGNIFICANT_ERRORS * self.standard_error();
        match after - before {
            _ if self.violations.1 > self.violations.0 => Verdict::Worse,
            difference if difference > limit => Verdict::Better,
            difference if -difference > limit => Verdict::Worse,
            _ => Verdict::Same,
        }
    }
}

impl Display for Comparison {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:16} {:>5} {:>8} {:>8} {:>18} {:>7} {:>9}  verdict",
            "day", "seeds", "before", "after", "difference", "calls", "broken"
        )?;
        for row in &self.rows {
            let (before, after) = row.mean_credits();
            let verdict = match row.verdict() {
                Verdict::Better => "better",
                Verdict::Worse => "worse",
                Verdict::Same => "no difference shown",
            };
            writeln!(
                f,
                "{:16} {:>5} {before:>8.4} {after:>8.4} {:>+9.4} +- {:.4} {:>6.2}x {:>4}, {:>3}  \
                 {verdict}",
                row.scenario,
                row.credits.len(),
                after - before,
                row.standard_error(),
                row.call_ratio,
                row.violations.0,
                row.violations.1
            )?;
        }
        Ok(())
    }
}
