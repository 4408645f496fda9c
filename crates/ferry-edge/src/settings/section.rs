//! Reads one section of a settings file into a struct that holds the defaults.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use super::reader::{Number, Reader, Switch, Time, ValueParser};

/// One section; its values overwrite the defaults in place.
pub struct Section<'a> {
    reader: &'a mut Reader,
    name: &'static str,
}

impl<'a> Section<'a> {
    pub fn new(reader: &'a mut Reader, name: &'static str) -> Section<'a> {
        Section { reader, name }
    }

    /// Returns a value, or `default` if the key is missing or its value invalid.
    pub fn value<T>(
        &mut self,
        key: &'static str,
        parser: impl ValueParser<Value = T>,
        default: T,
    ) -> T {
        self.reader.value(self.name, key, parser, default)
    }

    pub fn time(
        &mut self,
        key: &'static str,
        target: &mut Duration,
        bounds: RangeInclusive<Duration>,
    ) {
        *target = self.reader.value(self.name, key, Time(bounds), *target);
    }

    pub fn number<T>(&mut self, key: &'static str, target: &mut T, bounds: RangeInclusive<T>)
    where
        T: Copy + FromStr + PartialOrd + fmt::Display,
    {
        *target = self.reader.value(self.name, key, Number(bounds), *target);
    }

    pub fn switch(&mut self, key: &'static str, target: &mut bool) {
        *target = self.reader.value(self.name, key, Switch, *target);
    }
}
