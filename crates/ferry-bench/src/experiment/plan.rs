//! Experiment files; docs/PROOF.md lists their keys.

use std::fs;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ferry_core::route::Policy;
use ferry_fakes::DeploymentName;
use ini::Ini;
use thiserror::Error;

use crate::experiments::policies::{CaseName, Run};

const SECTION: &str = "experiment";
const KEYS: [&str; 6] = ["about", "deployment", "case", "policies", "seeds", "seconds"];

/// What one experiment runs: each policy with each seed.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    pub name: String,
    pub about: String,
    pub deployment: DeploymentName,
    pub case: CaseName,
    pub policies: Vec<Policy>,
    pub seeds: Vec<u64>,
    pub length: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    #[error("could not read {path}: {error}")]
    Read { path: String, error: String },
    /// All findings, one per line.
    #[error("{}", .0.join("\n"))]
    Findings(Vec<String>),
}

impl Plan {
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let fail = |error: String| PlanError::Read { path: path.display().to_string(), error };
        let text = fs::read_to_string(path).map_err(|it| fail(it.to_string()))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        Plan::parse(&name, &text)
    }

    /// Parses the text of a file; findings and results show `name`.
    pub fn parse(name: &str, text: &str) -> Result<Plan, PlanError> {
        let ini = Ini::load_from_str(text)
            .map_err(|it| PlanError::Findings(vec![format!("{name}: {it}")]))?;
        let mut reader = Reader { name, ini: &ini, findings: Vec::new() };
        reader.check_keys();
        let about = reader.text("about");
        let deployment = reader.value("deployment");
        let case = reader.value("case");
        let policies = reader.list("policies");
        let seeds = reader.list("seeds");
        let seconds = reader.value::<u64>("seconds").filter(|it| (5..=600).contains(it));
        if seconds.is_none() {
            reader.report("seconds", "expected 5 to 600");
        }
        let findings = reader.findings;
        match (deployment, case, seconds) {
            (Some(deployment), Some(case), Some(seconds)) if findings.is_empty() => Ok(Plan {
                name: name.to_owned(),
                about,
                deployment,
                case,
                policies,
                seeds,
                length: Duration::from_secs(seconds),
            }),
            _ => Err(PlanError::Findings(findings)),
        }
    }

    /// Returns the runs; those with the same seed have the same arrivals.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for seed in &self.seeds {
            for policy in &self.policies {
                runs.push(Run {
                    deployment: self.deployment,
                    case: self.case,
                    policy: *policy,
                    seed: *seed,
                    length: self.length,
                });
            }
        }
        runs
    }
}

struct Reader<'a> {
    name: &'a str,
    ini: &'a Ini,
    findings: Vec<String>,
}

impl Reader<'_> {
    fn report(&mut self, key: &str, problem: &str) {
        self.findings.push(format!("{}:{SECTION}:{key}: {problem}", self.name));
    }

    fn check_keys(&mut self) {
        let unknown: Vec<String> = self
            .ini
            .iter()
            .flat_map(|(section, keys)| keys.iter().map(move |(key, _)| (section, key)))
            .filter(|(section, key)| *section != Some(SECTION) || !KEYS.contains(key))
            .map(|(section, key)| format!("{}:{key}", section.unwrap_or_default()))
            .collect();
        for key in unknown {
            self.findings.push(format!("{}:{key}: unknown; expected one of {KEYS:?}", self.name));
        }
    }

    fn text(&mut self, key: &str) -> String {
        let found = self.ini.get_from(Some(SECTION), key).map(str::to_owned);
        if found.is_none() {
            self.report(key, "missing");
        }
        found.unwrap_or_default()
    }

    fn value<T: FromStr>(&mut self, key: &str) -> Option<T> {
        let text = self.text(key);
        let value = text.trim().parse().ok();
        if value.is_none() && !text.is_empty() {
            self.report(key, &format!("`{text}` is unknown"));
        }
        value
    }

    fn list<T: FromStr>(&mut self, key: &str) -> Vec<T> {
        let text = self.text(key);
        let mut values = Vec::new();
        for word in text.split(',').map(str::trim) {
            match word.parse() {
                Ok(it) => values.push(it),
                Err(_) => self.report(key, &format!("`{word}` is unknown")),
            }
        }
        values
    }
}
