//! The statements of a story and how they are read.

use std::str::FromStr;
use std::time::Duration;

use ferry_model::{PresetName, SortedMap};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// Most requests that one statement may send.
const MAX_TIMES: usize = 2_000;
/// Longest time in a story.
const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    Run(Duration),
    Ask(Ask),
    HangUp(String),
    /// The target is an endpoint or a whole pool.
    Fault {
        target: String,
        fault: EndpointFault,
    },
    Heal(String),
    Node {
        node: usize,
        verb: NodeAction,
    },
    Store(StoreFault),
    Cut {
        left: String,
        right: String,
    },
    Rejoin,
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
    pub times: usize,
    /// Time between them.
    pub every: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointFault {
    Down,
    Silent,
    Straggle,
    CrashBefore,
    CrashAfter,
    Late,
    Duplicate,
    Misaddress,
    Break,
    Stall,
    Fail,
    /// Leaves and refuses calls from now on.
    Leave,
    /// Leaves while it still takes calls.
    Retire,
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
    LoseAnswer,
    Deaf,
    Stale,
    Well,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Show {
    Request(String),
    Runs {
        stage: String,
        key: Option<String>,
    },
    /// What an operator was told of their last change.
    Change(String),
    Revisions,
    Exited(usize),
    Invariants,
}

/// Every word that starts a statement, for the message about an unknown one.
const WORDS: &str = "ask, cut, fault, freeze, hang-up, heal, kill, preset, rejoin, replace, run, \
                     show, shutdown, store, thaw";

impl Statement {
    /// Reads one line; an empty one and a comment say nothing.
    pub fn parse(line: &str) -> Result<Option<Statement>, String> {
        let line = line.split('#').next().unwrap_or_default();
        let mut words = Words::new(line)?;
        let Some(word) = words.next() else { return Ok(None) };
        let statement = match word.as_str() {
            "run" => Statement::Run(time(&words.take("a time, as in `run 2s`")?)?),
            "ask" => Statement::Ask(ask(&mut words)?),
            "hang-up" => Statement::HangUp(words.take("the name of a request")?),
            "fault" => Statement::Fault {
                target: words.take("an endpoint or a pool")?,
                fault: one_of(&words.take("a fault")?)?,
            },
            "heal" => Statement::Heal(words.take("an endpoint or a pool")?),
            "store" => Statement::Store(one_of(&words.take("what the store does")?)?),
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
            verb => match verb.parse() {
                Ok(verb) => {
                    Statement::Node { node: number(&words.take("the number of a node")?)?, verb }
                }
                Err(_) => return Err(format!("unknown word `{verb}`; expected one of {WORDS}")),
            },
        };
        words.expect_end()?;
        Ok(Some(statement))
    }
}

fn ask(words: &mut Words) -> Result<Ask, String> {
    let name = words.take("a name for the request")?;
    let times = words.option("times", number)?.unwrap_or(1);
    if MAX_TIMES < times {
        return Err(format!("times={times} is over {MAX_TIMES}"));
    }
    Ok(Ask {
        name,
        entry: words.option("entry", number)?.unwrap_or(0),
        pipeline: words.named("pipeline").ok_or("expected pipeline=NAME")?,
        workspace: words.named("workspace").unwrap_or_else(|| "bars".to_owned()),
        key: words.named("key"),
        input: words.named("input"),
        deadline: words.option("deadline", time)?,
        stream: words.option("stream", flag)?.unwrap_or(false),
        times,
        every: words.option("every", time)?.unwrap_or(Duration::ZERO),
    })
}

fn show(words: &mut Words) -> Result<Show, String> {
    let what = words.take("a request, `runs`, `change`, `revisions`, `node` or `promises`")?;
    Ok(match what.as_str() {
        "runs" => Show::Runs { stage: words.take("a stage")?, key: words.named("key") },
        "change" => Show::Change(words.take("the operator's name")?),
        "revisions" => Show::Revisions,
        "node" => Show::Exited(number(&words.take("the number of a node")?)?),
        "promises" => Show::Invariants,
        _ => Show::Request(what),
    })
}

/// The words of one line: plain ones in order, and `name=value` pairs.
#[derive(Debug)]
struct Words {
    plain: std::vec::IntoIter<String>,
    pairs: SortedMap<String, String>,
}

impl Words {
    fn new(line: &str) -> Result<Words, String> {
        let mut plain = Vec::new();
        let mut pairs = SortedMap::new();
        for word in line.split_whitespace() {
            match word.split_once('=') {
                None => plain.push(word.to_owned()),
                Some((name, value)) => {
                    let before = pairs.insert(name.to_owned(), value.to_owned());
                    if before.is_some() {
                        return Err(format!("`{name}` stands twice"));
                    }
                }
            }
        }
        Ok(Words { plain: plain.into_iter(), pairs })
    }

    fn next(&mut self) -> Option<String> {
        self.plain.next()
    }

    fn take(&mut self, what: &str) -> Result<String, String> {
        self.plain.next().ok_or_else(|| format!("expected {what}"))
    }

    fn named(&mut self, name: &str) -> Option<String> {
        self.pairs.remove(name)
    }

    fn option<T>(
        &mut self,
        name: &str,
        read: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<Option<T>, String> {
        self.named(name).map(|it| read(&it)).transpose()
    }

    fn expect_end(mut self) -> Result<(), String> {
        if let Some(word) = self.plain.next() {
            return Err(format!("`{word}` is one word too many"));
        }
        match self.pairs.keys().next() {
            Some(name) => Err(format!("unknown argument `{name}=`")),
            None => Ok(()),
        }
    }
}

fn time(text: &str) -> Result<Duration, String> {
    let digits = text.trim_end_matches(char::is_alphabetic);
    let count: u64 = digits.parse().map_err(|_| format!("`{text}` is no time such as `250ms`"))?;
    let unit = match &text[digits.len()..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return Err(format!("`{text}` needs one of the units ms, s, m")),
    };
    match count.checked_mul(unit).map(Duration::from_millis) {
        Some(time) if time <= MAX_TIME => Ok(time),
        Some(_) | None => Err(format!("`{text}` is over a day")),
    }
}

fn number(text: &str) -> Result<usize, String> {
    text.parse().map_err(|_| format!("`{text}` is no number"))
}

fn flag(text: &str) -> Result<bool, String> {
    text.parse().map_err(|_| format!("`{text}` is neither true nor false"))
}

/// Reads a word of a closed set, and names the set where the word is unknown.
fn one_of<T: FromStr + IntoEnumIterator + ToString>(text: &str) -> Result<T, String> {
    text.parse().map_err(|_| {
        let all: Vec<String> = T::iter().map(|it| it.to_string()).collect();
        format!("unknown word `{text}`; expected one of {}", all.join(", "))
    })
}
