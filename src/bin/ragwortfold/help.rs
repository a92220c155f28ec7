//! Shell completions and the man page.

use clap_complete::Shell;

use crate::{clap_app, print, Error};

/// Prints the completions of one shell.
pub(crate) fn print_completions(shell: Shell) -> Result<(), Error> {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut clap_app::build(), clap_app::NAME, &mut text);
    print(&String::from_utf8_lossy(&text))
}

/// Prints the man page as roff.
pub(crate) fn print_man_page() -> Result<(), Error> {
    let mut text = Vec::new();
    clap_mangen::Man::new(clap_app::build()).render(&mut text)?;
    print(&String::from_utf8_lossy(&text))
}
