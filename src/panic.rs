//! Descriptions of panics that were caught.

use std::any::Any;
use std::cell::RefCell;

thread_local! {
    /// Where the last panic of this thread occurred.
    static PLACE: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Records where panics occur, which is not known any more where they are caught.
pub(crate) fn record_places() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let place = info.location().map(|place| format!("at {place}"));
        PLACE.replace(place);
        previous(info);
    }));
}

/// The message of a panic of this thread, and where it occurred.
pub(crate) fn describe(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    let place = PLACE.take().unwrap_or_default();
    format!("{} {place}", text.unwrap_or("unknown"))
}
