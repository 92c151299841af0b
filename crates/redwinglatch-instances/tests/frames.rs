//! Frames decode after any split of the byte stream, and damaged frames are refused.

use quickcheck::{QuickCheck, TestResult};
use redwinglatch_instances::{FRAME_LIMIT_BYTES, FrameDecoder, encode_frame};

#[test]
fn frames_decode_however_the_bytes_are_split() {
    fn property(messages: Vec<Vec<u8>>, split_at: usize) -> bool {
        let bytes: Vec<u8> =
            messages.iter().flat_map(|message| encode_frame(message).unwrap()).collect();
        let (head, tail) = bytes.split_at(split_at % (bytes.len() + 1));
        let mut decoder = FrameDecoder::default();
        let mut decoded: Vec<Vec<u8>> = Vec::new();
        for part in [head, tail] {
            decoder.buffer_mut().extend_from_slice(part);
            while let Some(message) = decoder.next_frame().unwrap() {
                decoded.push(message);
            }
        }
        decoded == messages
    }
    QuickCheck::new().tests(500).quickcheck(property as fn(Vec<Vec<u8>>, usize) -> bool);
}

#[test]
fn arbitrary_bytes_never_panic_the_decoder() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut decoder = FrameDecoder::default();
        decoder.buffer_mut().extend_from_slice(&bytes);
        for _ in 0..bytes.len() + 1 {
            match decoder.next_frame::<Vec<String>>() {
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return true,
            }
        }
        false
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_frame_with_a_flipped_bit_is_refused() {
    fn property(message: Vec<u8>, position: usize) -> TestResult {
        if message.is_empty() {
            return TestResult::discard();
        }
        let mut frame = encode_frame(&message).unwrap();
        let position = 8 + position % (frame.len() - 8);
        frame[position] ^= 1;
        let mut decoder = FrameDecoder::default();
        decoder.buffer_mut().extend_from_slice(&frame);
        TestResult::from_bool(decoder.next_frame::<Vec<u8>>().is_err())
    }
    QuickCheck::new().tests(500).quickcheck(property as fn(Vec<u8>, usize) -> TestResult);
}

#[test]
fn a_length_above_the_limit_is_refused_before_the_body_arrives() {
    let mut decoder = FrameDecoder::default();
    let length = u32::try_from(FRAME_LIMIT_BYTES + 1).unwrap();
    decoder.buffer_mut().extend_from_slice(&length.to_le_bytes());
    decoder.buffer_mut().extend_from_slice(&[0; 4]);
    assert!(decoder.next_frame::<Vec<u8>>().is_err());
    assert!(encode_frame(&vec![0_u8; FRAME_LIMIT_BYTES + 1]).is_err());
}
