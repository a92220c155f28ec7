//! Line numbers of byte offsets.

/// The byte offsets at which the lines of a text start.
#[derive(Debug)]
pub(super) struct LineIndex {
    starts: Vec<u32>,
}

impl LineIndex {
    /// Indexes the lines of `text`.
    pub(super) fn new(text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|&(_, byte)| byte == b'\n');
        let starts = ends.map(|(i, _)| i as u32 + 1);
        Self {
            starts: std::iter::once(0).chain(starts).collect(),
        }
    }

    /// The line that contains the byte at `offset`, from 1.
    pub(super) fn line_number(&self, offset: u32) -> usize {
        self.starts.partition_point(|&start| start <= offset)
    }
}
