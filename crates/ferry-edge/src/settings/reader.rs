//! Looks up typed values and remembers which keys exist.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use ferry_model::{Finding, SortedMap};
use ini::{Ini, ParseOption};
use strum::IntoEnumIterator;

use super::Findings;

/// Prefix of a secret's value that names an environment variable instead.
const ENV_PREFIX: &str = "env:";
const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);

type Env = Box<dyn Fn(&str) -> Option<String>>;

/// One settings file while it is read.
pub struct Reader {
    file: String,
    ini: Ini,
    env: Env,
    findings: Vec<Finding>,
    /// Keys asked for, by section.
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
        reader.report_repeats();
        Ok(reader)
    }

    /// Returns the names after `prefix` of the sections that start with it.
    pub fn sections(&self, prefix: &str) -> Vec<String> {
        let names = self.ini.sections().flatten();
        names.filter_map(|it| it.strip_prefix(prefix)).map(str::to_owned).collect()
    }

    /// Whether the file has the section.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Returns a value that must be there; where it is not, a finding and the default type value.
    pub fn required<T: Default>(
        &mut self,
        section: &str,
        key: &'static str,
        kind: impl ValueParser<Value = T>,
    ) -> T {
        match self.lookup(section, key, kind) {
            Read::Value(value) => value,
            Read::Bad => T::default(),
            Read::Missing(allowed) => {
                self.report(section, key, format!("missing; allowed is {allowed}"));
                T::default()
            }
        }
    }

    /// Returns a value, or `default` where the key is missing.
    pub fn value<T>(
        &mut self,
        section: &str,
        key: &'static str,
        kind: impl ValueParser<Value = T>,
        default: T,
    ) -> T {
        match self.lookup(section, key, kind) {
            Read::Value(value) => value,
            Read::Bad | Read::Missing(_) => default,
        }
    }

    /// Returns a value if the key is there.
    pub fn optional<T>(
        &mut self,
        section: &str,
        key: &'static str,
        kind: impl ValueParser<Value = T>,
    ) -> Option<T> {
        match self.lookup(section, key, kind) {
            Read::Value(value) => Some(value),
            Read::Bad | Read::Missing(_) => None,
        }
    }

    /// Reports something wrong with a key.
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
                let problem = format!("unknown key; allowed are {}", known.join(", "));
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
        format!("unknown section; allowed are {}", known.join(", "))
    }

    fn lookup<K: ValueParser>(
        &mut self,
        section: &str,
        key: &'static str,
        kind: K,
    ) -> Read<K::Value> {
        let known = self.known.get_or_insert_with(section.to_owned(), Vec::new);
        if !known.contains(&key) {
            known.push(key);
        }
        let Some(text) = self.ini.get_from(Some(section), key) else {
            return Read::Missing(kind.allowed());
        };
        match kind.parse(text, &self.env) {
            Ok(value) => Read::Value(value),
            Err(problem) => {
                self.report(section, key, format!("{problem}; allowed is {}", kind.allowed()));
                Read::Bad
            }
        }
    }

    fn report_repeats(&mut self) {
        let mut repeats = Vec::new();
        let mut sections: Vec<&str> = Vec::new();
        for (section, properties) in self.ini.iter() {
            let name = section.unwrap_or_default();
            if sections.contains(&name) && section.is_some() {
                repeats.push((name.to_owned(), String::new(), "the section is there twice"));
            }
            sections.push(name);
            let mut keys: Vec<&str> = properties.iter().map(|(key, _)| key).collect();
            keys.sort_unstable();
            for pair in keys.windows(2).filter(|it| it[0] == it[1]) {
                repeats.push((name.to_owned(), pair[0].to_owned(), "the key is there twice"));
            }
        }
        for (section, key, problem) in repeats {
            self.report(&section, &key, problem);
        }
    }
}

enum Read<T> {
    Value(T),
    Missing(String),
    Bad,
}

/// How a value is written, and what is allowed.
pub trait ValueParser {
    type Value;

    fn allowed(&self) -> String;

    /// Reads the text; the error says what is wrong with it.
    fn parse(&self, text: &str, env: &Env) -> Result<Self::Value, String>;
}

/// Any text but the empty one.
#[derive(Debug, Clone, Copy)]
pub struct Text;

impl ValueParser for Text {
    type Value = String;

