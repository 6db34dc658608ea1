use std::net::SocketAddr;

use bergamotfork::fleet::EngineLoad;
use bergamotfork::fleet::EngineProfile;
use bergamotfork::fleet::EntryHeartbeat;
use bergamotfork::fleet::ReplicaKey;
use bergamotfork::fleet::ReplicaRecord;
use bergamotfork::fleet::ReplicaState;
use bergamotfork::fleet::ReplicaTable;

/// Profile of an engine with 16 slots and the speed of the platform's engines.
pub fn engine() -> EngineProfile {
    EngineProfile {
        slots: 16,
        step_ms: 9.27,
        step_per_request_ms: 0.0232,
        step_per_1k_context_ms: 0.0322,
        prompt_tokens_per_ms: 20.7,
        steps_per_pass: 5,
        mean_prompt_tokens: 979.0,
        mean_answer_tokens: 92.0,
        chunks: 48,
        chunk_bytes: 49_152,
        models: Vec::new(),
    }
}

/// Registration of replica `id` at 10.0.0.`host`, port 80.
pub fn record(id: &str, host: u8) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        service: "chat".to_owned(),
        address: format!("10.0.0.{host}:80").parse().unwrap(),
        failure_domain: "a".to_owned(),
        slots: 16,
        state: ReplicaState::Ready,
        cold_remaining_ms: 0,
        heartbeat_no: 1,
        born_unix_ms: Some(1),
        weights: vec![("m".to_owned(), 1)],
    }
}

/// Load report of an engine that holds version 1.
pub fn load(received_ms: u64, running: u32, queued: u32) -> EngineLoad {
    EngineLoad {
        received_ms,
        is_up: true,
        is_loading: false,
        running,
        queued,
        memory_used: 0.1,
        version: 1,
        pace: 1.0,
    }
}

/// Table of replicas that reported these numbers of requests, running or queued, at
/// `at_ms`; with their keys.
pub fn table(at_ms: u64, requests: &[u32]) -> (ReplicaTable, Vec<ReplicaKey>) {
    let mut table = ReplicaTable::default();
    let mut keys = Vec::new();
    for (host, requests) in (1u8..).zip(requests) {
        let (key, _) = table.register(record(&format!("r{host}"), host), at_ms);
        let ip = format!("10.0.0.{host}").parse().unwrap();
        let running = (*requests).min(16);
        table.record_load(ip, 80, load(at_ms, running, requests - running));
        keys.push(key);
    }
    (table, keys)
}

/// A heartbeat of an entry in failure domain `z` that reaches the store.
pub fn heartbeat(name: &str) -> EntryHeartbeat {
    let any: SocketAddr = "127.0.0.1:2".parse().unwrap();
    EntryHeartbeat {
        name: name.to_owned(),
        incarnation: 1,
        internal: any,
        front: any,
        failure_domain: "z".to_owned(),
        link_mbps: 100.0,
        is_ready: true,
        has_store: true,
        ends: [0; 3],
        replicas_age_ms: 0,
        declared: Vec::new(),
        suspects: Vec::new(),
    }
}
