//! Stand-in of the platform's store: keyed topics, kept in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Head;
use crate::http::serve;

/// A topic: its name, and its records as pairs of key and value by offset.
type TopicRecords = (String, Vec<(String, Vec<u8>)>);

/// Records of all topics.
type Topics = Arc<Mutex<Vec<TopicRecords>>>;

/// The store; clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Topics,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let topics = Topics::default();
        let served = topics.clone();
        let address = serve(([127, 0, 0, 1], 0).into(), move |head, body, connection| {
            handle(&served, head, body, connection)
        })?;
        Ok(Self { address, topics })
    }

    /// Appends a record, as the operator or a replica does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        append(&self.topics, topic, key, value.as_bytes());
    }
}

fn append(topics: &Topics, topic: &str, key: &str, value: &[u8]) -> usize {
    with_records(topics, topic, |records| {
        records.push((key.to_owned(), value.to_vec()));
        records.len() - 1
    })
}

fn with_records<T>(
    topics: &Topics,
    topic: &str,
    use_records: impl FnOnce(&mut Vec<(String, Vec<u8>)>) -> T,
) -> T {
    let mut topics = topics.lock().expect("no holder panics");
    let at = match topics.iter().position(|entry| entry.0 == topic) {
        Some(at) => at,
        None => {
            topics.push((topic.to_owned(), Vec::new()));
            topics.len() - 1
        }
    };
    use_records(&mut topics[at].1)
}

fn handle(topics: &Topics, head: &Head, body: &[u8], connection: &mut Connection) -> bool {
    const HEADERS: &str = "Store-Era: 0\r\n";
    let topic = head.query("topic").unwrap_or_default();
    match head.path() {
        "/log-newest" => {
            let page = with_records(topics, topic, |records| listing(records));
            connection.respond(200, HEADERS, page.as_bytes())
        }
        "/log-read" => {
            let number = |name| head.query(name).and_then(|text| text.parse::<u64>().ok());
            let from = number("from").unwrap_or(0) as usize;
            let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
            loop {
                let read = with_records(topics, topic, |records| {
                    if from > records.len() {
                        return Some(None);
                    }
                    let is_due = from < records.len() || Instant::now() >= until;
                    is_due.then(|| Some(raw_records(records, from)))
                });
                match read {
                    Some(Some(bytes)) => return connection.respond(200, HEADERS, &bytes),
                    Some(None) => return connection.respond(410, HEADERS, b"{\"first\":0}"),
                    None => thread::sleep(Duration::from_millis(5)),
                }
            }
        }
        "/log-append" => {
            let key_end = 5 + body.get(4).map_or(0, |length| usize::from(*length));
            let Some(key) = body.get(5..key_end) else {
                return connection.respond(400, HEADERS, b"{}");
            };
            let key = String::from_utf8_lossy(key).into_owned();
            let offset = append(topics, topic, &key, &body[key_end..]);
            let reply = format!("{{\"offset\":{offset},\"end_offset\":{}}}", offset + 1);
            connection.respond(200, HEADERS, reply.as_bytes())
        }
        _ => connection.respond(404, HEADERS, b""),
    }
}

/// Newest record of each key, as JSON.
fn listing(records: &[(String, Vec<u8>)]) -> String {
    let mut items: Vec<(usize, &str, &[u8])> = Vec::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        items.retain(|item| item.1 != key);
        if !value.is_empty() {
            items.push((offset, key, value));
        }
    }
    let items: Vec<String> = items
        .iter()
        .map(|(offset, key, value)| {
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

fn raw_records(records: &[(String, Vec<u8>)], from: usize) -> Vec<u8> {
    let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
    bytes.extend_from_slice(&0u64.to_be_bytes());
    for (key, value) in &records[from..] {
        let length = (1 + key.len() + value.len()) as u32;
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.push(key.len() as u8);
        bytes.extend_from_slice(key.as_bytes());
        bytes.extend_from_slice(value);
    }
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= part.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
