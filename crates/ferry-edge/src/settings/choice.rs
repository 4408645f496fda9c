//! Values that are names of the variants of an enum.

use std::fmt;
use std::str::FromStr;

use strum::IntoEnumIterator;

use super::reader::{Env, ValueParser};

/// The name of one variant of an enum.
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

    fn expected(&self) -> String {
        let names: Vec<String> = T::iter().map(|it| it.to_string()).collect();
        format!("one of {}", names.join(", "))
    }

    fn parse(&self, text: &str, _: &Env) -> Result<T, String> {
        text.parse().map_err(|_| format!("{text:?} is not a known name"))
    }
}

/// Names of variants of an enum, separated by commas; none if the text is empty.
#[derive(Debug, Clone, Copy)]
pub struct Choices<T>(Choice<T>);

impl<T> Choices<T> {
    pub fn new() -> Choices<T> {
        Choices(Choice::new())
    }
}

impl<T> Default for Choices<T> {
    fn default() -> Self {
        Choices::new()
    }
}

impl<T: FromStr + IntoEnumIterator + fmt::Display + Ord> ValueParser for Choices<T> {
    type Value = Vec<T>;

    fn expected(&self) -> String {
        format!("names separated by commas, each {}", self.0.expected())
    }

    fn parse(&self, text: &str, env: &Env) -> Result<Vec<T>, String> {
        let names = text.split(',').map(str::trim).filter(|it| !it.is_empty());
        let mut values: Vec<T> = names.map(|it| self.0.parse(it, env)).collect::<Result<_, _>>()?;
        values.sort();
        values.dedup();
        Ok(values)
    }
}
