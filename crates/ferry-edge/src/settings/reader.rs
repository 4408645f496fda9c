//! Looks up typed values and keeps track of the known keys.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use ferry_model::{Finding, SortedMap};
use ini::{Ini, ParseOption};

use super::Findings;

/// Prefix of a secret's value that names an environment variable to read it from.
const ENV_PREFIX: &str = "env:";
const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);

pub(super) type Env = Box<dyn Fn(&str) -> Option<String>>;

/// A settings file that is being read.
pub struct Reader {
    file: String,
    ini: Ini,
    env: Env,
    findings: Vec<Finding>,
    /// Keys looked up so far, by section.
    known: SortedMap<String, Vec<&'static str>>,
}

impl Reader {
    pub(super) fn new(
        file: &str,
        text: &str,
        env: impl Fn(&str) -> Option<String> + 'static,
    ) -> Result<Reader, Findings> {
        let options = ParseOption { enabled_quote: true, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|it| {
            let place = format!("{file}:{}", it.line);
            Findings(vec![Finding::new(place, format!("could not read the line: {}", it.msg))])
        })?;
        let mut reader = Reader {
            file: file.to_owned(),
            ini,
            env: Box::new(env),
            findings: Vec::new(),
            known: SortedMap::new(),
        };
        reader.report_duplicates();
        Ok(reader)
    }

    /// Returns the names of the sections that start with `prefix`, without the prefix.
    pub fn sections(&self, prefix: &str) -> Vec<String> {
        let names = self.ini.sections().flatten();
        names.filter_map(|it| it.strip_prefix(prefix)).map(str::to_owned).collect()
    }

    /// Returns whether the file has the section.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Returns a required value; if missing or invalid, reports it and returns the type's default.
    pub fn required<T: Default>(
        &mut self,
        section: &str,
        key: &'static str,
        parser: impl ValueParser<Value = T>,
    ) -> T {
        match self.lookup(section, key, parser) {
            Lookup::Value(value) => value,
            Lookup::Invalid => T::default(),
            Lookup::Missing(expected) => {
                self.report(section, key, format!("missing; expected {expected}"));
                T::default()
            }
        }
    }

    /// Returns a value, or `default` if the key is missing or its value invalid.
    pub fn value<T>(
        &mut self,
        section: &str,
        key: &'static str,
        parser: impl ValueParser<Value = T>,
        default: T,
    ) -> T {
        match self.lookup(section, key, parser) {
            Lookup::Value(value) => value,
            Lookup::Invalid | Lookup::Missing(_) => default,
        }
    }

    /// Returns a value if the key is present and its value valid.
    pub fn optional<T>(
        &mut self,
        section: &str,
        key: &'static str,
        parser: impl ValueParser<Value = T>,
    ) -> Option<T> {
        match self.lookup(section, key, parser) {
            Lookup::Value(value) => Some(value),
            Lookup::Invalid | Lookup::Missing(_) => None,
        }
    }

    /// Reports a problem with a key.
    pub fn report(&mut self, section: &str, key: &str, problem: impl Into<String>) {
        let place = format!("{}:{section}:{key}", self.file);
        self.findings.push(Finding::new(place, problem));
    }

    pub(super) fn finish(mut self) -> Vec<Finding> {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let Some(name) = section else {
                for (key, _) in properties.iter() {
                    let problem = "the key is outside any section".to_owned();
                    unknown.push((String::new(), key.to_owned(), problem));
                }
                continue;
            };
            let Some(known) = self.known.get(name) else {
                unknown.push((name.to_owned(), String::new(), self.unknown_section()));
                continue;
            };
            for (key, _) in properties.iter().filter(|(key, _)| !known.contains(key)) {
                let problem = format!("unknown key; expected one of {}", known.join(", "));
                unknown.push((name.to_owned(), key.to_owned(), problem));
            }
        }
        for (section, key, problem) in unknown {
            self.report(&section, &key, problem);
        }
        self.findings
    }

    fn unknown_section(&self) -> String {
        let known: Vec<&str> = self.known.keys().map(String::as_str).collect();
        format!("unknown section; expected one of {}", known.join(", "))
    }

    fn lookup<K: ValueParser>(
        &mut self,
        section: &str,
        key: &'static str,
        parser: K,
    ) -> Lookup<K::Value> {
        let known = self.known.get_or_insert_with(section.to_owned(), Vec::new);
        if !known.contains(&key) {
            known.push(key);
        }
        let Some(text) = self.ini.get_from(Some(section), key) else {
            return Lookup::Missing(parser.expected());
        };
        match parser.parse(text, &self.env) {
            Ok(value) => Lookup::Value(value),
            Err(problem) => {
                self.report(section, key, format!("{problem}; expected {}", parser.expected()));
                Lookup::Invalid
            }
        }
    }

    fn report_duplicates(&mut self) {
        let mut duplicates = Vec::new();
        let mut sections: Vec<&str> = Vec::new();
        for (section, properties) in self.ini.iter() {
            let name = section.unwrap_or_default();
            if sections.contains(&name) && section.is_some() {
                duplicates.push((name.to_owned(), String::new(), "duplicate section"));
            }
            sections.push(name);
            let mut keys: Vec<&str> = properties.iter().map(|(key, _)| key).collect();
            keys.sort_unstable();
            for pair in keys.windows(2).filter(|it| it[0] == it[1]) {
                duplicates.push((name.to_owned(), pair[0].to_owned(), "duplicate key"));
            }
        }
        for (section, key, problem) in duplicates {
            self.report(&section, &key, problem);
        }
    }
}

