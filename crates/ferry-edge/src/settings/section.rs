//! A section whose values replace defaults in place.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use super::reader::{Number, Reader, Switch, Time, ValueParser};

/// One section, whose values replace defaults in place.
pub struct Section<'a> {
    reader: &'a mut Reader,
    name: &'static str,
}

impl<'a> Section<'a> {
    pub fn new(reader: &'a mut Reader, name: &'static str) -> Section<'a> {
        Section { reader, name }
    }

    /// Returns a value, or `default` where the key is missing.
    pub fn value<T>(
        &mut self,
        key: &'static str,
        kind: impl ValueParser<Value = T>,
        default: T,
    ) -> T {
        self.reader.value(self.name, key, kind, default)
    }

    pub fn time(
        &mut self,
        key: &'static str,
        slot: &mut Duration,
        bounds: RangeInclusive<Duration>,
    ) {
        *slot = self.reader.value(self.name, key, Time(bounds), *slot);
    }

    pub fn number<T>(&mut self, key: &'static str, slot: &mut T, bounds: RangeInclusive<T>)
    where
        T: Copy + FromStr + PartialOrd + fmt::Display,
    {
        *slot = self.reader.value(self.name, key, Number(bounds), *slot);
    }

    pub fn switch(&mut self, key: &'static str, slot: &mut bool) {
        *slot = self.reader.value(self.name, key, Switch, *slot);
    }
}
