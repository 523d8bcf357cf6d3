//! Follows `text/event-stream` bodies that are passed on byte by byte, and finds where another server can go on.

mod event_batch;
mod event_block;
mod event_id;
mod event_reader;
mod reader_error;

pub use event_batch::EventBatch;
pub use event_reader::EventReader;
pub use reader_error::ReaderError;
pub use reader_error::Result;
