//! The datagrams between instances, in the formats of this and of earlier releases.
//!
//! docs/UPGRADES.md has the rules for changes, and which releases may run together. In short: a released
//! format stays as it is. A new field of a message is an extension with a tag of its own, which earlier
//! readers ignore; a new kind of message is skipped by them; anything else is a new format.

mod former;

use std::net::SocketAddr;

use ferry_model::{Incarnation, SortedMap, StorePosition, store_era, store_revision};
use ferry_serve::{EndpointNotice, PeerMessage};
use serde::Deserialize;
use strum::{Display, EnumCount, EnumIter, EnumString, FromRepr};
use thiserror::Error;

use former::FormerHeartbeat;

/// First byte of a framed message. In the formats before, it is the number of the message's kind, of which
/// there are fewer.
const MARKER: u8 = 0x7f;
/// Marker, format and checksum.
const HEADER_LEN: usize = 6;
/// Extension with a notice about an endpoint; a message may have several.
const NOTICE: u16 = 1;
/// Extension with the run times in a crash report.
const RUN_TIMES: u16 = 2;
/// Number of message kinds in the formats before the current one.
const N_FORMER_KINDS: u32 = 23;

/// A format of messages between instances; each release reads its own and all before.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, FromRepr,
)]
#[repr(u8)]
pub enum WireFormat {
    /// Heartbeats have no list of the pools that are reached.
    #[strum(serialize = "1")]
    Bare = 1,
    #[strum(serialize = "2")]
    Reach = 2,
    /// Messages have a header, a checksum and extensions.
    #[strum(serialize = "3")]
    Framed = 3,
    /// Positions in the store's history have its era. Most releases of the formats before compare them
    /// with revisions of the store, which are lower.
    #[strum(serialize = "4")]
    Eras = 4,
}

impl WireFormat {
    pub const CURRENT: WireFormat = WireFormat::Eras;
    pub const ALL: [WireFormat; 4] =
        [WireFormat::Eras, WireFormat::Framed, WireFormat::Reach, WireFormat::Bare];
}

/// What the release of a peer can read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reader {
    pub format: WireFormat,
    /// Whether it compares positions, not revisions of the store.
    pub knows_eras: bool,
}

impl From<WireFormat> for Reader {
    fn from(format: WireFormat) -> Reader {
        Reader { format, knows_eras: WireFormat::Eras <= format }
    }
}

/// What a datagram has.
#[derive(Debug, Clone, PartialEq)]
pub enum Received {
    Message(PeerMessage),
    /// The same, without this number of its extensions, which could not be read.
    Partial(PeerMessage, usize),
    /// A kind of message of a later release.
    UnknownKind(u32),
    /// A format that this release does not read. Its sender uses one that is, after a heartbeat of this process.
    LaterFormat(u8),
}

