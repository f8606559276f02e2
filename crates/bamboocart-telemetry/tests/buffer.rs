//! Tests of the line buffer without a thread.

use std::io::{self, ErrorKind, Write};

use bamboocart_telemetry::buffer::LineBuffer;

/// A non-blocking output that accepts `left` more bytes.
struct Limited {
    written: Vec<u8>,
    left: usize,
}

impl Write for Limited {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.left == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let count = self.left.min(bytes.len());
        self.written.extend_from_slice(&bytes[..count]);
        self.left -= count;
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are lost or duplicated when the output accepts only a part.
#[test]
fn a_slow_output_gets_each_line_once() {
    let lines = LineBuffer::default();
    lines.push("first");
    lines.push("second");
    let mut output = Limited { written: Vec::new(), left: 8 };
    lines.write_to(&mut output).unwrap();
    lines.push("third");
    output.left = 100;
    lines.write_to(&mut output).unwrap();
    assert_eq!(output.written, b"first\nsecond\nthird\n");
    assert_eq!(lines.dropped(), 0);
}

/// Guards against a log buffer that grows without bound when its output is not read.
#[test]
fn lines_beyond_the_limit_are_counted() {
    let lines = LineBuffer::default();
    let line = "x".repeat(1_000);
    (0..2_000).for_each(|_| lines.push(&line));
    assert!(lines.dropped() > 900, "{}", lines.dropped());
    let mut output = Limited { written: Vec::new(), left: usize::MAX };
    lines.write_to(&mut output).unwrap();
    assert!(output.written.len() <= 1 << 20, "{}", output.written.len());
}
