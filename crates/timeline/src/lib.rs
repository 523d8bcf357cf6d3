//! Merges the events of many processes into one time line.

mod causal_order;
mod clock_offset;
mod event_filter;
mod file_reader;
mod merged_timeline;
mod process_reader;
mod process_stream;
mod request_chart;
mod timeline_fault;
mod timeline_report;
mod timeline_settings;

pub use clock_offset::ClockOffset;
pub use clock_offset::ClockSample;
pub use event_filter::EventFilter;
pub use file_reader::FileRead;
pub use file_reader::parse_lines;
pub use merged_timeline::MergedTimeline;
pub use merged_timeline::TimelineEvent;
pub use process_reader::ProcessReader;
pub use process_stream::ProcessStream;
pub use request_chart::draw_request;
pub use timeline_fault::TimelineFault;
pub use timeline_report::write_json;
pub use timeline_report::write_text;
pub use timeline_settings::OutputFormat;
pub use timeline_settings::TimelineSettings;
pub use timeline_settings::timeline_arguments;
