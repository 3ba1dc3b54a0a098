use super::*;
use crate::fuzz;

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag][..], &length, body].concat()
}

/// How many answers the dropped messages are owed, each of which ends with ReadyForQuery.
fn rejections(overflow: &mut Overflow) -> usize {
    let mut out = Vec::new();
    while overflow.reject(&mut out) {}
    out.windows(6).filter(|end| *end == b"Z\0\0\0\x05I").count()
}

#[test]
fn each_query_and_sync_is_owed_one_answer() {
    let input = [
        message(b'Q', &[b'x'; 1_000]),
        message(b'P', b"no answer of its own"),
        message(b'S', b""),
        message(b'Q', b"\0"),
    ]
    .concat();
    for cut in 0..input.len() {
        let mut overflow = Overflow::default();
        overflow.feed(&input[..cut]);
        overflow.feed(&input[cut..]);
        assert_eq!(rejections(&mut overflow), 3, "cut at {cut}");
        assert!(!overflow.is_active());
    }
}

#[test]
fn message_that_has_begun_is_dropped_to_its_end() {
    let mut overflow = Overflow::default();
    let query = message(b'Q', &[b'x'; 100]);
    overflow.feed(&query[..40]);
    assert!(overflow.is_inside_message() && overflow.is_active());
    assert_eq!(overflow.missing_bytes(), query.len() - 40);
    assert_eq!(rejections(&mut overflow), 0);
    overflow.feed(&query[40..]);
    assert_eq!(rejections(&mut overflow), 1);
}

#[test]
fn terminate_and_lost_framing_end_the_messages() {
    let query = message(b'Q', b"\0");
    let mut overflow = Overflow::default();
    overflow.feed(&[query.clone(), message(b'X', b""), query.clone()].concat());
    assert_eq!(rejections(&mut overflow), 1);
    assert_eq!(overflow.end(), OverflowEnd::Terminate);
    let mut overflow = Overflow::default();
    overflow.feed(&[&query[..], b"Q\xff\xff\xff\xff", &query].concat());
    assert_eq!(rejections(&mut overflow), 1);
    assert!(matches!(overflow.end(), OverflowEnd::Malformed(_)));
}

#[test]
fn random_bytes_hold_no_memory() {
    let valid = message(b'Q', &[b'x'; 100]).repeat(3);
    fuzz::garbage(&valid, |bytes| {
        let mut overflow = Overflow::default();
        overflow.feed(bytes);
        assert!(overflow.header.len() < pg::HEADER_BYTES);
        assert!(overflow.missing <= pg::MAX_MESSAGE_BYTES);
    });
}
