//! The statements of the scenario language and their parser.

use std::str::FromStr;
use std::time::Duration;

use ferry_model::{PresetName, SortedMap};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// Maximum number of requests sent by one statement.
const MAX_REQUESTS: usize = 2_000;
/// Longest duration of one statement.
const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Lets virtual time pass.
    Run(Duration),
    /// Sends requests.
    Ask(Ask),
    /// The callers of the named requests disconnect.
    HangUp(String),
    /// Injects a fault into an endpoint or into every endpoint of a pool.
    Fault {
        target: String,
        fault: EndpointFault,
    },
    /// Ends all faults of an endpoint or a pool.
    Heal(String),
    Node {
        node: usize,
        action: NodeAction,
    },
    Store(StoreFault),
    /// Cuts the network between two availability zones.
    Cut {
        left: String,
        right: String,
    },
    /// Reconnects all availability zones.
    Rejoin,
    /// An operator chooses a preset at a node.
    Preset {
        node: usize,
        name: PresetName,
        author: String,
    },
    Show(Show),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    pub name: String,
    pub entry: usize,
    pub pipeline: String,
    pub workspace: String,
    pub key: Option<String>,
    pub input: Option<String>,
    pub deadline: Option<Duration>,
    pub stream: bool,
    pub count: usize,
    /// Time between two requests.
    pub interval: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointFault {
    Down,
    /// Open connections stay silent; new ones work.
    Silent,
    /// Takes many times as long for each call.
    Straggle,
    /// Dies before it runs the next call.
    CrashBefore,
    /// Runs the next call and dies before its answer.
    CrashAfter,
    /// Delays each answer.
    Late,
    /// Sends each answer twice.
    Duplicate,
    /// Answers with another request's echo.
    Misaddress,
    /// Closes the connection of each stream after a few tokens.
    Break,
    /// Stops each stream after a few tokens and leaves its connection open.
    Stall,
    /// Runs each call and reports that it failed.
    Fail,
    /// Reports that it leaves, and refuses new calls.
    Leave,
    /// Reports that it leaves, but still takes new calls.
    Retire,
    /// Sends no load reports.
    Mute,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum NodeAction {
    Kill,
    Replace,
    Freeze,
    Thaw,
    Shutdown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreFault {
    Down,
    Slow,
    /// The next write takes effect, but its answer is lost.
    LoseAnswer,
    /// Watches report nothing.
    Deaf,
    /// Reads return the state at the moment of the fault.
    Stale,
    /// Ends all faults of the store.
    Well,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Show {
    Request(String),
    Runs {
        stage: String,
        key: Option<String>,
    },
    /// The reply to an operator's last change.
    Change(String),
    Revisions,
    Exited(usize),
    Invariants,
}

/// All words that can start a statement, for the error about an unknown one.
const KEYWORDS: &str = "ask, cut, fault, freeze, hang-up, heal, kill, preset, rejoin, replace, \
                        run, show, shutdown, store, thaw";

impl Statement {
    /// Parses one line. Returns `None` for an empty line or a comment.
    pub fn parse(line: &str) -> Result<Option<Statement>, String> {
        let line = line.split('#').next().unwrap_or_default();
        let mut words = Words::new(line)?;
        let Some(word) = words.next() else { return Ok(None) };
        let statement = match word.as_str() {
            "run" => Statement::Run(duration(&words.take("a duration, as in `run 2s`")?)?),
            "ask" => Statement::Ask(ask(&mut words)?),
            "hang-up" => Statement::HangUp(words.take("the name of a request")?),
            "fault" => Statement::Fault {
                target: words.take("an endpoint or a pool")?,
                fault: one_of(&words.take("a fault")?)?,
            },
            "heal" => Statement::Heal(words.take("an endpoint or a pool")?),
            "store" => Statement::Store(one_of(&words.take("a state of the store")?)?),
            "cut" => {
                Statement::Cut { left: words.take("a zone")?, right: words.take("a second zone")? }
            }
            "rejoin" => Statement::Rejoin,
            "preset" => Statement::Preset {
                node: number(&words.take("the number of a node")?)?,
                name: one_of(&words.take("a preset")?)?,
                author: words.take("the operator's name")?,
            },
            "show" => Statement::Show(show(&mut words)?),
            word => match word.parse() {
                Ok(action) => {
                    Statement::Node { node: number(&words.take("the number of a node")?)?, action }
                }
                Err(_) => return Err(format!("unknown word `{word}`; expected one of {KEYWORDS}")),
            },
        };
        words.expect_end()?;
        Ok(Some(statement))
    }
}

fn ask(words: &mut Words) -> Result<Ask, String> {
    let name = words.take("a name for the request")?;
    let count = words.option("times", number)?.unwrap_or(1);
    if MAX_REQUESTS < count {
        return Err(format!("times={count} is over {MAX_REQUESTS}"));
    }
    Ok(Ask {
        name,
        entry: words.option("entry", number)?.unwrap_or(0),
        pipeline: words.named("pipeline").ok_or("expected pipeline=NAME")?,
        workspace: words.named("workspace").unwrap_or_else(|| "bars".to_owned()),
        key: words.named("key"),
        input: words.named("input"),
        deadline: words.option("deadline", duration)?,
        stream: words.option("stream", flag)?.unwrap_or(false),
        count,
        interval: words.option("every", duration)?.unwrap_or(Duration::ZERO),
    })
}

fn show(words: &mut Words) -> Result<Show, String> {
    let target = words.take("a request, `runs`, `change`, `revisions`, `node` or `promises`")?;
    Ok(match target.as_str() {
        "runs" => Show::Runs { stage: words.take("a stage")?, key: words.named("key") },
        "change" => Show::Change(words.take("the operator's name")?),
        "revisions" => Show::Revisions,
        "node" => Show::Exited(number(&words.take("the number of a node")?)?),
        "promises" => Show::Invariants,
        _ => Show::Request(target),
    })
}

/// The words of one line: positional ones in order, and named arguments (`name=value`).
#[derive(Debug)]
struct Words {
    positional: std::vec::IntoIter<String>,
    named: SortedMap<String, String>,
}

impl Words {
    fn new(line: &str) -> Result<Words, String> {
        let mut positional = Vec::new();
        let mut named = SortedMap::new();
        for word in line.split_whitespace() {
            match word.split_once('=') {
                None => positional.push(word.to_owned()),
                Some((name, value)) => {
                    let previous = named.insert(name.to_owned(), value.to_owned());
                    if previous.is_some() {
                        return Err(format!("`{name}` is given twice"));
                    }
                }
            }
        }
        Ok(Words { positional: positional.into_iter(), named })
    }

    fn next(&mut self) -> Option<String> {
        self.positional.next()
    }

    fn take(&mut self, expected: &str) -> Result<String, String> {
        self.positional.next().ok_or_else(|| format!("expected {expected}"))
    }

    fn named(&mut self, name: &str) -> Option<String> {
        self.named.remove(name)
    }

    fn option<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<Option<T>, String> {
        self.named(name).map(|it| parse(&it)).transpose()
    }

    fn expect_end(mut self) -> Result<(), String> {
        if let Some(word) = self.positional.next() {
            return Err(format!("unexpected word `{word}`"));
        }
        match self.named.keys().next() {
            Some(name) => Err(format!("unknown argument `{name}=`")),
            None => Ok(()),
        }
    }
}

fn duration(text: &str) -> Result<Duration, String> {
    let digits = text.trim_end_matches(char::is_alphabetic);
    let count: u64 =
        digits.parse().map_err(|_| format!("`{text}` is not a duration such as `250ms`"))?;
    let unit = match &text[digits.len()..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return Err(format!("`{text}` needs one of the units ms, s, m")),
    };
    match count.checked_mul(unit).map(Duration::from_millis) {
        Some(duration) if duration <= MAX_DURATION => Ok(duration),
        Some(_) | None => Err(format!("`{text}` is longer than a day")),
    }
}

fn number(text: &str) -> Result<usize, String> {
    text.parse().map_err(|_| format!("`{text}` is not a number"))
}

fn flag(text: &str) -> Result<bool, String> {
    text.parse().map_err(|_| format!("`{text}` is neither true nor false"))
}

/// Parses a variant name. The error for an unknown one lists all variants.
fn one_of<T: FromStr + IntoEnumIterator + ToString>(text: &str) -> Result<T, String> {
    text.parse().map_err(|_| {
        let all: Vec<String> = T::iter().map(|it| it.to_string()).collect();
        format!("unknown word `{text}`; expected one of {}", all.join(", "))
    })
}
