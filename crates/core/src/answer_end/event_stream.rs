//! Whether a stream of server-sent events stands between two events.

/// The byte order mark that may precede the first line.
const BYTE_ORDER_MARK: [u8; 3] = [0xEF, 0xBB, 0xBF];

/// Follows a stream of server-sent events, in pieces of any size.
///
/// Lines end with LF, CR or CRLF, and an empty line ends an event. A line that begins with a colon is a comment and
/// belongs to no event.
#[derive(Clone, Debug, Default)]
pub struct EventStream {
    byte_order_mark: ByteOrderMark,
    line: Line,
    /// Whether the last line ended with a CR, so that an LF belongs to the same end.
    after_carriage_return: bool,
    /// Whether the event has a complete line so far.
    has_event_line: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ByteOrderMark {
    /// So many of its bytes have been read.
    Possible(usize),
    /// It was read, or the stream began without one.
    Past,
}

impl Default for ByteOrderMark {
    fn default() -> Self {
        ByteOrderMark::Possible(0)
    }
}

/// What the current line holds so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Event,
}

impl EventStream {
    /// Follows the next bytes of the stream.
    pub fn record(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.record_byte(*byte);
        }
    }

    /// Whether the stream would lose nothing if it ended here: no line is incomplete, and neither is an event.
    pub fn is_between_events(&self) -> bool {
        let is_inside_mark = matches!(self.byte_order_mark, ByteOrderMark::Possible(1..));
        !is_inside_mark && self.line == Line::Empty && !self.has_event_line
    }

    fn record_byte(&mut self, byte: u8) {
        if self.is_of_byte_order_mark(byte) {
            return;
        }
        let follows_carriage_return = std::mem::replace(&mut self.after_carriage_return, byte == b'\r');
        match byte {
            b'\n' if follows_carriage_return => {}
            b'\n' | b'\r' => self.end_line(),
            b':' if self.line == Line::Empty => self.line = Line::Comment,
            _ if self.line == Line::Empty => self.line = Line::Event,
            _ => {}
        }
    }

    /// Whether `byte` belongs to the byte order mark. Bytes that only begin like one begin the first line.
    fn is_of_byte_order_mark(&mut self, byte: u8) -> bool {
        let ByteOrderMark::Possible(read) = self.byte_order_mark else {
            return false;
        };
        if byte != BYTE_ORDER_MARK[read] {
            self.byte_order_mark = ByteOrderMark::Past;
            if read > 0 {
                self.line = Line::Event;
            }
            return false;
        }
        self.byte_order_mark = match read + 1 {
            read if read == BYTE_ORDER_MARK.len() => ByteOrderMark::Past,
            read => ByteOrderMark::Possible(read),
        };
        true
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => self.has_event_line = false,
            Line::Comment => {}
            Line::Event => self.has_event_line = true,
        }
    }
}
