//! A logger that keeps the lines of the test's own thread.

use std::cell::RefCell;
use std::collections::BTreeMap;

use log::kv::{Key, VisitSource};

/// A captured line: the event and its fields.
pub type Line = (String, BTreeMap<String, String>);

thread_local! {
    static LINES: RefCell<Vec<Line>> = const { RefCell::new(Vec::new()) };
}

struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut fields = Fields(BTreeMap::new());
        // The visitor returns no errors.
        drop(record.key_values().visit(&mut fields));
        LINES.with_borrow_mut(|lines| lines.push((record.args().to_string(), fields.0)));
    }

    fn flush(&self) {}
}

struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Begins to keep lines. One test of a program may do so.
///
/// # Panics
///
/// Panics if there is a logger already.
pub fn capture() {
    log::set_logger(&Capture).expect("no other logger");
    log::set_max_level(log::LevelFilter::Info);
}

/// Forgets the lines captured so far.
pub fn clear() {
    LINES.with_borrow_mut(Vec::clear);
}

/// Returns the values of a field in the captured lines of an event about a step, or about none.
pub fn captured(event: &str, step: Option<&str>, field: &str) -> Vec<String> {
    LINES.with_borrow(|lines| {
        let own = lines.iter().filter(|(logged, fields)| {
            logged == event && fields.get("step").map(String::as_str) == step
        });
        own.filter_map(|(_, fields)| fields.get(field).cloned())
            .collect()
    })
}

/// Returns the fields of the captured lines of an event.
pub fn captured_lines(event: &str) -> Vec<BTreeMap<String, String>> {
    LINES.with_borrow(|lines| {
        let own = lines.iter().filter(|(logged, _)| logged == event);
        own.map(|(_, fields)| fields.clone()).collect()
    })
}
