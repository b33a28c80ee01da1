//! Fuzz tests of the parsers that read bytes from outside the process.
//!
//! The seed is fixed and the number of cases bounded; the environment variables
//! `PROPTEST_CASES` and `PROPTEST_RNG_SEED` change them.

use bytes::Bytes;
use catalogue::CatalogueEntry;
use catalogue::id::TokenCount;
use peer::frame;
use peer::message::{PeerReply, PeerRequest, SubmitRequest};
use platform::engine::{EngineClient, EngineError, GenerateRequest, StreamLine};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use standins::deployment::DeploymentKind;
use standins::reply;
use standins::server::StandinServer;
use state::catalogue::{CatalogueItem, CatalogueView};
use state::record;
use state::stream::{RecordText, StreamBody, StreamFold};
use std::sync::Arc;
use std::time::Duration;

const SEED: u64 = 20_261_203;
const WAIT: Duration = Duration::from_secs(5);

fn config() -> ProptestConfig {
    let seed = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|it| it.parse().ok());
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed.unwrap_or(SEED)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Bytes to replace, with their positions
type ByteEdits = Vec<(prop::sample::Index, u8)>;

fn edits() -> impl Strategy<Value = ByteEdits> {
    prop::collection::vec(any::<(prop::sample::Index, u8)>(), 1..4)
}

fn edited(bytes: &[u8], edits: &ByteEdits) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for (index, byte) in edits {
        let index = index.index(bytes.len());
        bytes[index] = *byte;
    }
    bytes
}

fn sample_entry() -> CatalogueEntry {
    DeploymentKind::Trust.entries("key").remove(0)
}

fn sample_record(sequence: u64) -> String {
    let entry = Arc::new(sample_entry());
    let item = CatalogueItem::Put { entry, base: 0, editor: "editor".into() };
    let body: StreamBody<CatalogueView, CatalogueItem> = StreamBody::Items(vec![item]);
    record::encode(&"writer".into(), sequence, &body).unwrap()
}

fn fold(state: &mut StreamFold<CatalogueView>, offset: u64, data: &str) -> bool {
    let text = RecordText { offset, time_ms: offset, data };
    state.fold(text, CatalogueView::apply).is_ok()
}

fn check_entry_text(text: &str) -> std::result::Result<(), TestCaseError> {
    let Ok(entry) = toml::from_str::<CatalogueEntry>(text) else {
        return Ok(());
    };
    if entry.faults().is_empty() {
        let json = serde_json::to_string(&entry).unwrap();
        let again: CatalogueEntry = serde_json::from_str(&json).unwrap();
        prop_assert_eq!(again, entry);
    }
    Ok(())
}

fn sample_request() -> PeerRequest {
    let item = "x".repeat(40);
    PeerRequest::Submit(SubmitRequest { stream: "claims.01".into(), item, timeout_ms: 900 })
}

fn generate() -> GenerateRequest {
    GenerateRequest {
        request: "r".into(),
        model: "m".into(),
        prompt: "p".into(),
        max_tokens: 100,
        from_token: 0,
        priority: 0,
        deadline_ms: 1_000,
        import: None,
    }
}

/// Reads from an engine that sends `chunks`; returns the lines, and the number of tokens or the
/// error at the end
fn read_stream(chunks: Vec<Vec<u8>>) -> (Vec<StreamLine>, Result<TokenCount, EngineError>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async move {
        let server = StandinServer::http(Arc::new(move |_| {
            let chunks = chunks.clone();
            Box::pin(async move {
                let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
                for chunk in chunks {
                    sender.send(Bytes::from(chunk)).unwrap();
                }
                Ok(reply::stream(receiver))
            })
        }))
        .unwrap();
        let client = EngineClient::new();
        let mut stream = client.generate(server.address(), &generate(), WAIT).await.unwrap();
        let mut lines = Vec::new();
        let mut end = Ok(());
        while end.is_ok() && !stream.is_ended() {
            end = stream.next_lines(WAIT, &mut lines).await;
        }
        (lines, end.map(|()| stream.next_token()))
    })
}

fn token_number(line: &StreamLine) -> Option<TokenCount> {
    match line {
        StreamLine::Token { n, .. } => Some(*n),
        StreamLine::End { .. } | StreamLine::Stopped { .. } => None,
    }
}

fn line() -> impl Strategy<Value = Vec<u8>> {
    let token = (0u32..6).prop_map(|n| format!("{{\"token\":{{\"n\":{n},\"text\":\"t\"}}}}\n"));
    let end = (0u32..6).prop_map(|count| {
        format!("{{\"end\":{{\"count\":{count},\"prompt_tokens\":1,\"cached_tokens\":0}}}}\n")
    });
    let noise = prop::collection::vec(any::<u8>(), 0..40);
    prop_oneof![
        6 => token.prop_map(String::into_bytes),
        2 => end.prop_map(String::into_bytes),
        1 => noise,
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn catalogue_text_of_any_kind(text in ".{0,300}") {
        check_entry_text(&text)?;
    }

    #[test]
    fn catalogue_text_damaged(edits in edits()) {
        let toml = toml::to_string(&sample_entry()).unwrap();
        check_entry_text(&String::from_utf8_lossy(&edited(toml.as_bytes(), &edits)))?;
    }

    #[test]
    fn log_record_of_any_kind(text in ".{0,300}") {
        let mut state = StreamFold::<CatalogueView>::default();
        let before = state.clone();
        prop_assert!(!fold(&mut state, 1, &text));
        prop_assert_eq!(state, before);
    }

    #[test]
    fn log_record_damaged(edits in edits()) {
        let valid = sample_record(1);
        let text = String::from_utf8_lossy(&edited(valid.as_bytes(), &edits)).into_owned();
        prop_assume!(text != valid);
        let mut state = StreamFold::<CatalogueView>::default();
        let before = state.clone();
        let mut after = state.clone();
        prop_assert!(fold(&mut after, 1, &valid));
        // An edit that changes only the encoding of the header may leave the record readable.
        let expected = if fold(&mut state, 1, &text) { after } else { before };
        prop_assert_eq!(state, expected);
    }

    #[test]
    fn peer_frame_of_any_kind(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = frame::frame_length(&bytes);
        let _ = frame::decode::<PeerRequest>(&bytes);
        let _ = frame::decode::<PeerReply>(&bytes);
    }

    #[test]
    fn peer_frame_damaged(edits in edits(), cut in any::<prop::sample::Index>()) {
        let valid = frame::encode(&sample_request()).unwrap();
        let _ = frame::decode::<PeerRequest>(&edited(&valid, &edits));
        let short = &valid[..cut.index(valid.len())];
        prop_assert!(frame::decode::<PeerRequest>(short).is_err());
        prop_assert_eq!(frame::decode::<PeerRequest>(&valid).unwrap(), sample_request());
    }

    #[test]
    fn engine_stream_of_any_kind(lines in prop::collection::vec(line(), 0..12), size in 1usize..60) {
        let bytes = lines.concat();
        let chunks = bytes.chunks(size).map(<[u8]>::to_vec).collect();
        let (lines, end) = read_stream(chunks);
        let tokens: Vec<TokenCount> = lines.iter().filter_map(token_number).collect();
        let expected: Vec<TokenCount> = (0..tokens.len() as TokenCount).collect();
        prop_assert_eq!(&tokens, &expected);
        if let Ok(count) = end {
            prop_assert_eq!(count as usize, tokens.len());
        }
    }
}
