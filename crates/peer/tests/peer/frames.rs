//! Frames: round trips and rejected input.

use googletest::prelude::*;
use peer::frame::{self, FRAME_VERSION, FrameError, HEADER_BYTES, MAX_BODY_BYTES};
use peer::message::{DownNotice, PeerUpdate, RelayedBatch, RelayedRecord};
use peer::{PeerReply, PeerRequest};
use proptest::prelude::{ProptestConfig, Strategy, any, proptest};
use proptest::test_runner::RngSeed;
use testcases::cases;

fn ping() -> PeerRequest {
    let notice = DownNotice { instance: "b".into(), age_ms: 300 };
    PeerRequest::Ping(PeerUpdate { instance: "a".into(), load: 7, down: vec![notice] })
}

fn decode_error(frame: &[u8]) -> FrameError {
    frame::decode::<PeerRequest>(frame).expect_err("the frame is invalid")
}

fn check_changed(change: fn(&mut Vec<u8>), is_expected: fn(&FrameError) -> bool) -> Result<()> {
    let mut bytes = frame::encode(&ping()).or_fail()?.to_vec();
    change(&mut bytes);
    let error = decode_error(&bytes);
    verify_that!(is_expected(&error), eq(true)).with_failure_message(|| format!("{error:?}"))
}

fn check_round_trip() -> Result<()> {
    let bytes = frame::encode(&ping()).or_fail()?;
    verify_that!(frame::decode::<PeerRequest>(&bytes).or_fail()?, eq(&ping()))
}

fn check_too_large() -> Result<()> {
    let record = RelayedRecord { offset: 1, time_ms: 0, data: "x".repeat(MAX_BODY_BYTES) };
    let batch = RelayedBatch { earliest: 1, next: 2, records: vec![record] };
    let error = frame::encode(&PeerReply::Records(batch)).expect_err("over the limit");
    verify_that!(matches!(error, FrameError::TooLarge(_)), eq(true))
}

/// A length in the body that exceeds the body is rejected.
fn check_inner_length() -> Result<()> {
    let mut bytes = vec![FRAME_VERSION, 0, 0, 0, 6, 0];
    bytes.extend([0xfc, 0xff, 0xff, 0xff, 0xff]);
    verify_that!(matches!(decode_error(&bytes), FrameError::Decode(_)), eq(true))
}

cases! {
    round_trip => check_round_trip(),
    too_large_to_send => check_too_large(),
    inner_length_beyond_limit => check_inner_length(),
    unknown_version => check_changed(|it| it[0] = 9, |it| matches!(it, FrameError::Version(9))),
    declared_too_large => check_changed(|it| it[1] = 0xff, |it| matches!(it, FrameError::TooLarge(_))),
    cut_in_header => check_changed(|it| it.truncate(3), |it| matches!(it, FrameError::Short { .. })),
    cut_in_body => check_changed(|it| it.truncate(8), |it| matches!(it, FrameError::Short { .. })),
    empty => check_changed(|it| it.clear(), |it| matches!(it, FrameError::Short { .. })),
    bytes_after_frame => check_changed(|it| it.push(0), |it| matches!(it, FrameError::Trailing(1))),
    bytes_after_message => check_changed(
        |it| {
            it.push(0);
            it[4] += 1;
        },
        |it| matches!(it, FrameError::Trailing(1))
    ),
    unknown_variant => check_changed(
        |it| it[HEADER_BYTES] = 200,
        |it| matches!(it, FrameError::Decode(_))
    ),
}

fn any_update() -> impl Strategy<Value = PeerUpdate> {
    let notice = ("[a-z]{1,8}", any::<u32>())
        .prop_map(|(name, age_ms)| DownNotice { instance: name.into(), age_ms });
    ("[a-z0-9-]{0,40}", any::<u32>(), proptest::collection::vec(notice, 0..20))
        .prop_map(|(name, load, down)| PeerUpdate { instance: name.into(), load, down })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() })]

    #[test]
    fn any_ping_is_read_back(update in any_update()) {
        let request = PeerRequest::Ping(update);
        let bytes = frame::encode(&request).expect("small");
        assert_eq!(frame::decode::<PeerRequest>(&bytes).expect("valid"), request);
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut bytes = vec![FRAME_VERSION];
        bytes.extend((body.len() as u32).to_be_bytes());
        bytes.extend(&body);
        if let Ok(request) = frame::decode::<PeerRequest>(&bytes) {
            let again = frame::encode(&request).expect("was decoded");
            assert_eq!(frame::decode::<PeerRequest>(&again).expect("valid"), request);
        }
        let _ = frame::decode::<PeerReply>(&body);
    }
}