#[derive(Debug, Error)]
pub enum WireError {
    #[error("it is empty or too short")]
    Short,
    #[error("its checksum does not match")]
    Checksum,
    #[error("{0} bytes follow its end")]
    Trailing(usize),
    #[error("its sender is at {0}, and takes requests at {1}")]
    Contradiction(SocketAddr, SocketAddr),
    #[error(transparent)]
    Content(#[from] postcard::Error),
}

/// Fields that were added to a message after its format was released, by tag.
type Extensions = Vec<(u16, Vec<u8>)>;

/// Returns the bytes of a message; none if the format of its reader does not have it.
pub fn encode(
    message: &PeerMessage,
    reader: impl Into<Reader>,
) -> Result<Option<Vec<u8>>, WireError> {
    let Reader { format, knows_eras } = reader.into();
    let without_eras = (!knows_eras).then(|| message.clone().without_eras());
    let message = without_eras.as_ref().unwrap_or(message);
    let former = match (message, format) {
        (_, WireFormat::Framed | WireFormat::Eras) => return framed(message, format).map(Some),
        (PeerMessage::Heartbeat(it), WireFormat::Bare) => {
            let body = (0_u32, FormerHeartbeat::from((**it).clone()));
            return Ok(Some(postcard::to_stdvec(&body)?));
        }
        (
            PeerMessage::PoolBuilds(_)
            | PeerMessage::OnlyBuild { build: None, .. }
            | PeerMessage::Notices { .. },
            _,
        ) => return Ok(None),
        // These releases make no difference between the only build of a pool and a record.
        (PeerMessage::OnlyBuild { attempt, build: Some(build) }, _) => {
            &PeerMessage::Origin { attempt: attempt.clone(), build: build.clone() }
        }
        _ => message,
    };
    Ok(Some(postcard::to_stdvec(former)?))
}

fn framed(message: &PeerMessage, format: WireFormat) -> Result<Vec<u8>, WireError> {
    let notice = |it: &EndpointNotice| Ok((NOTICE, postcard::to_stdvec(it)?));
    let extensions: Result<Extensions, WireError> = message.notices().iter().map(notice).collect();
    let mut extensions = extensions?;
    let run_times = message.run_times();
    if !run_times.is_empty() {
        extensions.push((RUN_TIMES, postcard::to_stdvec(&run_times)?));
    }
    let body = postcard::to_stdvec(&(message, extensions))?;
    let mut bytes = Vec::with_capacity(HEADER_LEN + body.len());
    bytes.extend([MARKER, format as u8]);
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// Reads a datagram, and in which format it is; none if that is a later one.
///
/// # Errors
///
/// Returns an error if it is damaged. Nothing of it may be used then.
pub fn decode(bytes: &[u8]) -> Result<(Option<WireFormat>, Received), WireError> {
    match bytes {
        [MARKER, format, rest @ ..] => match WireFormat::from_repr(*format) {
            Some(format @ (WireFormat::Framed | WireFormat::Eras)) => {
                Ok((Some(format), read_framed(rest)?))
            }
            Some(WireFormat::Bare | WireFormat::Reach) | None => {
                Ok((None, Received::LaterFormat(*format)))
            }
        },
        _ => read_former(bytes),
    }
}

fn read_framed(rest: &[u8]) -> Result<Received, WireError> {
    let (checksum, body) = rest.split_first_chunk::<4>().ok_or(WireError::Short)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(WireError::Checksum);
    }
    let (kind, _) = postcard::take_from_bytes::<u32>(body)?;
    if PeerMessage::COUNT as u32 <= kind {
        return Ok(Received::UnknownKind(kind));
    }
    let ((message, extensions), rest) =
        postcard::take_from_bytes::<(PeerMessage, Extensions)>(body)?;
    if !rest.is_empty() {
        return Err(WireError::Trailing(rest.len()));
    }
    // Extensions of later releases are ignored.
    let notices = extensions.iter().filter(|it| it.0 == NOTICE);
    let notices: Vec<_> = notices.map(|it| read_whole::<EndpointNotice>(&it.1)).collect();
    let run_times = extensions.iter().find(|it| it.0 == RUN_TIMES);
    let run_times = run_times.map(|it| read_whole::<Vec<u32>>(&it.1)).transpose();
    let n_unreadable =
        notices.iter().filter(|it| it.is_err()).count() + usize::from(run_times.is_err());
    let message = message.with_notices(notices.into_iter().flatten().collect());
    let message = message.with_run_times(run_times.ok().flatten().unwrap_or_default());
    Ok(match n_unreadable {
        0 => Received::Message(message),
        _ => Received::Partial(message, n_unreadable),
    })
}

/// Reads a message of the formats without a header, of which only heartbeats differ.
fn read_former(bytes: &[u8]) -> Result<(Option<WireFormat>, Received), WireError> {
    let (kind, _) = postcard::take_from_bytes::<u32>(bytes)?;
    if N_FORMER_KINDS <= kind {
        return Ok((None, Received::UnknownKind(kind)));
    }
    let whole = read_whole::<PeerMessage>(bytes).and_then(check_heartbeat);
    match whole {
        Ok(PeerMessage::Heartbeat(it)) => {
            let message = PeerMessage::Heartbeat(it);
            Ok((Some(WireFormat::Reach), Received::Message(message)))
        }
        Err(error) if kind == 0 => {
            let (_, heartbeat) = read_whole::<(u32, FormerHeartbeat)>(bytes).map_err(|_| error)?;
            let message = PeerMessage::Heartbeat(Box::new(heartbeat.into()));
            Ok((Some(WireFormat::Bare), Received::Message(message)))
        }
        // The sender may only have taken the pool for one of a single build.
        Ok(PeerMessage::Origin { attempt, build }) => {
            let message = PeerMessage::OnlyBuild { attempt, build: Some(build) };
            Ok((None, Received::Message(message)))
        }
        Ok(message) => Ok((None, Received::Message(message))),
        Err(error) => Err(error),
    }
}

fn read_whole<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, WireError> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        (_, rest) => Err(WireError::Trailing(rest.len())),
    }
}

