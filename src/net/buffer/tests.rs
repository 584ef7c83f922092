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

#[test]
fn written_output_releases_its_memory() {
    let mut output = vec![b'x'; 100_000];
    discard_written(&mut output, 99_000);
    assert_eq!(output.len(), 1_000);
    assert!(output.capacity() < 10_000, "{}", output.capacity());
    let capacity = output.capacity();
    discard_written(&mut output, 1_000);
    assert_eq!(
        (output.len(), output.capacity()),
        (0, capacity),
        "a small buffer is kept for the next response"
    );
}