enum Lookup<T> {
    Value(T),
    /// The key is missing; holds a description of the expected values.
    Missing(String),
    /// The value was invalid and has been reported.
    Invalid,
}

/// Parses a value and describes which texts are valid.
pub trait ValueParser {
    type Value;

    /// Describes the valid texts, as the continuation of "expected".
    fn expected(&self) -> String;

    /// Parses the text; the error describes what is wrong with it.
    fn parse(&self, text: &str, env: &Env) -> Result<Self::Value, String>;
}

/// Any non-empty text.
#[derive(Debug, Clone, Copy)]
pub struct Text;

impl ValueParser for Text {
    type Value = String;

    fn expected(&self) -> String {
        "a non-empty text".to_owned()
    }

    fn parse(&self, text: &str, _: &Env) -> Result<String, String> {
        match text.is_empty() {
            true => Err("it is empty".to_owned()),
            false => Ok(text.to_owned()),
        }
    }
}

/// A secret, in the file or in an environment variable.
#[derive(Debug, Clone, Copy)]
pub struct Secret;

impl ValueParser for Secret {
    type Value = String;

    fn expected(&self) -> String {
        format!("the secret itself or {ENV_PREFIX}NAME for an environment variable")
    }

    fn parse(&self, text: &str, env: &Env) -> Result<String, String> {
        let Some(name) = text.strip_prefix(ENV_PREFIX) else { return Text.parse(text, env) };
        let value = env(name).filter(|it| !it.is_empty());
        value.ok_or_else(|| format!("the environment variable {name} is not set"))
    }
}

/// An IP address with a port.
#[derive(Debug, Clone, Copy)]
pub struct Address;

impl ValueParser for Address {
    type Value = Option<SocketAddr>;

    fn expected(&self) -> String {
        "an IP address with a port, as in 127.0.0.1:8080".to_owned()
    }

    fn parse(&self, text: &str, _: &Env) -> Result<Self::Value, String> {
        text.parse().map(Some).map_err(|_| format!("{text:?} is not an address"))
    }
}

/// IP addresses with ports, separated by commas.
#[derive(Debug, Clone, Copy)]
pub struct Addresses;

impl ValueParser for Addresses {
    type Value = Vec<SocketAddr>;

    fn expected(&self) -> String {
        "IP addresses with ports, separated by commas".to_owned()
    }

    fn parse(&self, text: &str, _: &Env) -> Result<Self::Value, String> {
        let parse = |it: &str| it.parse().map_err(|_| format!("{it:?} is not an address"));
        text.split(',').map(str::trim).map(parse).collect()
    }
}

/// A duration with its unit, within bounds.
#[derive(Debug, Clone)]
pub struct Time(pub RangeInclusive<Duration>);

impl ValueParser for Time {
    type Value = Duration;

    fn expected(&self) -> String {
        format!(
            "a duration with its unit (ms, s, m or h) from {:?} to {:?}",
            self.0.start(),
            self.0.end()
        )
    }

    fn parse(&self, text: &str, _: &Env) -> Result<Duration, String> {
        let duration = parse_duration(text).ok_or_else(|| format!("{text:?} is not a duration"))?;
        match self.0.contains(&duration) {
            true => Ok(duration),
            false => Err(format!("{text} is out of bounds")),
        }
    }
}

/// A number within bounds.
#[derive(Debug, Clone)]
pub struct Number<T>(pub RangeInclusive<T>);

impl<T: FromStr + PartialOrd + fmt::Display> ValueParser for Number<T> {
    type Value = T;

    fn expected(&self) -> String {
        format!("a number from {} to {}", self.0.start(), self.0.end())
    }

    fn parse(&self, text: &str, _: &Env) -> Result<T, String> {
        let number = text.parse().map_err(|_| format!("{text:?} is not a number"))?;
        match self.0.contains(&number) {
            true => Ok(number),
            false => Err(format!("{text} is out of bounds")),
        }
    }
}

/// On or off.
#[derive(Debug, Clone, Copy)]
pub struct Switch;

impl ValueParser for Switch {
    type Value = bool;

    fn expected(&self) -> String {
        "on or off".to_owned()
    }

    fn parse(&self, text: &str, _: &Env) -> Result<bool, String> {
        match text {
            "on" => Ok(true),
            "off" => Ok(false),
            _ => Err(format!("{text:?} is neither on nor off")),
        }
    }
}

/// BLAKE3 hashes in hex, separated by commas.
#[derive(Debug, Clone, Copy)]
pub struct Hashes;

impl ValueParser for Hashes {
    type Value = Vec<String>;

    fn expected(&self) -> String {
        "BLAKE3 hashes of 64 hexadecimal digits, separated by commas".to_owned()
    }

    fn parse(&self, text: &str, _: &Env) -> Result<Self::Value, String> {
        let parse = |it: &str| match blake3::Hash::from_hex(it) {
            Ok(hash) => Ok(hash.to_hex().to_string()),
            Err(_) => Err(format!("{it:?} is not a hash")),
        };
        text.split(',').map(str::trim).map(parse).collect()
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|it: char| !it.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let unit = match unit.trim_start() {
        "ms" => MILLISECOND,
        "s" => SECOND,
        "m" => MINUTE,
        "h" => HOUR,
        _ => return None,
    };
    unit.checked_mul(number.parse().ok()?)
}
