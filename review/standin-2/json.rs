//! A small reader of JSON, which keeps the text of each value.

/// A value and the text that it was read from.
#[derive(Debug, Clone)]
pub enum Json {
    Object(Vec<(String, Json)>, String),
    List(Vec<Json>, String),
    Text(String),
    /// A number, a truth value or null, as written.
    Plain(String),
}

impl Json {
    /// Reads a complete text; none if it is not valid.
    pub fn read(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields, _) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            Json::List(..) | Json::Text(_) | Json::Plain(_) => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            Json::Object(..) | Json::List(..) | Json::Plain(_) => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Plain(text) => text.parse().ok(),
            Json::Object(..) | Json::List(..) | Json::Text(_) => None,
        }
    }

    pub fn float(&self) -> Option<f64> {
        match self {
            Json::Plain(text) => text.parse().ok(),
            Json::Object(..) | Json::List(..) | Json::Text(_) => None,
        }
    }

    /// Returns the strings of a list.
    pub fn texts(&self) -> Vec<&str> {
        match self {
            Json::List(items, _) => items.iter().filter_map(Json::text).collect(),
            Json::Object(..) | Json::Text(_) | Json::Plain(_) => Vec::new(),
        }
    }

    /// Returns the value as JSON.
    pub fn raw(&self) -> String {
        match self {
            Json::Object(_, raw) | Json::List(_, raw) | Json::Plain(raw) => raw.clone(),
            Json::Text(text) => quote(text),
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for it in text.chars() {
        match it {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            it if u32::from(it) < 0x20 => out.push_str(&format!("\\u{:04x}", u32::from(it))),
            it => out.push(it),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn raw(&self, from: usize) -> Option<String> {
        String::from_utf8(self.bytes[from..self.at].to_vec()).ok()
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        let from = self.at;
        match self.bytes.get(self.at)? {
            b'{' => {
                let fields = self.fields()?;
                Some(Json::Object(fields, self.raw(from)?))
            }
            b'[' => {
                let items = self.items()?;
                Some(Json::List(items, self.raw(from)?))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let is_part = |it: &u8| it.is_ascii_alphanumeric() || b"+-.".contains(it);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                (from < self.at).then(|| self.raw(from).map(Json::Plain))?
            }
        }
    }

    fn fields(&mut self) -> Option<Vec<(String, Json)>> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(fields);
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(fields);
            }
        }
    }

    fn items(&mut self) -> Option<Vec<Json>> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(items);
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(items);
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let it = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(it.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}
