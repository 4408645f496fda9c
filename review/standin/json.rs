//! JSON, as far as the stand-ins read it.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.chars().peekable();
        value(&mut rest)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".to_owned(),
            Json::Bool(it) => it.to_string(),
            Json::Number(it) => it.clone(),
            Json::Text(it) => quote(it),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::write).collect();
                format!("[{}]", items.join(","))
            }
            Json::Object(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|it| format!("{}:{}", quote(&it.0), it.1.write())).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for it in text.chars() {
        match it {
            '"' | '\\' => out.extend(['\\', it]),
            it if (it as u32) < 32 => out += &format!("\\u{:04x}", it as u32),
            it => out.push(it),
        }
    }
    out + "\""
}

type Chars<'a> = std::iter::Peekable<std::str::Chars<'a>>;

fn skip(rest: &mut Chars<'_>) {
    while rest.next_if(|it| it.is_whitespace()).is_some() {}
}

fn value(rest: &mut Chars<'_>) -> Option<Json> {
    skip(rest);
    match rest.peek()? {
        '{' => {
            rest.next();
            let mut fields = Vec::new();
            loop {
                skip(rest);
                match rest.peek()? {
                    '}' => {
                        rest.next();
                        return Some(Json::Object(fields));
                    }
                    ',' => {
                        rest.next();
                    }
                    _ => {
                        let name = string(rest)?;
                        skip(rest);
                        rest.next_if_eq(&':')?;
                        fields.push((name, value(rest)?));
                    }
                }
            }
        }
        '[' => {
            rest.next();
            let mut items = Vec::new();
            loop {
                skip(rest);
                match rest.peek()? {
                    ']' => {
                        rest.next();
                        return Some(Json::List(items));
                    }
                    ',' => {
                        rest.next();
                    }
                    _ => items.push(value(rest)?),
                }
            }
        }
        '"' => string(rest).map(Json::Text),
        _ => {
            let mut word = String::new();
            while let Some(it) = rest.next_if(|it| !",]}".contains(*it) && !it.is_whitespace()) {
                word.push(it);
            }
            Some(match word.as_str() {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                _ => Json::Number(word),
            })
        }
    }
}

fn string(rest: &mut Chars<'_>) -> Option<String> {
    rest.next_if_eq(&'"')?;
    let mut out = String::new();
    loop {
        match rest.next()? {
            '"' => return Some(out),
            '\\' => match rest.next()? {
                'n' => out.push('\n'),
                't' => out.push('\t'),
                'r' => out.push('\r'),
                'u' => {
                    let digits: String = (0..4).filter_map(|_| rest.next()).collect();
                    let code = u32::from_str_radix(&digits, 16).ok()?;
                    out.push(char::from_u32(code).unwrap_or('?'));
                }
                it => out.push(it),
            },
            it => out.push(it),
        }
    }
}
