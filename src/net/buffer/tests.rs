//! The buffer's compaction.

use super::*;

#[test]
fn compacted_in_place() {
    let mut buffer = Buffer::default();
    buffer.put(&[1; 3000]);
    buffer.consume(2999);
    buffer.put(&[2; 500]);
    assert_eq!((buffer.held().len(), buffer.held()[0], buffer.bytes.len()), (501, 1, 501));
    buffer.consume(1000);
    assert!(buffer.held().is_empty() && buffer.bytes.capacity() <= GROW);
}
