//! State machines for token buckets, idempotency records and retry budgets. They do no I/O and take the time as an
//! argument, so that tests can run them on any sequence of events.

mod baseline_static_split;
mod bucket_limits;
mod bucket_queue;
mod bucket_state;
mod charge_decision;
mod debt_stack;
mod grant_log;
mod idempotency_message;
mod idempotency_settings;
mod idempotency_state;
mod idempotency_table;
mod retry_budget;
mod token_bucket;

pub use baseline_static_split::BaselineStaticSplit;
pub use bucket_limits::BucketLimits;
pub use bucket_queue::BucketQueue;
pub use bucket_queue::ChargeOutcome;
pub use bucket_queue::SubmitDecision;
pub use bucket_state::BucketState;
pub use bucket_state::DebtRecord;
pub use bucket_state::GrantRecord;
pub use charge_decision::ChargeDecision;
pub use idempotency_message::BeginDecision;
pub use idempotency_message::FinishOutcome;
pub use idempotency_message::IdempotencyKey;
pub use idempotency_message::RecordedDecision;
pub use idempotency_settings::IdempotencySettings;
pub use idempotency_state::IdempotencyRecord;
pub use idempotency_state::IdempotencyState;
pub use idempotency_state::RecordPhase;
pub use idempotency_table::IdempotencyTable;
pub use retry_budget::RetryBudget;
pub use token_bucket::TokenBucket;
