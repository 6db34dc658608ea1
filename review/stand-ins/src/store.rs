//! Stand-in of the platform's store: keyed topics, each with one partition.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::http::serve;

/// Records of a topic, by offset: key and value, which is empty where the key was dropped.
type Records = Vec<(String, Vec<u8>)>;

/// A running store.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Records>>,
    changed: Condvar,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store listens");
        let address = listener.local_addr().expect("it has an address");
        let shared = Arc::new(Shared::default());
        let served = shared.clone();
        serve(listener, move |mut connection| {
            while let Ok(request) = connection.read_message() {
                if !served.handle(&request, &mut connection) {
                    return;
                }
            }
        });
        Self { address, shared }
    }

    /// Appends a record, as the operator and the replicas do; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.shared.append(topic, key, value.as_bytes().to_vec());
    }
}

impl Shared {
    fn append(&self, topic: &str, key: &str, value: Vec<u8>) -> usize {
        let mut topics = self.topics.lock().expect("no holder panics");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value));
        self.changed.notify_all();
        records.len() - 1
    }

    fn handle(&self, request: &Message, connection: &mut Connection) -> bool {
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/log-newest" => {
                let body = self.listing(topic);
                connection.respond(200, "Content-Type: application/json\r\n", body.as_bytes())
            }
            "/log-read" => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                match self.read(topic, number("from").unwrap_or(0) as usize, wait) {
                    Some(body) => connection.respond(200, "", &body),
                    None => connection.respond(410, "", b"{\"first\":0}"),
                }
            }
            "/log-append" => {
                let mut offset = 0;
                let mut end = 0;
                let mut rest = request.body.as_slice();
                while let Some((length, after)) = rest.split_first_chunk::<4>() {
                    let (payload, after) = after.split_at(u32::from_be_bytes(*length) as usize);
                    let (key, value) = payload[1..].split_at(usize::from(payload[0]));
                    let at = self.append(topic, &String::from_utf8_lossy(key), value.to_vec());
                    offset = if end == 0 { at } else { offset };
                    end = at + 1;
                    rest = after;
                }
                let body = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
                connection.respond(200, "Content-Type: application/json\r\n", body.as_bytes())
            }
            _ => connection.respond(404, "", b""),
        }
    }

    fn listing(&self, topic: &str) -> String {
        let topics = self.topics.lock().expect("no holder panics");
        let empty = Records::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"end_offset\":{}}}",
            items.join(","),
            records.len()
        )
    }

    /// The response to a read from an offset, which waits for a record; None where there is no
    /// such offset.
    fn read(&self, topic: &str, from: usize, wait: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().expect("no holder panics");
        loop {
            let records = topics.entry(topic.to_owned()).or_default();
            if from > records.len() {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let length = u32::try_from(1 + key.len() + value.len()).expect("a record");
                    body.extend(length.to_be_bytes());
                    body.push(u8::try_from(key.len()).expect("a short key"));
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Some(body);
            }
            let waited = self.changed.wait_timeout(topics, left);
            topics = waited.expect("no holder panics").0;
        }
    }
}

/// Encodes bytes in base64.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |at: usize| u32::from(*three.get(at).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= three.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
