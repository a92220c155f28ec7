//! Line numbers of byte offsets.

/// Where the lines of a text start.
#[derive(Debug)]
pub(super) struct Lines {
    starts: Vec<u32>,
}

impl Lines {
    /// The lines of `text`.
    pub(super) fn new(text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|&(_, byte)| byte == b'\n');
        let starts = ends.map(|(i, _)| i as u32 + 1);
        Self {
            starts: std::iter::once(0).chain(starts).collect(),
        }
    }

    /// The line that `offset` lies in, from 1.
    pub(super) fn line(&self, offset: u32) -> usize {
        self.starts.partition_point(|&start| start <= offset)
    }
}