    fn allowed(&self) -> String {
        "a text that is not empty".to_owned()
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

    fn allowed(&self) -> String {
        format!("the secret itself or {ENV_PREFIX}NAME for an environment variable")
    }

    fn parse(&self, text: &str, env: &Env) -> Result<String, String> {
        let Some(name) = text.strip_prefix(ENV_PREFIX) else { return Text.parse(text, env) };
        let value = env(name).filter(|it| !it.is_empty());
        value.ok_or_else(|| format!("the environment variable {name} is not set"))
    }
}

/// An IP number with a port.
#[derive(Debug, Clone, Copy)]
pub struct Address;

impl ValueParser for Address {
    type Value = Option<SocketAddr>;

    fn allowed(&self) -> String {
        "an IP number with a port, as in 127.0.0.1:8080".to_owned()
    }

    fn parse(&self, text: &str, _: &Env) -> Result<Self::Value, String> {
        text.parse().map(Some).map_err(|_| format!("{text:?} is not an address"))
    }
}

/// Several addresses, with commas between them.
#[derive(Debug, Clone, Copy)]
pub struct Addresses;

impl ValueParser for Addresses {
    type Value = Vec<SocketAddr>;

    fn allowed(&self) -> String {
        "IP numbers with ports and commas between them".to_owned()
    }

    fn parse(&self, text: &str, _: &Env) -> Result<Self::Value, String> {
        let parse = |it: &str| it.parse().map_err(|_| format!("{it:?} is not an address"));
        text.split(',').map(str::trim).map(parse).collect()
    }
}

/// A time with its unit, within bounds.
#[derive(Debug, Clone)]
pub struct Time(pub RangeInclusive<Duration>);

impl ValueParser for Time {
    type Value = Duration;

    fn allowed(&self) -> String {
        format!(
            "a time with its unit (ms, s, m or h) from {:?} to {:?}",
            self.0.start(),
            self.0.end()
        )
    }

    fn parse(&self, text: &str, _: &Env) -> Result<Duration, String> {
        let time = parse_time(text).ok_or_else(|| format!("{text:?} is not a time"))?;
        match self.0.contains(&time) {
            true => Ok(time),
            false => Err(format!("{text} is out of bounds")),
        }
    }
}

/// A whole number within bounds.
#[derive(Debug, Clone)]
pub struct Number<T>(pub RangeInclusive<T>);

impl<T: FromStr + PartialOrd + fmt::Display> ValueParser for Number<T> {
    type Value = T;

    fn allowed(&self) -> String {
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

/// One of a closed set of names.
#[derive(Debug, Clone, Copy)]
pub struct Choice<T>(std::marker::PhantomData<T>);

impl<T> Choice<T> {
    pub fn new() -> Choice<T> {
        Choice(std::marker::PhantomData)
    }
}

impl<T> Default for Choice<T> {
    fn default() -> Self {
        Choice::new()
    }
}

impl<T: FromStr + IntoEnumIterator + fmt::Display> ValueParser for Choice<T> {
    type Value = T;

    fn allowed(&self) -> String {
        let names: Vec<String> = T::iter().map(|it| it.to_string()).collect();
        format!("one of {}", names.join(", "))
    }

    fn parse(&self, text: &str, _: &Env) -> Result<T, String> {
        text.parse().map_err(|_| format!("{text:?} is not known"))
    }
}

/// On or off.
#[derive(Debug, Clone, Copy)]
pub struct Switch;

impl ValueParser for Switch {
    type Value = bool;

    fn allowed(&self) -> String {
        "on or off".to_owned()
    }

    fn parse(&self, text: &str, _: &Env) -> Result<bool, String> {
        match text {
            "on" => Ok(true),
            "off" => Ok(false),
            _ => Err(format!("{text:?} is neither")),
        }
    }
}

/// BLAKE3 hashes in hex, with commas between them.
#[derive(Debug, Clone, Copy)]
pub struct Hashes;

impl ValueParser for Hashes {
    type Value = Vec<String>;

    fn allowed(&self) -> String {
        "BLAKE3 hashes of 64 hexadecimal digits with commas between them".to_owned()
    }

    fn parse(&self, text: &str, _: &Env) -> Result<Self::Value, String> {
        let parse = |it: &str| match blake3::Hash::from_hex(it) {
            Ok(hash) => Ok(hash.to_hex().to_string()),
            Err(_) => Err(format!("{it:?} is not a hash")),
        };
        text.split(',').map(str::trim).map(parse).collect()
    }
}

fn parse_time(text: &str) -> Option<Duration> {
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
