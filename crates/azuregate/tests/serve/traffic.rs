//! Requests of many objects, one after the other.

use std::time::{Duration, Instant};

use tokio::time;

use crate::cluster::{Instance, get_request, post_request};

const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const OBJECTS: usize = 40;

/// Returns a read, or a write for each third number, of one of the objects.
pub(crate) fn request(name: &str, number: usize) -> String {
    let id = format!("{name}{number}");
    let request = match number % 3 {
        0 => post_request("/write/x", &id, "an order"),
        _ => get_request("/read/x", &id),
    };
    request.replace("X-Affinity-Key: 17", &format!("X-Affinity-Key: k{}", number % OBJECTS))
}

/// Sends requests one after the other, each on a connection of its own; returns their statuses, 0 for
/// those without a response.
pub(crate) async fn send_for(instance: &Instance, name: &str, duration: Duration) -> Vec<u16> {
    let start = Instant::now();
    let mut statuses = Vec::new();
    for number in 0.. {
        if start.elapsed() > duration {
            break;
        }
        let response = instance.send(&request(name, number)).await;
        statuses.push(response.map_or(0, |response| response.status));
        time::sleep(REQUEST_INTERVAL).await;
    }
    statuses
}
