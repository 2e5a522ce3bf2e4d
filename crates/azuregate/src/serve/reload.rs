//! Settings that change while the instance runs.

use std::{path::PathBuf, rc::Rc};

use azuregate_platform::settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

use super::state::State;

/// How often the file is read: it may change without a signal, and what it says
/// must be in force within seconds.
const CHECK_EVERY_MS: u64 = 2_000;

/// Takes in the settings file when it changes, until the process ends.
///
/// Only what the whole deployment agrees on can change. Addresses and names belong
/// to one start of the process; it is started anew when they change.
pub(super) async fn serve(state: Rc<State>, path: PathBuf) {
    let mut ticks = state.timer.subscribe(CHECK_EVERY_MS);
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => Some(hangups),
        Err(e) => {
            log::error!(error:% = e; "SIGHUP cannot be watched");
            None
        }
    };
    loop {
        let is_asked = tokio::select! {
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
                false
            }
            Some(()) = async { hangups.as_mut()?.recv().await } => true,
        };
        let newest = match std::fs::read_to_string(&path) {
            Ok(newest) => newest,
            Err(e) => {
                log::warn!(path:% = path.display(), error:% = e; "settings cannot be read, the old ones stay");
                continue;
            }
        };
        if newest == text && !is_asked {
            continue;
        }
        match Settings::parse(&newest) {
            Ok(settings) => reload(&state, &settings),
            Err(e) => log::warn!(error:% = e; "settings are wrong, the old ones stay"),
        }
        text = newest;
    }
}

fn reload(state: &State, settings: &Settings) {
    let old = &state.settings;
    let needs_start = settings.instance != old.instance
        || settings.traffic_addr != old.traffic_addr
        || settings.readiness_addr != old.readiness_addr
        || settings.lookup_addr != old.lookup_addr
        || settings.store_addr != old.store_addr
        || settings.peer_port != old.peer_port
        || settings.zones != old.zones;
    if needs_start {
        log::warn!("names or addresses in the settings have changed; they need a new start");
    }
    let has_changed = state.set_bounds(settings.bounds.clone());
    log::info!(changed = has_changed; "settings reloaded");
}