/// Finds a heartbeat of another format that happens to be readable: an instance takes requests of peers
/// at the address at which it takes those of callers.
fn check_heartbeat(message: PeerMessage) -> Result<PeerMessage, WireError> {
    match message {
        PeerMessage::Heartbeat(it) if it.relay.ip() != it.front.ip() => {
            Err(WireError::Contradiction(it.front, it.relay))
        }
        message => Ok(message),
    }
}

/// The format that each peer reads, by the address at which it receives datagrams.
///
/// A process sends its heartbeat in all formats until it has received the peer's, so that the highest one
/// counts; one that takes its place may be of an earlier release, so that its format counts alone. Late
/// heartbeats of former processes are not recorded, see [`ferry_serve::Peers::is_overtaken`].
#[derive(Debug, Default)]
pub struct PeerFormats {
    known: SortedMap<SocketAddr, (Incarnation, Reader)>,
    /// Whether the store has come back from a copy since this process began.
    has_new_era: bool,
}

impl PeerFormats {
    /// Records the format of a peer's heartbeat, and whether a position in it has an era; returns whether
    /// it uses another format than before.
    pub fn record(
        &mut self,
        peer: SocketAddr,
        incarnation: Incarnation,
        format: WireFormat,
        has_era: bool,
    ) -> bool {
        let before = self.known.get(&peer).copied();
        let same = before.filter(|it| it.0 == incarnation).map(|it| it.1);
        let format = same.map_or(format, |it| it.format.max(format));
        let knows_eras = has_era || same.is_some_and(|it| it.knows_eras);
        let reader = Reader { format, knows_eras: knows_eras || Reader::from(format).knows_eras };
        self.known.insert(peer, (incarnation, reader));
        before.map(|it| it.1.format) != Some(format)
    }

    /// Returns the forms in which a message is sent to a peer: its own, or all of them until a heartbeat
    /// has arrived.
    pub fn of(&self, peer: SocketAddr, highest: WireFormat) -> Vec<Reader> {
        match self.known.get(&peer) {
            Some((_, it)) => vec![Reader { format: it.format.min(highest), ..*it }],
            None => {
                let allowed = WireFormat::ALL.into_iter().filter(|it| *it <= highest);
                allowed.map(Reader::from).collect()
            }
        }
    }

    /// Records that the store came back from a copy.
    ///
    /// Peers that know no eras ignore the store from then on, as its revisions are lower than before. They
    /// get positions, which are higher, so that they follow this instance.
    pub fn on_new_era(&mut self) {
        self.has_new_era = true;
        self.known.values_mut().for_each(|it| it.1.knows_eras = true);
    }

    /// Whether a peer that names no format, and has seen the store at `since`, reads positions from this
    /// instance, which has seen it at `own`.
    pub fn follows(&self, since: StorePosition, own: StorePosition) -> bool {
        0 < store_era(since) || (self.has_new_era && store_revision(own) < since)
    }

    /// Counts the peers that use a format.
    pub fn count(&self, format: WireFormat) -> usize {
        self.known.values().filter(|it| it.1.format == format).count()
    }
}
