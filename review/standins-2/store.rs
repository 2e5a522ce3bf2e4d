//! A stand-in of the platform's store: `rows-get`, `rows-feed` and `rows-tx`.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::{Json, base64},
    net::{Connection, Head},
    record::Record,
};

#[derive(Clone)]
struct Row {
    /// Base64; `None` once it was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

pub struct Store {
    pub addr: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    connections: AtomicU64,
    /// Connections with a lower number deliver nothing any more.
    first_heard: AtomicU64,
    started_at: Instant,
    record: Arc<Record>,
}

impl Store {
    pub fn start(addr: SocketAddr, record: &Arc<Record>) -> Arc<Store> {
        let listener = TcpListener::bind(addr).unwrap_or_else(|e| {
            crate::world::cannot_run(&format!("store cannot listen at {addr}: {e}"))
        });
        let store = Arc::new(Store {
            addr,
            rows: Mutex::default(),
            changed: Condvar::new(),
            connections: AtomicU64::new(0),
            first_heard: AtomicU64::new(0),
            started_at: Instant::now(),
            record: Arc::clone(record),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                let number = server.connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || server.serve(number, Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let row = Row { value: Some(base64(value.as_bytes())), version };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Returns the number of rows in a table.
    pub fn count(&self, table: &str) -> usize {
        let rows = self.rows.lock().unwrap();
        rows.rows.iter().filter(|((name, _), row)| name == table && row.value.is_some()).count()
    }

    /// All connections that are open go silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) {
        self.first_heard.store(self.connections.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn serve(&self, number: u64, mut connection: Connection) {
        while let Ok(head) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else { return };
            self.record.store(number, &head.line);
            let (status, body) = self.answer(&head, &String::from_utf8_lossy(&body));
            if number < self.first_heard.load(Ordering::SeqCst) {
                self.record.store(number, "is silent, and stays open");
                // The socket stays open as long as this thread owns it.
                while !connection.is_closed() {
                    thread::sleep(Duration::from_millis(50));
                }
                return;
            }
            let fields = "Content-Type: application/json\r\n";
            if connection.respond(status, fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, String) {
        let path = head.path();
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let parameter = |name: &str| -> String {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or(String::new(), |(_, value)| value.to_owned())
        };
        match call {
            "/-/rows-get" => ("200 OK", self.rows_of(&parameter("table"), 0, true)),
            "/-/rows-feed" => {
                let wait_ms = parameter("waitMs").parse().unwrap_or(0);
                let after = parameter("after").parse().unwrap_or(0);
                self.wait(&parameter("table"), after, Duration::from_millis(wait_ms));
                ("200 OK", self.rows_of(&parameter("table"), after, false))
            }
            "/-/rows-tx" => self.transact(body),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn wait(&self, table: &str, after: u64, wait: Duration) {
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let has_news =
                rows.rows.iter().any(|((name, _), row)| name == table && row.version > after);
            let left = until.saturating_duration_since(Instant::now());
            if has_news || left.is_zero() {
                return;
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn rows_of(&self, table: &str, after: u64, only_live: bool) -> String {
        let rows = self.rows.lock().unwrap();
        let wanted = rows.rows.iter().filter(|((name, _), row)| {
            name == table && row.version > after && (row.value.is_some() || !only_live)
        });
        let mut found: Vec<_> = wanted.collect();
        if !only_live {
            found.sort_by_key(|(_, row)| row.version);
        }
        let texts: Vec<String> = found
            .into_iter()
            .map(|((_, key), row)| {
                let value = match &row.value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"tombstone\":true".to_owned(),
                };
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{}}}",
                    row.version
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"ver\":{},\"nowS\":{:.3}}}",
            texts.join(","),
            rows.version,
            self.started_at.elapsed().as_secs_f64()
        )
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(transaction) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let name = |entry: &Json| {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        let mut rows = self.rows.lock().unwrap();
        let writes = transaction.get("puts").list().iter().chain(transaction.get("remove").list());
        let is_foreign = |entry: &Json| matches!(entry.get("table").text(), "op" | "servers");
        if writes.clone().any(is_foreign) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let holds = transaction.get("precondition").list().iter().all(|entry| {
            let row = rows.rows.get(&name(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == entry.get("ver").number() as u64
        });
        if !holds {
            return ("412 Precondition Failed", "{\"rows\":[]}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for entry in writes {
            let value = match entry.get("value") {
                Json::Text(value) => Some(value.clone()),
                _ => None,
            };
            rows.rows.insert(name(entry), Row { value, version });
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"ver\":{version},\"nowS\":1.0}}"))
    }
}
