//! Starts a gateway and runs it until it has been asked to stop and every request has ended.

use std::rc::Rc;
use std::time::Duration;

use ferry_edge::process::{self, ProcessError, StopSignals};
use ferry_platform::settings::NodeSettings;
use ferry_platform::store::Kind;
use ferry_serve::{Event, Gateway, Identity};
use slog::{Logger, info};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

use crate::GatewaySettings;
use crate::driver::{Driver, Phase};
use crate::logs::LogBuffer;
use crate::server::{Interface, ListenError, listen};
use crate::{peers, store};

/// Megabits a second from which on a link does not bind: several groups of endpoints take a tenth.
const WIDE_LINK: f64 = 100.0;
/// Time between looks at the settings file, which may change without a signal.
const LOOK_AT_FILE: Duration = Duration::from_secs(2);
/// Time for the last bytes of answers before the process ends.
const LAST_BYTES: Duration = Duration::from_millis(100);

#[derive(Debug, Error)]
pub enum RunError {
    #[error(transparent)]
    Listen(#[from] ListenError),
    #[error("could not open the port for peers: {0}")]
    Peers(std::io::Error),
    #[error("could not listen for signals: {0}")]
    Signals(#[from] std::io::Error),
    #[error(transparent)]
    Process(#[from] ProcessError),
}

/// Where settings come from, to read them again.
#[derive(Debug, Clone)]
pub struct Sources {
    /// The platform's file, and its text as it was read first.
    pub path: String,
    pub text: String,
    pub own: GatewaySettings,
}

/// Runs a gateway; it must be called within a local task set.
pub async fn run(settings: NodeSettings, sources: Sources) -> Result<(), RunError> {
    let lines = LogBuffer::default();
    spawn_local(lines.clone().run_writer());
    let log = lines.logger(&settings.instance, sources.own.log);
    let ended = serve(settings, sources, log).await;
    lines.finish();
    ended
}

/// Returns the part of the work for others that an instance is to have: by its processor time, and
/// less where its link is slow, as calls for others and their answers pass through it.
fn weight(settings: &NodeSettings) -> f64 {
    let link = settings.link_mbps.unwrap_or(WIDE_LINK) / WIDE_LINK;
    settings.cores * link.min(1.0)
}

async fn serve(settings: NodeSettings, sources: Sources, log: Logger) -> Result<(), RunError> {
    let tuning = sources.own.clone().with_node(&settings).tuning;
    let identity = Identity {
        instance: settings.instance.clone(),
        life: process::incarnation(),
        zone: settings.zone.clone(),
        weight: weight(&settings),
        front: settings.front,
        peer: settings.peer,
    };
    info!(log, "starting"; "life" => identity.life,
        "zone" => &identity.zone, "version" => env!("CARGO_PKG_VERSION"));
    let socket = UdpSocket::bind(settings.peer).await.map_err(RunError::Peers)?;
    let driver = Driver::new(settings, Gateway::new(identity, tuning), socket, log);
    let signals = StopSignals::new()?;
    let hangup = signal(SignalKind::hangup())?;
    let at = driver.settings.clone();
    listen(&driver, at.front, Interface::Front).await?;
    for address in [at.ready, at.directory, at.peer] {
        listen(&driver, address, Interface::Auxiliary).await?;
    }
    spawn_local(peers::receive(driver.clone()));
    spawn_local(store::register(driver.clone()));
    spawn_local(store::follow(driver.clone(), Kind::Config));
    spawn_local(store::follow(driver.clone(), Kind::Endpoints));
    spawn_local(driver.clone().run_timer());
    spawn_local(reload_on(driver.clone(), hangup, sources));
    stop_on(&driver, signals).await;
    let mut phase = driver.phase.subscribe();
    // The sender lives as long as the driver, so the wait only ends with the phase.
    let _ = phase.wait_for(|it| *it == Phase::Stopped).await;
    tokio::time::sleep(LAST_BYTES).await;
    info!(driver.log, "stopped");
    Ok(())
}

async fn stop_on(driver: &Rc<Driver>, mut signals: StopSignals) {
    let name = signals.next().await;
    info!(driver.log, "asked to stop; open requests go on"; "signal" => name);
    driver.set_phase(Phase::Leaving);
    driver.dispatch(Event::Shutdown);
}

/// Reads the platform's file again on a signal, and when it has changed without one.
async fn reload_on(driver: Rc<Driver>, mut hangup: Signal, sources: Sources) {
    let mut last = sources.text.clone();
    loop {
        tokio::select! {
            _ = hangup.recv() => (),
            () = tokio::time::sleep(LOOK_AT_FILE) => (),
        }
        match std::fs::read_to_string(&sources.path) {
            Ok(text) if text == last => (),
            Ok(text) => {
                reload(&driver, &sources.own, &text);
                last = text;
            }
            Err(error) => driver.warn("could not read the settings; the last ones stay", &error),
        }
    }
}

/// Puts new limits and times in force; addresses stay until the next start.
fn reload(driver: &Rc<Driver>, own: &GatewaySettings, text: &str) {
    match NodeSettings::parse(text) {
        Ok(settings) => {
            let tuning = own.clone().with_node(&settings).tuning;
            driver.dispatch(Event::Retune(Box::new(tuning)));
            info!(driver.log, "settings were read again");
        }
        Err(findings) => driver.warn("the settings have findings; the last ones stay", &findings),
    }
}
