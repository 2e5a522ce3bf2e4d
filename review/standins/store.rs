//! The platform's store, as far as the entry instances use it.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Request};

/// The last change of a row.
struct Row {
    /// In Base64; `None` if it was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store. It loses nothing, is always up and answers at once.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store { addr: listener.local_addr()?, shared: Arc::default() };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.shared.0.lock().unwrap();
        rows.version += 1;
        let row = Row { value, version: rows.version };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read_request() {
            let body = self.respond(&request);
            let (status, body) = body.map_or(("404 Not Found", String::new()), |b| ("200 OK", b));
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> Option<String> {
        let table = request.query("table");
        match request.path.split('?').next()? {
            "/-/rows-get" => Some(self.page(table, 0, false)),
            "/-/rows-feed" => {
                let after = request.query("after").parse().unwrap_or(0);
                let wait_ms = request.query("waitMs").parse().unwrap_or(0);
                self.wait(table, after, Duration::from_millis(wait_ms));
                Some(self.page(table, after, true))
            }
            "/-/rows-tx" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let (puts, removed) = body.split_once("\"remove\":")?;
                for entry in puts.split('{').filter(|entry| entry.contains("\"value\":")) {
                    let value = Some(field(entry, "value"));
                    self.write(&field(entry, "table"), &field(entry, "key"), value);
                }
                for entry in removed.split('{').filter(|entry| entry.contains("\"key\":")) {
                    self.write(&field(entry, "table"), &field(entry, "key"), None);
                }
                let version = self.shared.0.lock().unwrap().version;
                Some(format!("{{\"ver\":{version},\"nowS\":1.0}}"))
            }
            _ => None,
        }
    }

    fn wait(&self, table: &str, after: u64, limit: Duration) {
        let deadline = Instant::now() + limit;
        let mut rows = self.shared.0.lock().unwrap();
        loop {
            let has_changed =
                rows.rows.iter().any(|((of, _), row)| of == table && row.version > after);
            let left = deadline.saturating_duration_since(Instant::now());
            if has_changed || left.is_zero() {
                return;
            }
            rows = self.shared.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn page(&self, table: &str, after: u64, with_removed: bool) -> String {
        let rows = self.shared.0.lock().unwrap();
        let mut found: Vec<(&str, &Row)> = rows
            .rows
            .iter()
            .filter(|((of, _), row)| of == table && row.version > after)
            .filter(|(_, row)| with_removed || row.value.is_some())
            .map(|((_, key), row)| (key.as_str(), row))
            .collect();
        if with_removed {
            found.sort_by_key(|(_, row)| row.version);
        }
        let found = found.iter().map(|(key, row)| {
            let state = match &row.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"tombstone\":true".to_owned(),
            };
            let version = row.version;
            format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{state}}}")
        });
        let found: Vec<String> = found.collect();
        let version = rows.version;
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"ver\":{version},\"nowS\":1.0}}",
            found.join(",")
        )
    }
}

/// Returns the text in a field of a flat JSON object without escapes.
fn field(object: &str, name: &str) -> String {
    let start = object.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
    start.split('"').next().unwrap_or_default().to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = [0, 1, 2].map(|i| u32::from(chunk.get(i).copied().unwrap_or(0)));
        let bits = group[0] << 16 | group[1] << 8 | group[2];
        for digit in 0..4 {
            let value = bits >> (18 - 6 * digit) & 63;
            let is_padding = digit > chunk.len();
            text.push(if is_padding { '=' } else { char::from(DIGITS[value as usize]) });
        }
    }
    text
}
