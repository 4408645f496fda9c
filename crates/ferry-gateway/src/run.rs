//! Runs a gateway until it is asked to stop and all requests have ended.

use std::rc::Rc;
use std::time::Duration;

use ferry_edge::process::{self, ProcessError, StopSignals};
use ferry_platform::settings::NodeSettings;
use ferry_platform::store::Kind;
use ferry_serve::{Event, Gateway, Identity, Mechanism};
use slog::{Logger, info};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::GatewaySettings;
use crate::driver::{Driver, Phase};
use crate::logs::LogBuffer;
use crate::server::{Interface, ListenError, listen};
use crate::{peers, store};

/// Link speed in megabits per second from which the link is no bottleneck: calls for several groups
/// of endpoints use a tenth of it.
const FULL_LINK_MBPS: f64 = 100.0;
/// Interval at which the settings file is checked, as it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the last request in which heads that have begun may end, to be refused instead of cut.
const EXIT_DELAY: Duration = Duration::from_millis(100);

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

/// Sources of the settings, used to reload them.
#[derive(Debug, Clone)]
pub struct Sources {
    /// Path of the platform's settings file.
    pub path: String,
    /// Text of that file at the start.
    pub text: String,
    pub gateway: GatewaySettings,
}

/// Runs a gateway; must be called within a local task set.
pub async fn run(settings: NodeSettings, sources: Sources) -> Result<(), RunError> {
    let lines = LogBuffer::default();
    spawn_local(lines.clone().run_writer());
    let log = lines.logger(&settings.instance, sources.gateway.log);
    let ended = serve(settings, sources, log).await;
    lines.finish();
    ended
}

/// Returns the instance's weight in the distribution of work for other instances: its processor
/// cores, reduced if its link is slow, as calls for others and their responses use the link.
fn weight(settings: &NodeSettings) -> f64 {
    let link = settings.link_mbps.unwrap_or(FULL_LINK_MBPS) / FULL_LINK_MBPS;
    settings.cores * link.min(1.0)
}

async fn serve(settings: NodeSettings, sources: Sources, log: Logger) -> Result<(), RunError> {
    let tuning = sources.gateway.clone().with_node(&settings).tuning;
    let identity = Identity {
        instance: settings.instance.clone(),
        incarnation: process::new_incarnation(),
        zone: settings.zone.clone(),
        weight: weight(&settings),
        is_first_start: settings.is_first_start,
        front: settings.front,
        peer: settings.peer,
        relay: settings.relay,
    };
    info!(log, "starting"; "life" => identity.incarnation,
        "zone" => &identity.zone, "disabled" => names(&tuning.disabled), "version" => env!("CARGO_PKG_VERSION"));
    let socket = UdpSocket::bind(settings.peer).await.map_err(RunError::Peers)?;
    let driver =
        Driver::new(settings, Gateway::new(identity, tuning), socket, sources.gateway.format, log);
    let signals = StopSignals::new()?;
    let hangup = signal(SignalKind::hangup())?;
    let addresses = driver.settings.clone();
    listen(&driver, addresses.front, Interface::Front).await?;
    listen(&driver, addresses.relay, Interface::Relay).await?;
    listen(&driver, addresses.ready, Interface::Operator).await?;
    for address in [addresses.directory, addresses.peer] {
        listen(&driver, address, Interface::Auxiliary).await?;
    }
    spawn_local(peers::receive(driver.clone()));
    spawn_local(store::register(driver.clone()));
    spawn_local(store::follow(driver.clone(), Kind::Config));
    spawn_local(store::follow(driver.clone(), Kind::Endpoints));
    if addresses.evacuation.is_some() {
        spawn_local(store::follow(driver.clone(), Kind::Evacuations));
    }
    spawn_local(driver.clone().run_timer());
    spawn_local(watch_settings(driver.clone(), hangup, sources));
    let stopping = wait_for_stop(&driver, signals).await;
    let mut phase = driver.phase.subscribe();
    // The driver owns the sender, so the wait can only end with the phase.
    let _ = phase.wait_for(|it| *it == Phase::Stopped).await;
    tokio::time::sleep(EXIT_DELAY).await;
    wait_for_callers(&driver, stopping).await;
    info!(driver.log, "stopped");
    Ok(())
}

/// Returns the names of mechanisms, separated by commas.
fn names(mechanisms: &[Mechanism]) -> String {
    let names: Vec<&str> = mechanisms.iter().map(|it| (*it).into()).collect();
    names.join(",")
}

/// Waits for the signal to stop, and returns when it arrived.
async fn wait_for_stop(driver: &Rc<Driver>, mut signals: StopSignals) -> Instant {
    let name = signals.next().await;
    info!(driver.log, "received a stop signal; finishing open requests"; "signal" => name);
    driver.stop();
    Instant::now()
}

/// Waits until callers have got their responses, within the grace period. No request is read between
/// the end of the wait and the exit.
async fn wait_for_callers(driver: &Rc<Driver>, stopping: Instant) {
    let latest = stopping + driver.query(|it| it.context().tuning.exit_after());
    let mut n_open = driver.n_open.subscribe();
    let sent = n_open.wait_for(|it| *it == 0);
    if tokio::time::timeout_at(latest, sent).await.is_err() {
        let n_open = *driver.n_open.borrow();
        driver.warn("callers have not read their responses in time; closing them", &n_open);
    }
}

/// Reloads the platform's settings file on a signal or after a change.
async fn watch_settings(driver: Rc<Driver>, mut hangup: Signal, sources: Sources) {
    let mut last = sources.text.clone();
    loop {
        tokio::select! {
            _ = hangup.recv() => (),
            () = tokio::time::sleep(RELOAD_INTERVAL) => (),
        }
        match std::fs::read_to_string(&sources.path) {
            Ok(text) if text == last => (),
            Ok(text) => {
                reload(&driver, &sources.gateway, &text);
                last = text;
            }
            Err(error) => {
                driver.warn("could not read the settings; keeping the previous ones", &error)
            }
        }
    }
}

/// Applies new limits and times; new addresses only apply after a restart.
fn reload(driver: &Rc<Driver>, own: &GatewaySettings, text: &str) {
    match NodeSettings::parse(text) {
        Ok(settings) => {
            let tuning = own.clone().with_node(&settings).tuning;
            let disabled = names(&tuning.disabled);
            driver.dispatch(Event::Retune(Box::new(tuning)));
            info!(driver.log, "settings were read again"; "disabled" => disabled);
        }
        Err(findings) => {
            driver.warn("the settings have findings; keeping the previous ones", &findings)
        }
    }
}
