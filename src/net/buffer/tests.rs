//! Compaction of the read buffer.

use super::*;

#[test]
fn consumed_bytes_do_not_accumulate() {
    let mut buffer = Buffer::default();
    buffer.append(&[1; 3000]);
    buffer.consume(2999);
    buffer.append(&[2; 500]);
    assert_eq!((buffer.unconsumed().len(), buffer.unconsumed()[0], buffer.bytes.len()), (501, 1, 501));
    buffer.consume(1000);
    assert!(buffer.unconsumed().is_empty() && buffer.bytes.capacity() <= GROWTH_BYTES);
}
