//! Reloads the settings file while the instance runs.

use std::{path::PathBuf, pin::pin, rc::Rc};

use azuregate_platform::settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

use super::state::State;

/// The file is polled because it may change without a signal.
const POLL_INTERVAL_MS: u64 = 2_000;

/// Applies the settings file whenever it changes or SIGHUP is received, until the process
/// ends.
///
/// Only the deployment-wide bounds can be changed at run time. Changed names or addresses
/// take effect after a restart.
pub(super) async fn serve(state: Rc<State>, path: PathBuf) {
    let mut ticks = state.timer.subscribe(POLL_INTERVAL_MS);
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => Some(hangups),
        Err(e) => {
            log::error!(error:% = e; "cannot install SIGHUP handler");
            None
        }
    };
    let mut stop = state.stop.clone();
    let mut stop = pin!(stop.wait());
    let mut has_read_at_stop = false;
    loop {
        let is_requested = tokio::select! {
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
                false
            }
            // The grace period may have changed just before.
            () = &mut stop, if !has_read_at_stop => {
                has_read_at_stop = true;
                false
            }
            Some(()) = async { hangups.as_mut()?.recv().await } => true,
        };
        let new_text = match std::fs::read_to_string(&path) {
            Ok(new_text) => new_text,
            Err(e) => {
                log::warn!(path:% = path.display(), error:% = e; "cannot read settings file, keeping the current settings");
                continue;
            }
        };
        if new_text == text && !is_requested {
            continue;
        }
        match Settings::parse(&new_text) {
            Ok(settings) => apply(&state, &settings),
            Err(e) => {
                log::warn!(error:% = e; "invalid settings file, keeping the current settings")
            }
        }
        text = new_text;
    }
}

fn apply(state: &State, settings: &Settings) {
    let old = &state.settings;
    let needs_restart = settings.instance != old.instance
        || settings.traffic_addr != old.traffic_addr
        || settings.readiness_addr != old.readiness_addr
        || settings.lookup_addr != old.lookup_addr
        || settings.store_addr != old.store_addr
        || settings.peer_port != old.peer_port
        || settings.zones != old.zones;
    if needs_restart {
        log::warn!("changed names or addresses in the settings take effect after a restart");
    }
    let has_changed = state.set_bounds(settings.bounds.clone());
    log::info!(changed = has_changed; "settings reloaded");
}
